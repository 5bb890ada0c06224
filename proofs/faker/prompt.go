package faker

import "fmt"

const (
	// minResponseTokens and longest bound an answer whose length the prompt decides.
	minResponseTokens = 8
	longResponseRange = 400
	// longResponseEvery is the share of prompts, one in so many, with a long answer.
	longResponseEvery = 12
	// usualResponseRange is the spread of the usual lengths.
	usualResponseRange = 40
	// hashMultiplier mixes the bits of a seed.
	hashMultiplier = 0x9E3779B97F4A7C15
)

// Prompt is what an answer follows from. The answer is made of numbered words
// that name the prompt, so that a check can tell a whole answer from a part
// and from the answer to another prompt.
type Prompt struct {
	// Seed identifies the messages.
	Seed uint64
	// PrefixHash identifies their beginning.
	PrefixHash uint64
	// TokenCount is the length of the messages.
	TokenCount int
}

// Token is one token of an answer.
type Token struct {
	Text string
	// Last tells that the answer ends with it, by its bound where Cut is set.
	Last      bool
	Truncated bool
}

// ResponseToken gives one token of the prompt's answer.
func (p Prompt) ResponseToken(index, total int) Token {
	return Token{Text: fmt.Sprintf("w%04x-%d ", p.Seed&0xffff, index), Last: index+1 >= total, Truncated: total < p.ResponseLength()}
}

// ResponseLength is how long the prompt's answer is unless it is bounded. One prompt
// in some has a long answer.
func (p Prompt) ResponseLength() int {
	h := p.Seed * hashMultiplier >> 16
	if h%longResponseEvery == 0 {
		return minResponseTokens + int(h>>8%uint64(longResponseRange))
	}
	return minResponseTokens + int(h>>8%usualResponseRange)
}
