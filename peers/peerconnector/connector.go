// Package peerconnector carries messages between nodes by drpc over TCP. Both
// ends prove that they hold the deployment's key before a message is taken;
// to anybody else a node says nothing.
package peerconnector

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcwire"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/codecs/peermapper"
	"github.com/quetzalroad/quetzalroad/kernel"
	"github.com/quetzalroad/quetzalroad/peers/peerwire"
	"github.com/quetzalroad/quetzalroad/support/configurer"
)

func init() {
	kernel.Register(kernel.Plugin{
		Slot: kernel.SlotTransport, Name: "drpc", Default: true,
		New: func() kernel.Part { return new(Connector) },
	})
}

const (
	// minKeyLength bounds the shared key from below, in characters.
	minKeyLength = 16
	// maxMessageBytes bounds one message; a snapshot is the largest.
	maxMessageBytes = 64 << 20
	// maxAnswerBytes bounds the records given in one answer.
	maxAnswerBytes = 4 << 20
)

// Connector is the part that carries messages.
type Connector struct {
	address     netip.AddrPort
	key         string
	dialTimeout time.Duration
	silence     time.Duration
	recorder    quetzalroad.Recorder
	mapper      peermapper.Mapper
	listener    net.Listener
	mu          sync.Mutex
	// conns holds at most one open connection to each peer and is guarded by
	// mu.
	conns map[netip.AddrPort]*link
}

// link is the connection to one peer.
type link struct {
	mu sync.Mutex
	// conn is guarded by mu and nil while there is no connection.
	conn *drpcconn.Conn
}

// Declare implements kernel.Part.
func (c *Connector) Declare(s *configurer.Section) {
	s.Address("address", &c.address, "127.0.0.1:7082", "Where to listen to peers.")
	s.Secret("key", &c.key, minKeyLength, "The key that all nodes of the deployment share.")
	s.Duration("dial-timeout", &c.dialTimeout, 500*time.Millisecond, 10*time.Millisecond, time.Minute, "How long a connection and its handshake may take.")
	s.Duration("silence", &c.silence, 30*time.Second, time.Second, time.Hour, "Time without a message after which a peer's connection is dropped.")
}

// Build implements kernel.Part.
func (c *Connector) Build(n *kernel.Node) error {
	c.recorder = n.Recorder
	c.mapper = peermapper.Mapper{Directory: n.Directory}
	listener, err := net.Listen("tcp", c.address.String())
	if err != nil {
		return err
	}
	c.listener = listener
	n.Transport = c
	return nil
}

// Address implements quetzalroad.PeerTransport.
func (c *Connector) Address() netip.AddrPort {
	return c.address
}

// Serve implements quetzalroad.PeerTransport.
func (c *Connector) Serve(ctx context.Context, h quetzalroad.PeerHandler) error {
	mux := drpcmux.New()
	if err := peerwire.DRPCRegisterPeer(mux, &server{connector: c, handler: h}); err != nil {
		return err
	}
	options := drpcserver.Options{Manager: c.manager()}
	rpc := drpcserver.NewWithOptions(mux, options)
	stop := context.AfterFunc(ctx, func() {
		// Serving ends either way; what is open is closed by the context.
		_ = c.listener.Close()
		c.closeAll()
	})
	defer stop()
	var serving sync.WaitGroup
	defer serving.Wait()
	for {
		conn, err := c.listener.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			return err
		}
		serving.Go(func() { c.serveOne(ctx, rpc, conn) })
	}
}

func (c *Connector) manager() drpcmanager.Options {
	return drpcmanager.Options{
		InactivityTimeout: c.silence,
		Reader:            drpcwire.ReaderOptions{MaximumBufferSize: maxMessageBytes},
	}
}

func (c *Connector) serveOne(ctx context.Context, rpc *drpcserver.Server, conn net.Conn) {
	defer conn.Close()
	if err := acceptProof(conn, []byte(c.key), c.dialTimeout); err != nil {
		return
	}
	// The peer's going away is no news here: its heartbeats tell.
	_ = rpc.ServeOne(ctx, conn)
}

// server answers the calls of peers.
type server struct {
	connector *Connector
	handler   quetzalroad.PeerHandler
}

// Beat implements the Peer service.
func (s *server) Beat(_ context.Context, in *peerwire.Heartbeat) (*peerwire.Heartbeat, error) {
	s.connector.received(quetzalroad.ControlHeartbeat, in)
	h, err := s.connector.mapper.DecodeHeartbeat(in)
	if err != nil {
		return nil, err
	}
	out := s.connector.mapper.EncodeHeartbeat(s.handler.Beat(h))
	s.connector.sent(quetzalroad.ControlHeartbeat, out)
	return out, nil
}

// Records implements the Peer service.
func (s *server) Records(_ context.Context, in *peerwire.RecordsRequest) (*peerwire.RecordsAnswer, error) {
	records := s.handler.Records(quetzalroad.Stream(in.GetStream()), quetzalroad.Offset(in.GetFrom()))
	size := 0
	for i, r := range records {
		size += len(r.Data)
		if size > maxAnswerBytes {
			records = records[:i]
			break
		}
	}
	out := peermapper.EncodeRecords(records)
	s.connector.sent(quetzalroad.ControlRecords, out)
	return out, nil
}

// Snapshot implements the Peer service.
func (s *server) Snapshot(_ context.Context, in *peerwire.SnapshotRequest) (*peerwire.SnapshotAnswer, error) {
	data, covers := s.handler.Snapshot(quetzalroad.Offset(in.GetAbove()))
	out := &peerwire.SnapshotAnswer{Data: data, Covers: int64(covers)}
	s.connector.sent(quetzalroad.ControlSnapshot, out)
	return out, nil
}

func (c *Connector) sent(kind quetzalroad.ControlKind, m proto.Message) {
	c.recorder.Sent(kind, proto.Size(m))
}

func (c *Connector) received(kind quetzalroad.ControlKind, m proto.Message) {
	c.recorder.Received(kind, proto.Size(m))
}

// with runs a call on the connection to a peer, which carries one call at a
// time. After a failure the connection is closed, as it may have gone silent,
// and the next call makes a new one.
func (c *Connector) with(ctx context.Context, to netip.AddrPort, call func(peerwire.DRPCPeerClient) error) error {
	l := c.link(to)
	conn := l.open()
	if conn == nil {
		fresh, err := c.dial(ctx, to)
		if err != nil {
			return err
		}
		conn = l.set(fresh)
	}
	err := call(peerwire.NewDRPCPeerClient(conn))
	if err != nil {
		l.drop(conn)
	}
	return err
}

// open gives the connection, if there is one.
func (l *link) open() *drpcconn.Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.conn
}

// set keeps a new connection, unless another call made one meanwhile.
func (l *link) set(fresh *drpcconn.Conn) *drpcconn.Conn {
	l.mu.Lock()
	have := l.conn
	if have == nil {
		l.conn = fresh
	}
	l.mu.Unlock()
	if have == nil {
		return fresh
	}
	// The spare connection was never used.
	_ = fresh.Close()
	return have
}

// drop closes a connection; nil stands for whichever there is.
func (l *link) drop(conn *drpcconn.Conn) {
	l.mu.Lock()
	have := l.conn
	if conn == nil || have == conn {
		l.conn = nil
	}
	l.mu.Unlock()
	if conn == nil {
		conn = have
	}
	if conn != nil {
		// A connection that fails to close is gone all the same.
		_ = conn.Close()
	}
}

func (c *Connector) link(to netip.AddrPort) *link {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conns == nil {
		c.conns = make(map[netip.AddrPort]*link)
	}
	l := c.conns[to]
	if l == nil {
		l = &link{}
		c.conns[to] = l
	}
	return l
}

func (c *Connector) dial(ctx context.Context, to netip.AddrPort) (*drpcconn.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, c.dialTimeout)
	defer cancel()
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", to.String())
	if err != nil {
		return nil, err
	}
	if err := giveProof(conn, []byte(c.key), c.dialTimeout); err != nil {
		return nil, errors.CombineErrors(err, conn.Close())
	}
	return drpcconn.NewWithOptions(conn, drpcconn.Options{Manager: c.manager()}), nil
}

// Beat implements quetzalroad.PeerTransport.
func (c *Connector) Beat(ctx context.Context, to netip.AddrPort, h quetzalroad.Heartbeat) (quetzalroad.Heartbeat, error) {
	in := c.mapper.EncodeHeartbeat(h)
	var answer quetzalroad.Heartbeat
	err := c.with(ctx, to, func(client peerwire.DRPCPeerClient) error {
		c.sent(quetzalroad.ControlHeartbeat, in)
		out, err := client.Beat(ctx, in)
		if err != nil {
			return err
		}
		c.received(quetzalroad.ControlHeartbeat, out)
		answer, err = c.mapper.DecodeHeartbeat(out)
		return err
	})
	return answer, err
}

// Records implements quetzalroad.PeerTransport.
func (c *Connector) Records(ctx context.Context, to netip.AddrPort, s quetzalroad.Stream, from quetzalroad.Offset) ([]quetzalroad.Record, error) {
	var records []quetzalroad.Record
	err := c.with(ctx, to, func(client peerwire.DRPCPeerClient) error {
		out, err := client.Records(ctx, &peerwire.RecordsRequest{Stream: string(s), From: int64(from)})
		if err != nil {
			return err
		}
		c.received(quetzalroad.ControlRecords, out)
		records = peermapper.DecodeRecords(out)
		return nil
	})
	return records, err
}

// Snapshot implements quetzalroad.PeerTransport.
func (c *Connector) Snapshot(ctx context.Context, to netip.AddrPort, above quetzalroad.Offset) ([]byte, quetzalroad.Offset, error) {
	var data []byte
	covers := quetzalroad.NoOffset
	err := c.with(ctx, to, func(client peerwire.DRPCPeerClient) error {
		out, err := client.Snapshot(ctx, &peerwire.SnapshotRequest{Above: int64(above)})
		if err != nil {
			return err
		}
		c.received(quetzalroad.ControlSnapshot, out)
		data, covers = out.GetData(), quetzalroad.Offset(out.GetCovers())
		return nil
	})
	return data, covers, err
}

// Drop implements quetzalroad.PeerTransport.
func (c *Connector) Drop(to netip.AddrPort) {
	c.mu.Lock()
	l := c.conns[to]
	delete(c.conns, to)
	c.mu.Unlock()
	if l != nil {
		l.drop(nil)
	}
}

func (c *Connector) closeAll() {
	c.mu.Lock()
	links := c.conns
	c.conns = nil
	c.mu.Unlock()
	for _, l := range links {
		l.drop(nil)
	}
}
