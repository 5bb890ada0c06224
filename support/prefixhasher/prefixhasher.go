// Package prefixhasher identifies the beginning that prompts have in common.
package prefixhasher

import (
	"github.com/cespare/xxhash/v2"

	"github.com/quetzalroad/quetzalroad"
)

// Shared returns the hash and token count of the prompt segments that other
// requests may share: all but the last. Both are zero if there are none.
func Shared(segments []quetzalroad.PromptSegment) (hash uint64, tokens int) {
	if len(segments) < 2 {
		return 0, 0
	}
	var digest xxhash.Digest
	digest.Reset()
	for _, segment := range segments[:len(segments)-1] {
		// Writes to a hash never fail.
		_, _ = digest.WriteString(segment.ID)
		_, _ = digest.WriteString("/")
		tokens += segment.Tokens
	}
	return max(1, digest.Sum64()), tokens
}
