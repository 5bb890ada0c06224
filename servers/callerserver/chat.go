package callerserver

import (
	"net/http"
	"strconv"
	"time"

	"github.com/tmaxmax/go-sse"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/codecs/chatmapper"
)

// Types of the SSE events that the router adds to a chat stream.
var (
	eventError   = sse.Type("error")
	eventOutcome = sse.Type("quetzalroad-outcome")
)

// doneMarker is the data of the last event that the chat API defines; the router's outcome event follows it.
const doneMarker = "[DONE]"

func (s *Server) handleChat(x *exchange) error {
	body, err := x.readBody()
	if err != nil {
		return err
	}
	decoded, err := chatmapper.DecodeRequest(body)
	if err != nil {
		return quetzalroad.NewRefusal(quetzalroad.ReasonMalformedRequest, err.Error(), 0)
	}
	chatRequest, err := x.newChatRequest(decoded, body)
	if err != nil {
		return err
	}
	if decoded.Stream {
		return x.streamCompletion(chatRequest, decoded)
	}
	return x.sendCompletion(chatRequest)
}

func (x *exchange) newChatRequest(decoded chatmapper.Request, body []byte) (*quetzalroad.ChatRequest, error) {
	service, ok := x.server.node.Directory.ServiceForModel(decoded.Model)
	if !ok {
		return nil, quetzalroad.NewRefusal(quetzalroad.ReasonUnknownModel, "there is no model "+strconv.Quote(string(decoded.Model)), 0)
	}
	profile, err := x.resolveProfile("")
	if err != nil {
		return nil, err
	}
	maxTokens := decoded.MaxTokens
	if profile.MaxTokens > 0 && (maxTokens == 0 || maxTokens > profile.MaxTokens) {
		maxTokens = profile.MaxTokens
	}
	return &quetzalroad.ChatRequest{
		Request: quetzalroad.Request{
			ID: x.id, Team: x.team, Profile: profile, Service: service, Model: decoded.Model, Arrived: x.arrived,
			PromptTokens: decoded.PromptTokens, MaxTokens: maxTokens, PrefixHash: decoded.PrefixHash, Idempotent: profile.Idempotent,
		},
		Body: body, Resumable: decoded.Resumable && profile.Idempotent,
	}, nil
}

// sendCompletion sends the completion as a single JSON response.
func (x *exchange) sendCompletion(request *quetzalroad.ChatRequest) error {
	sink := &completionSink{}
	if err := x.server.node.Dispatcher.Chat(x.request.Context(), request, sink); err != nil {
		return err
	}
	data, err := sink.aggregator.EncodeCompletion(completionID(request.ID))
	if err != nil {
		return err
	}
	header := x.writer.Header()
	header.Set("Content-Type", "application/json")
	header.Set(fieldOutcome, string(quetzalroad.OutcomeCompleted))
	x.responseStarted = true
	return x.wrapWriteError(x.write(data))
}

func completionID(id quetzalroad.RequestID) string {
	return "chatcmpl-" + string(id)
}

// wrapWriteError wraps a response write error in a refusal, so that it is counted.
func (x *exchange) wrapWriteError(err error) error {
	if err == nil {
		return nil
	}
	return &quetzalroad.Refusal{Reason: quetzalroad.ReasonCallerDisconnected, Message: "the caller left", Outcome: quetzalroad.OutcomeUnknown, Cause: err}
}

// completionSink aggregates the events of a completion.
type completionSink struct {
	aggregator chatmapper.Aggregator
}

// Write implements quetzalroad.ChatSink.
func (s *completionSink) Write(event quetzalroad.ChatEvent) error {
	return s.aggregator.Add(event)
}

// streamCompletion streams the events of a completion. A complete stream ends with
// [DONE] and an outcome event, an interrupted one with an error and an outcome event.
func (x *exchange) streamCompletion(request *quetzalroad.ChatRequest, decoded chatmapper.Request) error {
	sink := &streamSink{exchange: x, rewriter: chatmapper.ChunkRewriter{ID: completionID(request.ID), IncludeUsage: decoded.IncludeUsage}}
	err := x.server.node.Dispatcher.Chat(x.request.Context(), request, sink)
	if err == nil && !x.responseStarted {
		sink.writeHead()
	}
	if !x.responseStarted {
		return err
	}
	return x.finishStream(err)
}

// finishStream sends the final events of a stream whose head has been written.
func (x *exchange) finishStream(err error) error {
	outcome := quetzalroad.OutcomeCompleted
	var writeErr error
	if err != nil {
		refusal := quetzalroad.AsRefusal(err)
		outcome = refusal.Outcome
		writeErr = x.writeEvent(eventError, x.encodeRefusal(refusal))
	} else {
		writeErr = x.writeEvent(sse.EventType{}, []byte(doneMarker))
	}
	if writeErr == nil {
		writeErr = x.writeEvent(eventOutcome, []byte(`{"request-id":`+strconv.Quote(string(x.id))+`,"outcome":`+strconv.Quote(string(outcome))+`}`))
	}
	x.writer.Header().Set(fieldOutcome, string(outcome))
	if err == nil {
		return x.wrapWriteError(writeErr)
	}
	return err
}

// writeEvent writes one SSE event and flushes it.
func (x *exchange) writeEvent(eventType sse.EventType, data []byte) error {
	message := sse.Message{Type: eventType}
	message.AppendData(string(data))
	text, err := message.MarshalText()
	if err != nil {
		return err
	}
	if err := x.write(text); err != nil {
		return err
	}
	return x.controller.Flush()
}

// streamSink writes completion events as SSE events. It sends the response head
// with the first event, so that an earlier refusal can still set the status.
type streamSink struct {
	exchange *exchange
	rewriter chatmapper.ChunkRewriter
}

func (s *streamSink) writeHead() {
	header := s.exchange.writer.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-cache")
	header.Set("Trailer", fieldOutcome)
	s.exchange.writer.WriteHeader(http.StatusOK)
	s.exchange.responseStarted = true
}

// Write implements quetzalroad.ChatSink.
func (s *streamSink) Write(event quetzalroad.ChatEvent) error {
	data, err := s.rewriter.Rewrite(event)
	if err != nil || data == nil {
		return err
	}
	if !s.exchange.responseStarted {
		s.writeHead()
	}
	return s.exchange.writeEvent(sse.EventType{}, data)
}

func (s *Server) handleModels(x *exchange) error {
	var models []chatmapper.Model
	for _, service := range s.node.Directory.Services() {
		for _, model := range service.Models {
			models = append(models, chatmapper.Model{Name: model, Owner: service.Name, CreatedAt: time.Unix(0, 0)})
		}
	}
	data, err := chatmapper.EncodeModels(models)
	if err != nil {
		return err
	}
	header := x.writer.Header()
	header.Set("Content-Type", "application/json")
	header.Set(fieldOutcome, string(quetzalroad.OutcomeCompleted))
	x.responseStarted = true
	return x.wrapWriteError(x.write(data))
}
