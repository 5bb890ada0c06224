package nodemapper

import (
	"math"
	"time"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/peers/peerwire"
)

func encodeObservations(o *quetzalroad.Observations) *peerwire.Observations {
	if o == nil {
		return nil
	}
	message := &peerwire.Observations{EvidenceDigest: o.EvidenceDigest, Evidence: encodeEvidence(o.Evidence)}
	for _, m := range o.Mixes {
		message.Mixes = append(message.Mixes, &peerwire.ServiceMix{Service: string(m.Service), ShortWork: m.ShortWork, LongWork: m.LongWork, Requests: m.Requests})
	}
	for _, u := range o.Upstreams {
		message.Upstreams = append(message.Upstreams, &peerwire.UpstreamObservation{
			Upstream: string(u.Upstream), InterTokenUs: u.InterTokenLatency.Microseconds(), Occupancy: int64(u.Occupancy), ReportAgeUs: u.ReportAge.Microseconds(),
		})
	}
	for _, l := range o.Limits {
		message.Limits = append(message.Limits, &peerwire.UpstreamLimit{Upstream: string(l.Upstream), Limited: l.Limit.IsSet, PerSecond: l.Limit.PerSecond, AgeUs: l.Age.Microseconds()})
	}
	message.Usage, message.Demand = encodeUsage(o.Usage), encodeDemand(o.Demand)
	return message
}

// decodeObservations leaves out entries with figures that no node measures: a balancer that took them
// over would pass them on.
func decodeObservations(message *peerwire.Observations) *quetzalroad.Observations {
	if message == nil {
		return nil
	}
	o := &quetzalroad.Observations{EvidenceDigest: message.GetEvidenceDigest(), Evidence: decodeEvidence(message.GetEvidence())}
	for _, m := range message.GetMixes() {
		if isAmount(m.GetShortWork()) && isAmount(m.GetLongWork()) && isAmount(m.GetRequests()) {
			o.Mixes = append(o.Mixes, quetzalroad.ServiceMix{Service: quetzalroad.ServiceName(m.GetService()), ShortWork: m.GetShortWork(), LongWork: m.GetLongWork(), Requests: m.GetRequests()})
		}
	}
	for _, u := range message.GetUpstreams() {
		if isDuration(u.GetInterTokenUs()) && isDuration(u.GetReportAgeUs()) && u.GetOccupancy() >= 0 && u.GetOccupancy() <= maxOccupancy {
			o.Upstreams = append(o.Upstreams, quetzalroad.UpstreamObservation{
				Upstream: quetzalroad.UpstreamName(u.GetUpstream()), InterTokenLatency: time.Duration(u.GetInterTokenUs()) * time.Microsecond,
				Occupancy: int(u.GetOccupancy()), ReportAge: time.Duration(u.GetReportAgeUs()) * time.Microsecond,
			})
		}
	}
	for _, l := range message.GetLimits() {
		if isAmount(l.GetPerSecond()) && isDuration(l.GetAgeUs()) {
			o.Limits = append(o.Limits, quetzalroad.UpstreamLimit{
				Upstream: quetzalroad.UpstreamName(l.GetUpstream()), Limit: quetzalroad.RateLimit{PerSecond: l.GetPerSecond(), IsSet: l.GetLimited()}, Age: time.Duration(l.GetAgeUs()) * time.Microsecond,
			})
		}
	}
	o.Usage, o.Demand = decodeUsage(message.GetUsage()), decodeDemand(message.GetDemand())
	return o
}

const (
	// maxDuration is the longest latency or age that is taken over.
	maxDuration = time.Hour
	// maxOccupancy is the largest number of requests that is taken over.
	maxOccupancy = 1 << 20
)

func isDuration(us int64) bool {
	return us >= 0 && us <= maxDuration.Microseconds()
}

func isAmount(x float64) bool {
	return x >= 0 && !math.IsInf(x, 1)
}
