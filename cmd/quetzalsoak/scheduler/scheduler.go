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

	StoreLinkSilent Kind = "store-link-silent"
	StoreLinkReset  Kind = "store-link-reset"
	StoreLinkOneWay Kind = "store-link-one-way"
	StoreLinkDelay  Kind = "store-link-delay"

	ServerLinkSilent Kind = "server-link-silent"
	ServerLinkReset  Kind = "server-link-reset"
	ServerLinkOneWay Kind = "server-link-one-way"
	ServerLinkDelay  Kind = "server-link-delay"

	CallerLinkReset Kind = "caller-link-reset"
	CallerLinkDelay Kind = "caller-link-delay"

	StoreBusy   Kind = "store-busy"
	StoreSilent Kind = "store-silent"
	StoreForget Kind = "store-forget"

	ServerLosesAnswers Kind = "server-loses-answers"
	ServerCutsStreams  Kind = "server-cuts-streams"
	ServerAnswersTwice Kind = "server-answers-twice"
	ServerFull         Kind = "server-full"
	ServerLeaves       Kind = "server-leaves"
	ServerCrash        Kind = "server-crash"

	ConfigChange Kind = "config-change"
	KeyTaken     Kind = "key-taken"
)

// planned lists what operators do on purpose, which must harm nobody.
var planned = []Kind{NodeStop, ServerLeaves, ConfigChange, KeyTaken, StoreForget}

// Kinds lists all kinds.
var Kinds = append([]Kind{
	NodeKill, NodePause, StoreLinkSilent, StoreLinkReset, StoreLinkOneWay, StoreLinkDelay,
	ServerLinkSilent, ServerLinkReset, ServerLinkOneWay, ServerLinkDelay, CallerLinkReset, CallerLinkDelay,
	StoreBusy, StoreSilent, ServerLosesAnswers, ServerCutsStreams, ServerAnswersTwice, ServerFull, ServerCrash,
}, planned...)

// Planned tells that a kind is done on purpose.
func (k Kind) Planned() bool { return slices.Contains(planned, k) }

// Fault is one fault of a schedule.
type Fault struct {
	// At is when it begins, from the start of traffic, and For how long it
	// lasts where it lasts.
	At, For time.Duration
	Kind    Kind
	// Target picks what it strikes, modulo the number of these.
	Target int
}

// String tells a fault in a line.
func (f Fault) String() string {
	return fmt.Sprintf("%6.2fs %s #%d for %s", f.At.Seconds(), f.Kind, f.Target, f.For)
}

const (
	// meanPause lies between two drawn faults.
	meanPause = 900 * time.Millisecond
	// shortest and longest bound how long a fault lasts.
	shortest, longest = 300 * time.Millisecond, 4 * time.Second
	// seriesShare of the drawn faults come in a series of up to seriesMost, with
	// pauses of up to seriesPause.
	seriesShare = 0.3
	seriesMost  = 4
	seriesPause = time.Second
	// calmShare of the schedules hold planned faults only.
	calmShare = 0.3
	// targets bounds the targets drawn.
	targets = 1000
)

// Draw gives the faults of a seed that begin within a span, in their order.
func Draw(seed uint64, span time.Duration) []Fault {
	random := rand.New(rand.NewPCG(seed, seed))
	kinds := Kinds
	if random.Float64() < calmShare {
		kinds = planned
	}
	var all []Fault
	for at := time.Second; ; {
		at += time.Duration(random.ExpFloat64() * float64(meanPause))
		if at >= span {
			break
		}
		f := Fault{At: at, Kind: kinds[random.IntN(len(kinds))], Target: random.IntN(targets), For: shortest + time.Duration(random.Int64N(int64(longest-shortest)))}
		all = append(all, f)
		if random.Float64() >= seriesShare {
			continue
		}
		for range 1 + random.IntN(seriesMost-1) {
			f.At += time.Duration(random.Int64N(int64(seriesPause)))
			f.Target = random.IntN(targets)
			if f.At < span {
				all = append(all, f)
			}
		}
	}
	slices.SortStableFunc(all, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	return all
}
