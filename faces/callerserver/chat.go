package callerserver

import (
	"net/http"
	"strconv"
	"time"

	"github.com/tmaxmax/go-sse"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/codecs/chatmapper"
)

// The types of the events that the router adds to a stream.
var (
	eventError   = sse.Type("error")
	eventOutcome = sse.Type("quetzalroad-outcome")
)

// doneData is the data of the last event of the chat API's own.
const doneData = "[DONE]"

func (s *Server) chat(x *exchange) error {
	body, err := x.body()
	if err != nil {
		return err
	}
	call, err := chatmapper.DecodeRequest(body)
	if err != nil {
		return quetzalroad.NewRefusal(quetzalroad.ReasonMalformedRequest, err.Error(), 0)
	}
	c, err := x.newChat(call, body)
	if err != nil {
		return err
	}
	if call.Stream {
		return x.stream(c, call)
	}
	return x.whole(c)
}

func (x *exchange) newChat(call chatmapper.Request, body []byte) (*quetzalroad.ChatRequest, error) {
	service, ok := x.server.node.Directory.ServiceForModel(call.Model)
	if !ok {
		return nil, quetzalroad.NewRefusal(quetzalroad.ReasonUnknownModel, "there is no model "+strconv.Quote(string(call.Model)), 0)
	}
	profile, err := x.profile("")
	if err != nil {
		return nil, err
	}
	maxTokens := call.MaxTokens
	if profile.MaxTokens > 0 && (maxTokens == 0 || maxTokens > profile.MaxTokens) {
		maxTokens = profile.MaxTokens
	}
	return &quetzalroad.ChatRequest{
		Request: quetzalroad.Request{
			ID: x.id, Team: x.team, Profile: profile, Service: service, Model: call.Model, Arrived: x.arrived,
			PromptTokens: call.PromptTokens, MaxTokens: maxTokens, PrefixHash: call.PrefixHash, Idempotent: profile.Idempotent,
		},
		Body: body, Resumable: call.Resumable && profile.Idempotent,
	}, nil
}

// whole answers with the whole completion.
func (x *exchange) whole(c *quetzalroad.ChatRequest) error {
	sink := &wholeSink{}
	if err := x.server.node.Dispatcher.Chat(x.request.Context(), c, sink); err != nil {
		return err
	}
	data, err := sink.aggregator.EncodeCompletion(answerID(c.ID))
	if err != nil {
		return err
	}
	h := x.response.Header()
	h.Set("Content-Type", "application/json")
	h.Set(fieldOutcome, string(quetzalroad.OutcomeCompleted))
	x.began = true
	return x.sent(x.write(data))
}

func answerID(id quetzalroad.RequestID) string {
	return "chatcmpl-" + string(id)
}

// sent turns the failure to hand on an answer into a refusal, for the counters.
func (x *exchange) sent(err error) error {
	if err == nil {
		return nil
	}
	return &quetzalroad.Refusal{Reason: quetzalroad.ReasonCallerDisconnected, Message: "the caller left", Outcome: quetzalroad.OutcomeUnknown, Cause: err}
}

// wholeSink joins the steps.
type wholeSink struct {
	aggregator chatmapper.Aggregator
}

// Write implements quetzalroad.ChatSink.
func (s *wholeSink) Write(e quetzalroad.ChatEvent) error {
	return s.aggregator.Add(e)
}

// stream answers with the steps as they come. A whole answer ends with [DONE]
// and the outcome; one that broke off ends with an error and the outcome.
func (x *exchange) stream(c *quetzalroad.ChatRequest, call chatmapper.Request) error {
	sink := &streamSink{exchange: x, rewriter: chatmapper.ChunkRewriter{ID: answerID(c.ID), IncludeUsage: call.IncludeUsage}}
	err := x.server.node.Dispatcher.Chat(x.request.Context(), c, sink)
	if err == nil && !x.began {
		sink.begin()
	}
	if !x.began {
		return err
	}
	return x.finish(err)
}

// finish ends a stream that was begun.
func (x *exchange) finish(err error) error {
	outcome := quetzalroad.OutcomeCompleted
	var failed error
	if err != nil {
		refusal := quetzalroad.AsRefusal(err)
		outcome = refusal.Outcome
		failed = x.event(eventError, x.refusalBody(refusal))
	} else {
		failed = x.event(sse.EventType{}, []byte(doneData))
	}
	if failed == nil {
		failed = x.event(eventOutcome, []byte(`{"request-id":`+strconv.Quote(string(x.id))+`,"outcome":`+strconv.Quote(string(outcome))+`}`))
	}
	x.response.Header().Set(fieldOutcome, string(outcome))
	if err == nil {
		return x.sent(failed)
	}
	return err
}

// event sends one event and flushes it.
func (x *exchange) event(kind sse.EventType, data []byte) error {
	m := sse.Message{Type: kind}
	m.AppendData(string(data))
	text, err := m.MarshalText()
	if err != nil {
		return err
	}
	if err := x.write(text); err != nil {
		return err
	}
	return x.control.Flush()
}

// streamSink hands on the steps of a stream. The status and the header go out
// with the first step, so that a refusal before it has its own status.
type streamSink struct {
	exchange *exchange
	rewriter chatmapper.ChunkRewriter
}

func (s *streamSink) begin() {
	h := s.exchange.response.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-cache")
	h.Set("Trailer", fieldOutcome)
	s.exchange.response.WriteHeader(http.StatusOK)
	s.exchange.began = true
}

// Write implements quetzalroad.ChatSink.
func (s *streamSink) Write(e quetzalroad.ChatEvent) error {
	data, err := s.rewriter.Rewrite(e)
	if err != nil || data == nil {
		return err
	}
	if !s.exchange.began {
		s.begin()
	}
	return s.exchange.event(sse.EventType{}, data)
}

func (s *Server) models(x *exchange) error {
	var models []chatmapper.Model
	for _, service := range s.node.Directory.Services() {
		for _, m := range service.Models {
			models = append(models, chatmapper.Model{Name: m, Owner: service.Name, CreatedAt: time.Unix(0, 0)})
		}
	}
	data, err := chatmapper.EncodeModels(models)
	if err != nil {
		return err
	}
	h := x.response.Header()
	h.Set("Content-Type", "application/json")
	h.Set(fieldOutcome, string(quetzalroad.OutcomeCompleted))
	x.began = true
	return x.sent(x.write(data))
}
