// Package chatmapper maps requests and responses of the chat API to and from the
// domain types. Fields that the router does not use are passed through unchanged.
package chatmapper

import (
	"encoding/json"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/quetzalroad/quetzalroad"
)

const (
	// bytesPerToken is the typical length of a token in a prompt.
	bytesPerToken = 4
	// prefixBytes is the length of the prompt prefix that is hashed for prefix cache affinity.
	prefixBytes = 256
)

// Request holds the fields of a chat request that the router uses.
type Request struct {
	Model quetzalroad.ModelName
	// Stream is set if the caller requests a streamed response.
	Stream bool
	// IncludeUsage is set if the caller requests a last chunk with the usage.
	IncludeUsage bool
	// MaxTokens is the caller's limit; zero means none.
	MaxTokens int
	// PromptTokens is an estimate.
	PromptTokens int
	PrefixHash   uint64
	// Resumable is set if a response can be resumed from its text alone.
	Resumable bool
}

// callJSON and streamJSON keep their names, as encoding/json states them in errors that are sent to callers.
type callJSON struct {
	Model               string          `json:"model"`
	Messages            []messageJSON   `json:"messages"`
	Stream              bool            `json:"stream"`
	StreamOptions       *streamJSON     `json:"stream_options"`
	MaxTokens           int             `json:"max_tokens"`
	MaxCompletionTokens int             `json:"max_completion_tokens"`
	N                   int             `json:"n"`
	Tools               json.RawMessage `json:"tools"`
	Functions           json.RawMessage `json:"functions"`
	Logprobs            bool            `json:"logprobs"`
}

type streamJSON struct {
	IncludeUsage bool `json:"include_usage"`
}

type messageJSON struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// DecodeRequest decodes a chat request.
func DecodeRequest(body []byte) (Request, error) {
	var j callJSON
	if err := json.Unmarshal(body, &j); err != nil {
		return Request{}, errors.Wrap(err, "the body is not a chat call")
	}
	if j.Model == "" {
		return Request{}, errors.New("model is missing")
	}
	if len(j.Messages) == 0 {
		return Request{}, errors.New("messages are missing")
	}
	if j.MaxTokens < 0 || j.MaxCompletionTokens < 0 || j.N < 0 {
		return Request{}, errors.New("max_tokens, max_completion_tokens and n can't be negative")
	}
	r := Request{
		Model: quetzalroad.ModelName(j.Model), Stream: j.Stream,
		IncludeUsage: j.StreamOptions != nil && j.StreamOptions.IncludeUsage,
		MaxTokens:    max(j.MaxTokens, j.MaxCompletionTokens),
		Resumable:    j.N <= 1 && len(j.Tools) == 0 && len(j.Functions) == 0 && !j.Logprobs,
	}
	prefixHash := xxhash.New()
	contentBytes := 0
	for _, m := range j.Messages {
		if contentBytes < prefixBytes {
			prefix := m.Content[:min(len(m.Content), prefixBytes-contentBytes)]
			// Writing to a digest can't fail.
			_, _ = prefixHash.WriteString(m.Role)
			_, _ = prefixHash.Write(prefix)
		}
		contentBytes += len(m.Content)
	}
	r.PromptTokens = contentBytes / bytesPerToken
	r.PrefixHash = prefixHash.Sum64()
	return r, nil
}

// EncodeUpstreamRequest encodes the request for an engine: streamed and with usage. To resume a response, it adds
// the text so far as the last assistant message and subtracts the text's tokens from the limit.
func EncodeUpstreamRequest(body []byte, maxTokens int, resume *quetzalroad.ResumePoint) ([]byte, error) {
	fields := make(map[string]json.RawMessage)
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, err
	}
	fields["stream"] = json.RawMessage("true")
	fields["stream_options"] = json.RawMessage(`{"include_usage":true}`)
	if resume != nil {
		if maxTokens > 0 {
			maxTokens = max(1, maxTokens-resume.Tokens)
		}
		if err := addContinuation(fields, resume.Text); err != nil {
			return nil, err
		}
	}
	if err := setMaxTokens(fields, maxTokens); err != nil {
		return nil, err
	}
	return json.Marshal(fields)
}

// setMaxTokens sets the limit, if there is one, in the field that the caller used.
func setMaxTokens(fields map[string]json.RawMessage, maxTokens int) error {
	if maxTokens <= 0 {
		return nil
	}
	name := "max_tokens"
	if _, ok := fields["max_completion_tokens"]; ok {
		name = "max_completion_tokens"
	}
	data, err := json.Marshal(maxTokens)
	fields[name] = data
	return err
}

func addContinuation(fields map[string]json.RawMessage, text string) error {
	var messages []json.RawMessage
	if err := json.Unmarshal(fields["messages"], &messages); err != nil {
		return err
	}
	content, err := json.Marshal(text)
	if err != nil {
		return err
	}
	last, err := json.Marshal(messageJSON{Role: "assistant", Content: content})
	if err != nil {
		return err
	}
	fields["messages"], err = json.Marshal(append(messages, last))
	fields["continue_final_message"] = json.RawMessage("true")
	fields["add_generation_prompt"] = json.RawMessage("false")
	return err
}

// Model is one entry of the model list.
type Model struct {
	Name      quetzalroad.ModelName
	Owner     quetzalroad.ServiceName
	CreatedAt time.Time
}

type modelsJSON struct {
	Object string      `json:"object"`
	Data   []modelJSON `json:"data"`
}

type modelJSON struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

// EncodeModels encodes the model list.
func EncodeModels(models []Model) ([]byte, error) {
	list := modelsJSON{Object: "list", Data: []modelJSON{}}
	for _, m := range models {
		list.Data = append(list.Data, modelJSON{ID: string(m.Name), Object: "model", Created: m.CreatedAt.Unix(), OwnedBy: string(m.Owner)})
	}
	return json.Marshal(list)
}
