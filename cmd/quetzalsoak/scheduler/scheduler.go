// Package scheduler generates the fault schedule of a run from a seed.
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

// The kinds of faults. Link faults affect the connections through a fault proxy.
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
	StoreRestore      Kind = "store-restored"

	ServerLosesResponses    Kind = "server-loses-answers"
	ServerInterruptsStreams Kind = "server-cuts-streams"
	ServerRespondsTwice     Kind = "server-answers-twice"
	ServerFull              Kind = "server-full"
	ServerSendsEndlessBytes Kind = "server-sends-without-end"
	ServerDrain             Kind = "server-leaves"
	ServerCrash             Kind = "server-crash"

	ConfigChange Kind = "config-change"
	KeyRotation  Kind = "key-taken"

	ServerAnnouncesDrain Kind = "server-says-it-leaves"
	ServerAsksForPause   Kind = "server-asks-for-a-pause"
	DeadlyRequests       Kind = "deadly-requests"
	LastKeyWithdrawal    Kind = "last-key-taken"

	ServerGarblesStreams   Kind = "server-garbles-streams"
	ServerGarblesResponses Kind = "server-garbles-answers"

	ServerUpgrade Kind = "server-upgraded"
	AllNodesKill  Kind = "all-nodes-killed"

	ServerTakenAway Kind = "server-taken-away"
	UnseenVersion   Kind = "version-joins-unseen"

	NodesKilledAtJoin Kind = "nodes-killed-as-a-version-joins"
)

// plannedKinds lists the operations that operators plan, which must not cause any request to fail.
var plannedKinds = []Kind{NodeStop, ServerDrain, ConfigChange, KeyRotation, StoreCompaction}

// laterPlannedKinds are planned, too, and laterKinds are not. Each has a random sequence of its own.
var (
	laterPlannedKinds = []Kind{ServerAnnouncesDrain, LastKeyWithdrawal}
	laterKinds        = []Kind{ServerAsksForPause, DeadlyRequests, ServerGarblesStreams, ServerGarblesResponses}
)

// The random sequences of the kinds that come with upgrades.
const (
	upgradeStream uint64 = 1<<32 + iota
	allNodesKillStream
	takenAwayStream
	unseenVersionStream
	killedAtJoinStream
)

// Kinds lists all kinds of faults.
var Kinds = slices.Concat([]Kind{ServerSendsEndlessBytes, StoreRestore, ServerUpgrade, AllNodesKill, ServerTakenAway, UnseenVersion, NodesKilledAtJoin}, laterPlannedKinds, laterKinds, drawnKinds)

// drawnKinds lists the kinds that one random sequence draws, in the order on which the schedules of
// existing seeds depend.
var drawnKinds = append([]Kind{
	NodeKill, NodePause, StoreLinkBlackhole, StoreLinkReset, StoreLinkOneWay, StoreLinkDelay,
	ServerLinkBlackhole, ServerLinkReset, ServerLinkOneWay, ServerLinkDelay, CallerLinkReset, CallerLinkDelay,
	StoreBusy, StoreUnresponsive, ServerLosesResponses, ServerInterruptsStreams, ServerRespondsTwice, ServerFull, ServerCrash,
}, plannedKinds...)

// IsPlanned reports whether a kind is a planned operation.
func (k Kind) IsPlanned() bool {
	return k == ServerUpgrade || slices.Contains(plannedKinds, k) || slices.Contains(laterPlannedKinds, k)
}

// Fault is a fault of a schedule.
type Fault struct {
	// Start is the time since the start of traffic, and Duration how long the
	// fault lasts if its kind has a duration.
	Start, Duration time.Duration
	Kind            Kind
	// Target selects the affected node or server, modulo their number.
	Target int
}

// String describes a fault in one line.
func (f Fault) String() string {
	return fmt.Sprintf("%6.2fs %s #%d for %s", f.Start.Seconds(), f.Kind, f.Target, f.Duration)
}

const (
	// meanInterval is the mean time between two faults or bursts.
	meanInterval = 900 * time.Millisecond
	// minDuration and maxDuration bound the duration of a fault.
	minDuration, maxDuration = 300 * time.Millisecond, 4 * time.Second
	// burstShare of the faults start a burst of up to maxBurst faults of the same
	// kind, at intervals of up to maxBurstInterval.
	burstShare       = 0.3
	maxBurst         = 4
	maxBurstInterval = time.Second
	// plannedOnlyShare is the share of schedules that hold only planned faults.
	plannedOnlyShare = 0.3
	// targetCount is the exclusive upper bound of Fault.Target.
	targetCount = 1000
)

// Generate returns the faults of a seed that start within a period, ordered by start.
func Generate(seed uint64, period time.Duration) []Fault {
	random := rand.New(rand.NewPCG(seed, seed))
	kinds := drawnKinds
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
	plannedOnly := len(kinds) == len(plannedKinds)
	if !plannedOnly {
		faults = append(faults, generateOneKind(ServerSendsEndlessBytes, ^seed, seed, period)...)
	}
	if !plannedOnly || seed%2 == 0 {
		// Between planned operations alone, the nodes have the time to show that they follow the store.
		faults = append(faults, generateOneKind(StoreRestore, seed, ^seed, period)...)
	}
	faults = append(faults, generateLaterKinds(seed, period, plannedOnly)...)
	faults = append(faults, generateUpgrades(seed, period, plannedOnly)...)
	if !plannedOnly {
		faults = append(faults, generateOneKind(ServerTakenAway, takenAwayStream, seed, period)...)
		faults = append(faults, generateUnseenVersion(seed, period)...)
	} else {
		faults = append(faults, generateKillAtJoin(seed, period)...)
	}
	slices.SortStableFunc(faults, func(a, b Fault) int { return cmp.Compare(a.Start, b.Start) })
	return faults
}

// meanSeparateInterval is the mean time between two faults of a kind that has a random sequence of its own.
const meanSeparateInterval = 8 * time.Second

// generateLaterKinds returns the faults of the kinds that were added last, of which a seed has some.
func generateLaterKinds(seed uint64, period time.Duration, plannedOnly bool) []Fault {
	kinds := laterPlannedKinds
	if !plannedOnly {
		kinds = slices.Concat(laterPlannedKinds, laterKinds)
	}
	var faults []Fault
	for i, k := range kinds {
		stream := uint64(i) + 1
		if (seed+stream)%2 != 0 {
			continue
		}
		generated := generateOneKind(k, stream, seed, period)
		if k == LastKeyWithdrawal || k == DeadlyRequests {
			// Little is served meanwhile, or it lasts long.
			generated = generated[:min(1, len(generated))]
		}
		faults = append(faults, generated...)
	}
	return faults
}

// upgradeDivisor is the part of the seeds in which servers are upgraded to another software version, as a divisor.
const upgradeDivisor = 2

// generateUpgrades returns the upgrades of servers, and the kills of all nodes beside them. A seed without
// upgrades has none of both.
func generateUpgrades(seed uint64, period time.Duration, plannedOnly bool) []Fault {
	if seed%upgradeDivisor != 0 {
		return nil
	}
	faults := generateOneKind(ServerUpgrade, upgradeStream, seed, period)
	if plannedOnly {
		return faults
	}
	kills := generateOneKind(AllNodesKill, allNodesKillStream, seed, period)
	return append(faults, kills[:min(1, len(kills))]...)
}

// generateUnseenVersion returns the begin of another software version while a node is out of step, in a seed without
// upgrades: all nodes know one version until then.
func generateUnseenVersion(seed uint64, period time.Duration) []Fault {
	if seed%upgradeDivisor == 0 {
		return nil
	}
	faults := generateOneKind(UnseenVersion, unseenVersionStream, seed, period)
	return faults[:min(1, len(faults))]
}

// generateKillAtJoin returns kills of nodes around the begin of another software version, in a seed without
// upgrades. Among planned operations alone, most nodes can go on with the streams.
func generateKillAtJoin(seed uint64, period time.Duration) []Fault {
	if seed%upgradeDivisor == 0 {
		return nil
	}
	faults := generateOneKind(NodesKilledAtJoin, killedAtJoinStream, seed, period)
	return faults[:min(1, len(faults))]
}

// generateOneKind returns the faults of a kind that was added later. It has a random sequence of its own,
// so that the other faults of existing seeds stay the same.
func generateOneKind(k Kind, stream, seed uint64, period time.Duration) []Fault {
	random := rand.New(rand.NewPCG(seed, stream))
	var faults []Fault
	for start := time.Second; ; {
		start += time.Duration(random.ExpFloat64() * float64(meanSeparateInterval))
		if start >= period {
			return faults
		}
		faults = append(faults, Fault{
			Start: start, Kind: k, Target: random.IntN(targetCount),
			Duration: minDuration + time.Duration(random.Int64N(int64(maxDuration-minDuration))),
		})
	}
}
