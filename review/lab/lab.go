package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// lab is one run of a case: its record, its stand-ins and its nodes.
type lab struct {
	root      string
	directory string
	trouble   bool
	started   time.Time
	// subnet is the second and third byte of the loopback addresses of this run's machines.
	subnet [2]byte

	mu sync.Mutex
	// The fields below are guarded by mu.
	record     *os.File
	violations []string
	closers    []func()
	hosts      int
}

func newLab(root, recordFile string, trouble bool) (*lab, error) {
	root, err := filepath.Abs(root)
	if err != nil {
		return nil, err
	}
	directory, err := os.MkdirTemp("", "review-lab-")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(recordFile)
	if err != nil {
		return nil, err
	}
	l := &lab{root: root, directory: directory, trouble: trouble, started: time.Now(), record: record}
	l.subnet = [2]byte{byte(1 + rand.IntN(250)), byte(rand.IntN(250))}
	l.note("trouble: %v", trouble)
	return l, nil
}

// note writes a line with the time since the start to the record and to standard output.
func (l *lab) note(format string, args ...any) {
	line := fmt.Sprintf("%8.3f %s\n", time.Since(l.started).Seconds(), fmt.Sprintf(format, args...))
	l.mu.Lock()
	defer l.mu.Unlock()
	// A failure to write the record can't be recorded.
	_, _ = l.record.WriteString(line)
	fmt.Print(line)
}

// violate records that the rule was broken.
func (l *lab) violate(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	l.mu.Lock()
	l.violations = append(l.violations, text)
	l.mu.Unlock()
	l.note("BROKEN %s", text)
}

func (l *lab) violationCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.violations)
}

// verdict records the result and returns the exit code.
func (l *lab) verdict() int {
	if n := l.violationCount(); n > 0 {
		l.note("result: the rule was broken, %d times", n)
		return exitBroken
	}
	l.note("result: the rule held")
	return exitHeld
}

// onClose registers a function that runs when the case ends.
func (l *lab) onClose(f func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closers = append(l.closers, f)
}

// close ends all processes and servers of the run and removes its folder.
func (l *lab) close() {
	for i := len(l.closers) - 1; i >= 0; i-- {
		l.closers[i]()
	}
	_ = l.record.Close()
	_ = os.RemoveAll(l.directory)
}

// newHost returns the loopback address of one more machine.
func (l *lab) newHost() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.hosts++
	return fmt.Sprintf("127.%d.%d.%d", l.subnet[0], l.subnet[1], l.hosts)
}

// freePort returns a port that is free on a host.
func freePort(host string) (int, error) {
	listener, err := net.Listen("tcp", host+":0")
	if err != nil {
		return 0, err
	}
	port := listener.Addr().(*net.TCPAddr).Port
	return port, listener.Close()
}

// waitUntil polls a condition and reports whether it became true in time.
func waitUntil(timeout time.Duration, condition func() bool) bool {
	deadline := time.Now().Add(timeout)
	for !condition() {
		if time.Now().After(deadline) {
			return false
		}
		time.Sleep(20 * time.Millisecond)
	}
	return true
}
