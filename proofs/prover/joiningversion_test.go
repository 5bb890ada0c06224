package prover

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/quetzalroad/quetzalroad"
)

const (
	// joinTime is the time from the first stream to the first registration of a new version.
	joinTime = time.Second
	// unrecordedTime is the time before a kill in which streams begin that no record has, once two versions are open.
	unrecordedTime = 500 * time.Millisecond
)

// killAsVersionJoins sends streams to some nodes, has a version join, and kills these nodes after a delay. It
// returns the streams that had begun, and when the nodes were killed.
func (f *separableFleet) killAsVersionJoins(t *testing.T, victims int, delay time.Duration) (begun []*versionedStream, killedAt time.Time) {
	t.Helper()
	time.AfterFunc(joinTime, func() { f.setEngines("v2", 3) })
	streams, wait := f.openAt(joinTime+delay, 25*time.Millisecond, func(stream int) int { return stream % victims })
	killedAt = time.Now()
	if victims == len(f.nodes) {
		f.killAll(t)
		wait()
		f.start(t)
	} else {
		f.kill()
		for _, n := range f.nodes[:victims] {
			n.Kill()
			if err := n.Wait(); err != nil {
				t.Error(err)
			}
		}
		wait()
		f.ended, f.kill = context.WithCancel(context.Background())
	}
	return slices.DeleteFunc(streams, func(s *versionedStream) bool { return len(s.versions) == 0 || s.complete }), killedAt
}

// Guards against streams that are lost, or joined from two versions, when their nodes are killed as a version
// joins, whatever the moment: between its registration and the record of the streams, nothing told where they
// had begun.
func TestStreamsOfNodesKilledAsAVersionJoinsGoOn(t *testing.T) {
	const (
		latestKill = 2700 * time.Millisecond
		killStep   = 150 * time.Millisecond
	)
	atNewVersion := 0
	for victims := 1; victims <= 3; victims++ {
		for delay := time.Duration(0); delay <= latestKill; delay += killStep {
			t.Run(fmt.Sprintf("%d nodes %s after the registration", victims, delay), func(t *testing.T) {
				runSeparableFleet(t, "", func(t *testing.T, f *separableFleet) {
					begun, killedAt := f.killAsVersionJoins(t, victims, delay)
					for _, s := range begun {
						if s.versions[0] == "v2" {
							atNewVersion++
						}
					}
					f.resumeAt(len(f.nodes)-1, begun)
					if joined := countJoined(begun); joined > 0 {
						t.Errorf("%d of %d streams are joined", joined, len(begun))
					}
					for _, s := range begun {
						if age := killedAt.Sub(s.begunAt); !s.complete && age > unrecordedTime {
							t.Errorf("a stream of version %s that began %s before the kill does not go on: %v", s.versions[0], age, s.refusal)
						}
					}
				})
			})
		}
	}
	if atNewVersion == 0 {
		t.Error("no stream began at the new version, so that the test checks only half")
	}
}

// Guards against streams that find no upstream, or are joined, as all upstreams of the version that was there
// are about to leave when the new one joins.
func TestStreamsBeginAtAVersionThatReplacesAnother(t *testing.T) {
	runSeparableFleet(t, "", func(t *testing.T, f *separableFleet) {
		const drainAfter = 100 * time.Millisecond
		time.AfterFunc(joinTime+drainAfter, func() { f.drainEngines("v1") })
		begun, _ := f.killAsVersionJoins(t, 1, 3*time.Second)
		beginnings := make(map[quetzalroad.SoftwareVersion]int)
		for _, s := range begun {
			beginnings[s.versions[0]]++
		}
		if beginnings["v2"] < 10 {
			t.Errorf("streams that began, by version: %v", beginnings)
		}
		f.resumeAt(2, begun)
		if joined := countJoined(begun); joined > 0 {
			t.Errorf("%d of %d streams are joined", joined, len(begun))
		}
	})
}
