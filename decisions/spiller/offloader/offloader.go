// Package offloader sends interactive requests that the local data centre has no headroom for to
// another one, if the round trip leaves enough of the first-token target. Each node uses only an
// equal share of the reported headroom: nodes do not know of the requests that other nodes send, and
// would together overload the other data centre.
package offloader

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/kernel"
	"github.com/quetzalroad/quetzalroad/support/configloader"
)

func init() {
	kernel.Register(kernel.Plugin{
		Slot: kernel.SlotSpiller, Name: "sender", Default: true,
		New: func() kernel.Component { return new(Offloader) },
	})
}

const shardCount = 16

// headroomReport is the headroom that another data centre reported for a service, in slots, and the
// round trip time to it.
type headroomReport struct {
	measuredAt time.Time
	roundTrip  time.Duration
	free       int
}

// serviceState holds the reports and running requests of one service.
type serviceState struct {
	// reports holds the latest report of each data centre.
	reports map[quetzalroad.DataCentre]headroomReport
	// inFlight counts this node's running requests in each data centre.
	inFlight map[quetzalroad.DataCentre]int
}

// shard holds the services whose names hash to it.
type shard struct {
	mu sync.Mutex
	// services is guarded by mu and allocated on first use.
	services map[quetzalroad.ServiceName]*serviceState
}

// Offloader implements quetzalroad.Spiller. Declare describes its settings.
type Offloader struct {
	node           *kernel.Node
	usableShare    float64
	roundTripShare float64
	reportLifetime time.Duration
	shards         [shardCount]shard
}

// Declare implements kernel.Component.
func (o *Offloader) Declare(section *configloader.Section) {
	section.Float("use", &o.usableShare, 1, 0, 1, "Fraction of the headroom reported by another data centre that the nodes outside it may use together.")
	section.Float("trip-share", &o.roundTripShare, 0.25, 0, 1, "Maximum round trip time to another data centre, as a fraction of the request's first-token target.")
	section.Duration("lifetime", &o.reportLifetime, 8*time.Second, 100*time.Millisecond, 10*time.Minute, "How long a data centre's headroom report remains valid.")
}

// Build implements kernel.Component.
func (o *Offloader) Build(n *kernel.Node) error {
	o.node = n
	n.Spiller = o
	return nil
}

// withService calls f with the state of a service, holding its shard's lock.
func (o *Offloader) withService(name quetzalroad.ServiceName, f func(state *serviceState)) {
	sh := &o.shards[xxhash.Sum64String(string(name))%shardCount]
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if sh.services == nil {
		sh.services = make(map[quetzalroad.ServiceName]*serviceState)
	}
	state := sh.services[name]
	if state == nil {
		state = &serviceState{reports: make(map[quetzalroad.DataCentre]headroomReport), inFlight: make(map[quetzalroad.DataCentre]int)}
		sh.services[name] = state
	}
	f(state)
}

// UpdateDataCentre implements quetzalroad.Spiller.
func (o *Offloader) UpdateDataCentre(d quetzalroad.DataCentre, measuredAt time.Time, roundTrip time.Duration, headroom []quetzalroad.ServiceHeadroom) {
	for _, h := range headroom {
		o.withService(h.Service, func(state *serviceState) {
			if measuredAt.After(state.reports[d].measuredAt) {
				state.reports[d] = headroomReport{measuredAt: measuredAt, roundTrip: roundTrip, free: h.Free}
			}
		})
	}
}

// Spill implements quetzalroad.Spiller. Only interactive, idempotent requests leave their data
// centre: requests that aren't interactive can wait, and those that aren't idempotent must not depend
// on links between data centres.
func (o *Offloader) Spill(now time.Time, r *quetzalroad.Request) ([]quetzalroad.Upstream, quetzalroad.Admission) {
	if !r.Profile.Interactive || !r.Idempotent {
		return nil, nil
	}
	d, ok := o.reserve(now, r)
	if !ok {
		return nil, nil
	}
	var upstreams []quetzalroad.Upstream
	for _, u := range o.node.Directory.UpstreamsOf(r.Service.Name) {
		if u.DataCentre == d && !u.Draining && !o.node.Drainer.HasPendingDrain(u.Name) && o.usable(now, u) {
			upstreams = append(upstreams, u)
		}
	}
	admission := &remoteAdmission{offloader: o, service: r.Service.Name, dataCentre: d}
	if len(upstreams) == 0 {
		admission.Release(0)
		return nil, nil
	}
	return upstreams, admission
}

// usable reports whether an upstream is neither leaving nor suspect.
func (o *Offloader) usable(now time.Time, u quetzalroad.Upstream) bool {
	e := o.node.LoadTracker.Estimate(u.Name, now)
	return !e.Leaving && !e.Suspect
}

// reserve takes a slot in the data centre with the most headroom left for this node, if any is left.
func (o *Offloader) reserve(now time.Time, r *quetzalroad.Request) (quetzalroad.DataCentre, bool) {
	nodeCount := o.nodeCount()
	maxRoundTrip := time.Duration(o.roundTripShare * float64(r.Profile.FirstTokenTarget))
	var best quetzalroad.DataCentre
	mostAvailable := 0.0
	o.withService(r.Service.Name, func(state *serviceState) {
		for d, report := range state.reports {
			if now.Sub(report.measuredAt) > o.reportLifetime || report.roundTrip > maxRoundTrip {
				continue
			}
			available := o.usableShare*float64(report.free)/float64(nodeCount) - float64(state.inFlight[d])
			if available >= 1 && (available > mostAvailable || available == mostAvailable && d < best) {
				best, mostAvailable = d, available
			}
		}
		if best != "" {
			state.inFlight[best]++
		}
	})
	return best, best != ""
}

// nodeCount returns the number of nodes of all data centres that are not stopping, including this one.
func (o *Offloader) nodeCount() int {
	count := 1
	if o.node.Peers != nil {
		for _, p := range o.node.Peers.Status() {
			if !p.Stopping {
				count++
			}
		}
	}
	return count
}

// remoteAdmission is a slot reserved in another data centre.
type remoteAdmission struct {
	offloader  *Offloader
	service    quetzalroad.ServiceName
	dataCentre quetzalroad.DataCentre
	once       sync.Once
}

// Preempted implements quetzalroad.Admission. Interactive requests are never preempted.
func (*remoteAdmission) Preempted() <-chan struct{} { return nil }

// Resume implements quetzalroad.Admission.
func (*remoteAdmission) Resume(context.Context) error { return nil }

// Release implements quetzalroad.Admission.
func (a *remoteAdmission) Release(int) {
	a.once.Do(func() {
		a.offloader.withService(a.service, func(state *serviceState) { state.inFlight[a.dataCentre]-- })
	})
}
