package faker

import "fmt"

const (
	// minResponseTokens is the shortest length that follows from a prompt, and
	// longResponseRange the number of different lengths of long responses.
	minResponseTokens = 8
	longResponseRange = 400
	// One prompt in longResponseEvery has a long response.
	longResponseEvery = 12
	// usualResponseRange is the number of different lengths of other responses.
	usualResponseRange = 40
	// hashMultiplier mixes the bits of a seed (Fibonacci hashing).
	hashMultiplier = 0x9E3779B97F4A7C15
)

// Prompt determines a response. The response consists of numbered tokens that
// identify the prompt, so that a check can distinguish a whole response from a
// partial one and from the response to another prompt.
type Prompt struct {
	// Seed is a hash that identifies the messages or the request.
	Seed uint64
	// PrefixHash identifies the prefix of the messages.
	PrefixHash uint64
	// TokenCount is the length of the messages in tokens.
	TokenCount int
}

// Token is one token of a response.
type Token struct {
	Text string
	// Last reports that this is the last token of the response, and Truncated
	// that a token limit ends the response early.
	Last      bool
	Truncated bool
}

// ResponseToken returns the token at an index of the prompt's response, which has total tokens.
func (p Prompt) ResponseToken(index, total int) Token {
	return Token{Text: fmt.Sprintf("w%04x-%d ", p.Seed&0xffff, index), Last: index+1 >= total, Truncated: total < p.ResponseLength()}
}

// ResponseLength returns the number of tokens of the prompt's response unless a
// token limit ends it early.
func (p Prompt) ResponseLength() int {
	h := p.Seed * hashMultiplier >> 16
	if h%longResponseEvery == 0 {
		return minResponseTokens + int(h>>8%uint64(longResponseRange))
	}
	return minResponseTokens + int(h>>8%usualResponseRange)
}
