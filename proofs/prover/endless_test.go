package prover

import (
	"context"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/quetzalroad/quetzalroad"
)

const (
	// smallestNodeBytes is the memory of the smallest node, at which its process is killed.
	smallestNodeBytes = 284 << 20
	// maxResponseHeapBytes bounds the heap of responses, garbage included, so that half of the memory is left for the
	// published state, for callers' requests and for the runtime.
	maxResponseHeapBytes = smallestNodeBytes / 2
	// endlessResponses is the number of requests in flight whose responses do not end.
	endlessResponses = 1000
)

// discardSink is a caller that keeps nothing.
type discardSink struct{}

func (discardSink) WriteHead(quetzalroad.ResponseHead) error { return nil }
func (discardSink) Write([]byte) error                       { return nil }

// Many responses without end took more memory than a node has, and its process ended with all its requests.
func TestManyEndlessBodiesDoNotUseUpTheMemory(t *testing.T) {
	const timeout = 2 * time.Second
	// Each response stops below the size at which the node gives up on it, and its connection stays open.
	body := strings.Repeat("x", 250<<10)
	for name, c := range map[string]struct {
		streaming  bool
		head, body string
	}{
		"plain body":           {false, "", body},
		"length that is a lie": {false, "Content-Length: 1000000000\r\n", body},
		"event":                {true, "", "id: 1\ndata: " + body},
		"comment":              {true, "", ": " + body},
	} {
		t.Run(name, func(t *testing.T) {
			x := newStreamFixture(t)
			x.hold = make(chan struct{})
			defer close(x.hold)
			response := "HTTP/1.1 200 OK\r\nRequest-Attempt-Id: caller-1\r\n" + c.head + "\r\n" + c.body
			x.respond = func(int, *http.Request, int) string { return response }
			runtime.GC()
			before, peak := heapBytes(), uint64(0)
			var group sync.WaitGroup
			start := time.Now()
			for range endlessResponses {
				f := newStreamRequest(true, 0)
				f.Route.Streaming, f.Route.Profile.Timeout = c.streaming, timeout
				f.Profile = f.Route.Profile
				group.Go(func() {
					if err := x.node.Forwarder.Forward(context.Background(), f, discardSink{}); err == nil {
						t.Error("a response without end ended")
					}
				})
			}
			for time.Since(start) < timeout {
				time.Sleep(timeout / 100)
				peak = max(peak, heapBytes())
			}
			group.Wait()
			used := int64(peak) - int64(before)
			t.Logf("%d MB at the peak, ended after %s", used>>20, time.Since(start).Round(time.Millisecond))
			if used > maxResponseHeapBytes {
				t.Errorf("the heap grew by %d MB, want at most %d MB", used>>20, maxResponseHeapBytes>>20)
			}
		})
	}
}

func heapBytes() uint64 {
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// Comments and empty lines without end make no stream outlive its request, before its first event and after it.
func TestStreamThatNeverEndsEndsWithTheRequest(t *testing.T) {
	const timeout = 300 * time.Millisecond
	for name, c := range map[string]struct{ begin, repeated string }{
		"comments":             {"", ": comment\n\n"},
		"lines of one comment": {"", ": comment\n"},
		"empty lines":          {"", "\n"},
		"comments after event": {"id: 1\ndata: x\n\n", ": comment\n\n"},
		"lines after event":    {"id: 1\ndata: x\n\n", "\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			x := newStreamFixture(t)
			x.repeated = strings.Repeat(c.repeated, 100)
			x.respond = func(int, *http.Request, int) string {
				return "HTTP/1.1 200 OK\r\nRequest-Attempt-Id: caller-1\r\n\r\n" + c.begin
			}
			f := newStreamRequest(true, 0)
			f.Route.Profile.Timeout = timeout
			f.Profile = f.Route.Profile
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			if err := x.node.Forwarder.Forward(ctx, f, discardSink{}); err == nil || ctx.Err() != nil {
				t.Errorf("ended with %v, context %v", err, ctx.Err())
			}
		})
	}
}
