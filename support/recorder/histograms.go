package recorder

import (
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"golang.org/x/sys/cpu"

	"github.com/quetzalroad/quetzalroad"
)

const (
	// minValue and maxValue bound the values that a histogram distinguishes.
	minValue = time.Microsecond
	maxValue = time.Hour
	// significantDigits is the precision of the histograms. They only inform operators; with one digit more, each
	// takes six times the memory.
	significantDigits = 1
	// histogramShards is the largest number of histograms of a class. They are merged when they are read.
	histogramShards = 8
	// maxClasses is the number of classes that have histograms of their own. Others share those of otherClass.
	maxClasses = 2048
	otherClass = quetzalroad.Class("other")
)

// histograms holds one histogram per class. The zero value is empty.
type histograms struct {
	// classes maps a quetzalroad.Class to a *histogram.
	classes sync.Map
	// count is the number of classes.
	count atomic.Int64
}

// histogram is the histogram of a class in shards. All but the first are only created once cores observe at the same
// time.
type histogram struct {
	shards [histogramShards]atomic.Pointer[histogramShard]
}

type histogramShard struct {
	// Padding keeps shards that different cores lock off the same cache line.
	_  cpu.CacheLinePad
	mu sync.Mutex
	// h holds microseconds and is guarded by mu.
	h *hdrhistogram.Histogram
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(minValue.Microseconds(), maxValue.Microseconds(), significantDigits)
}

func (s *histograms) observe(class quetzalroad.Class, value time.Duration) {
	shard := s.class(class).lockedShard()
	defer shard.mu.Unlock()
	// The value is clamped to the range, so no error can occur.
	_ = shard.h.RecordValue(min(max(value, minValue), maxValue).Microseconds())
}

// class returns the histogram of a class, or that of otherClass if there are too many.
func (s *histograms) class(class quetzalroad.Class) *histogram {
	if v, ok := s.classes.Load(class); ok {
		return v.(*histogram)
	}
	if s.count.Load() >= maxClasses {
		class = otherClass
	}
	v, loaded := s.classes.LoadOrStore(class, new(histogram))
	if !loaded {
		s.count.Add(1)
	}
	return v.(*histogram)
}

// retain releases the histograms of all classes but some.
func (s *histograms) retain(classes map[quetzalroad.Class]bool) {
	s.classes.Range(func(class, _ any) bool {
		if classes[class.(quetzalroad.Class)] {
			return true
		}
		if _, found := s.classes.LoadAndDelete(class); found {
			s.count.Add(-1)
		}
		return true
	})
}

// lockedShard returns the first shard that no other core holds, locked. If all are held, it waits for the last one.
func (h *histogram) lockedShard() *histogramShard {
	for i := range h.shards {
		shard := h.shards[i].Load()
		if shard == nil {
			h.shards[i].CompareAndSwap(nil, &histogramShard{h: newHistogram()})
			shard = h.shards[i].Load()
		}
		if shard.mu.TryLock() {
			return shard
		}
	}
	last := h.shards[histogramShards-1].Load()
	last.mu.Lock()
	return last
}

// merged returns the sum of all shards.
func (h *histogram) merged() *hdrhistogram.Histogram {
	merged := newHistogram()
	for i := range h.shards {
		shard := h.shards[i].Load()
		if shard == nil {
			continue
		}
		shard.mu.Lock()
		merged.Merge(shard.h)
		shard.mu.Unlock()
	}
	return merged
}

type histogramJSON struct {
	Count int64  `json:"count"`
	P50   string `json:"p50"`
	P95   string `json:"p95"`
	P99   string `json:"p99"`
	Max   string `json:"max"`
}

// String returns the histograms by class as JSON, for expvar.
func (s *histograms) String() string {
	summaries := make(map[string]histogramJSON)
	s.classes.Range(func(class, v any) bool {
		summaries[string(class.(quetzalroad.Class))] = v.(*histogram).summary()
		return true
	})
	data, err := json.Marshal(summaries)
	if err != nil {
		return "{}"
	}
	return string(data)
}

func (h *histogram) summary() histogramJSON {
	merged := h.merged()
	percentile := func(percent float64) string {
		return (time.Duration(merged.ValueAtQuantile(percent)) * time.Microsecond).String()
	}
	return histogramJSON{Count: merged.TotalCount(), P50: percentile(50), P95: percentile(95), P99: percentile(99), Max: percentile(100)}
}
