// Package predictor estimates response lengths by profile and team from histograms of recent
// responses, and the expected remaining length of a response in progress.
package predictor

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
		New: func() kernel.Component { return new(Predictor) },
	})
}

const (
	shardCount = 32
	// maxTokens is the longest length recorded; longer responses count as this.
	maxTokens = 1 << 20
	// significantDigits is the number of decimal digits to which the histograms keep a length.
	significantDigits = 1
	// windows is the number of histogram windows kept, each of windowSize responses.
	windows    = 2
	windowSize = 512
	// refreshEvery is the number of responses after which the means are recomputed.
	refreshEvery = 16
	// tableSize is the number of means kept for a key: one for each power of two up to maxTokens.
	tableSize = 21
	// defaultTokens is the expected length before any response is recorded.
	defaultTokens = 256
)

// lengthKey identifies the requests whose lengths are recorded together.
type lengthKey struct {
	profile quetzalroad.ProfileName
	team    quetzalroad.TeamName
}

// lengthStats holds the recorded lengths of one key.
type lengthStats struct {
	histogram *hdrhistogram.WindowedHistogram
	// recordedInWindow counts the responses in the current window, recordedSinceRefresh those since
	// the means were computed.
	recordedInWindow     int
	recordedSinceRefresh int
	// meanRemaining[i] is the mean number of tokens after the first 2^i of the responses longer than
	// that, or meanRemaining[i-1] if there are none; meanRemaining[0] is the mean length of all.
	meanRemaining [tableSize]int
}

// shard holds the statistics of the keys that hash to it.
type shard struct {
	// The padding keeps shards on separate cache lines to avoid false sharing.
	_  cpu.CacheLinePad
	mu sync.Mutex
	// stats is guarded by mu and allocated on first use.
	stats map[lengthKey]*lengthStats
}

// Predictor implements quetzalroad.LengthEstimator. The zero value is ready for use.
type Predictor struct {
	shards [shardCount]shard
}

// Declare implements kernel.Component.
func (p *Predictor) Declare(*configloader.Section) {}

// Build implements kernel.Component.
func (p *Predictor) Build(n *kernel.Node) error {
	n.LengthEstimator = p
	return nil
}

func (p *Predictor) shardOf(k lengthKey) *shard {
	h := xxhash.Sum64String(string(k.profile)) ^ xxhash.Sum64String(string(k.team))
	return &p.shards[h%shardCount]
}

// Observe implements quetzalroad.LengthEstimator.
func (p *Predictor) Observe(r *quetzalroad.Request, tokens int) {
	if tokens <= 0 {
		return
	}
	k := lengthKey{profile: r.Profile.Name, team: r.Team.Name}
	sh := p.shardOf(k)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if sh.stats == nil {
		sh.stats = make(map[lengthKey]*lengthStats)
	}
	stats := sh.stats[k]
	if stats == nil {
		stats = &lengthStats{histogram: hdrhistogram.NewWindowed(windows, 1, maxTokens, significantDigits)}
		sh.stats[k] = stats
	}
	stats.record(min(tokens, maxTokens))
}

func (s *lengthStats) record(tokens int) {
	// The value is within the histogram's range, so recording it cannot fail.
	_ = s.histogram.Current.RecordValue(int64(tokens))
	s.recordedInWindow++
	s.recordedSinceRefresh++
	if s.recordedSinceRefresh >= refreshEvery || s.meanRemaining[0] == 0 {
		s.updateMeans()
	}
	if s.recordedInWindow >= windowSize {
		s.histogram.Rotate()
		s.recordedInWindow = 0
	}
}

// updateMeans recomputes the means from the responses in all windows.
func (s *lengthStats) updateMeans() {
	s.recordedSinceRefresh = 0
	bars := s.histogram.Merge().Distribution()
	for i := range s.meanRemaining {
		minTokens := int64(1) << i
		if i == 0 {
			minTokens = 0
		}
		var count, sum int64
		for _, b := range bars {
			if b.To > minTokens {
				count += b.Count
				sum += b.Count * (b.To - minTokens)
			}
		}
		if count > 0 {
			s.meanRemaining[i] = int(sum / count)
		} else {
			s.meanRemaining[i] = s.meanRemaining[max(0, i-1)]
		}
	}
}

// Remaining implements quetzalroad.LengthEstimator. The request's token limit, if any, caps the
// estimate.
func (p *Predictor) Remaining(r *quetzalroad.Request, generated int) int {
	remaining := p.expectedRemaining(r, generated)
	if r.MaxTokens > 0 {
		remaining = min(remaining, max(0, r.MaxTokens-generated))
	}
	return remaining
}

func (p *Predictor) expectedRemaining(r *quetzalroad.Request, generated int) int {
	k := lengthKey{profile: r.Profile.Name, team: r.Team.Name}
	sh := p.shardOf(k)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	stats := sh.stats[k]
	if stats == nil {
		return defaultTokens
	}
	return stats.meanRemaining[tableIndex(generated)]
}

// tableIndex returns the index in meanRemaining of the largest power of two up to a length.
func tableIndex(generated int) int {
	i := 0
	for i+1 < tableSize && generated >= 1<<(i+1) {
		i++
	}
	return i
}
