package forwardserver

import (
	"github.com/cespare/xxhash/v2"

	"github.com/quetzalroad/quetzalroad"
)

// sharedHash identifies the parts of a prompt that other requests may share:
// all but the last. It is zero where there are none.
func sharedHash(parts []quetzalroad.PromptPart) uint64 {
	if len(parts) < 2 {
		return 0
	}
	var sum xxhash.Digest
	sum.Reset()
	for _, p := range parts[:len(parts)-1] {
		// A hash takes all that is written to it.
		_, _ = sum.WriteString(p.ID)
		_, _ = sum.WriteString("/")
	}
	return max(1, sum.Sum64())
}
