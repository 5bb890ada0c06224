package explanationmapper

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/quetzalroad/quetzalroad"
)

// Decode decodes an answer.
func Decode(data []byte) (Answer, error) {
	var j answerJSON
	if err := json.Unmarshal(data, &j); err != nil {
		return Answer{}, errors.Wrap(err, "decode explanation")
	}
	a := Answer{Node: quetzalroad.NodeName(j.Node), NotReadyReason: j.NotReadyReason}
	for _, s := range j.Services {
		x, err := decodeService(s)
		if err != nil {
			return Answer{}, errors.Wrapf(err, "service %q", s.Service)
		}
		a.Services = append(a.Services, x)
	}
	return a, nil
}

func decodeService(j serviceJSON) (quetzalroad.RouteExplanation, error) {
	age, err := decodeDuration(j.StateAge)
	x := quetzalroad.RouteExplanation{
		Service: quetzalroad.ServiceName(j.Service), Share: j.Share, Chosen: quetzalroad.UpstreamName(j.Chosen), Unit: quetzalroad.CostUnit(j.CostUnit),
		Draws: j.Draws, Explained: j.Explained, StateVersion: j.StateVersion, StateAge: age, StateIsFresh: j.StateIsFresh, AppliedOffset: quetzalroad.Offset(j.AppliedOffset),
	}
	for _, u := range j.Upstreams {
		decoded, upstreamErr := decodeUpstream(u)
		err = errors.CombineErrors(err, errors.Wrapf(upstreamErr, "upstream %q", u.Name))
		x.Upstreams = append(x.Upstreams, decoded)
	}
	return x, err
}

func decodeUpstream(j upstreamJSON) (quetzalroad.UpstreamExplanation, error) {
	load, err := decodeLoad(j.Load)
	x := quetzalroad.UpstreamExplanation{Excluded: quetzalroad.ExclusionReason(j.Excluded), Load: load}
	x.Upstream = quetzalroad.Upstream{
		Name: quetzalroad.UpstreamName(j.Name), DataCentre: quetzalroad.DataCentre(j.DataCentre), Region: quetzalroad.Region(j.Region), MaxConcurrency: j.MaxConcurrency, Spot: j.Spot,
	}
	x.Pool, x.IsPrefixOwner = quetzalroad.UpstreamPool(j.Pool), j.IsPrefixOwner
	x.CanBeChosen, x.Chance, x.Spread = j.CanBeChosen, j.Chance, j.HighestCost-j.LowestCost
	for _, i := range j.Items {
		x.Items = append(x.Items, quetzalroad.CostItem{Part: quetzalroad.CostPart(i.Part), Value: i.Value})
	}
	throttle, throttleErr := decodeThrottle(j.Throttle)
	x.Throttle = throttle
	return x, errors.CombineErrors(err, throttleErr)
}

func decodeThrottle(name string) (quetzalroad.ThrottleState, error) {
	for state, n := range throttleNames {
		if n == name {
			return state, nil
		}
	}
	return 0, errors.Newf("unknown rate limit state %q", name)
}

func decodeLoad(j loadJSON) (quetzalroad.LoadEstimate, error) {
	age, err := decodeDuration(j.ReportAge)
	latency, latencyErr := decodeDuration(j.InterTokenLatency)
	return quetzalroad.LoadEstimate{
		Running: j.Running, LocalRunning: j.LocalRunning, PeerRunning: j.PeerRunning, ReportingPeers: j.ReportingPeers, Occupancy: j.Occupancy,
		ReportAge: age, InterTokenLatency: latency, Suspect: j.Suspect, Leaving: j.Leaving,
	}, errors.CombineErrors(err, latencyErr)
}

func decodeDuration(text string) (time.Duration, error) {
	if text == "" {
		return 0, nil
	}
	return time.ParseDuration(text)
}
