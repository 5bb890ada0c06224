package deployer

import (
	"context"
	"fmt"
	"time"

	"github.com/quetzalroad/quetzalroad/cmd/quetzalsoak/checker"
	"github.com/quetzalroad/quetzalroad/cmd/quetzalsoak/faultproxy"
)

// heartbeatInterval is how often servers renew their registrations, and registrationTTL
// how long the registration of a crashed server remains in the store.
const (
	heartbeatInterval = time.Second
	registrationTTL   = 3 * heartbeatInterval
)

// sendHeartbeats renews the servers' registrations until the context ends.
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
	d.writeRegistration(d.spare)
}

func (d *Deployment) writeRegistration(s *Server) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state == "" {
		return
	}
	s.sequence++
	d.Store.PutServer(s.ID, s.Registration(s.state, s.sequence, s.startedAt))
}

// DrainServer marks a server as draining, removes its registration a second after the drain delay, and restarts it
// after the downtime. It does nothing if the server is draining or down.
func (d *Deployment) DrainServer(ctx context.Context, s *Server, downtime time.Duration) {
	if !d.drain(s) || !sleep(ctx, Bounds.DrainDelay+time.Second) {
		return
	}
	d.deregister(s)
	if sleep(ctx, downtime) {
		d.restart(s)
	}
}

// drain marks a server as draining. It returns false if the server is draining or down.
func (d *Deployment) drain(s *Server) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.isServing() {
		return false
	}
	s.state = "draining"
	s.sequence++
	d.Store.PutServer(s.ID, s.Registration(s.state, s.sequence, s.startedAt))
	s.drainingSince = time.Now()
	return true
}

// upgradeDowntime is how long a server is away that is upgraded. A node that did not hear of its drain meanwhile
// sends it nothing with a key.
const upgradeDowntime = time.Second

// UpgradeServer drains a server and restarts it with the other software version. It does nothing if the server is
// draining or down.
func (d *Deployment) UpgradeServer(ctx context.Context, s *Server) {
	if !d.drain(s) || !sleep(ctx, Bounds.DrainDelay+time.Second) {
		return
	}
	d.deregister(s)
	if !sleep(ctx, upgradeDowntime) {
		return
	}
	if s.Version() == olderVersion {
		s.SetVersion(newerVersion)
	} else {
		s.SetVersion(olderVersion)
	}
	d.restart(s)
}

// JoinSpare registers the spare server, whose software version no other server has, unless servers are upgraded.
func (d *Deployment) JoinSpare() {
	d.restart(d.spare)
}

// The software versions between which servers are upgraded, back and forth.
const (
	olderVersion = "v1"
	newerVersion = "v2"
)

// CrashServer resets and refuses a server's connections and stops its heartbeats, and restarts it after the downtime.
// Its registration expires if the downtime exceeds registrationTTL. It does nothing if the server is draining or down.
func (d *Deployment) CrashServer(ctx context.Context, s *Server, downtime time.Duration) {
	if s.crash() {
		d.awaitRestart(ctx, s, downtime)
	}
}

// crash resets and refuses the server's connections and stops its heartbeats. It returns false if the server is
// draining or down.
func (s *Server) crash() bool {
	s.mu.Lock()
	running := s.isServing()
	if running {
		s.state = ""
	}
	s.mu.Unlock()
	if !running {
		return false
	}
	s.Proxy.SetMode(refusingLink)
	s.Proxy.Reset()
	return true
}

// awaitRestart restarts a server that crashed after the downtime.
func (d *Deployment) awaitRestart(ctx context.Context, s *Server, downtime time.Duration) {
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

// restart registers a new incarnation of a server.
func (d *Deployment) restart(s *Server) {
	s.mu.Lock()
	s.startedAt, s.state, s.sequence, s.drainingSince, s.leavingSince = time.Now(), "ready", 0, time.Time{}, time.Time{}
	s.mu.Unlock()
	d.writeRegistration(s)
}

// sleep reports whether the duration passed before the context ended.
func sleep(ctx context.Context, duration time.Duration) bool {
	select {
	case <-time.After(duration):
		return true
	case <-ctx.Done():
		return false
	}
}

// SwitchService routes the classes without events to the other application service.
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

// RotateKey revokes the oldest key and adds a new one.
func (d *Deployment) RotateKey() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.validKeys) == 0 {
		return
	}
	oldest := d.validKeys[0]
	d.validKeys = append(d.validKeys[1:], fmt.Sprintf("key-%d", d.configVersion))
	d.publishConfig()
	d.revokedKeys[oldest] = time.Now()
}

// PickKey returns the key selected by a number: a revoked key, if there is any, for
// multiples of revokedEvery, and a valid key for other numbers.
func (d *Deployment) PickKey(number int) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	const revokedEvery = 8
	if number%revokedEvery == 0 {
		for key := range d.revokedKeys {
			return key
		}
	}
	if len(d.validKeys) == 0 {
		return noKey
	}
	// The newest key may not have reached all nodes yet; the first two have.
	return d.validKeys[number%(len(d.validKeys)-1)]
}

// KeyRevokedAt returns when a key was revoked; zero if it was not.
func (d *Deployment) KeyRevokedAt(key string) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.revokedKeys[key]
}

var (
	healthyLink  = faultproxy.Mode{}
	refusingLink = faultproxy.Mode{RefuseConnections: true}
)
