package faker

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/kernel"
	"github.com/quetzalroad/quetzalroad/support/configloader"
)

// ReadNetwork connects nodes that read the platform's log for each other. The
// zero value has no faults.
type ReadNetwork struct {
	mu sync.Mutex
	// The fields below are guarded by mu. stalled holds the addresses that
	// don't respond, requestCounts the number of requests to each.
	handlers      map[netip.AddrPort]quetzalroad.ReadHandler
	trackers      map[netip.AddrPort]quetzalroad.StreamTracker
	stalled       map[netip.AddrPort]bool
	requestCounts map[netip.AddrPort]int
	// stateTransfer is how long the transfer of a published state takes.
	stateTransfer time.Duration
}

// SetStateTransfer sets how long the transfer of a published state takes.
func (n *ReadNetwork) SetStateTransfer(duration time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.stateTransfer = duration
}

// SetStalled makes requests to a node block until their context is done, or work again.
func (n *ReadNetwork) SetStalled(address netip.AddrPort, stalled bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.stalled == nil {
		n.stalled = make(map[netip.AddrPort]bool)
	}
	n.stalled[address] = stalled
}

// RequestCount returns the number of requests to a node.
func (n *ReadNetwork) RequestCount(address netip.AddrPort) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.requestCounts[address]
}

// ReadTransport is a node's connection to a ReadNetwork.
type ReadTransport struct {
	Network *ReadNetwork
	Address netip.AddrPort
	// WithoutEpochs leaves the epoch of the log out of this node's responses, as earlier builds do.
	WithoutEpochs bool

	// node gives access to the stream tracker, whose slot is filled after this one; nil if the transport belongs to no
	// built node.
	node *kernel.Node
}

// epochlessHandler is a handler of a build that knows no epochs.
type epochlessHandler struct {
	quetzalroad.ReadHandler
}

// HandleRead implements quetzalroad.ReadHandler.
func (h epochlessHandler) HandleRead(q quetzalroad.SharedReadRequest) quetzalroad.SharedReadResponse {
	q.From.Epoch = 0
	response := h.ReadHandler.HandleRead(q)
	response.Epoch, response.InheritedEnd = 0, 0
	return response
}

// Declare implements kernel.Component.
func (*ReadTransport) Declare(*configloader.Section) {}

// Build implements kernel.Component.
func (t *ReadTransport) Build(n *kernel.Node) error {
	t.node = n
	n.ReadTransport, n.OriginTransport = t, t
	return nil
}

// ListenAddress implements quetzalroad.ReadTransport.
func (t *ReadTransport) ListenAddress() netip.AddrPort { return t.Address }

// Serve implements quetzalroad.ReadTransport.
func (t *ReadTransport) Serve(ctx context.Context, h quetzalroad.ReadHandler) error {
	if t.WithoutEpochs {
		h = epochlessHandler{h}
	}
	n := t.Network
	n.mu.Lock()
	if n.handlers == nil {
		n.handlers = make(map[netip.AddrPort]quetzalroad.ReadHandler)
		n.trackers = make(map[netip.AddrPort]quetzalroad.StreamTracker)
	}
	n.handlers[t.Address] = h
	if t.node != nil && t.node.StreamTracker != nil {
		n.trackers[t.Address] = t.node.StreamTracker
	}
	n.mu.Unlock()
	<-ctx.Done()
	n.mu.Lock()
	delete(n.handlers, t.Address)
	delete(n.trackers, t.Address)
	n.mu.Unlock()
	return ctx.Err()
}

// RequestRead implements quetzalroad.ReadTransport.
func (t *ReadTransport) RequestRead(ctx context.Context, to netip.AddrPort, q quetzalroad.SharedReadRequest) (quetzalroad.SharedReadResponse, error) {
	n := t.Network
	n.mu.Lock()
	if n.requestCounts == nil {
		n.requestCounts = make(map[netip.AddrPort]int)
	}
	n.requestCounts[to]++
	h, stalled, transfer := n.handlers[to], n.stalled[to], n.stateTransfer
	n.mu.Unlock()
	switch {
	case stalled:
		<-ctx.Done()
		return quetzalroad.SharedReadResponse{}, ctx.Err()
	case h == nil:
		return quetzalroad.SharedReadResponse{}, errors.New("no node listens at this address")
	}
	response := h.HandleRead(q)
	if q.Stream == quetzalroad.LogStreamOperators && len(response.Records) > 0 {
		if err := Transfer(ctx, transfer); err != nil {
			return quetzalroad.SharedReadResponse{}, err
		}
	}
	return response, nil
}

// RequestOrigin implements quetzalroad.OriginTransport.
func (t *ReadTransport) RequestOrigin(ctx context.Context, to netip.AddrPort, q quetzalroad.OriginQuestion) (quetzalroad.OriginReport, error) {
	n := t.Network
	n.mu.Lock()
	tracker, stalled := n.trackers[to], n.stalled[to] || n.stalled[t.Address]
	n.mu.Unlock()
	switch {
	case stalled:
		<-ctx.Done()
		return quetzalroad.OriginReport{}, ctx.Err()
	case tracker == nil:
		return quetzalroad.OriginReport{}, errors.New("no node that tracks streams listens at this address")
	}
	return tracker.Report(ctx, q), nil
}
