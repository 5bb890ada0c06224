// Package explanationmapper converts explanations of routes to and from the JSON of the admin API.
package explanationmapper

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/quetzalroad/quetzalroad"
)

// Answer is a node's explanation of where a request would go.
type Answer struct {
	Node quetzalroad.NodeName
	// NotReadyReason is why the node gets no requests; empty if it is ready.
	NotReadyReason string
	// Services holds an explanation for each service that the request may go to.
	Services []quetzalroad.RouteExplanation
}

type answerJSON struct {
	Node           string        `json:"node"`
	NotReadyReason string        `json:"not-ready-because,omitempty"`
	Services       []serviceJSON `json:"services"`
}

type serviceJSON struct {
	Service       string         `json:"service"`
	Share         float64        `json:"share"`
	Chosen        string         `json:"most-likely"`
	CostUnit      string         `json:"cost-unit"`
	Draws         int            `json:"draws"`
	Explained     bool           `json:"explained"`
	StateVersion  int64          `json:"state-version,omitempty"`
	StateAge      string         `json:"state-age,omitempty"`
	StateIsFresh  bool           `json:"state-is-fresh"`
	AppliedOffset int64          `json:"offset"`
	Upstreams     []upstreamJSON `json:"upstreams"`
}

type upstreamJSON struct {
	Name           string     `json:"name"`
	DataCentre     string     `json:"data-centre"`
	Region         string     `json:"region,omitempty"`
	MaxConcurrency int        `json:"slots"`
	Spot           bool       `json:"spot,omitempty"`
	Excluded       string     `json:"excluded-because,omitempty"`
	CanBeChosen    bool       `json:"can-be-chosen"`
	Chance         float64    `json:"chance"`
	Pool           string     `json:"pool,omitempty"`
	IsPrefixOwner  bool       `json:"prefix-owner"`
	LowestCost     float64    `json:"cost-from"`
	HighestCost    float64    `json:"cost-to"`
	Items          []itemJSON `json:"costs"`
	Throttle       string     `json:"rate-limit"`
	Load           loadJSON   `json:"load"`
}

type itemJSON struct {
	Part  string  `json:"part"`
	Value float64 `json:"value"`
}

type loadJSON struct {
	Running           int    `json:"running"`
	LocalRunning      int    `json:"own"`
	PeerRunning       int    `json:"peers"`
	ReportingPeers    int    `json:"reporting-peers"`
	Occupancy         int    `json:"reported"`
	ReportAge         string `json:"report-age,omitempty"`
	InterTokenLatency string `json:"token-time,omitempty"`
	Suspect           bool   `json:"suspect"`
	Leaving           bool   `json:"leaving"`
}

// throttleNames are the names of the states under a rate limit.
var throttleNames = map[quetzalroad.ThrottleState]string{
	quetzalroad.ThrottleNone:      "none",
	quetzalroad.ThrottleOpen:      "open",
	quetzalroad.ThrottleSpare:     "spare",
	quetzalroad.ThrottleExhausted: "exhausted",
}

// Encode encodes an answer.
func Encode(a Answer) ([]byte, error) {
	j := answerJSON{Node: string(a.Node), NotReadyReason: a.NotReadyReason, Services: []serviceJSON{}}
	for _, x := range a.Services {
		j.Services = append(j.Services, encodeService(x))
	}
	data, err := json.Marshal(j)
	return data, errors.Wrap(err, "encode explanation")
}

func encodeService(x quetzalroad.RouteExplanation) serviceJSON {
	j := serviceJSON{
		Service: string(x.Service), Share: x.Share, Chosen: string(x.Chosen), CostUnit: string(x.Unit), Draws: x.Draws, Explained: x.Explained,
		StateVersion: x.StateVersion, StateAge: encodeDuration(x.StateAge), StateIsFresh: x.StateIsFresh, AppliedOffset: int64(x.AppliedOffset),
		Upstreams: []upstreamJSON{},
	}
	for _, u := range x.Upstreams {
		j.Upstreams = append(j.Upstreams, encodeUpstream(u))
	}
	return j
}

func encodeUpstream(x quetzalroad.UpstreamExplanation) upstreamJSON {
	u := x.Upstream
	j := upstreamJSON{
		Name: string(u.Name), DataCentre: string(u.DataCentre), Region: string(u.Region), MaxConcurrency: u.MaxConcurrency, Spot: u.Spot,
		Excluded: string(x.Excluded), CanBeChosen: x.CanBeChosen, Chance: x.Chance, Pool: string(x.Pool), IsPrefixOwner: x.IsPrefixOwner,
		LowestCost: x.LowestCost(), HighestCost: x.HighestCost(), Items: []itemJSON{}, Throttle: throttleNames[x.Throttle], Load: encodeLoad(x.Load),
	}
	for _, i := range x.Items {
		j.Items = append(j.Items, itemJSON{Part: string(i.Part), Value: i.Value})
	}
	return j
}

func encodeLoad(e quetzalroad.LoadEstimate) loadJSON {
	return loadJSON{
		Running: e.Running, LocalRunning: e.LocalRunning, PeerRunning: e.PeerRunning, ReportingPeers: e.ReportingPeers, Occupancy: e.Occupancy,
		ReportAge: encodeDuration(e.ReportAge), InterTokenLatency: encodeDuration(e.InterTokenLatency), Suspect: e.Suspect, Leaving: e.Leaving,
	}
}

// encodeDuration returns an empty string for zero, which means that nothing is known.
func encodeDuration(d time.Duration) string {
	if d == 0 {
		return ""
	}
	return d.String()
}
