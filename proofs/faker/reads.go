package faker

import (
	"context"
	"net/netip"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/kernel"
	"github.com/quetzalroad/quetzalroad/support/configloader"
)

// ReadNetwork connects the nodes that read the platform's log for each other.
// The zero value is sound.
type ReadNetwork struct {
	mu sync.Mutex
	// The fields below are guarded by mu. silent holds the addresses that
	// answer nothing, asked how often each was asked.
	handlers map[netip.AddrPort]quetzalroad.ReadHandler
	silent   map[netip.AddrPort]bool
	asked    map[netip.AddrPort]int
}

// SetSilent makes a node answer nothing, or answer again.
func (n *ReadNetwork) SetSilent(address netip.AddrPort, silent bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.silent == nil {
		n.silent = make(map[netip.AddrPort]bool)
	}
	n.silent[address] = silent
}

// Asked tells how often a node was asked.
func (n *ReadNetwork) Asked(address netip.AddrPort) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.asked[address]
}

// Reads is a node's end of a ReadNetwork.
type Reads struct {
	Network *ReadNetwork
	At      netip.AddrPort
}

// Declare implements kernel.Component.
func (*Reads) Declare(*configloader.Section) {}

// Build implements kernel.Component.
func (r *Reads) Build(n *kernel.Node) error {
	n.ReadTransport = r
	return nil
}

// ListenAddress implements quetzalroad.ReadTransport.
func (r *Reads) ListenAddress() netip.AddrPort { return r.At }

// Serve implements quetzalroad.ReadTransport.
func (r *Reads) Serve(ctx context.Context, h quetzalroad.ReadHandler) error {
	n := r.Network
	n.mu.Lock()
	if n.handlers == nil {
		n.handlers = make(map[netip.AddrPort]quetzalroad.ReadHandler)
	}
	n.handlers[r.At] = h
	n.mu.Unlock()
	<-ctx.Done()
	n.mu.Lock()
	delete(n.handlers, r.At)
	n.mu.Unlock()
	return ctx.Err()
}

// RequestRead implements quetzalroad.ReadTransport.
func (r *Reads) RequestRead(ctx context.Context, to netip.AddrPort, q quetzalroad.SharedReadRequest) (quetzalroad.SharedReadResponse, error) {
	n := r.Network
	n.mu.Lock()
	if n.asked == nil {
		n.asked = make(map[netip.AddrPort]int)
	}
	n.asked[to]++
	h, silent := n.handlers[to], n.silent[to]
	n.mu.Unlock()
	switch {
	case silent:
		<-ctx.Done()
		return quetzalroad.SharedReadResponse{}, ctx.Err()
	case h == nil:
		return quetzalroad.SharedReadResponse{}, errors.New("nobody listens")
	}
	return h.HandleRead(q), nil
}
