// Package engineserver stands in for a model engine behind the chat API. It
// streams, honours priorities, resumes an answer from its text, cancels when
// the caller closes, and reports its load with a lag.
//
// The answer to a prompt follows from the prompt alone, so that a check can
// tell a whole answer from a part and from the answer to another prompt.
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
	// maxBodyBytes bounds a call.
	maxBodyBytes = 16 << 20
	// keepAliveInterval is how often a waiting caller gets a comment.
	keepAliveInterval = time.Second
	// lowestPriority is for calls that state none.
	lowestPriority = 100
	// defaultReportLag is how late load reports are without a fault.
	defaultReportLag = 500 * time.Millisecond
	// restartDelay is how long an engine that crashed stays away.
	restartDelay = time.Second
)

// Engine is the model engine. Its exported fields are set before it runs.
type Engine struct {
	// Injector brings faults about.
	Injector faultinjector.Injector
	// Model makes the answers.
	Model faker.Engine
}

// Run makes the engine's steps until the context ends.
func (e *Engine) Run(ctx context.Context) error {
	e.Model.Slowed = e.Injector.SlowDown
	e.Model.Crashes = e.shouldCrash
	e.Injector.OnChange(func(faultinjector.Faults) { e.Model.ForgetTokens() })
	return e.Model.Run(ctx)
}

// shouldCrash tells whether a fault makes the engine crash after a step.
func (e *Engine) shouldCrash(tokens int) bool {
	if e.Injector.IsDown() {
		return true
	}
	limit := e.Injector.Faults().CrashAfterTokens
	if limit == 0 || tokens < limit {
		return false
	}
	e.Injector.Crash(restartDelay)
	return true
}

// Handler gives the engine's HTTP face.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.handleChat)
	mux.HandleFunc("GET /v1/load", e.handleLoad)
	mux.HandleFunc("GET /stats", e.handleStats)
	return mux
}

func (e *Engine) handleChat(w http.ResponseWriter, r *http.Request) {
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
	s := &faker.Sequence{Priority: priority, Prompt: request.prompt, Next: request.firstWord, Total: request.totalWords}
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

// completion is one answer under way.
type completion struct {
	engine   *Engine
	request  chatRequest
	sequence *faker.Sequence
	id       string
	created  int64
	writer   http.ResponseWriter
	// firstWord is the number of the first word made here.
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

func finishReason(word faker.Word) *string {
	if !word.Last {
		return nil
	}
	reason := "stop"
	if word.Cut {
		reason = "length"
	}
	return &reason
}

// writeStream answers in steps, with a comment now and then while the request
// waits.
func (a *completion) writeStream(r *http.Request) {
	control := http.NewResponseController(a.writer)
	a.writer.Header().Set("Content-Type", "text/event-stream")
	a.writer.WriteHeader(http.StatusOK)
	keepAlive := time.NewTicker(keepAliveInterval)
	defer keepAlive.Stop()
	role := "assistant"
	for {
		select {
		case word := <-a.sequence.Words():
			data, err := json.Marshal(chunkJSON{
				ID: a.id, Object: "chat.completion.chunk", Created: a.created, Model: a.request.model,
				Choices: []choiceJSON{{Delta: &messageJSON{Role: role, Content: word.Text}, FinishReason: finishReason(word)}},
			})
			role = ""
			if err != nil || !a.writeEvent(control, "data: "+string(data)+"\n\n") {
				a.engine.Model.Cancel(a.sequence)
				return
			}
			if word.Last {
				a.endStream(control)
				return
			}
		case <-keepAlive.C:
			if !a.writeEvent(control, ": waiting\n\n") {
				a.engine.Model.Cancel(a.sequence)
				return
			}
		case <-r.Context().Done():
			a.engine.Model.Cancel(a.sequence)
			return
		}
	}
}

func (a *completion) writeEvent(control *http.ResponseController, text string) bool {
	if _, err := io.WriteString(a.writer, text); err != nil {
		return false
	}
	return control.Flush() == nil
}

func (a *completion) usage() *usageJSON {
	generated := a.request.totalWords - a.firstWord
	return &usageJSON{PromptTokens: a.request.prompt.Tokens + a.firstWord, CompletionTokens: generated, TotalTokens: a.request.prompt.Tokens + a.firstWord + generated}
}

func (a *completion) endStream(control *http.ResponseController) {
	if a.request.includeUsage {
		data, err := json.Marshal(chunkJSON{
			ID: a.id, Object: "chat.completion.chunk", Created: a.created, Model: a.request.model, Choices: []choiceJSON{}, Usage: a.usage(),
		})
		if err != nil || !a.writeEvent(control, "data: "+string(data)+"\n\n") {
			return
		}
	}
	a.writeEvent(control, "data: [DONE]\n\n")
}

func (a *completion) writeResponse(r *http.Request) {
	text := ""
	for {
		select {
		case word := <-a.sequence.Words():
			text += word.Text
			if word.Last {
				faultinjector.WriteJSON(a.writer, chunkJSON{
					ID: a.id, Object: "chat.completion", Created: a.created, Model: a.request.model,
					Choices: []choiceJSON{{Message: &messageJSON{Role: "assistant", Content: text}, FinishReason: finishReason(word)}}, Usage: a.usage(),
				})
				return
			}
		case <-r.Context().Done():
			a.engine.Model.Cancel(a.sequence)
			return
		}
	}
}

func (e *Engine) handleLoad(w http.ResponseWriter, _ *http.Request) {
	lag := e.Injector.Faults().ReportLag
	if lag == 0 {
		lag = defaultReportLag
	}
	lagged := e.Model.Late(time.Now(), lag)
	data, err := loadmapper.Encode(quetzalroad.LoadReport{MeasuredAt: lagged.At, Running: lagged.Running, Waiting: lagged.Waiting})
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	// A client that is gone doesn't miss the report.
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
	counts := e.Model.Counts()
	faultinjector.WriteJSON(w, statsJSON{
		Runs: counts.Runs, Cancelled: counts.Cancelled, TokensGenerated: counts.Generated, TokensWasted: counts.Wasted, Active: counts.Active,
	})
}
