package faker

import "fmt"

const (
	// shortest and longest bound an answer whose length the prompt decides.
	shortest = 8
	longest  = 400
	// tailEvery is the share of prompts, one in so many, with a long answer.
	tailEvery = 12
	// usualSpread is the spread of the usual lengths.
	usualSpread = 40
	// spread mixes the bits of a seed.
	spread = 0x9E3779B97F4A7C15
)

// Prompt is what an answer follows from. The answer is made of numbered words
// that name the prompt, so that a check can tell a whole answer from a part
// and from the answer to another prompt.
type Prompt struct {
	// Seed identifies the messages.
	Seed uint64
	// Prefix identifies their beginning.
	Prefix uint64
	// Tokens is the length of the messages.
	Tokens int
}

// Word is one token of an answer.
type Word struct {
	Text string
	// Last tells that the answer ends with it, by its bound where Cut is set.
	Last bool
	Cut  bool
}

// Word gives one token of the prompt's answer.
func (p Prompt) Word(number, total int) Word {
	return Word{Text: fmt.Sprintf("w%04x-%d ", p.Seed&0xffff, number), Last: number+1 >= total, Cut: total < p.Length()}
}

// Length is how long the prompt's answer is unless it is bounded. One prompt
// in some has a long answer.
func (p Prompt) Length() int {
	h := p.Seed * spread >> 16
	if h%tailEvery == 0 {
		return shortest + int(h>>8%uint64(longest))
	}
	return shortest + int(h>>8%usualSpread)
}
