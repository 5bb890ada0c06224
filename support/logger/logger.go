// Package logger writes structured log lines without blocking its callers: lines
// go through a bounded queue, their rate is limited, and dropped lines are counted
// and logged.
package logger

import (
	"context"
	"io"
	"log/slog"
	"strings"
	"sync"
	"time"

	"github.com/quetzalroad/quetzalroad/support/boottimer"
)

const (
	// queueSize is the maximum number of lines waiting to be written.
	queueSize = 2048
	// linesPerSecond limits the lines logged in one second.
	linesPerSecond = 600
	// infoLinesPerSecond limits the lines below warning level; the rest is left for
	// warnings and errors, which explain a failure.
	infoLinesPerSecond = 450
	// closeTimeout bounds the wait for queued lines to be written on Close.
	closeTimeout = 300 * time.Millisecond
	// maxTextBytes limits the length of a text in a line. An error's may quote what a server sent.
	maxTextBytes = 1 << 10
)

// AsyncWriter writes whole lines in a goroutine of its own.
type AsyncWriter struct {
	out   io.Writer
	lines chan []byte
	done  chan struct{}

	mu sync.Mutex
	// The fields below are guarded by mu. The line counts are of the second that
	// begins at windowStart; infoLines, those below a warning, are part of totalLines.
	windowStart           time.Time
	totalLines, infoLines int
	dropped               int
	closed                bool
}

// New returns a logger of JSON lines and the writer it uses.
func New(out io.Writer, level slog.Level) (*slog.Logger, *AsyncWriter) {
	w := &AsyncWriter{out: out, lines: make(chan []byte, queueSize), done: make(chan struct{})}
	go w.writeLoop()
	inner := slog.NewJSONHandler(w, &slog.HandlerOptions{Level: level, ReplaceAttr: formatAttr})
	return slog.New(&rateLimitHandler{Handler: inner, writer: w}), w
}

// formatAttr formats durations with their unit, and cuts off long texts.
func formatAttr(_ []string, a slog.Attr) slog.Attr {
	switch a.Value.Kind() {
	case slog.KindDuration:
		a.Value = slog.StringValue(formatDuration(a.Value.Duration()))
	case slog.KindString:
		a.Value = slog.StringValue(cutText(a.Value.String()))
	case slog.KindAny:
		if err, ok := a.Value.Any().(error); ok {
			a.Value = slog.StringValue(cutText(err.Error()))
		}
	}
	return a
}

func formatDuration(d time.Duration) string {
	if d == boottimer.Never {
		return "never"
	}
	return d.Round(time.Microsecond).String()
}

func cutText(text string) string {
	if len(text) <= maxTextBytes {
		return text
	}
	return strings.ToValidUTF8(text[:maxTextBytes], "") + "…"
}

func (w *AsyncWriter) writeLoop() {
	defer close(w.done)
	for line := range w.lines {
		if _, err := w.out.Write(line); err != nil {
			// A failure to write the log can't be logged.
			continue
		}
	}
}

// Write implements io.Writer. It never blocks.
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

// Close waits a short time for queued lines to be written and drops later lines.
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

// allow counts a line of a level. It reports whether the line may be written, and
// how many dropped lines have not been logged yet.
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

// rateLimitHandler drops lines above the rate limit of the writer.
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
