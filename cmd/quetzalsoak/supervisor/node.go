// Package supervisor runs a node as a separate process, sends signals to it, and
// restarts it after it has exited, as the platform does. It signals only
// processes that it started.
package supervisor

import (
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// restartDelay is the time between the exit of a process and its restart.
const restartDelay = 300 * time.Millisecond

// Node supervises the process of a node. Its exported fields are set before Start.
type Node struct {
	// Program is the path of the executable, SettingsFile that of its settings, and
	// LogFile that of the file to which the output of all its processes is appended.
	Program, SettingsFile, LogFile string
	// OnUnexpectedExit is called after an exit that was not requested and after a failed restart; may be nil.
	OnUnexpectedExit func(err error)

	mu sync.Mutex
	// The fields below are guarded by mu. process is nil while none runs,
	// exitRequested is set once Signal requested its exit, and closing prevents restarts.
	process       *os.Process
	exitRequested bool
	closing       bool
	group         sync.WaitGroup
}

// Start starts the process, which is restarted after each exit until Close.
func (n *Node) Start() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.startLocked()
}

func (n *Node) startLocked() error {
	log, err := os.OpenFile(n.LogFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	command := exec.Command(n.Program, "serve", n.SettingsFile)
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return errors.CombineErrors(err, log.Close())
	}
	n.process, n.exitRequested = command.Process, false
	n.group.Go(func() {
		err := command.Wait()
		// The process wrote to the file directly, so closing it loses no output.
		_ = log.Close()
		n.handleExit(err)
	})
	return nil
}

// handleExit reports an unexpected exit and restarts the process.
func (n *Node) handleExit(err error) {
	n.mu.Lock()
	exitRequested, closing := n.exitRequested, n.closing
	n.process = nil
	n.mu.Unlock()
	if !exitRequested && !closing && n.OnUnexpectedExit != nil {
		n.OnUnexpectedExit(err)
	}
	if closing {
		return
	}
	time.Sleep(restartDelay)
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closing {
		return
	}
	if err := n.startLocked(); err != nil && n.OnUnexpectedExit != nil {
		n.OnUnexpectedExit(err)
	}
}

// Signal sends a signal to the running process. requestsExit is true if the process is expected to exit.
func (n *Node) Signal(signal syscall.Signal, requestsExit bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process == nil {
		return
	}
	n.exitRequested = n.exitRequested || requestsExit
	// An error is ignored: a process that has just exited needs no signal.
	_ = n.process.Signal(signal)
}

// Close kills the process and waits until it has exited.
func (n *Node) Close() {
	n.mu.Lock()
	n.closing = true
	n.mu.Unlock()
	n.Signal(syscall.SIGCONT, false)
	n.Signal(syscall.SIGKILL, true)
	n.group.Wait()
}
