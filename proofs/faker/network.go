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

var errUnreachable = errors.New("the peer can't be reached")

// Network carries messages between nodes in memory. The zero value has no
// nodes and no delay.
type Network struct {
	// NearDelay and FarDelay are the one-way delays within a data centre and
	// between two.
	NearDelay time.Duration
	FarDelay  time.Duration

	mu sync.Mutex
	// links and cuts are guarded by mu.
	links map[netip.AddrPort]*Link
	cuts  map[[2]quetzalroad.DataCentre]bool
	// silent holds the nodes to which calls hang instead of failing.
	silent map[quetzalroad.NodeName]bool
	calls  int
}

// SetCut cuts two data centres off from each other or joins them again.
func (n *Network) SetCut(a, b quetzalroad.DataCentre, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cuts == nil {
		n.cuts = make(map[[2]quetzalroad.DataCentre]bool)
	}
	n.cuts[[2]quetzalroad.DataCentre{a, b}] = cut
	n.cuts[[2]quetzalroad.DataCentre{b, a}] = cut
}

// SetSilent makes calls to a node hang.
func (n *Network) SetSilent(name quetzalroad.NodeName, silent bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.silent == nil {
		n.silent = make(map[quetzalroad.NodeName]bool)
	}
	n.silent[name] = silent
}

// Calls counts the calls between nodes.
func (n *Network) Calls() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.calls
}

// Link gives the end of a new node.
func (n *Network) Link(address netip.AddrPort, name quetzalroad.NodeName, place quetzalroad.DataCentre) *Link {
	return &Link{network: n, address: address, name: name, place: place}
}

// Link is a node's end of the network.
type Link struct {
	network *Network
	address netip.AddrPort
	name    quetzalroad.NodeName
	place   quetzalroad.DataCentre
	// handler is set while the node serves; guarded by the network's lock.
	handler quetzalroad.PeerHandler
}

// Declare implements kernel.Component.
func (*Link) Declare(*configloader.Section) {}

// Build implements kernel.Component.
func (l *Link) Build(n *kernel.Node) error {
	n.PeerTransport = l
	return nil
}

// ListenAddress implements quetzalroad.PeerTransport.
func (l *Link) ListenAddress() netip.AddrPort { return l.address }

// Serve implements quetzalroad.PeerTransport.
func (l *Link) Serve(ctx context.Context, h quetzalroad.PeerHandler) error {
	n := l.network
	n.mu.Lock()
	if n.links == nil {
		n.links = make(map[netip.AddrPort]*Link)
	}
	l.handler = h
	n.links[l.address] = l
	n.mu.Unlock()
	<-ctx.Done()
	n.mu.Lock()
	l.handler = nil
	n.mu.Unlock()
	return ctx.Err()
}

// reach gives the handler of a peer and the delay to it.
func (l *Link) reach(ctx context.Context, to netip.AddrPort) (quetzalroad.PeerHandler, time.Duration, error) {
	n := l.network
	n.mu.Lock()
	n.calls++
	peer := n.links[to]
	var handler quetzalroad.PeerHandler
	silent := false
	delay := n.NearDelay
	if peer != nil && !n.cuts[[2]quetzalroad.DataCentre{l.place, peer.place}] {
		handler = peer.handler
		silent = n.silent[peer.name]
	}
	if peer != nil && peer.place != l.place {
		delay = n.FarDelay
	}
	n.mu.Unlock()
	if silent {
		<-ctx.Done()
		return nil, 0, ctx.Err()
	}
	if handler == nil {
		return nil, 0, errUnreachable
	}
	return handler, delay, sleeper.Sleep(ctx, delay)
}

// ExchangeHeartbeat implements quetzalroad.PeerTransport.
func (l *Link) ExchangeHeartbeat(ctx context.Context, to netip.AddrPort, h quetzalroad.Heartbeat) (quetzalroad.Heartbeat, error) {
	handler, delay, err := l.reach(ctx, to)
	if err != nil {
		return quetzalroad.Heartbeat{}, err
	}
	return handler.HandleHeartbeat(h), sleeper.Sleep(ctx, delay)
}

// FetchRecords implements quetzalroad.PeerTransport.
func (l *Link) FetchRecords(ctx context.Context, to netip.AddrPort, s quetzalroad.LogStream, from quetzalroad.Offset) ([]quetzalroad.Record, error) {
	handler, delay, err := l.reach(ctx, to)
	if err != nil {
		return nil, err
	}
	return handler.HandleRecords(s, from), sleeper.Sleep(ctx, delay)
}

// FetchSnapshot implements quetzalroad.PeerTransport.
func (l *Link) FetchSnapshot(ctx context.Context, to netip.AddrPort, above quetzalroad.Offset) ([]byte, quetzalroad.Offset, error) {
	handler, delay, err := l.reach(ctx, to)
	if err != nil {
		return nil, quetzalroad.NoOffset, err
	}
	data, covers := handler.HandleSnapshot(above)
	return data, covers, sleeper.Sleep(ctx, delay)
}

// Disconnect implements quetzalroad.PeerTransport.
func (*Link) Disconnect(netip.AddrPort) {}

// VMList is the platform's list in memory. The zero value is empty.
type VMList struct {
	mu sync.Mutex
	// vms and down are guarded by mu.
	vms  map[string]quetzalroad.VM
	down bool
}

// Put adds or changes a VM.
func (l *VMList) Put(v quetzalroad.VM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.vms == nil {
		l.vms = make(map[string]quetzalroad.VM)
	}
	l.vms[v.Name] = v
}

// Remove takes a VM out.
func (l *VMList) Remove(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.vms, name)
}

// SetDown takes the list away or brings it back.
func (l *VMList) SetDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

var errListAway = errors.New("the VM list is away")

// ListVMs implements quetzalroad.VMList.
func (l *VMList) ListVMs(context.Context) ([]quetzalroad.VM, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return nil, errListAway
	}
	var all []quetzalroad.VM
	for _, v := range l.vms {
		all = append(all, v)
	}
	return all, nil
}

// Declare implements kernel.Component.
func (*VMList) Declare(*configloader.Section) {}

// Build implements kernel.Component.
func (l *VMList) Build(n *kernel.Node) error {
	n.VMList = l
	return nil
}
