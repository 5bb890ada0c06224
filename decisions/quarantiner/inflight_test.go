package quarantiner

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/quetzalroad/quetzalroad"
)

// loseInFlight records that an upstream exited with one request in flight, and waits until that counts.
func (q *Quarantiner) loseInFlight(u string, segments ...quetzalroad.PromptSegment) {
	q.RecordInFlight(time.Now(), quetzalroad.UpstreamName(u), q.Expose(segments))
	time.Sleep(inFlightDelay + time.Millisecond)
}

// An upstream may crash before any byte of its response has arrived, or between two events.
func TestSegmentInFlightAtManyExitsIsQuarantined(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newQuarantiner(t, "n", "n")
		for i := range q.thresholds.inFlightUpstreams {
			if q.refuses("early", "deadly") {
				t.Fatalf("refused after %d exits", i)
			}
			q.loseInFlight(fmt.Sprint(i), prompt("common", "deadly")...)
			q.RecordComplete(time.Now(), prompt("common"))
		}
		if !q.refuses("1", "deadly") || q.refuses("2", "common") {
			t.Error("the deadly segment is not refused, or a sound one is")
		}
		other := newQuarantiner(t, "other", "n", "other")
		other.Merge(time.Now(), q.Evidence())
		if !other.refuses("1", "deadly") || other.refuses("2", "common") {
			t.Error("another node doesn't come to the same conclusion")
		}
	})
}

func TestRequestInFlightAtSeveralExitsIsQuarantined(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newQuarantiner(t, "n", "n")
		request := quetzalroad.WholeRequestSegment(7)
		for i := range q.thresholds.upstreams {
			if q.refuses("early", request.ID) {
				t.Fatalf("refused after %d exits", i)
			}
			q.loseInFlight(fmt.Sprint(i), request)
		}
		if !q.refuses("1", request.ID) {
			t.Error("the request is not refused")
		}
		if q.refuses("2", quetzalroad.WholeRequestSegment(8).ID) {
			t.Error("another request is")
		}
	})
}

// Requests that were answered elsewhere after an exit are no suspects.
func TestRequestsAnsweredElsewhereAreNoSuspects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newQuarantiner(t, "n", "n")
		for i := range 10 {
			q.RecordInFlight(time.Now(), quetzalroad.UpstreamName(fmt.Sprint(i)), q.Expose(prompt("sound")))
			q.RecordComplete(time.Now(), prompt("sound"))
			time.Sleep(inFlightDelay + time.Millisecond)
		}
		if q.refuses("1", "sound") {
			t.Error("a sound segment is refused")
		}
	})
}

// Each exit takes many requests with it, of which nothing is kept beyond the bound.
func TestRequestsInFlightAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newQuarantiner(t, "n", "n")
		for i := range 2 * maxLosses {
			var suspects []quetzalroad.PromptSegment
			for k := range 20 {
				suspects = append(suspects, prompt(fmt.Sprintf("segment-%d-%d", i, k))[0], quetzalroad.WholeRequestSegment(uint64(20*i+k)))
			}
			q.RecordInFlight(time.Now(), quetzalroad.UpstreamName(fmt.Sprint(i)), q.Expose(suspects))
		}
		time.Sleep(2 * inFlightDelay)
		q.mu.Lock()
		defer q.mu.Unlock()
		size := 0
		for _, l := range q.evidence.sortedInFlight() {
			for _, s := range l.Segments {
				size += len(s.ID) + segmentOverheadBytes
			}
		}
		if size > maxEvidenceBytes || len(q.evidence.inFlight) > maxLosses {
			t.Errorf("%d exits with %d bytes kept, want at most %d and %d", len(q.evidence.inFlight), size, maxLosses, maxEvidenceBytes)
		}
	})
}
