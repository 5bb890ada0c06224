package forwardserver_test

import (
	"runtime"
	"testing"
	"time"

	"github.com/quetzalroad/quetzalroad"
)

// Callers that announced large bodies and sent nothing of them took the memory of the whole bodies.
func TestAnnouncedBodiesTakeNoMemoryBeforeTheyArrive(t *testing.T) {
	const (
		callers = 200
		// maxHeapBytes is a tenth of the memory of the smallest node.
		maxHeapBytes = 284 << 20 / 10
	)
	x := newFixture(t, true)
	state := publishedState(2)
	state.Limits.MaxBodyBytes = 4 << 20
	x.KeyedLog.Put(quetzalroad.LogStreamOperators, "config", state)
	for x.node.Freshness.Version() != 2 {
		time.Sleep(time.Millisecond)
	}
	heap := func() int64 {
		var stats runtime.MemStats
		runtime.ReadMemStats(&stats)
		return int64(stats.HeapAlloc)
	}
	runtime.GC()
	before, peak := heap(), int64(0)
	for range callers {
		x.sendRaw(t, "POST /open/ HTTP/1.1\r\nHost: h.example\r\nContent-Length: 4194304\r\n\r\nx")
		peak = max(peak, heap())
	}
	for range 100 {
		time.Sleep(time.Millisecond)
		peak = max(peak, heap())
	}
	t.Logf("%d MB at the peak", (peak-before)>>20)
	if peak-before > maxHeapBytes {
		t.Errorf("the heap grew by %d MB, want at most %d MB", (peak-before)>>20, maxHeapBytes>>20)
	}
}
