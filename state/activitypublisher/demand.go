package activitypublisher

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/quetzalroad/quetzalroad"
)

const (
	// demandShardCount is the number of shards of the demand.
	demandShardCount = 8
	// slotDuration is the length of the intervals in which requests are counted, and slotCount the number of
	// complete ones that rates are measured over: long enough for a steady rate, and short enough to show a burst.
	slotDuration = 500 * time.Millisecond
	slotCount    = 4
)

// demandMeter implements quetzalroad.DemandMeter. The zero value is ready for use.
type demandMeter struct {
	shards [demandShardCount]demandShard
}

// demandShard holds the demand for the services whose names hash to it.
type demandShard struct {
	mu sync.Mutex
	// services is guarded by mu and allocated on first use.
	services map[quetzalroad.ServiceName]*serviceDemand
}

// serviceDemand is the demand for one service.
type serviceDemand struct {
	inFlight int
	// slots holds the counts of the current interval and those before it, by number modulo their count.
	slots [slotCount + 1]demandSlot
}

// demandSlot holds the counts of the interval with a number.
type demandSlot struct {
	number                  int64
	requests, late, refused int
}

func slotNumber(now time.Time) int64 {
	return now.UnixNano() / int64(slotDuration)
}

// update applies a change to the demand for a service in the current interval.
func (m *demandMeter) update(now time.Time, s quetzalroad.ServiceName, change func(d *serviceDemand, slot *demandSlot)) {
	sh := &m.shards[xxhash.Sum64String(string(s))%demandShardCount]
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if sh.services == nil {
		sh.services = make(map[quetzalroad.ServiceName]*serviceDemand)
	}
	d := sh.services[s]
	if d == nil {
		d = new(serviceDemand)
		sh.services[s] = d
	}
	number := slotNumber(now)
	slot := &d.slots[number%int64(len(d.slots))]
	if slot.number != number {
		*slot = demandSlot{number: number}
	}
	change(d, slot)
}

// BeginRequest implements quetzalroad.DemandMeter.
func (m *demandMeter) BeginRequest(now time.Time, s quetzalroad.ServiceName) {
	m.update(now, s, func(d *serviceDemand, slot *demandSlot) {
		d.inFlight++
		slot.requests++
	})
}

// EndRequest implements quetzalroad.DemandMeter.
func (m *demandMeter) EndRequest(now time.Time, s quetzalroad.ServiceName) {
	m.update(now, s, func(d *serviceDemand, _ *demandSlot) { d.inFlight-- })
}

// CountLate implements quetzalroad.DemandMeter.
func (m *demandMeter) CountLate(now time.Time, s quetzalroad.ServiceName) {
	m.update(now, s, func(_ *serviceDemand, slot *demandSlot) { slot.late++ })
}

// CountRefused implements quetzalroad.DemandMeter.
func (m *demandMeter) CountRefused(now time.Time, s quetzalroad.ServiceName) {
	m.update(now, s, func(_ *serviceDemand, slot *demandSlot) { slot.refused++ })
}

// demand lists the demand for all services, sorted by name, and forgets services without any.
func (m *demandMeter) demand(now time.Time) []quetzalroad.ServiceActivity {
	var demand []quetzalroad.ServiceActivity
	current := slotNumber(now)
	for i := range m.shards {
		sh := &m.shards[i]
		sh.mu.Lock()
		for s, d := range sh.services {
			activity, ok := d.activity(current)
			if !ok {
				delete(sh.services, s)
				continue
			}
			activity.Service = s
			demand = append(demand, activity)
		}
		sh.mu.Unlock()
	}
	slices.SortFunc(demand, func(a, b quetzalroad.ServiceActivity) int { return cmp.Compare(a.Service, b.Service) })
	return demand
}

// activity returns the rates over the last complete intervals; false if nothing was counted since they began.
func (d *serviceDemand) activity(current int64) (quetzalroad.ServiceActivity, bool) {
	const seconds = float64(slotCount*slotDuration) / float64(time.Second)
	var total demandSlot
	recent := d.inFlight > 0
	for _, slot := range d.slots {
		age := current - slot.number
		recent = recent || age == 0
		if age < 1 || age > slotCount {
			continue
		}
		recent = true
		total.requests += slot.requests
		total.late += slot.late
		total.refused += slot.refused
	}
	return quetzalroad.ServiceActivity{
		Requests: float64(total.requests) / seconds, InFlight: d.inFlight, Late: float64(total.late) / seconds, Refused: float64(total.refused) / seconds,
	}, recent
}

// demandSum sums up the demand at several nodes.
type demandSum map[quetzalroad.ServiceName]quetzalroad.ServiceActivity

func (s demandSum) add(demand []quetzalroad.ServiceActivity) {
	for _, d := range demand {
		total := s[d.Service]
		s[d.Service] = quetzalroad.ServiceActivity{
			Service: d.Service, Requests: total.Requests + d.Requests, InFlight: total.InFlight + d.InFlight, Late: total.Late + d.Late, Refused: total.Refused + d.Refused,
		}
	}
}

// list returns the sums, sorted by service.
func (s demandSum) list() []quetzalroad.ServiceActivity {
	var demand []quetzalroad.ServiceActivity
	for _, d := range s {
		demand = append(demand, d)
	}
	slices.SortFunc(demand, func(a, b quetzalroad.ServiceActivity) int { return cmp.Compare(a.Service, b.Service) })
	return demand
}
