package planner

import (
	"math"
	"slices"
	"time"
)

const (
	// sampleSpan is the time over which the median of the load is taken, so that bursts of up to half of it don't
	// count as load to which the reserve for bursts is added again. Late requests are summed over the same time, as
	// a service may have few.
	sampleSpan = 10 * time.Second
	// bucketLength is the resolution of the history of peaks.
	bucketLength = 5 * time.Second
	// maxRefusedFactor bounds the load that is assumed for refused requests.
	maxRefusedFactor = 1.5
)

// sample is the demand at a time.
type sample struct {
	at   time.Time
	load float64
	// requests and late are rates a second; late includes refused ones.
	requests, late float64
}

// peak is the highest load in a bucket of time.
type peak struct {
	since time.Time
	// median is the highest median of samples, and single the highest sample.
	median, single float64
}

// loadHistory is the recent load of a service. Its slices are replaced, not modified.
type loadHistory struct {
	// loadedSince is when the first load was seen; zero before.
	loadedSince time.Time
	// samples are those within their span, peaks those within the hold time; both in order of time.
	samples []sample
	peaks   []peak
}

// load returns the requests that would be running if none were refused.
func (d Demand) load() float64 {
	factor := 1.0
	if served := d.Requests - d.Refused; d.Refused > 0 {
		factor = maxRefusedFactor
		if served > 0 {
			factor = min(factor, d.Requests/served)
		}
	}
	return max(d.Running, 0) * factor
}

// isLate reports whether more than a share of the recent requests was late or refused.
func (h loadHistory) isLate(share float64) bool {
	late, requests := 0.0, 0.0
	for _, s := range h.samples {
		late, requests = late+s.late, requests+s.requests
	}
	return late > share*requests
}

// add returns the history with another sample.
func (h loadHistory) add(now time.Time, d Demand, hold time.Duration) loadHistory {
	load := d.load()
	if load > 0 && h.loadedSince.IsZero() {
		h.loadedSince = now
	}
	h.samples = slices.DeleteFunc(slices.Clone(h.samples), func(s sample) bool { return now.Sub(s.at) > sampleSpan })
	h.samples = append(h.samples, sample{at: now, load: load, requests: d.Requests, late: d.Late + d.Refused})
	h.peaks = slices.DeleteFunc(slices.Clone(h.peaks), func(p peak) bool { return now.Sub(p.since) > hold })
	if last := len(h.peaks) - 1; last < 0 || now.Sub(h.peaks[last].since) >= bucketLength {
		h.peaks = append(h.peaks, peak{since: now})
	}
	last := &h.peaks[len(h.peaks)-1]
	last.median, last.single = max(last.median, h.median()), max(last.single, load)
	return h
}

// isKnown reports whether the load was observed for long enough for its median to be one of loads: before the first
// requests arrive, nothing tells how many upstreams they will need.
func (h loadHistory) isKnown(now time.Time) bool {
	return !h.loadedSince.IsZero() && now.Sub(h.loadedSince) > sampleSpan/2
}

func (h loadHistory) median() float64 {
	loads := make([]float64, 0, len(h.samples))
	for _, s := range h.samples {
		loads = append(loads, s.load)
	}
	slices.Sort(loads)
	return loads[len(loads)/2]
}

// highest returns the highest median and the highest single sample; zero without samples.
func (h loadHistory) highest() (median, single float64) {
	for _, p := range h.peaks {
		median, single = max(median, p.median), max(single, p.single)
	}
	return median, single
}

// needs returns how many upstreams the load calls for.
func (p Policy) needs(s State, dataCentres, minimum int) Needs {
	atLeast := dataCentres * max(minimum, 1)
	if s.slots <= 0 {
		return Needs{Total: atLeast, Base: dataCentres}
	}
	median, single := s.load.highest()
	median, single = median*(1+s.boost), single*(1+s.boost)
	perUpstream := p.TargetOccupancy * s.slots
	count := func(load float64) int { return int(math.Ceil(load / perUpstream)) }
	n := Needs{Load: median, Surviving: count(median)}
	n.Total = max(count(median*p.Burst), count(single*p.PeakReserve), count(median/(1-p.LossShare)), atLeast)
	n.Base = min(max(count(median*p.BaseShare), dataCentres), n.Total)
	return n
}
