// Package activitypublisher exchanges what all nodes recently did through the platform's log.
//
// Each node that reads the log, for itself or for others, writes a report about itself and the nodes that it reads
// for. The holder of the lease reads the latest report of each.
package activitypublisher

import (
	"context"
	"expvar"
	"log/slog"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/codecs/activitymapper"
	"github.com/quetzalroad/quetzalroad/kernel"
	"github.com/quetzalroad/quetzalroad/support/configloader"
	"github.com/quetzalroad/quetzalroad/support/sleeper"
	"github.com/quetzalroad/quetzalroad/support/walltimer"
)

func init() {
	kernel.Register(kernel.Plugin{
		Slot: kernel.SlotActivity, Name: "log",
		New: func() kernel.Component { return new(Publisher) },
	})
}

// Publisher implements quetzalroad.ActivityExchange on a stream of the log. Declare describes its settings.
type Publisher struct {
	demandMeter
	// node gives access to components whose slots are filled after this one.
	node   *kernel.Node
	writer quetzalroad.KeyedWriter
	logger *slog.Logger
	timer  walltimer.Timer
	peers  peerDemand
	reader reader

	interval     time.Duration
	idleInterval time.Duration
	callTimeout  time.Duration

	written, writeFailures, readFailures expvar.Int
}

// Declare implements kernel.Component.
func (p *Publisher) Declare(s *configloader.Section) {
	s.Duration("interval", &p.interval, time.Second, 10*time.Millisecond, time.Minute, "Interval between two reports of this node while they change; half of it in fleets of up to 8 nodes.")
	s.Duration("idle-interval", &p.idleInterval, 4*time.Second, 10*time.Millisecond, time.Minute, "Interval between two reports while nothing changes.")
	s.Duration("read-interval", &p.reader.interval, 500*time.Millisecond, 0, time.Minute, "Minimum time between two reads of the reports of all nodes.")
	s.Duration("call-timeout", &p.callTimeout, 800*time.Millisecond, 10*time.Millisecond, time.Minute, "Timeout of a write to the log, and of the first and each further part of a read.")
	s.Duration("load-timeout", &p.reader.loadTimeout, 3*time.Second, 10*time.Millisecond, time.Minute, "Timeout of a whole read of the reports of all nodes.")
}

// Build implements kernel.Component.
func (p *Publisher) Build(n *kernel.Node) error {
	if n.KeyedLog == nil || n.KeyedWriter == nil {
		return errors.New("the activity exchange requires the slot keyed-log")
	}
	p.node, p.writer, p.logger = n, n.KeyedWriter, n.Logger
	p.reader.open(n.KeyedLog, p.callTimeout, n.Logger)
	n.Activity = p
	n.DemandMeter = &p.demandMeter
	n.Vars.Set("activity-reports-written", &p.written)
	n.Vars.Set("activity-write-failures", &p.writeFailures)
	n.Vars.Set("activity-read-failures", &p.readFailures)
	n.AddTask("publish activity", p.publish)
	n.OnStop(p.publishLast)
	return nil
}

// UpdatePeerActivity implements quetzalroad.ActivityExchange.
func (p *Publisher) UpdatePeerActivity(n quetzalroad.NodeName, received time.Time, demand []quetzalroad.ServiceActivity) {
	p.peers.update(n, received, demand)
}

// LocalDemand implements quetzalroad.ActivityExchange.
func (p *Publisher) LocalDemand(now time.Time) []quetzalroad.ServiceActivity {
	return p.demand(now)
}

// Refresh implements quetzalroad.ActivityExchange.
func (p *Publisher) Refresh(ctx context.Context) ([]quetzalroad.ActivityReport, error) {
	reports, err := p.reader.refresh(ctx)
	if err != nil {
		p.readFailures.Add(1)
	}
	return reports, err
}

// publish writes reports until the node stops. Nodes that another one reads the log for send it their observations
// instead.
func (p *Publisher) publish(ctx context.Context) error {
	var last quetzalroad.ActivityReport
	recovered := false
	for {
		// Different delays keep the writes of all nodes, which the log handles one at a time, apart.
		interval := p.currentInterval()
		delay := interval - time.Duration(rand.Int64N(int64(interval/jitterShare)))
		if err := sleeper.Sleep(ctx, delay); err != nil {
			return err
		}
		if !p.publishes() {
			continue
		}
		if !recovered && !p.recoverCounts(ctx) {
			continue
		}
		recovered = true
		report := p.report(time.Now())
		if isSameActivity(last, report) && report.WrittenAt.Sub(last.WrittenAt).Abs() < p.idleInterval-p.interval {
			continue
		}
		if p.write(ctx, report) {
			last = report
		}
	}
}

// recoverCounts takes over the counts in the last report under this node's name, and reports whether it could be read.
// The next report replaces that one, which a process before this one may have written moments before it was killed.
func (p *Publisher) recoverCounts(ctx context.Context) bool {
	if p.node.UsageMeter == nil {
		return true
	}
	reports, err := p.Refresh(ctx)
	if err != nil {
		return false
	}
	for _, r := range reports {
		if r.Node == p.node.Name {
			p.node.UsageMeter.UpdatePeerUsage(time.Now(), r.Usage)
		}
	}
	return true
}

// publishes reports whether this node reads the log. While the list of nodes is unknown, as when a whole fleet starts,
// all nodes read it, and their writes would exceed the rate that the log allows.
func (p *Publisher) publishes() bool {
	if p.node.Fleet != nil && len(p.node.Fleet.Nodes()) == 0 {
		return false
	}
	return p.node.LogSharing == nil || !p.node.LogSharing.HasReader()
}

// smallFleet is the number of nodes up to which reports are written twice as often. What a publisher counted since its
// last report is lost if it dies, and with few nodes that is a large part of a window's requests.
const smallFleet = 8

func (p *Publisher) currentInterval() time.Duration {
	if p.node.Fleet != nil && len(p.node.Fleet.Nodes()) <= smallFleet {
		return p.interval / 2
	}
	return p.interval
}

// jitterShare is the part of the interval by which delays differ, as a divisor.
const jitterShare = 8

// isSameActivity reports whether two reports are the same.
func isSameActivity(a, b quetzalroad.ActivityReport) bool {
	return slices.Equal(a.Demand, b.Demand) && slices.EqualFunc(a.Usage, b.Usage, func(a, b quetzalroad.NodeUsage) bool {
		return a.Node == b.Node && a.StartedAt.Equal(b.StartedAt) && a.Window == b.Window && slices.Equal(a.Teams, b.Teams)
	})
}

// publishLast writes the last report of a node that stops, also of one that another node reads the log for: what it
// counted since it last sent its observations would be lost.
func (p *Publisher) publishLast(ctx context.Context) {
	p.write(ctx, p.report(time.Now()))
}

// report returns a report about this node and those that it reads the log for.
func (p *Publisher) report(now time.Time) quetzalroad.ActivityReport {
	report := quetzalroad.ActivityReport{Node: p.node.Name, DataCentre: p.node.DataCentre, WrittenAt: p.timer.Time(now).UTC()}
	if p.node.UsageMeter != nil {
		report.Usage = p.node.UsageMeter.KnownUsage(now)
	}
	sum := make(demandSum)
	sum.add(p.demand(now))
	p.peers.addTo(sum, now)
	report.Demand = sum.list()
	return report
}

// write writes a report, and reports whether the log confirmed it.
func (p *Publisher) write(ctx context.Context, report quetzalroad.ActivityReport) bool {
	data, err := activitymapper.EncodeReport(report)
	if err == nil {
		callCtx, cancel := context.WithTimeout(ctx, p.callTimeout)
		defer cancel()
		_, err = p.writer.PutKeyed(callCtx, quetzalroad.LogStreamActivity, string(p.node.Name), data)
	}
	if err != nil {
		p.writeFailures.Add(1)
		p.logger.Info("failed to write the activity report", "error", err)
		return false
	}
	p.written.Add(1)
	return true
}
