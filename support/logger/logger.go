// Package logger writes structured log lines without ever holding up whoever
// logs: lines go through a bounded queue, their number a second is bounded, and
// what was dropped is counted and told.
package logger

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"time"

	"github.com/quetzalroad/quetzalroad/support/boottimer"
)

const (
	// queueSize is the number of lines that may wait to be written.
	queueSize = 2048
	// linesPerSecond bounds the lines of one second.
	linesPerSecond = 600
	// infoLinesPerSecond bounds those below a warning, so that what explains a
	// failure finds room.
	infoLinesPerSecond = 450
	// closeTimeout bounds the wait for the last lines at the end.
	closeTimeout = 300 * time.Millisecond
)

// AsyncWriter takes whole lines and writes them beside its callers.
type AsyncWriter struct {
	out   io.Writer
	lines chan []byte
	done  chan struct{}

	mu sync.Mutex
	// The fields below are guarded by mu. second is the start of the second
	// that the counts are of; plain is never above all.
	windowStart           time.Time
	totalLines, infoLines int
	dropped               int
	closed                bool
}

// New makes a logger of JSON lines and the writer behind it.
func New(out io.Writer, level slog.Level) (*slog.Logger, *AsyncWriter) {
	w := &AsyncWriter{out: out, lines: make(chan []byte, queueSize), done: make(chan struct{})}
	go w.writeLoop()
	inner := slog.NewJSONHandler(w, &slog.HandlerOptions{Level: level, ReplaceAttr: formatDuration})
	return slog.New(&rateLimitHandler{Handler: inner, writer: w}), w
}

// formatDuration writes spans with their unit.
func formatDuration(_ []string, a slog.Attr) slog.Attr {
	if a.Value.Kind() == slog.KindDuration {
		text := "never"
		if d := a.Value.Duration(); d != boottimer.Never {
			text = d.Round(time.Microsecond).String()
		}
		a.Value = slog.StringValue(text)
	}
	return a
}

func (w *AsyncWriter) writeLoop() {
	defer close(w.done)
	for line := range w.lines {
		if _, err := w.out.Write(line); err != nil {
			// There is no place left to tell it.
			continue
		}
	}
}

// Write implements io.Writer. It never waits.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return len(line), nil
	}
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped++
	}
	return len(line), nil
}

// Close writes what waits, for a short while, and drops what comes later.
func (w *AsyncWriter) Close() error {
	w.mu.Lock()
	if w.closed {
		w.mu.Unlock()
		return nil
	}
	w.closed = true
	close(w.lines)
	w.mu.Unlock()
	timer := time.NewTimer(closeTimeout)
	defer timer.Stop()
	select {
	case <-w.done:
	case <-timer.C:
	}
	return nil
}

// allow counts a line of a level. It tells whether the line may be written, and
// how many were dropped before it that were not told yet.
func (w *AsyncWriter) allow(now time.Time, level slog.Level) (allowed bool, dropped int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if now.Sub(w.windowStart) >= time.Second {
		w.windowStart, w.totalLines, w.infoLines = now, 0, 0
	}
	if w.totalLines >= linesPerSecond || (level < slog.LevelWarn && w.infoLines >= infoLinesPerSecond) {
		w.dropped++
		return false, 0
	}
	w.totalLines++
	if level < slog.LevelWarn {
		w.infoLines++
	}
	dropped = w.dropped
	w.dropped = 0
	return true, dropped
}

// rateLimitHandler drops the lines that the writer has no room for.
type rateLimitHandler struct {
	slog.Handler
	writer *AsyncWriter
}

// Handle implements slog.Handler.
func (h *rateLimitHandler) Handle(ctx context.Context, r slog.Record) error {
	allowed, dropped := h.writer.allow(r.Time, r.Level)
	if !allowed {
		return nil
	}
	if dropped > 0 {
		notice := slog.NewRecord(r.Time, slog.LevelWarn, "log lines dropped", 0)
		notice.AddAttrs(slog.Int("lines", dropped))
		if err := h.Handler.Handle(ctx, notice); err != nil {
			return err
		}
	}
	return h.Handler.Handle(ctx, r)
}

// WithAttrs implements slog.Handler.
func (h *rateLimitHandler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &rateLimitHandler{Handler: h.Handler.WithAttrs(attrs), writer: h.writer}
}

// WithGroup implements slog.Handler.
func (h *rateLimitHandler) WithGroup(name string) slog.Handler {
	return &rateLimitHandler{Handler: h.Handler.WithGroup(name), writer: h.writer}
}
