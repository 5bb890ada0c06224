package adminserver

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/uptrace/bunrouter"

	"github.com/quetzalroad/quetzalroad"
)

type statusJSON struct {
	Node           string `json:"node"`
	DataCentre     string `json:"data-centre"`
	Ready          bool   `json:"ready"`
	NotReadyReason string `json:"not-ready-because,omitempty"`
	Stopping       bool   `json:"stopping"`
	InFlight       int    `json:"open"`
	AppliedOffset  int64  `json:"offset"`
	// LogEpoch is the epoch of the platform's log; zero if the node follows none that states one.
	LogEpoch     uint64         `json:"log-epoch,omitempty"`
	QueueLengths []int          `json:"queued-by-tier"`
	Upstreams    []upstreamJSON `json:"upstreams"`
	// Counters holds the node's metrics, as in /debug/vars.
	Counters json.RawMessage `json:"counters"`
}

type upstreamJSON struct {
	Name              string `json:"name"`
	Service           string `json:"service"`
	MaxConcurrency    int    `json:"slots"`
	Running           int    `json:"running"`
	LocalRunning      int    `json:"own"`
	InterTokenLatency string `json:"token-time,omitempty"`
	Draining          bool   `json:"draining"`
	Leaving           bool   `json:"leaving"`
	Suspect           bool   `json:"suspect"`
}

func (s *Server) handleStatus(w http.ResponseWriter, _ bunrouter.Request) error {
	now := time.Now()
	body := statusJSON{
		Node: string(s.node.Name), DataCentre: string(s.node.DataCentre), Ready: true,
		Stopping: s.node.Stopping(), InFlight: s.node.InFlight(), AppliedOffset: int64(s.node.Directory.AppliedOffset()),
		LogEpoch: s.logEpoch(), Upstreams: []upstreamJSON{}, Counters: json.RawMessage(s.node.Vars.String()),
	}
	if err := s.node.Ready(); err != nil {
		body.Ready = false
		body.NotReadyReason = err.Error()
	}
	for _, length := range s.node.Admitter.QueueLengths() {
		body.QueueLengths = append(body.QueueLengths, length)
	}
	for _, upstream := range s.node.Directory.Upstreams() {
		body.Upstreams = append(body.Upstreams, s.upstreamStatus(now, upstream))
	}
	writeJSON(w, http.StatusOK, body)
	return nil
}

func (s *Server) logEpoch() uint64 {
	if s.node.LogEpochs == nil {
		return 0
	}
	return uint64(s.node.LogEpochs.Epoch())
}

func (s *Server) upstreamStatus(now time.Time, upstream quetzalroad.Upstream) upstreamJSON {
	estimate := s.node.LoadTracker.Estimate(upstream.Name, now)
	status := upstreamJSON{
		Name: string(upstream.Name), Service: string(upstream.Service), MaxConcurrency: upstream.MaxConcurrency, Running: estimate.Running, LocalRunning: estimate.LocalRunning,
		Draining: upstream.Draining || s.node.Drainer.HasPendingDrain(upstream.Name), Leaving: estimate.Leaving, Suspect: estimate.Suspect,
	}
	if estimate.InterTokenLatency > 0 {
		status.InterTokenLatency = estimate.InterTokenLatency.String()
	}
	return status
}

type nodesJSON struct {
	Nodes []nodeJSON `json:"nodes"`
}

type nodeJSON struct {
	Name          string `json:"name"`
	DataCentre    string `json:"data-centre"`
	AppliedOffset int64  `json:"offset"`
	// LogEpoch is that of statusJSON; only the node that serves the request knows its own.
	LogEpoch uint64 `json:"log-epoch,omitempty"`
	// SinceLastHeard is the time since the node was last heard from; empty for the
	// node that serves the request.
	SinceLastHeard string `json:"heard-ago,omitempty"`
	Stopping       bool   `json:"stopping"`
}

func (s *Server) handleNodes(w http.ResponseWriter, _ bunrouter.Request) error {
	now := time.Now()
	body := nodesJSON{Nodes: []nodeJSON{{
		Name: string(s.node.Name), DataCentre: string(s.node.DataCentre),
		AppliedOffset: int64(s.node.Directory.AppliedOffset()), LogEpoch: s.logEpoch(), Stopping: s.node.Stopping(),
	}}}
	for _, peer := range s.node.Peers.Status() {
		body.Nodes = append(body.Nodes, nodeJSON{
			Name: string(peer.Name), DataCentre: string(peer.DataCentre), AppliedOffset: int64(peer.AppliedOffset),
			SinceLastHeard: now.Sub(peer.LastHeard).Round(time.Millisecond).String(), Stopping: peer.Stopping,
		})
	}
	writeJSON(w, http.StatusOK, body)
	return nil
}
