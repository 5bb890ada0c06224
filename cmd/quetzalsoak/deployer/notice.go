package deployer

import (
	"context"
	"time"

	"github.com/quetzalroad/quetzalroad/cmd/quetzalemu/backendserver"
)

// Notice is how a server lets nodes know that it will be taken away.
type Notice int

// The notices of servers.
const (
	// NoticeRegistration registers the server as draining, NoticeResponses states it in its responses, NoticeRemoval
	// removes its registration, and NoticeNone does nothing.
	NoticeRegistration Notice = iota
	NoticeResponses
	NoticeRemoval
	NoticeNone
	NoticeCount
)

const (
	// takenAwayDowntime is how long a server is away that was taken away.
	takenAwayDowntime = 2 * time.Second
	// unframedPartInterval is the pause between the parts of its responses.
	unframedPartInterval = 200 * time.Millisecond
	// UnframedLead is how long before its notice the server begins to respond without length and chunks, for responses
	// to be in progress when it is taken away.
	UnframedLead = 700 * time.Millisecond
)

// TakeServerAway has a server respond without length and chunks, gives notice, and some time later ends it in the middle of
// its responses, whose connections are closed in order. It does nothing if the server is draining or down.
func (d *Deployment) TakeServerAway(ctx context.Context, s *Server, n Notice, after time.Duration) {
	unframed := backendserver.Faults{Unframed: true, PartInterval: unframedPartInterval}
	s.SetFaults(unframed)
	defer s.SetFaults(backendserver.Faults{})
	if !sleep(ctx, UnframedLead) || !d.giveNotice(s, n) {
		return
	}
	unframed.Leaving = n == NoticeResponses
	s.SetFaults(unframed)
	if !sleep(ctx, after) {
		return
	}
	s.mu.Lock()
	s.state = ""
	s.mu.Unlock()
	s.Proxy.SetMode(refusingLink)
	s.Proxy.HangUp()
	d.deregister(s)
	if sleep(ctx, takenAwayDowntime) {
		s.Proxy.SetMode(healthyLink)
		d.restart(s)
	}
}

// giveNotice lets nodes know that a server leaves. It returns false if the server is draining or down.
func (d *Deployment) giveNotice(s *Server, n Notice) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.isServing() {
		return false
	}
	switch n {
	case NoticeRegistration:
		s.state, s.drainingSince = "draining", time.Now()
		s.sequence++
		d.Store.PutServer(s.ID, s.Registration(s.state, s.sequence, s.startedAt))
	case NoticeResponses:
		s.leavingSince = time.Now()
	case NoticeRemoval:
		s.state = ""
		d.Store.PutServer(s.ID, "")
	}
	return true
}
