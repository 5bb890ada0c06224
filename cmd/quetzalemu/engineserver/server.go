// Package engineserver emulates a model engine with the chat API. It streams, schedules by
// priority, resumes a completion from its text, cancels when the caller disconnects, and reports
// its load with a lag.
//
// The completion of a prompt is a function of the prompt alone, so that a test can distinguish a
// complete response from a truncated one and from the response to another prompt.
package engineserver

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/google/uuid"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/cmd/quetzalemu/faultinjector"
	"github.com/quetzalroad/quetzalroad/codecs/loadmapper"
	"github.com/quetzalroad/quetzalroad/proofs/faker"
)

const (
	// maxBodyBytes limits the body of a request.
	maxBodyBytes = 16 << 20
	// keepAliveInterval is the interval between comment lines in a stream.
	keepAliveInterval = time.Second
	// lowestPriority applies to requests without a Priority header.
	lowestPriority = 100
	// defaultReportLag is the delay of load reports unless a fault sets another.
	defaultReportLag = 500 * time.Millisecond
	// restartDelay is how long an engine stays down after a crash.
	restartDelay = time.Second
)

// Engine is the emulated model engine. Its exported fields are set before it runs.
type Engine struct {
	// Injector injects faults.
	Injector faultinjector.Injector
	// Model generates the completions.
	Model faker.Engine
}

// Run executes the engine's decoding steps until the context ends.
func (e *Engine) Run(ctx context.Context) error {
	e.Model.AdjustStepTime = e.Injector.SlowDown
	e.Model.ShouldCrash = e.shouldCrash
	e.Injector.OnChange(func(faultinjector.Faults) { e.Model.ResetTokensSinceCrash() })
	return e.Model.Run(ctx)
}

// shouldCrash reports whether an injected fault makes the engine crash after a step, in which case
// all connections are reset.
func (e *Engine) shouldCrash(tokensSinceCrash int) bool {
	if e.Injector.IsDown() {
		return true
	}
	limit := e.Injector.Faults().CrashAfterTokens
	if limit == 0 || tokensSinceCrash < limit {
		return false
	}
	e.Injector.Crash(restartDelay)
	return true
}

// Handler returns the engine's HTTP handler.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.handleChat)
	mux.HandleFunc("GET /v1/load", e.handleLoad)
	mux.HandleFunc("GET /stats", e.handleStats)
	return mux
}

func (e *Engine) handleChat(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	request, err := decodeChatRequest(body)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		faultinjector.WriteJSON(w, errorJSON{Error: errorDetail{Message: err.Error(), Type: "invalid_request_error"}})
		return
	}
	priority, err := strconv.Atoi(r.Header.Get("Priority"))
	if err != nil {
		priority = lowestPriority
	}
	s := &faker.Sequence{Priority: priority, Prompt: request.prompt, NextToken: request.firstWord, TotalTokens: request.totalWords}
	response := &completion{engine: e, request: request, sequence: s, id: "chatcmpl-" + uuid.NewString(), created: time.Now().Unix(), writer: w, firstWord: request.firstWord}
	e.Model.Submit(s)
	if request.stream {
		response.writeStream(r)
		return
	}
	response.writeResponse(r)
}

type errorJSON struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
}

// completion is the response to a chat request in progress.
type completion struct {
	engine   *Engine
	request  chatRequest
	sequence *faker.Sequence
	id       string
	created  int64
	writer   http.ResponseWriter
	// firstWord is the index of the first word generated for this request.
	firstWord int
}

type chunkJSON struct {
	ID      string       `json:"id"`
	Object  string       `json:"object"`
	Created int64        `json:"created"`
	Model   string       `json:"model"`
	Choices []choiceJSON `json:"choices"`
	Usage   *usageJSON   `json:"usage,omitempty"`
}

type choiceJSON struct {
	Index        int          `json:"index"`
	Delta        *messageJSON `json:"delta,omitempty"`
	Message      *messageJSON `json:"message,omitempty"`
	FinishReason *string      `json:"finish_reason"`
}

type messageJSON struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type usageJSON struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

func finishReason(word faker.Token) *string {
	if !word.Last {
		return nil
	}
	reason := "stop"
	if word.Truncated {
		reason = "length"
	}
	return &reason
}

// writeStream streams the completion. A comment line every keepAliveInterval keeps the stream active
// while the request waits in the queue.
func (c *completion) writeStream(r *http.Request) {
	control := http.NewResponseController(c.writer)
	c.writer.Header().Set("Content-Type", "text/event-stream")
	c.writer.WriteHeader(http.StatusOK)
	keepAlive := time.NewTicker(keepAliveInterval)
	defer keepAlive.Stop()
	role := "assistant"
	for {
		select {
		case word := <-c.sequence.Tokens():
			data, err := json.Marshal(chunkJSON{
				ID: c.id, Object: "chat.completion.chunk", Created: c.created, Model: c.request.model,
				Choices: []choiceJSON{{Delta: &messageJSON{Role: role, Content: word.Text}, FinishReason: finishReason(word)}},
			})
			role = ""
			if err != nil || !c.writeEvent(control, "data: "+string(data)+"\n\n") {
				c.engine.Model.Cancel(c.sequence)
				return
			}
			if word.Last {
				c.endStream(control)
				return
			}
		case <-keepAlive.C:
			if !c.writeEvent(control, ": waiting\n\n") {
				c.engine.Model.Cancel(c.sequence)
				return
			}
		case <-r.Context().Done():
			c.engine.Model.Cancel(c.sequence)
			return
		}
	}
}

func (c *completion) writeEvent(control *http.ResponseController, text string) bool {
	if _, err := io.WriteString(c.writer, text); err != nil {
		return false
	}
	return control.Flush() == nil
}

func (c *completion) usage() *usageJSON {
	generated := c.request.totalWords - c.firstWord
	return &usageJSON{PromptTokens: c.request.prompt.TokenCount + c.firstWord, CompletionTokens: generated, TotalTokens: c.request.prompt.TokenCount + c.firstWord + generated}
}

func (c *completion) endStream(control *http.ResponseController) {
	if c.request.includeUsage {
		data, err := json.Marshal(chunkJSON{
			ID: c.id, Object: "chat.completion.chunk", Created: c.created, Model: c.request.model, Choices: []choiceJSON{}, Usage: c.usage(),
		})
		if err != nil || !c.writeEvent(control, "data: "+string(data)+"\n\n") {
			return
		}
	}
	c.writeEvent(control, "data: [DONE]\n\n")
}

func (c *completion) writeResponse(r *http.Request) {
	text := ""
	for {
		select {
		case word := <-c.sequence.Tokens():
			text += word.Text
			if word.Last {
				faultinjector.WriteJSON(c.writer, chunkJSON{
					ID: c.id, Object: "chat.completion", Created: c.created, Model: c.request.model,
					Choices: []choiceJSON{{Message: &messageJSON{Role: "assistant", Content: text}, FinishReason: finishReason(word)}}, Usage: c.usage(),
				})
				return
			}
		case <-r.Context().Done():
			c.engine.Model.Cancel(c.sequence)
			return
		}
	}
}

func (e *Engine) handleLoad(w http.ResponseWriter, _ *http.Request) {
	lag := e.Injector.Faults().ReportLag
	if lag == 0 {
		lag = defaultReportLag
	}
	lagged := e.Model.LaggedLoad(time.Now(), lag)
	data, err := loadmapper.Encode(quetzalroad.LoadReport{MeasuredAt: lagged.MeasuredAt, Running: lagged.Running, Waiting: lagged.Waiting})
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	// The client may have disconnected.
	_, _ = fmt.Fprintln(w, string(data))
}

type statsJSON struct {
	Runs            int `json:"runs"`
	Cancelled       int `json:"cancelled"`
	TokensGenerated int `json:"tokens-generated"`
	TokensWasted    int `json:"tokens-wasted"`
	Active          int `json:"active"`
}

func (e *Engine) handleStats(w http.ResponseWriter, _ *http.Request) {
	stats := e.Model.Stats()
	faultinjector.WriteJSON(w, statsJSON{
		Runs: stats.Requests, Cancelled: stats.Cancelled, TokensGenerated: stats.GeneratedTokens, TokensWasted: stats.WastedTokens, Active: stats.ActiveRequests,
	})
}
