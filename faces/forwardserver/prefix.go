package forwardserver

import (
	"github.com/cespare/xxhash/v2"

	"github.com/quetzalroad/quetzalroad"
)

// shared gives a hash and the tokens of the parts of a prompt that other
// requests may share: all but the last. Both are zero where there are none.
func shared(parts []quetzalroad.PromptSegment) (hash uint64, tokens int) {
	if len(parts) < 2 {
		return 0, 0
	}
	var sum xxhash.Digest
	sum.Reset()
	for _, p := range parts[:len(parts)-1] {
		// A hash takes all that is written to it.
		_, _ = sum.WriteString(p.ID)
		_, _ = sum.WriteString("/")
		tokens += p.Tokens
	}
	return max(1, sum.Sum64()), tokens
}
