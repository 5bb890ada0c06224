package quarantiner

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/quetzalroad/quetzalroad"
)

// loss returns a loss under segments of one wave.
func loss(u quetzalroad.UpstreamName, wave int, ids ...string) quetzalroad.UpstreamLoss {
	l := quetzalroad.UpstreamLoss{Upstream: u}
	for _, id := range ids {
		l.Segments = append(l.Segments, quetzalroad.ExposedSegment{ID: id, Wave: wave})
	}
	return l
}

func TestAttribute(t *testing.T) {
	for name, c := range map[string]struct {
		losses []quetzalroad.UpstreamLoss
		sound  map[string]int
		want   map[string]int
	}{
		"two upstreams are too few": {
			losses: []quetzalroad.UpstreamLoss{loss("a", 1, "x"), loss("b", 2, "x")},
			want:   map[string]int{},
		},
		"three in two waves suffice": {
			losses: []quetzalroad.UpstreamLoss{loss("a", 1, "x"), loss("b", 1, "x"), loss("c", 2, "x")},
			want:   map[string]int{"x": 3},
		},
		"three at once are a single wave": {
			losses: []quetzalroad.UpstreamLoss{loss("a", 1, "x"), loss("b", 1, "x"), loss("c", 1, "x")},
			want:   map[string]int{},
		},
		"one upstream counts once": {
			losses: []quetzalroad.UpstreamLoss{loss("a", 1, "x", "p"), loss("a", 2, "x", "q"), loss("b", 2, "x", "r")},
			want:   map[string]int{},
		},
		"five at once suffice for a segment that was never sound": {
			losses: []quetzalroad.UpstreamLoss{loss("a", 1, "x"), loss("b", 1, "x"), loss("c", 1, "x"), loss("d", 1, "x"), loss("e", 1, "x")},
			want:   map[string]int{"x": 5},
		},
		"five at once don't suffice for one that was": {
			losses: []quetzalroad.UpstreamLoss{loss("a", 1, "x"), loss("b", 1, "x"), loss("c", 1, "x"), loss("d", 1, "x"), loss("e", 1, "x")},
			sound:  map[string]int{"x": 0},
			want:   map[string]int{},
		},
		"a segment that turned deadly": {
			losses: []quetzalroad.UpstreamLoss{loss("a", 1, "x"), loss("b", 1, "x"), loss("c", 2, "x"), loss("d", 2, "x"), loss("e", 3, "x")},
			sound:  map[string]int{"x": 0},
			want:   map[string]int{"x": 5},
		},
		"the last of several that always come together": {
			losses: []quetzalroad.UpstreamLoss{loss("a", 1, "common", "subject", "x"), loss("b", 1, "common", "subject", "x"), loss("c", 2, "common", "subject", "x")},
			want:   map[string]int{"x": 3},
		},
		"the one that was never sound, wherever it stands": {
			losses: []quetzalroad.UpstreamLoss{loss("a", 1, "x", "common", "p"), loss("b", 1, "x", "common", "p"), loss("c", 2, "x", "common", "p")},
			sound:  map[string]int{"common": 0, "p": 0},
			want:   map[string]int{"x": 3},
		},
		"a sound neighbour is in losses of its own as well": {
			losses: []quetzalroad.UpstreamLoss{loss("a", 1, "common", "x"), loss("b", 1, "common", "x"), loss("c", 2, "common", "x"), loss("d", 3, "common", "y")},
			sound:  map[string]int{"common": 0},
			want:   map[string]int{"x": 3},
		},
		"a later complete response disproves the losses before it": {
			losses: []quetzalroad.UpstreamLoss{loss("a", 1, "x"), loss("b", 1, "x"), loss("c", 2, "x"), loss("d", 3, "x")},
			sound:  map[string]int{"x": 2},
			want:   map[string]int{},
		},
		"two deadly segments": {
			losses: []quetzalroad.UpstreamLoss{
				loss("a", 1, "c", "x"), loss("b", 1, "c", "x"), loss("c", 2, "c", "x"), loss("d", 2, "c", "y"), loss("e", 3, "c", "y"), loss("f", 3, "c", "y"),
			},
			sound: map[string]int{"c": 0},
			want:  map[string]int{"x": 3, "y": 3},
		},
	} {
		t.Run(name, func(t *testing.T) {
			if diff := cmp.Diff(c.want, attribute(quetzalroad.LossEvidence{Losses: c.losses}, c.sound, defaultThresholds)); diff != "" {
				t.Errorf("(-want +got):\n%s", diff)
			}
		})
	}
}

func TestAttributeWholeRequests(t *testing.T) {
	for name, c := range map[string]struct {
		losses []quetzalroad.UpstreamLoss
		sound  map[string]int
		want   map[string]int
	}{
		"the same request three times, also at once": {
			losses: []quetzalroad.UpstreamLoss{loss("a", 1, "c", "x", "request:1"), loss("b", 1, "c", "x", "request:1"), loss("c", 1, "c", "x", "request:1")},
			sound:  map[string]int{"c": 0},
			want:   map[string]int{"request:1": 3},
		},
		"a segment of many requests before one of them": {
			losses: []quetzalroad.UpstreamLoss{
				loss("a", 1, "c", "x", "request:1"), loss("b", 1, "c", "x", "request:1"), loss("c", 2, "c", "x", "request:1"), loss("d", 2, "c", "x", "request:2"),
			},
			sound: map[string]int{"c": 0},
			want:  map[string]int{"x": 4},
		},
	} {
		t.Run(name, func(t *testing.T) {
			if diff := cmp.Diff(c.want, attribute(quetzalroad.LossEvidence{Losses: c.losses}, c.sound, defaultThresholds)); diff != "" {
				t.Errorf("(-want +got):\n%s", diff)
			}
		})
	}
}

func TestAttributeRequestsInFlight(t *testing.T) {
	for name, c := range map[string]struct {
		losses   []quetzalroad.UpstreamLoss
		inFlight []quetzalroad.UpstreamLoss
		sound    map[string]int
		want     map[string]int
	}{
		"five upstreams with requests in flight in two waves": {
			inFlight: []quetzalroad.UpstreamLoss{loss("a", 1, "x"), loss("b", 1, "x", "y"), loss("c", 1, "x"), loss("d", 2, "x", "y"), loss("e", 2, "x")},
			want:     map[string]int{"x": 5},
		},
		"five at once with requests in flight": {
			inFlight: []quetzalroad.UpstreamLoss{loss("a", 1, "x"), loss("b", 1, "x"), loss("c", 1, "x"), loss("d", 1, "x"), loss("e", 1, "x")},
			want:     map[string]int{},
		},
		"requests in flight speak against no segment that was sound": {
			inFlight: []quetzalroad.UpstreamLoss{loss("a", 1, "x"), loss("b", 2, "x"), loss("c", 3, "x"), loss("d", 4, "x"), loss("e", 5, "x")},
			sound:    map[string]int{"x": 0},
			want:     map[string]int{},
		},
		"requests in flight beside the deadly one": {
			losses:   []quetzalroad.UpstreamLoss{loss("a", 1, "x"), loss("b", 1, "x"), loss("c", 2, "x"), loss("d", 2, "x"), loss("e", 3, "x")},
			inFlight: []quetzalroad.UpstreamLoss{loss("a", 1, "y"), loss("b", 1, "y"), loss("c", 2, "y"), loss("d", 3, "y"), loss("e", 4, "y")},
			want:     map[string]int{"x": 5},
		},
		"the same request in flight on three upstreams, each time it was known": {
			inFlight: []quetzalroad.UpstreamLoss{loss("a", 1, "request:1"), loss("b", 2, "request:1"), loss("c", 3, "request:1")},
			want:     map[string]int{"request:1": 3},
		},
		"the same request in flight on three upstreams by chance": {
			inFlight: []quetzalroad.UpstreamLoss{loss("a", 1, "request:1"), loss("b", 1, "request:1"), loss("c", 2, "request:1")},
			want:     map[string]int{},
		},
	} {
		t.Run(name, func(t *testing.T) {
			if diff := cmp.Diff(c.want, attribute(quetzalroad.LossEvidence{Losses: c.losses, InFlight: c.inFlight}, c.sound, defaultThresholds)); diff != "" {
				t.Errorf("(-want +got):\n%s", diff)
			}
		})
	}
}
