package dispatcher_test

import (
	"testing"
	"time"

	"github.com/quetzalroad/quetzalroad"
)

// Large events were read ahead of a slow caller as many small ones are.
func TestLargeEventsAreNotReadAhead(t *testing.T) {
	for name, c := range map[string]struct{ eventBytes, maxRead int }{
		"small events": {100, 20},
		"large events": {100 << 10, 3},
	} {
		t.Run(name, func(t *testing.T) {
			engine := &scriptedEngine{event: quetzalroad.ChatEvent{Chunk: make([]byte, c.eventBytes), Tokens: 1}, events: 100, stalls: true}
			// The caller takes one event within the time of the request.
			sink := &slowSink{pause: 900 * time.Millisecond}
			if err := runChat(t, engine, sink, time.Second); err == nil || engine.read > c.maxRead {
				t.Errorf("%d events read, want at most %d; error %v", engine.read, c.maxRead, err)
			}
		})
	}
}
