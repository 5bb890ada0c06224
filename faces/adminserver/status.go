package adminserver

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/uptrace/bunrouter"

	"github.com/quetzalroad/quetzalroad"
)

type statusJSON struct {
	Node        string         `json:"node"`
	DataCentre  string         `json:"data-centre"`
	Ready       bool           `json:"ready"`
	NotReady    string         `json:"not-ready-because,omitempty"`
	Stopping    bool           `json:"stopping"`
	Open        int            `json:"open"`
	Offset      int64          `json:"offset"`
	QueuedTiers []int          `json:"queued-by-tier"`
	Upstreams   []upstreamJSON `json:"upstreams"`
	// Counters are those of /debug/vars.
	Counters json.RawMessage `json:"counters"`
}

type upstreamJSON struct {
	Name      string `json:"name"`
	Service   string `json:"service"`
	Slots     int    `json:"slots"`
	Running   int    `json:"running"`
	Own       int    `json:"own"`
	TokenTime string `json:"token-time,omitempty"`
	Draining  bool   `json:"draining"`
	Leaving   bool   `json:"leaving"`
	Suspect   bool   `json:"suspect"`
}

func (s *Server) status(w http.ResponseWriter, _ bunrouter.Request) error {
	now := time.Now()
	j := statusJSON{
		Node: string(s.node.Name), DataCentre: string(s.node.DataCentre), Ready: true,
		Stopping: s.node.Stopping(), Open: s.node.InFlight(), Offset: int64(s.node.Directory.AppliedOffset()),
		Upstreams: []upstreamJSON{}, Counters: json.RawMessage(s.node.Vars.String()),
	}
	if err := s.node.Ready(); err != nil {
		j.Ready = false
		j.NotReady = err.Error()
	}
	for _, n := range s.node.Admitter.QueueLengths() {
		j.QueuedTiers = append(j.QueuedTiers, n)
	}
	for _, u := range s.node.Directory.Upstreams() {
		j.Upstreams = append(j.Upstreams, s.upstream(now, u))
	}
	answer(w, http.StatusOK, j)
	return nil
}

func (s *Server) upstream(now time.Time, u quetzalroad.Upstream) upstreamJSON {
	e := s.node.LoadTracker.Estimate(u.Name, now)
	j := upstreamJSON{
		Name: string(u.Name), Service: string(u.Service), Slots: u.MaxConcurrency, Running: e.Running, Own: e.LocalRunning,
		Draining: u.Draining || s.node.Drainer.HasPendingDrain(u.Name), Leaving: e.Leaving, Suspect: e.Suspect,
	}
	if e.InterTokenLatency > 0 {
		j.TokenTime = e.InterTokenLatency.String()
	}
	return j
}

type nodesJSON struct {
	Nodes []nodeJSON `json:"nodes"`
}

type nodeJSON struct {
	Name       string `json:"name"`
	DataCentre string `json:"data-centre"`
	Offset     int64  `json:"offset"`
	// HeardAgo is how long ago the node was last heard of; empty for the node
	// that answers.
	HeardAgo string `json:"heard-ago,omitempty"`
	Stopping bool   `json:"stopping"`
}

func (s *Server) nodes(w http.ResponseWriter, _ bunrouter.Request) error {
	now := time.Now()
	j := nodesJSON{Nodes: []nodeJSON{{
		Name: string(s.node.Name), DataCentre: string(s.node.DataCentre),
		Offset: int64(s.node.Directory.AppliedOffset()), Stopping: s.node.Stopping(),
	}}}
	for _, p := range s.node.Peers.Status() {
		j.Nodes = append(j.Nodes, nodeJSON{
			Name: string(p.Name), DataCentre: string(p.DataCentre), Offset: int64(p.AppliedOffset),
			HeardAgo: now.Sub(p.LastHeard).Round(time.Millisecond).String(), Stopping: p.Stopping,
		})
	}
	answer(w, http.StatusOK, j)
	return nil
}
