package gossiper

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/kernel"
)

// demandTimes notes when the demands that it was given were measured.
type demandTimes struct {
	quetzalroad.Limiter
	quetzalroad.Drainer
	measured []time.Time
}

// UpdateDataCentre implements quetzalroad.Limiter.
func (l *demandTimes) UpdateDataCentre(_ quetzalroad.DataCentre, measuredAt time.Time, _ []quetzalroad.TeamDemand) {
	l.measured = append(l.measured, measuredAt)
}

// MergeDrains implements quetzalroad.Drainer.
func (*demandTimes) MergeDrains([]quetzalroad.Drain) {}

// ignoredHeadroom implements quetzalroad.Spiller.
type ignoredHeadroom struct{ quetzalroad.Spiller }

// UpdateDataCentre implements quetzalroad.Spiller.
func (ignoredHeadroom) UpdateDataCentre(quetzalroad.DataCentre, time.Time, time.Duration, []quetzalroad.ServiceHeadroom) {
}

// No later demand of that data centre would count.
func TestDemandMeasuredInTheFutureDoesNotHideLaterOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limiter := new(demandTimes)
		g := &Gossiper{node: &kernel.Node{Limiter: limiter, Spiller: ignoredHeadroom{}, Drainer: limiter}}
		g.node.Name, g.node.DataCentre = "n", "west"
		beat := func(measuredAt time.Time, tokens float64) {
			g.applyHeartbeat(quetzalroad.Heartbeat{From: quetzalroad.PeerAddress{Name: "m", DataCentre: "east"}, CrossDataCentre: true, DataCentreDemands: []quetzalroad.DataCentreDemand{
				{DataCentre: "east", MeasuredAt: measuredAt, TeamDemands: []quetzalroad.TeamDemand{{Team: "t", TokensPerSecond: tokens}}},
			}})
		}
		first := time.Now()
		beat(first.AddDate(100, 0, 0), 1)
		time.Sleep(time.Second)
		beat(time.Now(), 2)
		if diff := cmp.Diff([]time.Time{first, first.Add(time.Second)}, limiter.measured); diff != "" {
			t.Errorf("(-want +got):\n%s", diff)
		}
		if got := g.members.directDemands(first); len(got) != 1 || got[0].TeamDemands[0].TokensPerSecond != 2 {
			t.Errorf("%+v, want the second demand", got)
		}
	})
}
