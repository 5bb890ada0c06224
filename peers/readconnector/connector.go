// Package readconnector implements the transport of shared log reads, and of questions about the origins of streams,
// over drpc.
package readconnector

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"storj.io/drpc"
	"storj.io/drpc/drpcmux"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/codecs/nodemapper"
	"github.com/quetzalroad/quetzalroad/kernel"
	"github.com/quetzalroad/quetzalroad/peers/connmanager"
	"github.com/quetzalroad/quetzalroad/peers/peerwire"
	"github.com/quetzalroad/quetzalroad/support/configloader"
)

func init() {
	kernel.Register(kernel.Plugin{
		Slot: kernel.SlotReadTransport, Name: "drpc",
		New: func() kernel.Component { return new(Connector) },
	})
}

// Connector is a quetzalroad.ReadTransport and a quetzalroad.OriginTransport over drpc.
type Connector struct {
	address netip.AddrPort
	// node gives access to the stream tracker, whose slot is filled after this one.
	node     *kernel.Node
	conns    connmanager.Manager
	listener net.Listener
}

// Declare implements kernel.Component.
func (c *Connector) Declare(s *configloader.Section) {
	s.Address("address", &c.address, "", "Address to listen on for log reads from other nodes.")
	s.Duration("dial-timeout", &c.conns.DialTimeout, 200*time.Millisecond, 10*time.Millisecond, time.Minute, "Timeout of the TCP connect to another node.")
	s.Int("max-connections", &c.conns.MaxConnections, 0, 0, 1<<20, "Maximum number of connections of other nodes at once; zero for an eighth of the process's descriptors.")
	s.Duration("silence", &c.conns.IdleTimeout, 10*time.Second, time.Second, time.Hour, "Idle time after which a connection to another node is closed.")
}

// Build implements kernel.Component.
func (c *Connector) Build(n *kernel.Node) error {
	c.conns.Logger = n.Logger
	if c.conns.MaxConnections == 0 {
		c.conns.MaxConnections = connmanager.MaxConnectionsFor(n.Limits.Descriptors)
	}
	listener, err := net.Listen("tcp", c.address.String())
	if err != nil {
		return err
	}
	c.listener = listener
	c.node = n
	n.ReadTransport, n.OriginTransport = c, c
	return nil
}

// ListenAddress implements quetzalroad.ReadTransport.
func (c *Connector) ListenAddress() netip.AddrPort {
	return c.address
}

// Serve implements quetzalroad.ReadTransport.
func (c *Connector) Serve(ctx context.Context, h quetzalroad.ReadHandler) error {
	mux := drpcmux.New()
	if err := peerwire.DRPCRegisterLogReads(mux, &server{handler: h}); err != nil {
		return err
	}
	if err := peerwire.DRPCRegisterStreamOrigins(mux, &originServer{node: c.node}); err != nil {
		return err
	}
	return c.conns.Serve(ctx, c.listener, mux)
}

// server implements the LogReads service.
type server struct {
	handler quetzalroad.ReadHandler
}

// Read implements peerwire.DRPCLogReadsServer.
func (s *server) Read(_ context.Context, in *peerwire.ReadRequest) (*peerwire.ReadAnswer, error) {
	return nodemapper.EncodeReadResponse(s.handler.HandleRead(nodemapper.DecodeReadRequest(in))), nil
}

// RequestRead implements quetzalroad.ReadTransport.
func (c *Connector) RequestRead(ctx context.Context, to netip.AddrPort, request quetzalroad.SharedReadRequest) (quetzalroad.SharedReadResponse, error) {
	var response quetzalroad.SharedReadResponse
	err := c.conns.Call(ctx, to, func(conn drpc.Conn) error {
		out, err := peerwire.NewDRPCLogReadsClient(conn).Read(ctx, nodemapper.EncodeReadRequest(request))
		if err != nil {
			return err
		}
		response, err = nodemapper.DecodeReadResponse(out)
		return err
	})
	return response, err
}

// originServer implements the StreamOrigins service.
type originServer struct {
	node *kernel.Node
}

var errNoTracker = errors.New("this node doesn't track streams")

// Find implements peerwire.DRPCStreamOriginsServer.
func (s *originServer) Find(ctx context.Context, in *peerwire.OriginRequest) (*peerwire.OriginAnswer, error) {
	if s.node.StreamTracker == nil {
		return nil, errNoTracker
	}
	return nodemapper.EncodeOriginReport(s.node.StreamTracker.Report(ctx, nodemapper.DecodeOriginQuestion(in))), nil
}

// RequestOrigin implements quetzalroad.OriginTransport. A kept connection may have been closed by the other node while
// this one stood still, so that a question that fails is sent once more on another connection.
func (c *Connector) RequestOrigin(ctx context.Context, to netip.AddrPort, q quetzalroad.OriginQuestion) (quetzalroad.OriginReport, error) {
	report, err := c.requestOriginOnce(ctx, to, q)
	if err != nil && ctx.Err() == nil {
		return c.requestOriginOnce(ctx, to, q)
	}
	return report, err
}

func (c *Connector) requestOriginOnce(ctx context.Context, to netip.AddrPort, q quetzalroad.OriginQuestion) (quetzalroad.OriginReport, error) {
	var report quetzalroad.OriginReport
	err := c.conns.Call(ctx, to, func(conn drpc.Conn) error {
		out, err := peerwire.NewDRPCStreamOriginsClient(conn).Find(ctx, nodemapper.EncodeOriginQuestion(q))
		if err != nil {
			return err
		}
		report = nodemapper.DecodeOriginReport(out)
		return nil
	})
	return report, err
}
