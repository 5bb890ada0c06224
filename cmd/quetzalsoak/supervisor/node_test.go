package supervisor

import (
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// script gives a program that writes a line and does what a shell is told.
func script(t *testing.T, does string) *Node {
	t.Helper()
	directory := t.TempDir()
	program := filepath.Join(directory, "program")
	if err := os.WriteFile(program, []byte("#!/bin/sh\necho started\n"+does+"\n"), 0o755); err != nil {
		t.Fatal(err)
	}
	n := &Node{Program: program, Settings: "none", Log: filepath.Join(directory, "log")}
	t.Cleanup(n.Close)
	return n
}

// starts waits until a node's program has started so often.
func starts(t *testing.T, n *Node, want int) {
	t.Helper()
	for end := time.Now().Add(30 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		log, err := os.ReadFile(n.Log)
		if err == nil && strings.Count(string(log), "started") >= want {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("not started %d times within half a minute: %q, %v", want, log, err)
		}
	}
}

func TestAProcessThatIsKilledStartsAgainAndIsNotBlamed(t *testing.T) {
	n := script(t, "exec sleep 60")
	n.Ended = func(err error) { t.Errorf("ended by itself: %v", err) }
	if err := n.Start(); err != nil {
		t.Fatal(err)
	}
	starts(t, n, 1)
	n.Signal(syscall.SIGKILL, true)
	starts(t, n, 2)
}

func TestAProcessThatEndsByItselfIsTold(t *testing.T) {
	n := script(t, "exit 3")
	ended := make(chan error, 100)
	n.Ended = func(err error) { ended <- err }
	if err := n.Start(); err != nil {
		t.Fatal(err)
	}
	if err := <-ended; err == nil || !strings.Contains(err.Error(), "3") {
		t.Errorf("told %v", err)
	}
	starts(t, n, 2)
}
