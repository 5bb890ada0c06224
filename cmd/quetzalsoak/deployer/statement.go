package deployer

import (
	"context"
	"fmt"
	"time"

	"github.com/quetzalroad/quetzalroad/cmd/quetzalemu/backendserver"
)

// noKey is what callers send while there is no valid key.
const noKey = "no-key"

// announcedSince returns when the server began to state in its responses that it leaves; zero unless it does.
func (s *Server) announcedSince() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leavingSince
}

// isServing reports whether the server is neither leaving nor down. The caller holds the lock.
func (s *Server) isServing() bool {
	return s.state == "ready" && s.leavingSince.IsZero()
}

// AnnounceDrain makes a server state in its responses that it leaves, while its registration says that it is ready,
// and restarts it some time after the drain delay. It does nothing if the server is draining or down.
func (d *Deployment) AnnounceDrain(ctx context.Context, s *Server, downtime time.Duration) {
	s.mu.Lock()
	if !s.isServing() {
		s.mu.Unlock()
		return
	}
	s.leavingSince = time.Now()
	s.mu.Unlock()
	s.SetFaults(backendserver.Faults{Leaving: true})
	if !sleep(ctx, 2*Bounds.DrainDelay) {
		return
	}
	s.SetFaults(backendserver.Faults{})
	d.deregister(s)
	if sleep(ctx, downtime) {
		d.restart(s)
	}
}

// WithdrawAllKeys revokes all keys, so that the configuration has no teams, and adds new ones later.
func (d *Deployment) WithdrawAllKeys(ctx context.Context, without time.Duration) {
	d.mu.Lock()
	withdrawn := d.validKeys
	if len(withdrawn) == 0 {
		d.mu.Unlock()
		return
	}
	d.validKeys = nil
	d.publishConfig()
	for _, key := range withdrawn {
		d.revokedKeys[key] = time.Now()
	}
	d.mu.Unlock()
	if !sleep(ctx, Bounds.RevocationDelay+without) {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for i := range len(withdrawn) {
		d.validKeys = append(d.validKeys, fmt.Sprintf("key-%d-%d", d.configVersion, i))
	}
	d.publishConfig()
}

const (
	// deadlyDowntime is how long a server that crashed under a deadly request is away.
	deadlyDowntime = 2 * time.Second
	// deadlyRequest is the prompt of one request that crashes servers as a whole, and deadlySegment the beginning
	// of prompts of which each has a part that does, and a part of its own.
	deadlyRequest = "aa:2000," + backendserver.DeadlySegment + ":1000"
	deadlyPart    = "aa:2000," + backendserver.DeadlySegment + ":500,%s:500"
)

// SendDeadlyRequests makes callers send deadly requests for a time. The phase in which servers crash under them,
// and whether it is one request or many with one part in common, follow from a number.
func (d *Deployment) SendDeadlyRequests(ctx context.Context, number int, duration time.Duration) {
	for _, s := range d.Servers {
		s.SetDeadlyPhase(backendserver.DeadlyPhase(number % int(backendserver.DeadlyPhases)))
	}
	prefix := deadlyRequest
	if number/int(backendserver.DeadlyPhases)%2 == 0 {
		prefix = deadlyPart
	}
	d.setDeadlyPrefix(prefix)
	sleep(ctx, duration)
	d.setDeadlyPrefix("")
}

func (d *Deployment) setDeadlyPrefix(prefix string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.deadlyPrefix = prefix
}

// DeadlyPrompt returns the prompt of a deadly request with an id, or false if callers send none now.
func (d *Deployment) DeadlyPrompt(id string) (string, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.deadlyPrefix == deadlyPart {
		return fmt.Sprintf(deadlyPart, id), true
	}
	return d.deadlyPrefix, d.deadlyPrefix != ""
}

// deadlyCrash returns what crashes a server under a deadly request, or nil if it is draining or down. Like those of
// a process that exits, its port is closed before the connection with the request.
func (d *Deployment) deadlyCrash(ctx context.Context, s *Server) func() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.isServing() {
		return nil
	}
	return func() {
		if !s.crash() {
			return
		}
		now := time.Now()
		d.Checker.RecordDeadlyCrash(now, now.Add(deadlyDowntime))
		d.group.Go(func() { d.awaitRestart(ctx, s, deadlyDowntime) })
	}
}
