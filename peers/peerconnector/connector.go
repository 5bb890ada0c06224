// Package peerconnector implements the transport between nodes over drpc.
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
	"github.com/quetzalroad/quetzalroad/peers/connmanager"
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
	// minKeyLength is the minimum length of the shared key in characters.
	minKeyLength = 16
	// maxRecordsBytes limits the data of the records in one response.
	maxRecordsBytes = 4 << 20
)

// Connector is a quetzalroad.PeerTransport over drpc.
type Connector struct {
	address  netip.AddrPort
	conns    connmanager.Manager
	recorder quetzalroad.Recorder
	mapper   peermapper.Mapper
	listener net.Listener
}

// Declare implements kernel.Component.
func (c *Connector) Declare(s *configloader.Section) {
	s.Address("address", &c.address, "127.0.0.1:7082", "Address to listen on for peers.")
	s.Secret("key", &c.conns.Key, minKeyLength, "Authentication key shared by all nodes of the deployment.")
	s.Duration("dial-timeout", &c.conns.DialTimeout, 500*time.Millisecond, 10*time.Millisecond, time.Minute, "Timeout of the TCP connect and the handshake.")
	s.Int("max-connections", &c.conns.MaxConnections, 0, 0, 1<<20, "Maximum number of connections of other nodes at once; zero for an eighth of the process's descriptors.")
	s.Duration("silence", &c.conns.IdleTimeout, 30*time.Second, time.Second, time.Hour, "Idle time after which the connection to a peer is closed.")
}

// Build implements kernel.Component.
func (c *Connector) Build(n *kernel.Node) error {
	c.conns.Logger = n.Logger
	if c.conns.MaxConnections == 0 {
		c.conns.MaxConnections = connmanager.MaxConnectionsFor(n.Limits.Descriptors)
	}
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
	return c.conns.Serve(ctx, c.listener, mux)
}

// server implements the Peer service.
type server struct {
	connector *Connector
	handler   quetzalroad.PeerHandler
}

// Beat implements peerwire.DRPCPeerServer.
func (s *server) Beat(_ context.Context, in *peerwire.Heartbeat) (*peerwire.Heartbeat, error) {
	s.connector.countReceived(quetzalroad.ControlHeartbeat, in)
	h, err := s.connector.mapper.DecodeHeartbeat(in)
	if err != nil {
		return nil, err
	}
	out := s.connector.mapper.EncodeHeartbeat(s.handler.HandleHeartbeat(h))
	s.connector.countSent(quetzalroad.ControlHeartbeat, out)
	return out, nil
}

// Records implements peerwire.DRPCPeerServer.
func (s *server) Records(_ context.Context, in *peerwire.RecordsRequest) (*peerwire.RecordsAnswer, error) {
	records := s.handler.HandleRecords(quetzalroad.LogStream(in.GetStream()), quetzalroad.Offset(in.GetFrom()))
	size := 0
	for i, r := range records {
		size += len(r.Data)
		if size > maxRecordsBytes {
			records = records[:i]
			break
		}
	}
	out := peermapper.EncodeRecords(records)
	s.connector.countSent(quetzalroad.ControlRecords, out)
	return out, nil
}

// Snapshot implements peerwire.DRPCPeerServer.
func (s *server) Snapshot(_ context.Context, in *peerwire.SnapshotRequest) (*peerwire.SnapshotAnswer, error) {
	data, offset := s.handler.HandleSnapshot(quetzalroad.Offset(in.GetAbove()))
	out := &peerwire.SnapshotAnswer{Data: data, Covers: int64(offset)}
	s.connector.countSent(quetzalroad.ControlSnapshot, out)
	return out, nil
}

func (c *Connector) countSent(kind quetzalroad.ControlKind, message proto.Message) {
	c.recorder.CountSent(kind, proto.Size(message))
}

func (c *Connector) countReceived(kind quetzalroad.ControlKind, message proto.Message) {
	c.recorder.CountReceived(kind, proto.Size(message))
}

// call calls the function with a client on the connection to a peer.
func (c *Connector) call(ctx context.Context, to netip.AddrPort, do func(peerwire.DRPCPeerClient) error) error {
	return c.conns.Call(ctx, to, func(conn drpc.Conn) error { return do(peerwire.NewDRPCPeerClient(conn)) })
}

// ExchangeHeartbeat implements quetzalroad.PeerTransport.
func (c *Connector) ExchangeHeartbeat(ctx context.Context, to netip.AddrPort, h quetzalroad.Heartbeat) (quetzalroad.Heartbeat, error) {
	in := c.mapper.EncodeHeartbeat(h)
	var response quetzalroad.Heartbeat
	err := c.call(ctx, to, func(client peerwire.DRPCPeerClient) error {
		c.countSent(quetzalroad.ControlHeartbeat, in)
		out, err := client.Beat(ctx, in)
		if err != nil {
			return err
		}
		c.countReceived(quetzalroad.ControlHeartbeat, out)
		response, err = c.mapper.DecodeHeartbeat(out)
		return err
	})
	return response, err
}

// FetchRecords implements quetzalroad.PeerTransport.
func (c *Connector) FetchRecords(ctx context.Context, to netip.AddrPort, s quetzalroad.LogStream, from quetzalroad.Offset) ([]quetzalroad.Record, error) {
	var records []quetzalroad.Record
	err := c.call(ctx, to, func(client peerwire.DRPCPeerClient) error {
		out, err := client.Records(ctx, &peerwire.RecordsRequest{Stream: string(s), From: int64(from)})
		if err != nil {
			return err
		}
		c.countReceived(quetzalroad.ControlRecords, out)
		records = peermapper.DecodeRecords(out)
		return nil
	})
	return records, err
}

// FetchSnapshot implements quetzalroad.PeerTransport.
func (c *Connector) FetchSnapshot(ctx context.Context, to netip.AddrPort, above quetzalroad.Offset) ([]byte, quetzalroad.Offset, error) {
	var data []byte
	offset := quetzalroad.NoOffset
	err := c.call(ctx, to, func(client peerwire.DRPCPeerClient) error {
		out, err := client.Snapshot(ctx, &peerwire.SnapshotRequest{Above: int64(above)})
		if err != nil {
			return err
		}
		c.countReceived(quetzalroad.ControlSnapshot, out)
		data, offset = out.GetData(), quetzalroad.Offset(out.GetCovers())
		return nil
	})
	return data, offset, err
}

// Disconnect implements quetzalroad.PeerTransport.
func (c *Connector) Disconnect(to netip.AddrPort) {
	c.conns.Disconnect(to)
}
