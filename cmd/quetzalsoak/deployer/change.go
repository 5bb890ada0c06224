package deployer

import (
	"context"
	"fmt"
	"time"

	"github.com/quetzalroad/quetzalroad/cmd/quetzalsoak/checker"
	"github.com/quetzalroad/quetzalroad/cmd/quetzalsoak/faultproxy"
)

// beatEvery is how often servers write their entries, and lapseAfter how long a
// silent one keeps its own.
const (
	heartbeatInterval = time.Second
	registrationTTL   = 3 * heartbeatInterval
)

// sendHeartbeats writes the servers' entries now and then.
func (d *Deployment) sendHeartbeats(ctx context.Context) {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			d.writeRegistrations()
		case <-ctx.Done():
			return
		}
	}
}

func (d *Deployment) writeRegistrations() {
	for _, s := range d.Servers {
		d.writeRegistration(s)
	}
}

func (d *Deployment) writeRegistration(s *Server) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state == "" {
		return
	}
	s.sequence++
	d.Store.PutServer(s.ID, s.Entry(s.state, s.sequence, s.startedAt))
}

// DrainServer lets a server say that it leaves; after its time it is gone, and later
// it starts again.
func (d *Deployment) DrainServer(ctx context.Context, s *Server, downtime time.Duration) {
	s.mu.Lock()
	if s.state != "ready" {
		s.mu.Unlock()
		return
	}
	s.state = "draining"
	s.sequence++
	d.Store.PutServer(s.ID, s.Entry(s.state, s.sequence, s.startedAt))
	s.drainingSince = time.Now()
	s.mu.Unlock()
	if !sleep(ctx, Bounds.DrainDelay+time.Second) {
		return
	}
	d.deregister(s)
	if sleep(ctx, downtime) {
		d.restart(s)
	}
}

// CrashServer lets a server break off all it does and say nothing; its entry lapses,
// and later it starts again.
func (d *Deployment) CrashServer(ctx context.Context, s *Server, downtime time.Duration) {
	s.mu.Lock()
	previous := s.state
	s.state = ""
	s.mu.Unlock()
	if previous != "ready" {
		s.mu.Lock()
		s.state = previous
		s.mu.Unlock()
		return
	}
	s.Proxy.SetMode(refusingLink)
	s.Proxy.Reset()
	if downtime > registrationTTL {
		if !sleep(ctx, registrationTTL) {
			return
		}
		d.deregister(s)
		downtime -= registrationTTL
	}
	if sleep(ctx, downtime) {
		s.Proxy.SetMode(healthyLink)
		d.restart(s)
	}
}

func (d *Deployment) deregister(s *Server) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state = ""
	d.Store.PutServer(s.ID, "")
}

// restart begins a new life of a server.
func (d *Deployment) restart(s *Server) {
	s.mu.Lock()
	s.startedAt, s.state, s.sequence, s.drainingSince = time.Now(), "ready", 0, time.Time{}
	s.mu.Unlock()
	d.writeRegistration(s)
}

func sleep(ctx context.Context, duration time.Duration) bool {
	select {
	case <-time.After(duration):
		return true
	case <-ctx.Done():
		return false
	}
}

// SwitchService leads the plain classes to the other service.
func (d *Deployment) SwitchService() {
	d.mu.Lock()
	defer d.mu.Unlock()
	from, to := d.applicationService, SecondApplicationService
	if from == to {
		to = ApplicationService
	}
	d.applicationService = to
	d.publishConfig()
	acknowledgedAt := time.Now()
	for _, c := range Classes {
		if c.EventCount == 0 {
			d.Checker.RecordServiceChange(checker.ServiceChange{Class: c.Name, From: from, To: to, AcknowledgedAt: acknowledgedAt})
		}
	}
}

// RotateKey takes the oldest key away and gives a new one out.
func (d *Deployment) RotateKey() {
	d.mu.Lock()
	defer d.mu.Unlock()
	old := d.validKeys[0]
	d.validKeys = append(d.validKeys[1:], fmt.Sprintf("key-%d", d.configVersion))
	d.publishConfig()
	d.revokedKeys[old] = time.Now()
}

// PickKey gives a key by a number: mostly one that holds, at times one that was
// taken away.
func (d *Deployment) PickKey(number int) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	const revokedEvery = 8
	if number%revokedEvery == 0 {
		for key := range d.revokedKeys {
			return key
		}
	}
	// The last key may not be known to all nodes yet; the first two are.
	return d.validKeys[number%(len(d.validKeys)-1)]
}

// KeyRevokedAt is when a key was taken away; zero where it was not.
func (d *Deployment) KeyRevokedAt(key string) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.revokedKeys[key]
}

var (
	healthyLink  = faultproxy.Mode{}
	refusingLink = faultproxy.Mode{RefuseConnections: true}
)
