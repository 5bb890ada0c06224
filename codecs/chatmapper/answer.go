package chatmapper

import (
	"encoding/json"
	"sort"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/tidwall/gjson"
	"github.com/tidwall/sjson"

	"github.com/quetzalroad/quetzalroad"
)

type chunkJSON struct {
	ID                string       `json:"id"`
	Object            string       `json:"object"`
	Created           int64        `json:"created"`
	Model             string       `json:"model"`
	SystemFingerprint string       `json:"system_fingerprint,omitempty"`
	Choices           []choiceJSON `json:"choices"`
	Usage             *usageJSON   `json:"usage,omitempty"`
}

type choiceJSON struct {
	Index        int             `json:"index"`
	Delta        json.RawMessage `json:"delta"`
	Logprobs     json.RawMessage `json:"logprobs,omitempty"`
	FinishReason *string         `json:"finish_reason"`
}

type deltaJSON struct {
	Role      string         `json:"role,omitempty"`
	Content   string         `json:"content,omitempty"`
	Refusal   string         `json:"refusal,omitempty"`
	ToolCalls []toolCallJSON `json:"tool_calls,omitempty"`
}

type toolCallJSON struct {
	Index    int          `json:"index"`
	ID       string       `json:"id,omitempty"`
	Type     string       `json:"type,omitempty"`
	Function functionJSON `json:"function"`
}

type functionJSON struct {
	Name      string `json:"name,omitempty"`
	Arguments string `json:"arguments"`
}

type usageJSON struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// whole makes the usage of a resumed run that of the whole answer, of which
// the run saw the beginning as prompt.
func (u *usageJSON) whole(tokens int) {
	u.PromptTokens -= max(0, tokens-u.CompletionTokens)
	u.CompletionTokens = max(tokens, u.CompletionTokens)
	u.TotalTokens = u.PromptTokens + u.CompletionTokens
}

// DecodeChunk reads one step of an engine's streamed answer. It looks only at
// the few fields that matter, as it runs for every token.
func DecodeChunk(data []byte) (quetzalroad.ChatEvent, error) {
	if !gjson.ValidBytes(data) {
		return quetzalroad.ChatEvent{}, errors.New("malformed chunk")
	}
	root := gjson.ParseBytes(data)
	if !root.IsObject() {
		return quetzalroad.ChatEvent{}, errors.New("malformed chunk")
	}
	if problem := root.Get("error"); problem.Exists() && problem.Type != gjson.Null {
		return quetzalroad.ChatEvent{}, errors.Newf("the engine reports an error: %s", problem.Raw)
	}
	e := quetzalroad.ChatEvent{Chunk: data, CompletionTokens: int(root.Get("usage.completion_tokens").Int())}
	for _, choice := range root.Get("choices").Array() {
		delta := choice.Get("delta")
		text := delta.Get("content").String()
		e.Text += text
		e.FinishReason += choice.Get("finish_reason").String()
		if text != "" || delta.Get("refusal").String() != "" || len(delta.Get("tool_calls").Array()) > 0 {
			e.Tokens++
		}
	}
	return e, nil
}

// Rewriter adapts steps for a caller: it gives them the request's id, leaves
// out the usage unless it was asked for, and counts what was generated before
// a resumption in it.
type Rewriter struct {
	// ID is the answer's id.
	ID string
	// IncludeUsage keeps the usage.
	IncludeUsage bool
	// created is the time in the first step, which all steps show.
	created int64
	// started tells that a step with the role was handed on.
	started bool
}

// Rewrite gives the step for the caller; nil where there is nothing to hand
// on. The event's UsageTokens hold the tokens of the whole answer.
func (r *Rewriter) Rewrite(e quetzalroad.ChatEvent) ([]byte, error) {
	root := gjson.ParseBytes(e.Chunk)
	if r.created == 0 {
		r.created = root.Get("created").Int()
	}
	data, err := sjson.SetBytes(e.Chunk, "id", r.ID)
	if err != nil {
		return nil, err
	}
	if root.Get("created").Int() != r.created {
		if data, err = sjson.SetBytes(data, "created", r.created); err != nil {
			return nil, err
		}
	}
	choices := root.Get("choices").Array()
	if usage := root.Get("usage"); usage.Exists() {
		if !r.IncludeUsage && len(choices) == 0 {
			return nil, nil
		}
		if data, err = r.rewriteUsage(data, usage.Raw, e.CompletionTokens); err != nil {
			return nil, err
		}
	}
	if r.started && onlyRole(choices) {
		return nil, nil
	}
	r.started = true
	return data, nil
}

// rewriteUsage leaves the usage out, or makes it that of the whole answer.
func (r *Rewriter) rewriteUsage(data []byte, raw string, tokens int) ([]byte, error) {
	if !r.IncludeUsage {
		return sjson.DeleteBytes(data, "usage")
	}
	var u *usageJSON
	if err := json.Unmarshal([]byte(raw), &u); err != nil || u == nil {
		return data, err
	}
	u.whole(tokens)
	return sjson.SetBytes(data, "usage", u)
}

// onlyRole tells a step that says no more than whose words follow, as each
// engine begins with.
func onlyRole(choices []gjson.Result) bool {
	if len(choices) != 1 || choices[0].Get("finish_reason").String() != "" {
		return false
	}
	delta := choices[0].Get("delta")
	says := delta.Get("content").String() + delta.Get("refusal").String()
	return delta.Get("role").Exists() && says == "" && !delta.Get("tool_calls").Exists()
}

type completionJSON struct {
	ID                string            `json:"id"`
	Object            string            `json:"object"`
	Created           int64             `json:"created"`
	Model             string            `json:"model"`
	SystemFingerprint string            `json:"system_fingerprint,omitempty"`
	Choices           []wholeChoiceJSON `json:"choices"`
	Usage             *usageJSON        `json:"usage,omitempty"`
}

type wholeChoiceJSON struct {
	Index        int              `json:"index"`
	Message      wholeMessageJSON `json:"message"`
	Logprobs     json.RawMessage  `json:"logprobs"`
	FinishReason string           `json:"finish_reason"`
}

type wholeMessageJSON struct {
	Role      string         `json:"role"`
	Content   string         `json:"content"`
	Refusal   *string        `json:"refusal"`
	ToolCalls []toolCallJSON `json:"tool_calls,omitempty"`
}

// Aggregator joins the steps of an answer to a whole one. The zero value is
// ready for use.
type Aggregator struct {
	head chunkJSON
	// usage is set by the last step.
	usage *usageJSON
	// choices are the answers by index.
	choices map[int]*wholeChoice
}

type wholeChoice struct {
	content strings.Builder
	refusal strings.Builder
	tools   map[int]*toolCallJSON
	finish  string
	// logprobs are kept as the last step had them.
	logprobs json.RawMessage
}

// Add takes a step.
func (a *Aggregator) Add(e quetzalroad.ChatEvent) error {
	var j chunkJSON
	if err := json.Unmarshal(e.Chunk, &j); err != nil {
		return err
	}
	if a.head.Created == 0 {
		a.head = j
	}
	if j.Usage != nil {
		a.usage = j.Usage
		a.usage.whole(e.CompletionTokens)
	}
	for _, c := range j.Choices {
		if err := a.addChoice(c); err != nil {
			return err
		}
	}
	return nil
}

func (a *Aggregator) addChoice(c choiceJSON) error {
	var d deltaJSON
	if len(c.Delta) > 0 {
		if err := json.Unmarshal(c.Delta, &d); err != nil {
			return err
		}
	}
	if a.choices == nil {
		a.choices = make(map[int]*wholeChoice)
	}
	whole := a.choices[c.Index]
	if whole == nil {
		whole = &wholeChoice{tools: make(map[int]*toolCallJSON)}
		a.choices[c.Index] = whole
	}
	whole.content.WriteString(d.Content)
	whole.refusal.WriteString(d.Refusal)
	whole.addTools(d.ToolCalls)
	if c.FinishReason != nil {
		whole.finish = *c.FinishReason
	}
	if len(c.Logprobs) > 0 {
		whole.logprobs = c.Logprobs
	}
	return nil
}

func (w *wholeChoice) addTools(calls []toolCallJSON) {
	for _, t := range calls {
		have := w.tools[t.Index]
		if have == nil {
			fresh := t
			w.tools[t.Index] = &fresh
			continue
		}
		have.Function.Name += t.Function.Name
		have.Function.Arguments += t.Function.Arguments
	}
}

// Whole gives the answer under an id.
func (a *Aggregator) Whole(id string) ([]byte, error) {
	j := completionJSON{
		ID: id, Object: "chat.completion", Created: a.head.Created, Model: a.head.Model,
		SystemFingerprint: a.head.SystemFingerprint, Choices: []wholeChoiceJSON{}, Usage: a.usage,
	}
	for index, c := range a.choices {
		j.Choices = append(j.Choices, c.whole(index))
	}
	sort.Slice(j.Choices, func(i, k int) bool { return j.Choices[i].Index < j.Choices[k].Index })
	return json.Marshal(j)
}

func (w *wholeChoice) whole(index int) wholeChoiceJSON {
	j := wholeChoiceJSON{
		Index: index, FinishReason: w.finish, Logprobs: w.logprobs,
		Message: wholeMessageJSON{Role: "assistant", Content: w.content.String()},
	}
	if w.refusal.Len() > 0 {
		text := w.refusal.String()
		j.Message.Refusal = &text
	}
	for i := range len(w.tools) {
		if t := w.tools[i]; t != nil {
			j.Message.ToolCalls = append(j.Message.ToolCalls, *t)
		}
	}
	return j
}
