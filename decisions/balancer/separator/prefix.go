package separator

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/quetzalroad/quetzalroad"
)

// prefixOwners assigns a prefix to engines of the long pool by rendezvous hashing, so that adding or
// removing an engine moves only that engine's share of the prefixes. Most prefixes are assigned to one
// engine. One in a share of all long prompts is assigned to this share of the engines: fewer could not
// prefill what follows it.
func prefixOwners(prefix uint64, share float64, longPool []quetzalroad.Upstream) []quetzalroad.Upstream {
	count := max(1, int(math.Ceil(share*float64(len(longPool)))))
	return highest(prefix, count, longPool)
}

// highest returns the engines with the highest hashes of engine and prefix, in descending order.
func highest(prefix uint64, count int, engines []quetzalroad.Upstream) []quetzalroad.Upstream {
	type hashed struct {
		hash   uint64
		engine int
	}
	top := make([]hashed, 0, count+1)
	for i, u := range engines {
		h := hashed{hash: mixBits(xxhash.Sum64String(string(u.Name)) ^ prefix), engine: i}
		if len(top) == count && h.hash <= top[count-1].hash {
			continue
		}
		position, _ := slices.BinarySearchFunc(top, h, func(a, b hashed) int { return cmp.Compare(b.hash, a.hash) })
		top = slices.Insert(top, position, h)
		top = top[:min(len(top), count)]
	}
	found := make([]quetzalroad.Upstream, 0, len(top))
	for _, h := range top {
		found = append(found, engines[h.engine])
	}
	return found
}

// mixBits mixes the bits of a hash, or of two hashes combined by XOR.
func mixBits(h uint64) uint64 {
	const multiplier = 0x9E3779B97F4A7C15
	h *= multiplier
	h ^= h >> 32
	h *= multiplier
	return h ^ h>>29
}

const (
	// recentPrefixCount is the number of recent long prompts whose prefixes are remembered.
	recentPrefixCount = 32
	// recentPrefixAge is the age up to which they count.
	recentPrefixAge = 10 * time.Second
)

// recentPrefix is the prefix of a recent long prompt.
type recentPrefix struct {
	at   time.Time
	hash uint64
	// shared is the length of the prefix in tokens, and other that of the rest of the prompt and of the output.
	shared, other int
}

// prefixHistory is a ring buffer of the prefixes of recent long prompts. The zero value is empty.
type prefixHistory struct {
	entries [recentPrefixCount]recentPrefix
	next    int
}

func (h *prefixHistory) add(now time.Time, r *quetzalroad.Request) {
	h.entries[h.next] = recentPrefix{
		at: now, hash: r.PrefixHash, shared: r.SharedPromptTokens, other: r.PromptTokens - r.SharedPromptTokens + r.MaxTokens,
	}
	h.next = (h.next + 1) % recentPrefixCount
}

// share estimates the share of a prefix in the recent long prompts. One that occurred only once has
// none: it is as likely as any other.
func (h *prefixHistory) share(now time.Time, hash uint64) float64 {
	total, occurrences := 0, 0
	for _, e := range h.entries {
		if e.at.IsZero() || now.Sub(e.at) > recentPrefixAge {
			continue
		}
		total++
		if e.hash == hash {
			occurrences++
		}
	}
	if occurrences < 2 {
		return 0
	}
	return float64(occurrences-1) / float64(total)
}

// demand describes the recent long prompts.
func (h *prefixHistory) demand(now time.Time) prefixDemand {
	var d prefixDemand
	hashes := make([]uint64, 0, recentPrefixCount)
	for _, e := range h.entries {
		if e.at.IsZero() || now.Sub(e.at) > recentPrefixAge {
			continue
		}
		hashes = append(hashes, e.hash)
		d.meanShared += float64(e.shared)
		d.meanOther += float64(e.other)
	}
	if len(hashes) == 0 {
		return d
	}
	d.prompts = float64(len(hashes))
	d.meanShared /= d.prompts
	d.meanOther /= d.prompts
	slices.Sort(hashes)
	d.distinct = float64(len(slices.Compact(hashes)))
	return d
}
