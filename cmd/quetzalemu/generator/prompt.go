package generator

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/quetzalroad/quetzalroad/chatmapper"
)

const (
	// shortest and longest bound an answer whose length the prompt decides.
	shortest = 8
	longest  = 400
	// tailEvery is the share of prompts, one in so many, with a long answer.
	tailEvery = 12
	// usualSpread is the spread of the usual lengths.
	usualSpread = 40
)

// prompt is what an answer follows from.
type prompt struct {
	// seed identifies the messages, without a continued answer.
	seed   uint64
	prefix uint64
	tokens int
}

// word gives one token of the prompt's answer.
func (p prompt) word(number, total int) word {
	return word{text: fmt.Sprintf("w%04x-%d ", p.seed&0xffff, number), last: number+1 >= total, cut: total < p.length()}
}

// length is how long the prompt's answer is unless it is bounded. One prompt
// in some has a long answer.
func (p prompt) length() int {
	h := p.seed * 0x9E3779B97F4A7C15 >> 16
	if h%tailEvery == 0 {
		return shortest + int(h>>8%uint64(longest))
	}
	return shortest + int(h>>8%usualSpread)
}

// Answer gives the words of the whole answer to the messages of a call, for
// checks.
func Answer(body []byte) (string, error) {
	c, err := decodeCall(body)
	if err != nil {
		return "", err
	}
	var text strings.Builder
	for i := range c.total {
		text.WriteString(c.prompt.word(i, c.total).text)
	}
	return text.String(), nil
}

// call is a chat call as the engine takes it.
type call struct {
	model        string
	prompt       prompt
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
	known, err := chatmapper.DecodeCall(body)
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
	c.prompt = prompt{seed: sum.Sum64(), prefix: known.PrefixHash, tokens: known.PromptTokens}
	c.total = c.prompt.length()
	if known.MaxTokens > 0 {
		c.total = min(c.total, c.next+known.MaxTokens)
	}
	if c.next >= c.total {
		c.total = c.next + 1
	}
	return c, nil
}
