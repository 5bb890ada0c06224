package streamtracker

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/quetzalroad/quetzalroad"
)

const (
	// maxAskedPeers bounds the other nodes that are asked about a stream, and firstAskedPeers are asked at once. The others
	// are asked after askInterval, unless one of the first ones settles the question.
	maxAskedPeers   = 15
	firstAskedPeers = 3
	askInterval     = 150 * time.Millisecond
)

// peerReports is what other nodes reported.
type peerReports struct {
	reports []quetzalroad.OriginReport
	// asked is the number of nodes that were to be asked, including those whose address isn't known.
	asked int
	// failure is why the last question failed; nil if none did.
	failure error
}

// askPeers asks a random sample of the other nodes until a report suffices.
func (t *Tracker) askPeers(ctx context.Context, q quetzalroad.OriginQuestion, suffices func(quetzalroad.OriginReport) bool) peerReports {
	addresses, asked := t.samplePeers()
	result := peerReports{asked: asked}
	if len(addresses) == 0 {
		return result
	}
	ctx, cancel := context.WithTimeout(ctx, t.peerTimeout)
	defer cancel()
	results := make(chan peerResult, len(addresses))
	first := min(firstAskedPeers, len(addresses))
	t.sendQuestions(ctx, addresses[:first], q, results)
	pending, rest := first, addresses[first:]
	timer := time.NewTimer(askInterval)
	defer timer.Stop()
	for pending > 0 || len(rest) > 0 {
		isDue := pending == 0
		select {
		case r := <-results:
			pending--
			if r.err != nil {
				result.failure = r.err
				break
			}
			result.reports = append(result.reports, r.report)
			if suffices(r.report) {
				return result
			}
		case <-timer.C:
			isDue = true
		case <-ctx.Done():
			result.failure = ctx.Err()
			return result
		}
		if isDue || pending == 0 {
			t.sendQuestions(ctx, rest, q, results)
			pending, rest = pending+len(rest), nil
		}
	}
	return result
}

// peerResult is the result of a question to another node.
type peerResult struct {
	report quetzalroad.OriginReport
	err    error
}

// sendQuestions asks nodes concurrently. There is room for all results in the channel.
func (t *Tracker) sendQuestions(ctx context.Context, addresses []netip.AddrPort, q quetzalroad.OriginQuestion, results chan<- peerResult) {
	for _, address := range addresses {
		t.questionsSent.Add(1)
		go func() {
			report, err := t.node.OriginTransport.RequestOrigin(ctx, address, q)
			results <- peerResult{report: report, err: err}
		}()
	}
}

// canAskAllPeers reports whether the sample of the other nodes has all of them.
func (t *Tracker) canAskAllPeers() bool {
	return !t.fleetIsUnknown() && t.fleetSize() <= 1+maxAskedPeers
}

// samplePeers returns the addresses of a random sample of the other nodes, and the size of the sample, of which some
// may have no known address.
func (t *Tracker) samplePeers() (addresses []netip.AddrPort, size int) {
	n := t.node
	if n.Fleet == nil {
		return nil, 0
	}
	if n.OriginTransport != nil {
		addresses = n.Fleet.PeerAddresses()
	}
	others := max(t.fleetSize()-1, len(addresses))
	if t.fleetIsUnknown() {
		others = max(others, 1)
	}
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	size = min(others, maxAskedPeers)
	return addresses[:min(len(addresses), size)], size
}
