package logger

import (
	"bytes"
	"encoding/json"
	"errors"
	"log/slog"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/quetzalroad/quetzalroad/support/boottimer"
)

func parseLines(t *testing.T, text string) []map[string]any {
	t.Helper()
	var all []map[string]any
	for line := range strings.Lines(text) {
		var fields map[string]any
		if err := json.Unmarshal([]byte(line), &fields); err != nil {
			t.Fatalf("%q: %v", line, err)
		}
		all = append(all, fields)
	}
	return all
}

func TestDurationsAreFormatted(t *testing.T) {
	var out bytes.Buffer
	log, w := New(&out, slog.LevelInfo)
	log.With("node", "n").Info("said", "took", 1500*time.Microsecond, "age", boottimer.Never)
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	got := parseLines(t, out.String())
	if len(got) != 1 || got[0]["took"] != "1.5ms" || got[0]["age"] != "never" || got[0]["node"] != "n" {
		t.Errorf("%v", got)
	}
}

func TestRateLimitReservesLinesForWarnings(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		log, w := New(&out, slog.LevelInfo)
		for range 2 * linesPerSecond {
			log.Info("usual")
		}
		log.Warn("failure")
		time.Sleep(time.Second)
		log.Info("later")
		if err := w.Close(); err != nil {
			t.Fatal(err)
		}
		counts := make(map[string]int)
		dropped := 0.0
		for _, l := range parseLines(t, out.String()) {
			counts[l["msg"].(string)]++
			if n, ok := l["lines"].(float64); ok {
				dropped += n
			}
		}
		if counts["usual"] != infoLinesPerSecond || counts["failure"] != 1 || counts["later"] != 1 {
			t.Errorf("%v", counts)
		}
		if int(dropped) != 2*linesPerSecond-infoLinesPerSecond {
			t.Errorf("%v lines are reported as dropped", dropped)
		}
	})
}

// blockedWriter is an output that blocks until it is released.
type blockedWriter struct {
	release chan struct{}
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.release
	return len(p), nil
}

func TestBlockedOutputDoesNotBlockLogging(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &blockedWriter{release: make(chan struct{})}
		log, w := New(out, slog.LevelInfo)
		began := time.Now()
		for range 10 {
			for range linesPerSecond {
				log.Warn("line")
			}
			time.Sleep(time.Second)
		}
		if elapsed := time.Since(began); elapsed != 10*time.Second {
			t.Errorf("logging took %v in addition to the pauses", elapsed-10*time.Second)
		}
		if err := w.Close(); err != nil {
			t.Fatal(err)
		}
		close(out.release)
		synctest.Wait()
	})
}

// stuckWriter takes nothing until it is closed.
type stuckWriter chan struct{}

func (w stuckWriter) Write(p []byte) (int, error) {
	<-w
	return len(p), nil
}

// The text of an error may quote many bytes that a server sent, and thousands of lines may wait to be written.
func TestQueuedLinesWithLongErrorsTakeLittleMemory(t *testing.T) {
	const (
		textBytes = 15 << 10
		// maxQueueBytes is a tenth of the memory of the smallest node.
		maxQueueBytes = 284 << 20 / 10
	)
	synctest.Test(t, func(t *testing.T) {
		out := make(stuckWriter)
		log, w := New(out, slog.LevelInfo)
		err := errors.New(strings.Repeat("\x00", textBytes))
		for range queueSize {
			log.Warn("attempt failed", "error", err, "text", "é"+strings.Repeat("é", textBytes))
			time.Sleep(time.Second / linesPerSecond)
		}
		queued := 0
		for len(w.lines) > 0 {
			line := <-w.lines
			parseLines(t, string(line))
			queued += len(line)
		}
		if queued > maxQueueBytes {
			t.Errorf("%d MB are queued, want at most %d MB", queued>>20, maxQueueBytes>>20)
		}
		close(out)
		if err := w.Close(); err != nil {
			t.Fatal(err)
		}
	})
}
