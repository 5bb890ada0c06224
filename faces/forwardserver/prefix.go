package forwardserver

import (
	"github.com/cespare/xxhash/v2"

	"github.com/quetzalroad/quetzalroad"
)

// sharedPrefix gives a hash and the tokens of the parts of a prompt that other
// requests may share: all but the last. Both are zero where there are none.
func sharedPrefix(segments []quetzalroad.PromptSegment) (hash uint64, tokens int) {
	if len(segments) < 2 {
		return 0, 0
	}
	var digest xxhash.Digest
	digest.Reset()
	for _, segment := range segments[:len(segments)-1] {
		// A hash takes all that is written to it.
		_, _ = digest.WriteString(segment.ID)
		_, _ = digest.WriteString("/")
		tokens += segment.Tokens
	}
	return max(1, digest.Sum64()), tokens
}
