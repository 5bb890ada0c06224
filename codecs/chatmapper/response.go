package chatmapper

import (
	"encoding/json"
	"sort"
	"strings"

	"github.com/tidwall/gjson"
	"github.com/tidwall/sjson"

	"github.com/quetzalroad/quetzalroad"
)

type chunkJSON struct {
	ID                string            `json:"id"`
	Object            string            `json:"object"`
	Created           int64             `json:"created"`
	Model             string            `json:"model"`
	SystemFingerprint string            `json:"system_fingerprint,omitempty"`
	Choices           []chunkChoiceJSON `json:"choices"`
	Usage             *usageJSON        `json:"usage,omitempty"`
}

type chunkChoiceJSON struct {
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

// setCompletionTokens corrects the usage of a resumed attempt to that of the whole
// response. The engine counted the text before the resumption as prompt.
func (u *usageJSON) setCompletionTokens(completionTokens int) {
	u.PromptTokens -= max(0, completionTokens-u.CompletionTokens)
	u.CompletionTokens = max(completionTokens, u.CompletionTokens)
	u.TotalTokens = u.PromptTokens + u.CompletionTokens
}

// isNestedDeeperThan reports whether objects and arrays of a JSON text are nested deeper than a limit.
func isNestedDeeperThan(data []byte, limit int) bool {
	depth, inString := 0, false
	for i := 0; i < len(data); i++ {
		switch c := data[i]; {
		case inString && c == '\\':
			i++
		case c == '"':
			inString = !inString
		case inString:
		case c == '{' || c == '[':
			depth++
		case c == '}' || c == ']':
			depth--
		}
		if depth > limit {
			return true
		}
	}
	return false
}

// ChunkRewriter adapts chunks for a caller: it sets the response id, removes the
// usage unless the caller requested it, and adds the tokens generated before a
// resumption to it.
type ChunkRewriter struct {
	// ID is the response id.
	ID string
	// IncludeUsage keeps the usage.
	IncludeUsage bool
	// created is the time in the first chunk, which all chunks repeat.
	created int64
	// roleSent reports whether a chunk with the role was returned.
	roleSent bool
}

// Rewrite returns the chunk for the caller, or nil if there is nothing to send.
// The event's CompletionTokens count the whole response.
func (r *ChunkRewriter) Rewrite(e quetzalroad.ChatEvent) ([]byte, error) {
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
	if r.roleSent && hasOnlyRole(choices) {
		return nil, nil
	}
	r.roleSent = true
	return data, nil
}

// rewriteUsage removes the usage, or corrects it to that of the whole response.
func (r *ChunkRewriter) rewriteUsage(data []byte, rawUsage string, completionTokens int) ([]byte, error) {
	if !r.IncludeUsage {
		return sjson.DeleteBytes(data, "usage")
	}
	var u *usageJSON
	if err := json.Unmarshal([]byte(rawUsage), &u); err != nil || u == nil {
		return data, err
	}
	u.setCompletionTokens(completionTokens)
	return sjson.SetBytes(data, "usage", u)
}

// hasOnlyRole reports whether a chunk only announces the role, as the first
// chunk of each engine does.
func hasOnlyRole(choices []gjson.Result) bool {
	if len(choices) != 1 || choices[0].Get("finish_reason").String() != "" {
		return false
	}
	delta := choices[0].Get("delta")
	text := delta.Get("content").String() + delta.Get("refusal").String()
	return delta.Get("role").Exists() && text == "" && !delta.Get("tool_calls").Exists()
}

type completionJSON struct {
	ID                string                 `json:"id"`
	Object            string                 `json:"object"`
	Created           int64                  `json:"created"`
	Model             string                 `json:"model"`
	SystemFingerprint string                 `json:"system_fingerprint,omitempty"`
	Choices           []completionChoiceJSON `json:"choices"`
	Usage             *usageJSON             `json:"usage,omitempty"`
}

type completionChoiceJSON struct {
	Index        int                   `json:"index"`
	Message      completionMessageJSON `json:"message"`
	Logprobs     json.RawMessage       `json:"logprobs"`
	FinishReason string                `json:"finish_reason"`
}

type completionMessageJSON struct {
	Role      string         `json:"role"`
	Content   string         `json:"content"`
	Refusal   *string        `json:"refusal"`
	ToolCalls []toolCallJSON `json:"tool_calls,omitempty"`
}

// Aggregator combines the chunks of a response into one completion. The zero
// value is ready for use.
type Aggregator struct {
	firstChunk chunkJSON
	// usage is that of the last chunk that has any.
	usage *usageJSON
	// choices are keyed by choice index.
	choices map[int]*choiceAggregate
}

type choiceAggregate struct {
	content      strings.Builder
	refusal      strings.Builder
	toolCalls    map[int]*toolCallJSON
	finishReason string
	// logprobs are those of the last chunk that has any.
	logprobs json.RawMessage
}

// Add adds a chunk.
func (a *Aggregator) Add(e quetzalroad.ChatEvent) error {
	var chunk chunkJSON
	if err := json.Unmarshal(e.Chunk, &chunk); err != nil {
		return err
	}
	if a.firstChunk.Created == 0 {
		a.firstChunk = chunk
	}
	if chunk.Usage != nil {
		a.usage = chunk.Usage
		a.usage.setCompletionTokens(e.CompletionTokens)
	}
	for _, c := range chunk.Choices {
		if err := a.addChoice(c); err != nil {
			return err
		}
	}
	return nil
}

func (a *Aggregator) addChoice(c chunkChoiceJSON) error {
	var delta deltaJSON
	if len(c.Delta) > 0 {
		if err := json.Unmarshal(c.Delta, &delta); err != nil {
			return err
		}
	}
	if a.choices == nil {
		a.choices = make(map[int]*choiceAggregate)
	}
	choice := a.choices[c.Index]
	if choice == nil {
		choice = &choiceAggregate{toolCalls: make(map[int]*toolCallJSON)}
		a.choices[c.Index] = choice
	}
	choice.content.WriteString(delta.Content)
	choice.refusal.WriteString(delta.Refusal)
	choice.addToolCalls(delta.ToolCalls)
	if c.FinishReason != nil {
		choice.finishReason = *c.FinishReason
	}
	if len(c.Logprobs) > 0 {
		choice.logprobs = c.Logprobs
	}
	return nil
}

func (c *choiceAggregate) addToolCalls(calls []toolCallJSON) {
	for _, t := range calls {
		call := c.toolCalls[t.Index]
		if call == nil {
			first := t
			c.toolCalls[t.Index] = &first
			continue
		}
		call.Function.Name += t.Function.Name
		call.Function.Arguments += t.Function.Arguments
	}
}

// EncodeCompletion encodes the completion under an id.
func (a *Aggregator) EncodeCompletion(id string) ([]byte, error) {
	completion := completionJSON{
		ID: id, Object: "chat.completion", Created: a.firstChunk.Created, Model: a.firstChunk.Model,
		SystemFingerprint: a.firstChunk.SystemFingerprint, Choices: []completionChoiceJSON{}, Usage: a.usage,
	}
	for index, c := range a.choices {
		completion.Choices = append(completion.Choices, c.completionChoice(index))
	}
	sort.Slice(completion.Choices, func(i, k int) bool { return completion.Choices[i].Index < completion.Choices[k].Index })
	return json.Marshal(completion)
}

func (c *choiceAggregate) completionChoice(index int) completionChoiceJSON {
	choice := completionChoiceJSON{
		Index: index, FinishReason: c.finishReason, Logprobs: c.logprobs,
		Message: completionMessageJSON{Role: "assistant", Content: c.content.String()},
	}
	if c.refusal.Len() > 0 {
		text := c.refusal.String()
		choice.Message.Refusal = &text
	}
	for i := range len(c.toolCalls) {
		if t := c.toolCalls[i]; t != nil {
			choice.Message.ToolCalls = append(choice.Message.ToolCalls, *t)
		}
	}
	return choice
}
