// Package supervisor runs a node as a process of its own, signals it, and starts
// it again when it has ended, as the platform does. It ends no process but
// those that it started.
package supervisor

import (
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// restartDelay lies between a process's end and the next start.
const restartDelay = 300 * time.Millisecond

// Node is a node's process. Its exported fields are set before its start.
type Node struct {
	// Program is the file of the program, Settings that of its settings, and
	// Log that which takes what all its processes write.
	Program, SettingsFile, LogFile string
	// OnUnexpectedExit is told of each end that nobody asked for; nil where nobody cares.
	OnUnexpectedExit func(err error)

	mu sync.Mutex
	// The fields below are guarded by mu. process is nil while none runs, asked
	// tells that its end was asked for, and closing that no other is started.
	process       *os.Process
	exitRequested bool
	closing       bool
	group         sync.WaitGroup
}

// Start runs the node until Close.
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
		// What the process wrote is in the file already.
		_ = log.Close()
		n.handleExit(err)
	})
	return nil
}

// handleExit starts the node again.
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

// Signal sends a signal to the running process; ends tells that it asks for its
// end.
func (n *Node) Signal(signal syscall.Signal, requestsExit bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process == nil {
		return
	}
	n.exitRequested = n.exitRequested || requestsExit
	// A process that ended this moment needs no signal.
	_ = n.process.Signal(signal)
}

// Close kills the process and waits for its end.
func (n *Node) Close() {
	n.mu.Lock()
	n.closing = true
	n.mu.Unlock()
	n.Signal(syscall.SIGCONT, false)
	n.Signal(syscall.SIGKILL, true)
	n.group.Wait()
}
