package intaker

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/quetzalroad/quetzalroad"
)

// newTestEntry returns an entry of a tier, which can be granted and interrupted.
func newTestEntry(tier quetzalroad.Tier) *entry {
	return &entry{tier: tier, granted: make(chan struct{}, 1)}
}

// hold has an entry hold bytes that fit.
func hold(t *testing.T, l *ledger, now time.Time, e *entry, bytes int) {
	t.Helper()
	if granted, _ := l.grow(now, e, bytes); !granted {
		t.Fatalf("%d bytes don't fit", bytes)
	}
}

// A request that doesn't fit took memory all the same, or a less urgent one was served before it.
func TestWaitingRequestsAreServedByUrgency(t *testing.T) {
	now := time.Unix(1000, 0)
	l := ledger{capacity: 100, stallAfter: time.Second}
	holder, late, urgent, early := newTestEntry(1), newTestEntry(2), newTestEntry(0), newTestEntry(2)
	hold(t, &l, now, holder, 90)
	holder.received = true
	for _, e := range []*entry{early, late, urgent} {
		if granted, possible := l.grow(now, e, 50); granted || !possible {
			t.Fatalf("granted %v, possible %v", granted, possible)
		}
	}
	l.shrink(holder, 90)
	granted, _ := l.advance(now)
	if len(granted) != 2 || granted[0] != urgent || granted[1] != early {
		t.Errorf("%d requests were served, want the urgent one and then the earlier", len(granted))
	}
	if _, possible := l.grow(now, newTestEntry(0), 101); possible {
		t.Error("a request waits for more than there is")
	}
}

// Requests gave way that had arrived, or that are more urgent than the one that needs the memory; or none did, so that
// bodies that never end kept all others waiting.
func TestWhichRequestsGiveWay(t *testing.T) {
	const (
		unurgent = iota
		sameEarlier
		sameLater
		urgent
		received
	)
	for name, c := range map[string]struct {
		idle   time.Duration
		change func(entries []*entry)
		want   []int
	}{
		"the less urgent":                 {want: []int{unurgent}},
		"the stalled, of any tier":        {idle: time.Second, want: []int{unurgent, sameEarlier, sameLater, urgent}},
		"none that has arrived":           {change: func(entries []*entry) { entries[unurgent].received = true }},
		"none that has given way already": {change: func(entries []*entry) { entries[unurgent].evicted = true }},
		"the later if all wait": {change: func(entries []*entry) {
			entries[received].received = false
			for _, e := range entries {
				e.wanted = 5
			}
		}, want: []int{unurgent, sameLater, received}},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			l := ledger{capacity: 110, stallAfter: time.Second}
			entries := []*entry{newTestEntry(4), newTestEntry(2), nil, newTestEntry(1), newTestEntry(3)}
			asking := newTestEntry(2)
			hold(t, &l, now, entries[unurgent], 20)
			hold(t, &l, now, entries[sameEarlier], 20)
			hold(t, &l, now, asking, 10)
			entries[sameLater] = newTestEntry(2)
			for _, i := range []int{sameLater, urgent, received} {
				hold(t, &l, now, entries[i], 20)
			}
			entries[received].received = true
			if c.change != nil {
				c.change(entries)
			}
			asking.wanted = 100
			before := make(map[*entry]bool)
			for _, e := range entries {
				before[e] = e.evicted
			}
			l.evictFor(now.Add(c.idle), asking)
			var got []int
			for i, e := range entries {
				if e.evicted && !before[e] {
					got = append(got, i)
				}
			}
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// A caller was asked to come again before any memory could be free.
func TestRetryAfterIsWhenMemoryIsExpected(t *testing.T) {
	now := time.Unix(1000, 0)
	l := ledger{capacity: 100, stallAfter: time.Second}
	for i := range 5 {
		e := newTestEntry(1)
		e.receivedBy = now.Add(time.Duration(i+1) * time.Second)
		hold(t, &l, now, e, 20)
	}
	for bytes, want := range map[int]time.Duration{10: time.Second, 20: time.Second, 50: 3 * time.Second, 100: 5 * time.Second} {
		if got := l.retryAfter(now, bytes); got != want {
			t.Errorf("%d bytes: %s, want %s", bytes, got, want)
		}
	}
}
