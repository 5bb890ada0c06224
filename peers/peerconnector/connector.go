// Package peerconnector carries messages between nodes by drpc.
package peerconnector

import (
	"context"
	"net"
	"net/netip"
	"time"

	"google.golang.org/protobuf/proto"
	"storj.io/drpc"
	"storj.io/drpc/drpcmux"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/codecs/peermapper"
	"github.com/quetzalroad/quetzalroad/kernel"
	"github.com/quetzalroad/quetzalroad/peers/linker"
	"github.com/quetzalroad/quetzalroad/peers/peerwire"
	"github.com/quetzalroad/quetzalroad/support/configloader"
)

func init() {
	kernel.Register(kernel.Plugin{
		Slot: kernel.SlotPeerTransport, Name: "drpc", Default: true,
		New: func() kernel.Component { return new(Connector) },
	})
}

const (
	// minKeyLength bounds the shared key from below, in characters.
	minKeyLength = 16
	// maxAnswerBytes bounds the records given in one answer.
	maxAnswerBytes = 4 << 20
)

// Connector is the part that carries messages.
type Connector struct {
	address  netip.AddrPort
	links    linker.Linker
	recorder quetzalroad.Recorder
	mapper   peermapper.Mapper
	listener net.Listener
}

// Declare implements kernel.Component.
func (c *Connector) Declare(s *configloader.Section) {
	s.Address("address", &c.address, "127.0.0.1:7082", "Where to listen to peers.")
	s.Secret("key", &c.links.Key, minKeyLength, "The key that all nodes of the deployment share.")
	s.Duration("dial-timeout", &c.links.DialTimeout, 500*time.Millisecond, 10*time.Millisecond, time.Minute, "How long a connection and its handshake may take.")
	s.Duration("silence", &c.links.Silence, 30*time.Second, time.Second, time.Hour, "Time without a message after which a peer's connection is dropped.")
}

// Build implements kernel.Component.
func (c *Connector) Build(n *kernel.Node) error {
	c.recorder = n.Recorder
	c.mapper = peermapper.Mapper{Directory: n.Directory}
	listener, err := net.Listen("tcp", c.address.String())
	if err != nil {
		return err
	}
	c.listener = listener
	n.PeerTransport = c
	return nil
}

// ListenAddress implements quetzalroad.PeerTransport.
func (c *Connector) ListenAddress() netip.AddrPort {
	return c.address
}

// Serve implements quetzalroad.PeerTransport.
func (c *Connector) Serve(ctx context.Context, h quetzalroad.PeerHandler) error {
	mux := drpcmux.New()
	if err := peerwire.DRPCRegisterPeer(mux, &server{connector: c, handler: h}); err != nil {
		return err
	}
	return c.links.Serve(ctx, c.listener, mux)
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
	out := s.connector.mapper.EncodeHeartbeat(s.handler.HandleHeartbeat(h))
	s.connector.sent(quetzalroad.ControlHeartbeat, out)
	return out, nil
}

// Records implements the Peer service.
func (s *server) Records(_ context.Context, in *peerwire.RecordsRequest) (*peerwire.RecordsAnswer, error) {
	records := s.handler.HandleRecords(quetzalroad.LogStream(in.GetStream()), quetzalroad.Offset(in.GetFrom()))
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
	data, covers := s.handler.HandleSnapshot(quetzalroad.Offset(in.GetAbove()))
	out := &peerwire.SnapshotAnswer{Data: data, Covers: int64(covers)}
	s.connector.sent(quetzalroad.ControlSnapshot, out)
	return out, nil
}

func (c *Connector) sent(kind quetzalroad.ControlKind, m proto.Message) {
	c.recorder.CountSent(kind, proto.Size(m))
}

func (c *Connector) received(kind quetzalroad.ControlKind, m proto.Message) {
	c.recorder.CountReceived(kind, proto.Size(m))
}

// with runs a call on the connection to a peer.
func (c *Connector) with(ctx context.Context, to netip.AddrPort, call func(peerwire.DRPCPeerClient) error) error {
	return c.links.With(ctx, to, func(conn drpc.Conn) error { return call(peerwire.NewDRPCPeerClient(conn)) })
}

// ExchangeHeartbeat implements quetzalroad.PeerTransport.
func (c *Connector) ExchangeHeartbeat(ctx context.Context, to netip.AddrPort, h quetzalroad.Heartbeat) (quetzalroad.Heartbeat, error) {
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

// FetchRecords implements quetzalroad.PeerTransport.
func (c *Connector) FetchRecords(ctx context.Context, to netip.AddrPort, s quetzalroad.LogStream, from quetzalroad.Offset) ([]quetzalroad.Record, error) {
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

// FetchSnapshot implements quetzalroad.PeerTransport.
func (c *Connector) FetchSnapshot(ctx context.Context, to netip.AddrPort, above quetzalroad.Offset) ([]byte, quetzalroad.Offset, error) {
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

// Disconnect implements quetzalroad.PeerTransport.
func (c *Connector) Disconnect(to netip.AddrPort) {
	c.links.Drop(to)
}
