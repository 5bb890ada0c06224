package usagereporter

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/decisions/usagecounter"
)

const (
	// collectionDelay is the time after which the counts of all nodes have reached the nodes that publish them:
	// twice the interval at which nodes send them.
	collectionDelay = time.Second
	// repeatFor is how long after a window's end its report is repeated.
	repeatFor = time.Minute
)

// schedule says when windows are decided, as times after their end.
type schedule struct {
	window time.Duration
	// complete is when a window is decided if the reports of all publishers are complete, and incomplete if they
	// aren't.
	complete, incomplete time.Duration
	// retention is how long publishers keep a window's counts, so that it can't be decided later.
	retention time.Duration
}

// newSchedule returns the schedule for windows whose reports are due some time after their end. Of this time, a
// quarter is for counts to arrive, and four tenths remain for sending the report.
func newSchedule(window, due time.Duration) schedule {
	return schedule{window: window, complete: due / 4, incomplete: due * 6 / 10, retention: due * 3 / 2}
}

// ledger merges the counts of all nodes and decides what to report for each window. The zero value, with a schedule,
// is empty. It does no I/O, and has one user at a time.
type ledger struct {
	schedule
	// counts holds the merged counts of the windows that are still to be decided.
	counts map[quetzalroad.UsageWindow]windowCounts
	// publishers holds when each publisher wrote its last report.
	publishers map[quetzalroad.NodeName]time.Time
	// state is what is saved, or about to be. It is valid after begin.
	state quetzalroad.UsageState
	// lostBefore is the time before which decisions may be missing in state.
	lostBefore time.Time
}

// windowCounts are the counts of one window, by the incarnation of a node and team.
type windowCounts map[countKey]int

type countKey struct {
	node            quetzalroad.NodeName
	startedAtMicros int64
	team            quetzalroad.TeamName
}

// begin continues from what an earlier holder saved; nil if there is nothing. Counts that were merged before are
// kept.
func (l *ledger) begin(now time.Time, saved *quetzalroad.UsageState, lostBefore time.Time) {
	l.lostBefore = lostBefore
	if saved != nil {
		l.state = *saved
		return
	}
	l.state = quetzalroad.UsageState{DecidedThrough: usagecounter.WindowAt(now.Add(-l.retention), l.window)}
}

// end returns the end of a window.
func (l *ledger) end(w quetzalroad.UsageWindow) time.Time {
	return time.Unix(0, int64(w+1)*int64(l.window))
}

// merge adds the counts of reports, and drops those that are no longer needed.
func (l *ledger) merge(now time.Time, reports []quetzalroad.ActivityReport) {
	if l.counts == nil {
		l.counts = make(map[quetzalroad.UsageWindow]windowCounts)
		l.publishers = make(map[quetzalroad.NodeName]time.Time)
	}
	oldest := usagecounter.WindowAt(now.Add(-l.retention), l.window)
	for _, report := range reports {
		if report.WrittenAt.After(l.publishers[report.Node]) {
			l.publishers[report.Node] = report.WrittenAt
		}
		for _, u := range report.Usage {
			if u.Window >= oldest {
				l.add(u)
			}
		}
	}
	maps.DeleteFunc(l.counts, func(w quetzalroad.UsageWindow, _ windowCounts) bool { return w < oldest })
	maps.DeleteFunc(l.publishers, func(_ quetzalroad.NodeName, writtenAt time.Time) bool { return now.Sub(writtenAt) > repeatFor })
}

func (l *ledger) add(u quetzalroad.NodeUsage) {
	counts := l.counts[u.Window]
	if counts == nil {
		counts = make(windowCounts)
		l.counts[u.Window] = counts
	}
	for _, t := range u.Teams {
		key := countKey{node: u.Node, startedAtMicros: u.StartedAt.UnixMicro(), team: t.Team}
		counts[key] = max(counts[key], t.Requests)
	}
}

// verdict is what happens to a window.
type verdict int

const (
	// verdictWait leaves the window undecided for now.
	verdictWait verdict = iota
	verdictReport
	// verdictSkip leaves it undecided for good.
	verdictSkip
)

// next returns the first undecided window and what to do with it. Reports were last read at mergedAt.
func (l *ledger) next(now, mergedAt time.Time) (quetzalroad.UsageWindow, verdict) {
	w := l.state.DecidedThrough + 1
	end := l.end(w)
	switch {
	case end.Before(l.lostBefore), now.Sub(end) > l.retention:
		return w, verdictSkip
	case mergedAt.Sub(end) >= l.incomplete && l.hasReportSince(end):
		return w, verdictReport
	case mergedAt.Sub(end) >= l.complete && l.hasReportSince(end) && l.isComplete(w):
		return w, verdictReport
	}
	return w, verdictWait
}

// isComplete reports whether each publisher that reported during the window before, or later, has reported since the
// counts of this window were complete.
func (l *ledger) isComplete(w quetzalroad.UsageWindow) bool {
	end := l.end(w)
	expectedSince := end.Add(-2 * l.window)
	for _, writtenAt := range l.publishers {
		if !writtenAt.Before(expectedSince) && writtenAt.Before(end.Add(collectionDelay)) {
			return false
		}
	}
	return true
}

// hasReportSince reports whether any publisher has reported since a time. Without one, this node's clock may be wrong,
// or no counts are known.
func (l *ledger) hasReportSince(t time.Time) bool {
	for _, writtenAt := range l.publishers {
		if !writtenAt.Before(t) {
			return true
		}
	}
	return false
}

// decide fixes the report of the next window, which must not change anymore once it is saved.
func (l *ledger) decide(w quetzalroad.UsageWindow) quetzalroad.UsageReport {
	totals := make(map[quetzalroad.TeamName]int)
	for key, requests := range l.counts[w] {
		totals[key.team] += requests
	}
	report := quetzalroad.UsageReport{Window: w}
	for team, requests := range totals {
		report.Teams = append(report.Teams, quetzalroad.TeamUsage{Team: team, Requests: requests})
	}
	slices.SortFunc(report.Teams, func(a, b quetzalroad.TeamUsage) int { return cmp.Compare(a.Team, b.Team) })
	l.state.DecidedThrough = w
	l.state.Pending = append(l.state.Pending, report)
	return report
}

// skip leaves the next window undecided for good, and all those that ended so early that they can't be decided. It
// returns how many.
func (l *ledger) skip(now time.Time) int {
	first := l.state.DecidedThrough + 1
	last := max(first, usagecounter.WindowAt(now.Add(-l.retention), l.window)-1)
	l.state.DecidedThrough = last
	return int(last-first) + 1
}

// confirm removes a report that the platform has.
func (l *ledger) confirm(w quetzalroad.UsageWindow) {
	l.state.Pending = slices.DeleteFunc(l.state.Pending, func(r quetzalroad.UsageReport) bool { return r.Window == w })
}

// expire removes the reports that are no longer repeated, and returns them.
func (l *ledger) expire(now time.Time) []quetzalroad.UsageReport {
	var expired []quetzalroad.UsageReport
	l.state.Pending = slices.DeleteFunc(l.state.Pending, func(r quetzalroad.UsageReport) bool {
		isExpired := now.Sub(l.end(r.Window)) > repeatFor
		if isExpired {
			expired = append(expired, r)
		}
		return isExpired
	})
	return expired
}
