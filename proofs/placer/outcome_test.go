package placer

import (
	"fmt"
	"time"
)

// counts are the outcomes of a class.
type counts struct{ total, inTime, late, failed int }

func (c counts) inTimeShare() float64 { return float64(c.inTime) / float64(max(1, c.total)) }

func (c counts) String() string {
	return fmt.Sprintf("%5d in time %.3f, late %.3f, failed %.3f", c.total, c.inTimeShare(), float64(c.late)/float64(max(1, c.total)), float64(c.failed)/float64(max(1, c.total)))
}

// countOutcomes counts the requests of a class that arrived in a period.
func (f *fleet) countOutcomes(c *class, from, to time.Duration) counts {
	var n counts
	for _, r := range f.requests {
		if at := r.arrived.Sub(f.start); r.class != c || at < from || at >= to {
			continue
		}
		n.total++
		switch r.outcome {
		case inTime:
			n.inTime++
		case late:
			n.late++
		default:
			n.failed++
		}
	}
	return n
}

// rereadShare returns the share of the shared tokens of long prompts that engines prefilled again.
func (f *fleet) rereadShare(from, to time.Duration) float64 {
	reread, shared := 0, 0
	for _, r := range f.requests {
		if at := r.arrived.Sub(f.start); r.class == draft && from <= at && at < to {
			reread += r.rereadTokens
			shared += r.sharedTokens + r.ownTokens
		}
	}
	return float64(reread) / float64(max(1, shared))
}

// neededShare returns the engines' time that the requests of a period need at least, as a share of what
// there is: with every shared part cached, full batches and no engine lost or slowed.
func (f *fleet) neededShare(from, to time.Duration) float64 {
	var needed time.Duration
	for _, r := range f.requests {
		if at := r.arrived.Sub(f.start); at < from || at >= to {
			continue
		}
		needed += time.Duration(r.uncachedTokens) * time.Millisecond / readTokensPerMilli
		needed += time.Duration(r.outputTokens) * (stepTime + engineSlots*stepTimePerRequest) / engineSlots
	}
	return float64(needed) / float64(to-from) / float64(len(f.engines))
}
