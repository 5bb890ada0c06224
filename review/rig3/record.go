package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the log of a run: what was sent, answered and run. It is safe for concurrent use.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, start: time.Now()}, nil
}

// printf writes a line with the time since the start of the run.
func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f s  ", time.Since(r.start).Seconds()) + fmt.Sprintf(format, args...)
	// The verdict doesn't depend on the record.
	_, _ = fmt.Fprintln(r.file, line)
}

// report writes a line to the record and to standard output.
func (r *record) report(format string, args ...any) {
	r.printf(format, args...)
	fmt.Printf(format+"\n", args...)
}

func (r *record) close() {
	// All lines are written already.
	_ = r.file.Close()
}
