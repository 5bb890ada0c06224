package activitypublisher

import (
	"expvar"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/kernel"
	"github.com/quetzalroad/quetzalroad/proofs/faker"
	"github.com/quetzalroad/quetzalroad/support/configloader"
)

// sharing is a node's part in shared reads.
type sharing bool

func (s sharing) HasReader() bool { return bool(s) }

// newPublisher returns a started publisher on a log, and what stops it.
func newPublisher(t *testing.T, log *faker.KeyedLog, name quetzalroad.NodeName, hasReader bool) (*Publisher, func()) {
	t.Helper()
	return newMeteredPublisher(t, log, name, hasReader, nil)
}

// newMeteredPublisher returns a started publisher of what a meter counts; nil for none.
func newMeteredPublisher(t *testing.T, log *faker.KeyedLog, name quetzalroad.NodeName, hasReader bool, meter quetzalroad.UsageMeter) (*Publisher, func()) {
	t.Helper()
	n := &kernel.Node{Identity: kernel.Identity{Name: name, DataCentre: "dc"}, Logger: slog.New(slog.DiscardHandler), Vars: new(expvar.Map), LogSharing: sharing(hasReader)}
	p := new(Publisher)
	p.Declare(new(configloader.Section))
	n.KeyedLog, n.KeyedWriter, n.UsageMeter = log, log, meter
	if err := p.Build(n); err != nil {
		t.Fatal(err)
	}
	n.Start()
	return p, func() {
		n.Stop(t.Context())
		if err := n.Wait(); err != nil {
			t.Error(err)
		}
	}
}

// countedUsage is what a node counted, and what it took over from other processes.
type countedUsage struct {
	quetzalroad.UsageMeter
	own, taken []quetzalroad.NodeUsage
}

func (u *countedUsage) KnownUsage(time.Time) []quetzalroad.NodeUsage {
	return append(u.taken[:len(u.taken):len(u.taken)], u.own...)
}

func (u *countedUsage) UpdatePeerUsage(_ time.Time, usage []quetzalroad.NodeUsage) {
	u.taken = append(u.taken, usage...)
}

// A process that is killed and started again writes under the same name. Its first report would replace the last one
// of the process before it, with all that the holder of the lease has not read yet.
func TestRestartedPublisherKeepsTheCountsOfTheProcessBeforeIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := new(faker.KeyedLog)
		usage := func(startedAt int64, requests int) []quetzalroad.NodeUsage {
			return []quetzalroad.NodeUsage{{Node: "n", StartedAt: time.UnixMilli(startedAt).UTC(), Window: 7, Teams: []quetzalroad.TeamUsage{{Team: "team", Requests: requests}}}}
		}
		_, kill := newMeteredPublisher(t, log, "n", false, &countedUsage{own: usage(1000, 5)})
		time.Sleep(3 * time.Second)
		kill()
		after, stop := newMeteredPublisher(t, log, "n", false, &countedUsage{own: usage(2000, 3)})
		time.Sleep(3 * time.Second)
		reports, err := after.Refresh(t.Context())
		if err != nil || len(reports) != 1 {
			t.Fatalf("%d reports, error %v", len(reports), err)
		}
		if diff := cmp.Diff(append(usage(1000, 5), usage(2000, 3)...), reports[0].Usage); diff != "" {
			t.Errorf("counts (-want +got):\n%s", diff)
		}
		stop()
	})
}

// Each write has a price, and reports that come too seldom make windows late.
func TestReportsAreWrittenAsOftenAsTheyChange(t *testing.T) {
	for name, c := range map[string]struct {
		hasReader, busy bool
		low, high       int64
	}{
		"busy":               {busy: true, low: 20, high: 23},
		"idle":               {low: 5, high: 7},
		"busy with a reader": {hasReader: true, busy: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p, stop := newPublisher(t, new(faker.KeyedLog), "n", c.hasReader)
				for range 200 {
					if c.busy {
						p.BeginRequest(time.Now(), "s")
					}
					time.Sleep(100 * time.Millisecond)
				}
				if got := p.written.Value(); got < c.low || got > c.high {
					t.Errorf("%d reports in 20 s, want %d to %d", got, c.low, c.high)
				}
				before := p.written.Value()
				stop()
				if got := p.written.Value(); got != before+1 {
					t.Errorf("%d reports at the stop, want 1", got-before)
				}
			})
		})
	}
}

// The holder of the lease must see each publisher once, also after the log was restored.
func TestRefreshReturnsTheLatestReportOfEachPublisher(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := new(faker.KeyedLog)
		first, stopFirst := newPublisher(t, log, "n1", false)
		defer stopFirst()
		_, stopSecond := newPublisher(t, log, "n2", false)
		defer stopSecond()
		log.Put(quetzalroad.LogStreamActivity, "n3", "unreadable")
		empty := log.Copy()
		read := func() []quetzalroad.NodeName {
			t.Helper()
			reports, err := first.Refresh(t.Context())
			if err != nil {
				t.Fatal(err)
			}
			var names []quetzalroad.NodeName
			for _, r := range reports {
				names = append(names, r.Node)
				if age := time.Since(r.WrittenAt); age > 5*time.Second {
					t.Errorf("the report of %s is %s old", r.Node, age)
				}
			}
			return names
		}
		for range 3 {
			time.Sleep(7 * time.Second)
			if diff := cmp.Diff([]quetzalroad.NodeName{"n1", "n2"}, read()); diff != "" {
				t.Errorf("(-want +got):\n%s", diff)
			}
		}
		log.Restore(empty)
		time.Sleep(7 * time.Second)
		if diff := cmp.Diff([]quetzalroad.NodeName{"n1", "n2"}, read()); diff != "" {
			t.Errorf("after the restore (-want +got):\n%s", diff)
		}
	})
}

// A burst must show within a second or two, and end as soon.
func TestDemandIsThatOfTheLastSecondsAtAllNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, stop := newPublisher(t, new(faker.KeyedLog), "n", false)
		defer stop()
		for range 20 {
			p.BeginRequest(time.Now(), "s")
			p.BeginRequest(time.Now(), "s")
			p.EndRequest(time.Now(), "s")
			p.CountLate(time.Now(), "s")
			p.CountRefused(time.Now(), "s")
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(400 * time.Millisecond)
		p.UpdatePeerActivity("m", time.Now(), []quetzalroad.ServiceActivity{{Service: "s", Requests: 5, InFlight: 1}})
		want := []quetzalroad.ServiceActivity{{Service: "s", Requests: 25, InFlight: 21, Late: 10, Refused: 10}}
		if diff := cmp.Diff(want, p.report(time.Now()).Demand); diff != "" {
			t.Errorf("(-want +got):\n%s", diff)
		}
		for range 20 {
			p.EndRequest(time.Now(), "s")
		}
		time.Sleep(3 * time.Second)
		if got := p.report(time.Now()).Demand; len(got) > 0 {
			t.Errorf("demand %v without requests", got)
		}
	})
}
