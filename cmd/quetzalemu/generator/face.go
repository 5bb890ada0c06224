package generator

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/google/uuid"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/cmd/quetzalemu/faulter"
	"github.com/quetzalroad/quetzalroad/loadmapper"
)

const (
	// maxBodyBytes bounds a call.
	maxBodyBytes = 16 << 20
	// keepAliveEvery is how often a waiting caller gets a comment.
	keepAliveEvery = time.Second
	// lowestPriority is for calls that state none.
	lowestPriority = 100
)

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
		faulter.Answer(w, errorJSON{Error: errorDetail{Message: err.Error(), Type: "invalid_request_error"}})
		return
	}
	priority, err := strconv.Atoi(r.Header.Get("Priority"))
	if err != nil {
		priority = lowestPriority
	}
	s := &sequence{priority: priority, prompt: c.prompt, next: c.next, total: c.total}
	a := &answer{engine: e, call: c, sequence: s, id: "chatcmpl-" + uuid.NewString(), created: time.Now().Unix(), response: w, first: c.next}
	e.submit(s)
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
	sequence *sequence
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

func finish(w word) *string {
	if !w.last {
		return nil
	}
	reason := "stop"
	if w.cut {
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
		case word := <-a.sequence.words:
			data, err := json.Marshal(chunkJSON{
				ID: a.id, Object: "chat.completion.chunk", Created: a.created, Model: a.call.model,
				Choices: []choiceJSON{{Delta: &messageJSON{Role: role, Content: word.text}, FinishReason: finish(word)}},
			})
			role = ""
			if err != nil || !a.send(control, "data: "+string(data)+"\n\n") {
				a.engine.cancel(a.sequence)
				return
			}
			if word.last {
				a.end(control)
				return
			}
		case <-keepAlive.C:
			if !a.send(control, ": waiting\n\n") {
				a.engine.cancel(a.sequence)
				return
			}
		case <-r.Context().Done():
			a.engine.cancel(a.sequence)
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
	return &usageJSON{PromptTokens: a.call.prompt.tokens + a.first, CompletionTokens: made, TotalTokens: a.call.prompt.tokens + a.first + made}
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
		case word := <-a.sequence.words:
			text += word.text
			if word.last {
				faulter.Answer(a.response, chunkJSON{
					ID: a.id, Object: "chat.completion", Created: a.created, Model: a.call.model,
					Choices: []choiceJSON{{Message: &messageJSON{Role: "assistant", Content: text}, FinishReason: finish(word)}}, Usage: a.usage(),
				})
				return
			}
		case <-r.Context().Done():
			a.engine.cancel(a.sequence)
			return
		}
	}
}

func (e *Engine) load(w http.ResponseWriter, _ *http.Request) {
	late := e.late(time.Now())
	data, err := loadmapper.Encode(quetzalroad.LoadReport{Taken: late.at, Running: late.running, Waiting: late.waiting})
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
	e.mu.Lock()
	j := statsJSON{
		Runs: e.count.runs, Cancelled: e.count.cancelled, TokensGenerated: e.count.generated,
		TokensWasted: e.count.wasted, Active: len(e.running) + len(e.waiting),
	}
	e.mu.Unlock()
	faulter.Answer(w, j)
}
