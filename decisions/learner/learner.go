// Package learner learns the lengths of answers by profile and team from
// streaming histograms, and gives the expected rest of an answer that has
// already reached some length.
package learner

import (
	"sync"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cespare/xxhash/v2"
	"golang.org/x/sys/cpu"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/kernel"
	"github.com/quetzalroad/quetzalroad/support/configloader"
)

func init() {
	kernel.Register(kernel.Plugin{
		Slot: kernel.SlotLengthEstimator, Name: "learner", Default: true,
		New: func() kernel.Component { return new(Learner) },
	})
}

const (
	// shardCount is the number of shards of the histograms.
	shardCount = 32
	// maxTokens is the longest answer told apart.
	maxTokens = 1 << 20
	// figures is the number of significant digits kept.
	figures = 1
	// windows is the number of windows kept, each of windowSize answers.
	windows    = 2
	windowSize = 512
	// refreshEvery is the number of answers after which a table is made anew.
	refreshEvery = 16
	// tableSize is the number of lengths, powers of two, in a table.
	tableSize = 21
	// unknownTokens is the expected length before anything was learnt.
	unknownTokens = 256
)

// key joins what lengths depend on.
type key struct {
	profile quetzalroad.ProfileName
	team    quetzalroad.TeamName
}

// lengths is what is known for one key.
type lengths struct {
	histogram *hdrhistogram.WindowedHistogram
	// learnt counts the answers in the current window and fresh those since
	// the table was made.
	learnt int
	fresh  int
	// expected[i] is the mean rest of answers that have reached 2^i tokens,
	// expected[0] that of all answers.
	expected [tableSize]int
}

// shard holds the lengths whose key hashes to it.
type shard struct {
	// Shards that several cores lock share no cache line.
	_  cpu.CacheLinePad
	mu sync.Mutex
	// lengths is guarded by mu and made on first use.
	lengths map[key]*lengths
}

// Learner is the part that learns. The zero value is ready for use.
type Learner struct {
	shards [shardCount]shard
}

// Declare implements kernel.Component.
func (l *Learner) Declare(*configloader.Section) {}

// Build implements kernel.Component.
func (l *Learner) Build(n *kernel.Node) error {
	n.LengthEstimator = l
	return nil
}

func (l *Learner) shard(k key) *shard {
	h := xxhash.Sum64String(string(k.profile)) ^ xxhash.Sum64String(string(k.team))
	return &l.shards[h%shardCount]
}

// Observe implements quetzalroad.LengthEstimator.
func (l *Learner) Observe(r *quetzalroad.Request, tokens int) {
	if tokens <= 0 {
		return
	}
	k := key{profile: r.Profile.Name, team: r.Team.Name}
	sh := l.shard(k)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if sh.lengths == nil {
		sh.lengths = make(map[key]*lengths)
	}
	known := sh.lengths[k]
	if known == nil {
		known = &lengths{histogram: hdrhistogram.NewWindowed(windows, 1, maxTokens, figures)}
		sh.lengths[k] = known
	}
	known.learn(min(tokens, maxTokens))
}

func (n *lengths) learn(tokens int) {
	// The value is within the histogram's range, so no error can come.
	_ = n.histogram.Current.RecordValue(int64(tokens))
	n.learnt++
	n.fresh++
	if n.fresh >= refreshEvery || n.expected[0] == 0 {
		n.refresh()
	}
	if n.learnt >= windowSize {
		n.histogram.Rotate()
		n.learnt = 0
	}
}

// refresh makes the table anew from the histogram.
func (n *lengths) refresh() {
	n.fresh = 0
	bars := n.histogram.Merge().Distribution()
	for i := range n.expected {
		reached := int64(1) << i
		if i == 0 {
			reached = 0
		}
		var count, sum int64
		for _, b := range bars {
			if b.To > reached {
				count += b.Count
				sum += b.Count * (b.To - reached)
			}
		}
		if count > 0 {
			n.expected[i] = int(sum / count)
		} else {
			n.expected[i] = n.expected[max(0, i-1)]
		}
	}
}

// Remaining implements quetzalroad.LengthEstimator. A stated bound on the
// tokens bounds the answer too.
func (l *Learner) Remaining(r *quetzalroad.Request, generated int) int {
	rest := l.expected(r, generated)
	if r.MaxTokens > 0 {
		rest = min(rest, max(0, r.MaxTokens-generated))
	}
	return rest
}

func (l *Learner) expected(r *quetzalroad.Request, generated int) int {
	k := key{profile: r.Profile.Name, team: r.Team.Name}
	sh := l.shard(k)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	known := sh.lengths[k]
	if known == nil {
		return unknownTokens
	}
	return known.expected[step(generated)]
}

// step gives the table's index for a length.
func step(generated int) int {
	i := 0
	for i+1 < tableSize && generated >= 1<<(i+1) {
		i++
	}
	return i
}
