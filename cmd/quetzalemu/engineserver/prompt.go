package engineserver

import (
	"encoding/json"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/quetzalroad/quetzalroad/codecs/chatmapper"
	"github.com/quetzalroad/quetzalroad/proofs/faker"
)

// Answer gives the words of the whole answer to the messages of a call, for
// checks.
func Answer(body []byte) (string, error) {
	c, err := decodeCall(body)
	if err != nil {
		return "", err
	}
	var text strings.Builder
	for i := range c.total {
		text.WriteString(c.prompt.Word(i, c.total).Text)
	}
	return text.String(), nil
}

// call is a chat call as the engine takes it.
type call struct {
	model        string
	prompt       faker.Prompt
	next         int
	total        int
	stream       bool
	includeUsage bool
}

type callJSON struct {
	Messages []struct {
		Role    string          `json:"role"`
		Content json.RawMessage `json:"content"`
	} `json:"messages"`
	Continue bool `json:"continue_final_message"`
}

func decodeCall(body []byte) (call, error) {
	known, err := chatmapper.DecodeRequest(body)
	if err != nil {
		return call{}, err
	}
	var j callJSON
	if err := json.Unmarshal(body, &j); err != nil {
		return call{}, err
	}
	c := call{model: string(known.Model), stream: known.Stream, includeUsage: known.IncludeUsage}
	if j.Continue {
		last := j.Messages[len(j.Messages)-1]
		j.Messages = j.Messages[:len(j.Messages)-1]
		var text string
		if json.Unmarshal(last.Content, &text) != nil || last.Role != "assistant" {
			return call{}, errors.New("the message to continue must be the assistant's text")
		}
		c.next = len(strings.Fields(text))
	}
	sum := xxhash.New()
	for _, m := range j.Messages {
		// Writing to a digest can't fail.
		_, _ = sum.WriteString(m.Role)
		_, _ = sum.Write(m.Content)
	}
	c.prompt = faker.Prompt{Seed: sum.Sum64(), Prefix: known.PrefixHash, Tokens: known.PromptTokens}
	c.total = c.prompt.Length()
	if known.MaxTokens > 0 {
		c.total = min(c.total, c.next+known.MaxTokens)
	}
	if c.next >= c.total {
		c.total = c.next + 1
	}
	return c, nil
}
