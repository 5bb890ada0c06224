package tracker

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/kernel"
)

// poller requests load reports from the upstreams of the node's data centre. The nodes there divide
// the upstreams among themselves by a hash, and send each other the reports that they receive.
type poller struct {
	node     *kernel.Node
	tracker  *Tracker
	interval time.Duration
	timeout  time.Duration
}

// run polls until the context is cancelled.
func (p *poller) run(ctx context.Context) error {
	ticker := time.NewTicker(p.interval)
	defer ticker.Stop()
	for {
		p.pollAll(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (p *poller) pollAll(ctx context.Context) {
	nodes := p.participants()
	var group sync.WaitGroup
	for _, u := range p.node.Directory.Upstreams() {
		if u.DataCentre != p.node.DataCentre || owner(nodes, u.Name) != p.node.Name {
			continue
		}
		group.Go(func() { p.poll(ctx, u) })
	}
	group.Wait()
}

// participants lists the nodes of the data centre that share the polling.
func (p *poller) participants() []quetzalroad.NodeName {
	nodes := []quetzalroad.NodeName{p.node.Name}
	if p.node.Peers == nil {
		return nodes
	}
	for _, s := range p.node.Peers.Status() {
		if s.DataCentre == p.node.DataCentre && !s.Stopping {
			nodes = append(nodes, s.Name)
		}
	}
	return nodes
}

// owner returns the node that polls an upstream: the one with the highest hash of
// both names, so that adding or removing a node moves only that node's share.
func owner(nodes []quetzalroad.NodeName, u quetzalroad.UpstreamName) quetzalroad.NodeName {
	var best quetzalroad.NodeName
	var highest uint64
	for _, n := range nodes {
		h := xxhash.Sum64String(string(n) + "/" + string(u))
		if best == "" || h > highest {
			best = n
			highest = h
		}
	}
	return best
}

func (p *poller) poll(ctx context.Context, u quetzalroad.Upstream) {
	ctx, cancel := context.WithTimeout(ctx, p.timeout)
	defer cancel()
	report, err := p.fetchReport(ctx, u)
	if err != nil {
		p.node.Vars.Add("load-report-failures", 1)
		return
	}
	now := time.Now()
	p.tracker.UpdateReport(u.Name, now, report)
	p.tracker.withState(u.Name, func(s *upstreamState) { s.polledAt = now })
}

func (p *poller) fetchReport(ctx context.Context, u quetzalroad.Upstream) (quetzalroad.LoadReport, error) {
	service, ok := p.node.Directory.Service(u.Service)
	if ok && service.Kind == quetzalroad.ServiceKindPlain {
		return p.node.ServiceClient.FetchLoadReport(ctx, u)
	}
	return p.node.ChatClient.FetchLoadReport(ctx, u)
}

// PolledReports implements quetzalroad.LoadTracker.
func (t *Tracker) PolledReports(after time.Time) []quetzalroad.UpstreamReport {
	var reports []quetzalroad.UpstreamReport
	for i := range t.shards {
		sh := &t.shards[i]
		sh.mu.Lock()
		for u, s := range sh.states {
			if s.polledAt.After(after) {
				reports = append(reports, quetzalroad.UpstreamReport{Upstream: u, Report: s.report})
			}
		}
		sh.mu.Unlock()
	}
	return reports
}
