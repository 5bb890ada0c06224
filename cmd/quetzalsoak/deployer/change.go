package deployer

import (
	"context"
	"fmt"
	"time"

	"github.com/quetzalroad/quetzalroad/cmd/quetzalsoak/judge"
	"github.com/quetzalroad/quetzalroad/cmd/quetzalsoak/proxier"
)

// beatEvery is how often servers write their entries, and lapseAfter how long a
// silent one keeps its own.
const (
	beatEvery  = time.Second
	lapseAfter = 3 * beatEvery
)

// beat writes the servers' entries now and then.
func (d *Deployment) beat(ctx context.Context) {
	ticker := time.NewTicker(beatEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			d.writeEntries()
		case <-ctx.Done():
			return
		}
	}
}

func (d *Deployment) writeEntries() {
	for _, s := range d.Servers {
		d.writeEntry(s)
	}
}

func (d *Deployment) writeEntry(s *Server) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state == "" {
		return
	}
	s.sequence++
	d.Store.PutServer(s.ID, s.Registration(s.state, s.sequence, s.born))
}

// Leave lets a server say that it leaves; after its time it is gone, and later
// it starts again.
func (d *Deployment) Leave(ctx context.Context, s *Server, back time.Duration) {
	s.mu.Lock()
	if s.state != "ready" {
		s.mu.Unlock()
		return
	}
	s.state = "draining"
	s.sequence++
	d.Store.PutServer(s.ID, s.Registration(s.state, s.sequence, s.born))
	s.left = time.Now()
	s.mu.Unlock()
	if !wait(ctx, Bounds.Leave+time.Second) {
		return
	}
	d.drop(s)
	if wait(ctx, back) {
		d.rise(s)
	}
}

// Crash lets a server break off all it does and say nothing; its entry lapses,
// and later it starts again.
func (d *Deployment) Crash(ctx context.Context, s *Server, down time.Duration) {
	s.mu.Lock()
	was := s.state
	s.state = ""
	s.mu.Unlock()
	if was != "ready" {
		s.mu.Lock()
		s.state = was
		s.mu.Unlock()
		return
	}
	s.Link.Set(refuse)
	s.Link.Reset()
	if down > lapseAfter {
		if !wait(ctx, lapseAfter) {
			return
		}
		d.drop(s)
		down -= lapseAfter
	}
	if wait(ctx, down) {
		s.Link.Set(sound)
		d.rise(s)
	}
}

func (d *Deployment) drop(s *Server) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state = ""
	d.Store.PutServer(s.ID, "")
}

// rise begins a new life of a server.
func (d *Deployment) rise(s *Server) {
	s.mu.Lock()
	s.born, s.state, s.sequence, s.left = time.Now(), "ready", 0, time.Time{}
	s.mu.Unlock()
	d.writeEntry(s)
}

func wait(ctx context.Context, span time.Duration) bool {
	select {
	case <-time.After(span):
		return true
	case <-ctx.Done():
		return false
	}
}

// Lead leads the plain classes to the other service.
func (d *Deployment) Lead() {
	d.mu.Lock()
	defer d.mu.Unlock()
	from, to := d.service, SecondApplication
	if from == to {
		to = Application
	}
	d.service = to
	d.publish()
	acknowledged := time.Now()
	for _, c := range Classes {
		if c.Events == 0 {
			d.Judge.Moved(judge.Move{Class: c.Name, From: from, To: to, Acknowledged: acknowledged})
		}
	}
}

// TakeKey takes the oldest key away and gives a new one out.
func (d *Deployment) TakeKey() {
	d.mu.Lock()
	defer d.mu.Unlock()
	old := d.keys[0]
	d.keys = append(d.keys[1:], fmt.Sprintf("key-%d", d.version))
	d.publish()
	d.taken[old] = time.Now()
}

// Key gives a key by a number: mostly one that holds, at times one that was
// taken away.
func (d *Deployment) Key(number int) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	const takenEvery = 8
	if number%takenEvery == 0 {
		for key := range d.taken {
			return key
		}
	}
	// The last key may not be known to all nodes yet; the first two are.
	return d.keys[number%(len(d.keys)-1)]
}

// TakenAt is when a key was taken away; zero where it was not.
func (d *Deployment) TakenAt(key string) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.taken[key]
}

var (
	sound  = proxier.Mode{}
	refuse = proxier.Mode{Refuse: true}
)
