package dispatcher

import (
	"sync"
	"time"

	"github.com/quetzalroad/quetzalroad"
)

// exitChecks finds out in the background whether upstreams have exited on which requests were lost that they
// were not beginning to respond to. There is one check at a time of an upstream. The zero value is ready for
// use.
type exitChecks struct {
	mu sync.Mutex
	// lost holds the suspects of the lost requests by upstream that is being checked. It is guarded by mu.
	lost map[quetzalroad.UpstreamName][]quetzalroad.ExposedSegment
}

// start checks an upstream, and tells the quarantine of its exit and of the requests that were lost with it.
func (c *exitChecks) start(u quetzalroad.UpstreamName, exposed []quetzalroad.ExposedSegment, hasExited func() bool, quarantine quetzalroad.Quarantine) {
	if c.add(u, exposed) {
		return
	}
	go func() {
		exited := hasExited()
		lost := c.remove(u)
		if !exited {
			return
		}
		now := time.Now()
		quarantine.RecordExit(now, u)
		quarantine.RecordInFlight(now, u, lost)
	}()
}

// add adds the suspects of a lost request, and reports whether a check was running.
func (c *exitChecks) add(u quetzalroad.UpstreamName, exposed []quetzalroad.ExposedSegment) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lost == nil {
		c.lost = make(map[quetzalroad.UpstreamName][]quetzalroad.ExposedSegment)
	}
	before, running := c.lost[u]
	c.lost[u] = append(before, exposed...)
	return running
}

// remove ends a check and returns the suspects.
func (c *exitChecks) remove(u quetzalroad.UpstreamName) []quetzalroad.ExposedSegment {
	c.mu.Lock()
	defer c.mu.Unlock()
	lost := c.lost[u]
	delete(c.lost, u)
	return lost
}
