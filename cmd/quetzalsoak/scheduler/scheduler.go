// Package scheduler draws the faults of a soak from a seed.
package scheduler

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is a kind of fault.
type Kind string

// The kinds of faults. Those of links act on connections through a proxy.
const (
	NodeStop  Kind = "node-stop"
	NodeKill  Kind = "node-kill"
	NodePause Kind = "node-pause"

	StoreLinkBlackhole Kind = "store-link-silent"
	StoreLinkReset     Kind = "store-link-reset"
	StoreLinkOneWay    Kind = "store-link-one-way"
	StoreLinkDelay     Kind = "store-link-delay"

	ServerLinkBlackhole Kind = "server-link-silent"
	ServerLinkReset     Kind = "server-link-reset"
	ServerLinkOneWay    Kind = "server-link-one-way"
	ServerLinkDelay     Kind = "server-link-delay"

	CallerLinkReset Kind = "caller-link-reset"
	CallerLinkDelay Kind = "caller-link-delay"

	StoreBusy         Kind = "store-busy"
	StoreUnresponsive Kind = "store-silent"
	StoreCompaction   Kind = "store-forget"

	ServerLosesResponses    Kind = "server-loses-answers"
	ServerInterruptsStreams Kind = "server-cuts-streams"
	ServerRespondsTwice     Kind = "server-answers-twice"
	ServerFull              Kind = "server-full"
	ServerDrain             Kind = "server-leaves"
	ServerCrash             Kind = "server-crash"

	ConfigChange Kind = "config-change"
	KeyRotation  Kind = "key-taken"
)

// plannedKinds lists what operators do on purpose, which must harm nobody.
var plannedKinds = []Kind{NodeStop, ServerDrain, ConfigChange, KeyRotation, StoreCompaction}

// Kinds lists all kinds.
var Kinds = append([]Kind{
	NodeKill, NodePause, StoreLinkBlackhole, StoreLinkReset, StoreLinkOneWay, StoreLinkDelay,
	ServerLinkBlackhole, ServerLinkReset, ServerLinkOneWay, ServerLinkDelay, CallerLinkReset, CallerLinkDelay,
	StoreBusy, StoreUnresponsive, ServerLosesResponses, ServerInterruptsStreams, ServerRespondsTwice, ServerFull, ServerCrash,
}, plannedKinds...)

// IsPlanned tells that a kind is done on purpose.
func (k Kind) IsPlanned() bool { return slices.Contains(plannedKinds, k) }

// Fault is one fault of a schedule.
type Fault struct {
	// Start is when it begins, from the start of traffic, and For how long it
	// lasts where it lasts.
	Start, Duration time.Duration
	Kind            Kind
	// Target picks what it strikes, modulo the number of these.
	Target int
}

// String tells a fault in a line.
func (f Fault) String() string {
	return fmt.Sprintf("%6.2fs %s #%d for %s", f.Start.Seconds(), f.Kind, f.Target, f.Duration)
}

const (
	// meanInterval lies between two drawn faults.
	meanInterval = 900 * time.Millisecond
	// minDuration and longest bound how long a fault lasts.
	minDuration, maxDuration = 300 * time.Millisecond, 4 * time.Second
	// burstShare of the drawn faults come in a series of up to seriesMost, with
	// pauses of up to seriesPause.
	burstShare       = 0.3
	maxBurst         = 4
	maxBurstInterval = time.Second
	// plannedOnlyShare of the schedules hold planned faults only.
	plannedOnlyShare = 0.3
	// targetCount bounds the targets drawn.
	targetCount = 1000
)

// Generate gives the faults of a seed that begin within a span, in their order.
func Generate(seed uint64, period time.Duration) []Fault {
	random := rand.New(rand.NewPCG(seed, seed))
	kinds := Kinds
	if random.Float64() < plannedOnlyShare {
		kinds = plannedKinds
	}
	var faults []Fault
	for start := time.Second; ; {
		start += time.Duration(random.ExpFloat64() * float64(meanInterval))
		if start >= period {
			break
		}
		f := Fault{Start: start, Kind: kinds[random.IntN(len(kinds))], Target: random.IntN(targetCount), Duration: minDuration + time.Duration(random.Int64N(int64(maxDuration-minDuration)))}
		faults = append(faults, f)
		if random.Float64() >= burstShare {
			continue
		}
		for range 1 + random.IntN(maxBurst-1) {
			f.Start += time.Duration(random.Int64N(int64(maxBurstInterval)))
			f.Target = random.IntN(targetCount)
			if f.Start < period {
				faults = append(faults, f)
			}
		}
	}
	slices.SortStableFunc(faults, func(a, b Fault) int { return cmp.Compare(a.Start, b.Start) })
	return faults
}
