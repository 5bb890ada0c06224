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
	// keepAliveEvery is how often a waiting caller gets a comment.
	keepAliveEvery = time.Second
	// lowestPriority is for calls that state none.
	lowestPriority = 100
	// usualLag is how late load reports are without a fault.
	usualLag = 500 * time.Millisecond
	// restartTime is how long an engine that crashed stays away.
	restartTime = time.Second
)

// Engine is the model engine. Its exported fields are set before it runs.
type Engine struct {
	// Host brings faults about.
	Host faultinjector.Host
	// Model makes the answers.
	Model faker.Engine
}

// Run makes the engine's steps until the context ends.
func (e *Engine) Run(ctx context.Context) error {
	e.Model.Slowed = e.Host.Slowed
	e.Model.Crashes = e.crashes
	e.Host.OnChange(func(faultinjector.Faults) { e.Model.ForgetTokens() })
	return e.Model.Run(ctx)
}

// crashes tells whether a fault makes the engine crash after a step.
func (e *Engine) crashes(tokens int) bool {
	if e.Host.Down() {
		return true
	}
	after := e.Host.Faults().CrashAfterTokens
	if after == 0 || tokens < after {
		return false
	}
	e.Host.Crash(restartTime)
	return true
}

// Handler gives the engine's HTTP face.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.chat)
	mux.HandleFunc("GET /v1/load", e.load)
	mux.HandleFunc("GET /stats", e.stats)
	return mux
}

func (e *Engine) chat(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	c, err := decodeCall(body)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		faultinjector.Answer(w, errorJSON{Error: errorDetail{Message: err.Error(), Type: "invalid_request_error"}})
		return
	}
	priority, err := strconv.Atoi(r.Header.Get("Priority"))
	if err != nil {
		priority = lowestPriority
	}
	s := &faker.Sequence{Priority: priority, Prompt: c.prompt, Next: c.next, Total: c.total}
	a := &answer{engine: e, call: c, sequence: s, id: "chatcmpl-" + uuid.NewString(), created: time.Now().Unix(), response: w, first: c.next}
	e.Model.Submit(s)
	if c.stream {
		a.stream(r)
		return
	}
	a.whole(r)
}

type errorJSON struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
}

// answer is one answer under way.
type answer struct {
	engine   *Engine
	call     call
	sequence *faker.Sequence
	id       string
	created  int64
	response http.ResponseWriter
	// first is the number of the first word made here.
	first int
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

func finish(w faker.Word) *string {
	if !w.Last {
		return nil
	}
	reason := "stop"
	if w.Cut {
		reason = "length"
	}
	return &reason
}

// stream answers in steps, with a comment now and then while the request
// waits.
func (a *answer) stream(r *http.Request) {
	control := http.NewResponseController(a.response)
	a.response.Header().Set("Content-Type", "text/event-stream")
	a.response.WriteHeader(http.StatusOK)
	keepAlive := time.NewTicker(keepAliveEvery)
	defer keepAlive.Stop()
	role := "assistant"
	for {
		select {
		case word := <-a.sequence.Words():
			data, err := json.Marshal(chunkJSON{
				ID: a.id, Object: "chat.completion.chunk", Created: a.created, Model: a.call.model,
				Choices: []choiceJSON{{Delta: &messageJSON{Role: role, Content: word.Text}, FinishReason: finish(word)}},
			})
			role = ""
			if err != nil || !a.send(control, "data: "+string(data)+"\n\n") {
				a.engine.Model.Cancel(a.sequence)
				return
			}
			if word.Last {
				a.end(control)
				return
			}
		case <-keepAlive.C:
			if !a.send(control, ": waiting\n\n") {
				a.engine.Model.Cancel(a.sequence)
				return
			}
		case <-r.Context().Done():
			a.engine.Model.Cancel(a.sequence)
			return
		}
	}
}

func (a *answer) send(control *http.ResponseController, text string) bool {
	if _, err := io.WriteString(a.response, text); err != nil {
		return false
	}
	return control.Flush() == nil
}

func (a *answer) usage() *usageJSON {
	made := a.call.total - a.first
	return &usageJSON{PromptTokens: a.call.prompt.Tokens + a.first, CompletionTokens: made, TotalTokens: a.call.prompt.Tokens + a.first + made}
}

func (a *answer) end(control *http.ResponseController) {
	if a.call.includeUsage {
		data, err := json.Marshal(chunkJSON{
			ID: a.id, Object: "chat.completion.chunk", Created: a.created, Model: a.call.model, Choices: []choiceJSON{}, Usage: a.usage(),
		})
		if err != nil || !a.send(control, "data: "+string(data)+"\n\n") {
			return
		}
	}
	a.send(control, "data: [DONE]\n\n")
}

func (a *answer) whole(r *http.Request) {
	text := ""
	for {
		select {
		case word := <-a.sequence.Words():
			text += word.Text
			if word.Last {
				faultinjector.Answer(a.response, chunkJSON{
					ID: a.id, Object: "chat.completion", Created: a.created, Model: a.call.model,
					Choices: []choiceJSON{{Message: &messageJSON{Role: "assistant", Content: text}, FinishReason: finish(word)}}, Usage: a.usage(),
				})
				return
			}
		case <-r.Context().Done():
			a.engine.Model.Cancel(a.sequence)
			return
		}
	}
}

func (e *Engine) load(w http.ResponseWriter, _ *http.Request) {
	lag := e.Host.Faults().ReportLag
	if lag == 0 {
		lag = usualLag
	}
	late := e.Model.Late(time.Now(), lag)
	data, err := loadmapper.Encode(quetzalroad.LoadReport{MeasuredAt: late.At, Running: late.Running, Waiting: late.Waiting})
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

func (e *Engine) stats(w http.ResponseWriter, _ *http.Request) {
	c := e.Model.Counts()
	faultinjector.Answer(w, statsJSON{
		Runs: c.Runs, Cancelled: c.Cancelled, TokensGenerated: c.Generated, TokensWasted: c.Wasted, Active: c.Active,
	})
}
