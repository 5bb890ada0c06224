// Package readconnector carries reads of the platform's log between nodes by
// drpc.
package readconnector

import (
	"context"
	"net"
	"net/netip"
	"time"

	"storj.io/drpc"
	"storj.io/drpc/drpcmux"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/codecs/nodemapper"
	"github.com/quetzalroad/quetzalroad/kernel"
	"github.com/quetzalroad/quetzalroad/peers/linker"
	"github.com/quetzalroad/quetzalroad/peers/peerwire"
	"github.com/quetzalroad/quetzalroad/support/configloader"
)

func init() {
	kernel.Register(kernel.Plugin{
		Slot: kernel.SlotReadTransport, Name: "drpc",
		New: func() kernel.Component { return new(Connector) },
	})
}

// Connector is the part that carries reads.
type Connector struct {
	address  netip.AddrPort
	links    linker.Linker
	listener net.Listener
}

// Declare implements kernel.Component.
func (c *Connector) Declare(s *configloader.Section) {
	s.Address("address", &c.address, "", "Where to answer the reads of other nodes.")
	s.Duration("dial-timeout", &c.links.DialTimeout, 200*time.Millisecond, 10*time.Millisecond, time.Minute, "How long a connection to another node may take.")
	s.Duration("silence", &c.links.Silence, 10*time.Second, time.Second, time.Hour, "Time without a read after which a connection is dropped.")
}

// Build implements kernel.Component.
func (c *Connector) Build(n *kernel.Node) error {
	listener, err := net.Listen("tcp", c.address.String())
	if err != nil {
		return err
	}
	c.listener = listener
	n.ReadTransport = c
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
	return c.links.Serve(ctx, c.listener, mux)
}

// server answers the reads of others.
type server struct {
	handler quetzalroad.ReadHandler
}

// Read implements the LogReads service.
func (s *server) Read(_ context.Context, in *peerwire.ReadRequest) (*peerwire.ReadAnswer, error) {
	return nodemapper.EncodeReadResponse(s.handler.HandleRead(nodemapper.DecodeReadRequest(in))), nil
}

// RequestRead implements quetzalroad.ReadTransport.
func (c *Connector) RequestRead(ctx context.Context, to netip.AddrPort, q quetzalroad.SharedReadRequest) (quetzalroad.SharedReadResponse, error) {
	var records quetzalroad.SharedReadResponse
	err := c.links.With(ctx, to, func(conn drpc.Conn) error {
		out, err := peerwire.NewDRPCLogReadsClient(conn).Read(ctx, nodemapper.EncodeReadRequest(q))
		if err != nil {
			return err
		}
		records, err = nodemapper.DecodeReadResponse(out)
		return err
	})
	return records, err
}
