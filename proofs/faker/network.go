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
	"github.com/quetzalroad/quetzalroad/support/sleeper"
)

var errUnreachable = errors.New("peer is unreachable")

// Network is an in-memory transport between nodes. The zero value has no nodes and no delay.
type Network struct {
	// LocalDelay is the one-way delay within a data centre, RemoteDelay the
	// one between two data centres.
	LocalDelay  time.Duration
	RemoteDelay time.Duration

	mu sync.Mutex
	// The fields below are guarded by mu.
	transports map[netip.AddrPort]*PeerTransport
	partitions map[[2]quetzalroad.DataCentre]bool
	// stalled holds the nodes to which calls block instead of failing.
	stalled map[quetzalroad.NodeName]bool
	calls   int
}

// SetPartitioned starts or ends a network partition between two data centres.
func (n *Network) SetPartitioned(a, b quetzalroad.DataCentre, partitioned bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.partitions == nil {
		n.partitions = make(map[[2]quetzalroad.DataCentre]bool)
	}
	n.partitions[[2]quetzalroad.DataCentre{a, b}] = partitioned
	n.partitions[[2]quetzalroad.DataCentre{b, a}] = partitioned
}

// SetStalled makes calls to a node block until their context is done, or work again.
func (n *Network) SetStalled(name quetzalroad.NodeName, stalled bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.stalled == nil {
		n.stalled = make(map[quetzalroad.NodeName]bool)
	}
	n.stalled[name] = stalled
}

// Calls returns the number of calls between nodes.
func (n *Network) Calls() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.calls
}

// NewTransport returns the transport of a new node.
func (n *Network) NewTransport(address netip.AddrPort, name quetzalroad.NodeName, dataCentre quetzalroad.DataCentre) *PeerTransport {
	return &PeerTransport{network: n, address: address, name: name, dataCentre: dataCentre}
}

// PeerTransport is a node's connection to a Network.
type PeerTransport struct {
	network    *Network
	address    netip.AddrPort
	name       quetzalroad.NodeName
	dataCentre quetzalroad.DataCentre
	// handler is set while the node serves and guarded by the network's mu.
	handler quetzalroad.PeerHandler
}

// Declare implements kernel.Component.
func (*PeerTransport) Declare(*configloader.Section) {}

// Build implements kernel.Component.
func (t *PeerTransport) Build(n *kernel.Node) error {
	n.PeerTransport = t
	return nil
}

// ListenAddress implements quetzalroad.PeerTransport.
func (t *PeerTransport) ListenAddress() netip.AddrPort { return t.address }

// Serve implements quetzalroad.PeerTransport.
func (t *PeerTransport) Serve(ctx context.Context, h quetzalroad.PeerHandler) error {
	n := t.network
	n.mu.Lock()
	if n.transports == nil {
		n.transports = make(map[netip.AddrPort]*PeerTransport)
	}
	t.handler = h
	n.transports[t.address] = t
	n.mu.Unlock()
	<-ctx.Done()
	n.mu.Lock()
	t.handler = nil
	n.mu.Unlock()
	return ctx.Err()
}

// dial returns the handler of a peer and the delay to it, after waiting for that delay once.
func (t *PeerTransport) dial(ctx context.Context, to netip.AddrPort) (quetzalroad.PeerHandler, time.Duration, error) {
	n := t.network
	n.mu.Lock()
	n.calls++
	peer := n.transports[to]
	var handler quetzalroad.PeerHandler
	stalled := false
	delay := n.LocalDelay
	if peer != nil && !n.partitions[[2]quetzalroad.DataCentre{t.dataCentre, peer.dataCentre}] {
		handler = peer.handler
		stalled = n.stalled[peer.name]
	}
	if peer != nil && peer.dataCentre != t.dataCentre {
		delay = n.RemoteDelay
	}
	n.mu.Unlock()
	if stalled {
		<-ctx.Done()
		return nil, 0, ctx.Err()
	}
	if handler == nil {
		return nil, 0, errUnreachable
	}
	return handler, delay, sleeper.Sleep(ctx, delay)
}

// ExchangeHeartbeat implements quetzalroad.PeerTransport.
func (t *PeerTransport) ExchangeHeartbeat(ctx context.Context, to netip.AddrPort, h quetzalroad.Heartbeat) (quetzalroad.Heartbeat, error) {
	handler, delay, err := t.dial(ctx, to)
	if err != nil {
		return quetzalroad.Heartbeat{}, err
	}
	return handler.HandleHeartbeat(h), sleeper.Sleep(ctx, delay)
}

// FetchRecords implements quetzalroad.PeerTransport.
func (t *PeerTransport) FetchRecords(ctx context.Context, to netip.AddrPort, s quetzalroad.LogStream, from quetzalroad.Offset) ([]quetzalroad.Record, error) {
	handler, delay, err := t.dial(ctx, to)
	if err != nil {
		return nil, err
	}
	return handler.HandleRecords(s, from), sleeper.Sleep(ctx, delay)
}

// FetchSnapshot implements quetzalroad.PeerTransport.
func (t *PeerTransport) FetchSnapshot(ctx context.Context, to netip.AddrPort, above quetzalroad.Offset) ([]byte, quetzalroad.Offset, error) {
	handler, delay, err := t.dial(ctx, to)
	if err != nil {
		return nil, quetzalroad.NoOffset, err
	}
	data, covers := handler.HandleSnapshot(above)
	return data, covers, sleeper.Sleep(ctx, delay)
}

// Disconnect implements quetzalroad.PeerTransport.
func (*PeerTransport) Disconnect(netip.AddrPort) {}

// VMList is the platform's VM list in memory. The zero value is empty.
type VMList struct {
	mu sync.Mutex
	// vms and down are guarded by mu.
	vms  map[string]quetzalroad.VM
	down bool
}

// Put adds or replaces a VM.
func (l *VMList) Put(v quetzalroad.VM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.vms == nil {
		l.vms = make(map[string]quetzalroad.VM)
	}
	l.vms[v.Name] = v
}

// Remove removes a VM.
func (l *VMList) Remove(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.vms, name)
}

// SetDown makes the list unavailable, or available again.
func (l *VMList) SetDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

var errVMListUnavailable = errors.New("VM list is unavailable")

// ListVMs implements quetzalroad.VMList.
func (l *VMList) ListVMs(context.Context) ([]quetzalroad.VM, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return nil, errVMListUnavailable
	}
	var vms []quetzalroad.VM
	for _, v := range l.vms {
		vms = append(vms, v)
	}
	return vms, nil
}

// Declare implements kernel.Component.
func (*VMList) Declare(*configloader.Section) {}

// Build implements kernel.Component.
func (l *VMList) Build(n *kernel.Node) error {
	n.VMList = l
	return nil
}
