package supervisor

import (
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// newScriptNode returns a node whose program writes a line and then runs a shell script.
func newScriptNode(t *testing.T, body string) *Node {
	t.Helper()
	directory := t.TempDir()
	program := filepath.Join(directory, "program")
	if err := os.WriteFile(program, []byte("#!/bin/sh\necho started\n"+body+"\n"), 0o755); err != nil {
		t.Fatal(err)
	}
	n := &Node{Program: program, SettingsFile: "none", LogFile: filepath.Join(directory, "log")}
	t.Cleanup(n.Close)
	return n
}

// waitForStarts waits until a node's program has started want times.
func waitForStarts(t *testing.T, n *Node, want int) {
	t.Helper()
	for deadline := time.Now().Add(30 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		log, err := os.ReadFile(n.LogFile)
		if err == nil && strings.Count(string(log), "started") >= want {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("program not started %d times within 30 seconds: log %q, error %v", want, log, err)
		}
	}
}

func TestKilledProcessIsRestartedAndNotReported(t *testing.T) {
	n := newScriptNode(t, "exec sleep 60")
	n.OnUnexpectedExit = func(err error) { t.Errorf("unexpected exit: %v", err) }
	if err := n.Start(); err != nil {
		t.Fatal(err)
	}
	waitForStarts(t, n, 1)
	n.Signal(syscall.SIGKILL, true)
	waitForStarts(t, n, 2)
}

func TestUnexpectedExitIsReported(t *testing.T) {
	n := newScriptNode(t, "exit 3")
	exits := make(chan error, 100)
	n.OnUnexpectedExit = func(err error) { exits <- err }
	if err := n.Start(); err != nil {
		t.Fatal(err)
	}
	if err := <-exits; err == nil || !strings.Contains(err.Error(), "3") {
		t.Errorf("got error %v, want exit status 3", err)
	}
	waitForStarts(t, n, 2)
}
