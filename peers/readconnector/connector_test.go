package readconnector

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/kernel"
	"github.com/quetzalroad/quetzalroad/support/configloader"
)

// stubHandler checks each read against want and returns the same response.
type stubHandler struct {
	t        *testing.T
	want     quetzalroad.SharedReadRequest
	response quetzalroad.SharedReadResponse
}

func (h *stubHandler) HandleRead(got quetzalroad.SharedReadRequest) quetzalroad.SharedReadResponse {
	if got != h.want {
		h.t.Errorf("read %+v, want %+v", got, h.want)
	}
	return h.response
}

func newConnector(t *testing.T) *Connector {
	t.Helper()
	c := new(Connector)
	c.Declare(new(configloader.Section))
	c.address = netip.MustParseAddrPort("127.0.0.1:0")
	if err := c.Build(new(kernel.Node)); err != nil {
		t.Fatal(err)
	}
	c.address = c.listener.Addr().(*net.TCPAddr).AddrPort()
	return c
}

func TestRequestReadReconnectsAfterServerRestart(t *testing.T) {
	client, server := newConnector(t), newConnector(t)
	defer client.listener.Close()
	handler := &stubHandler{
		t: t, want: quetzalroad.SharedReadRequest{Stream: quetzalroad.LogStreamUpstreams, From: quetzalroad.Position{Epoch: 3, Offset: 7}},
		response: quetzalroad.SharedReadResponse{Status: quetzalroad.SharedReadOK, Epoch: 4, NextRead: 9, InheritedEnd: 2, Records: []quetzalroad.KeyedRecord{{Key: "k", Offset: 8, Value: []byte("v")}}},
	}
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	for range 2 {
		serving, stop := context.WithCancel(ctx)
		done := make(chan error, 1)
		go func() { done <- server.Serve(serving, handler) }()
		got, err := client.RequestRead(ctx, server.ListenAddress(), handler.want)
		if err != nil {
			t.Fatal(err)
		}
		got.Age = 0
		if diff := cmp.Diff(handler.response, got); diff != "" {
			t.Errorf("(-want +got):\n%s", diff)
		}
		stop()
		<-done
		if _, err := client.RequestRead(ctx, server.ListenAddress(), handler.want); err == nil {
			t.Error("a stopped node responded to a read")
		}
		server = newConnector(t)
	}
	server.listener.Close()
}

// stubTracker reports the same of each stream.
type stubTracker struct {
	quetzalroad.StreamTracker
	report quetzalroad.OriginReport
}

func (s stubTracker) Report(_ context.Context, q quetzalroad.OriginQuestion) quetzalroad.OriginReport {
	s.report.Origin.Service = q.Service
	return s.report
}

// restartConnector returns a connector that listens at the address of one that has stopped, and tracks the same streams.
func restartConnector(t *testing.T, stopped *Connector) *Connector {
	t.Helper()
	c := new(Connector)
	c.Declare(new(configloader.Section))
	c.address = stopped.address
	if err := c.Build(&kernel.Node{StreamTracker: stopped.node.StreamTracker}); err != nil {
		t.Fatal(err)
	}
	return c
}

// Guards against nodes that can't ask each other where a stream began, also on a connection that the other one has closed.
func TestRequestOrigin(t *testing.T) {
	client, server := newConnector(t), newConnector(t)
	defer client.listener.Close()
	q := quetzalroad.OriginQuestion{Stream: "first", Service: "llm"}
	stop := serve(t, server)
	if _, err := client.RequestOrigin(t.Context(), server.ListenAddress(), q); err == nil {
		t.Error("a node without a tracker responds")
	}
	want := quetzalroad.OriginReport{Found: true, Origin: quetzalroad.StreamOrigin{Service: "llm", Version: "v2"}, IsCurrent: true}
	server.node.StreamTracker = stubTracker{report: want}
	for range 2 {
		got, err := client.RequestOrigin(t.Context(), server.ListenAddress(), q)
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("(-want +got):\n%s", diff)
		}
		// The other node may close a connection that is kept, for example as this node stood still.
		stop()
		server = restartConnector(t, server)
		stop = serve(t, server)
	}
	stop()
}

// serve has a connector serve until the returned function is called.
func serve(t *testing.T, c *Connector) (stop func()) {
	t.Helper()
	serving, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- c.Serve(serving, &stubHandler{t: t}) }()
	return func() {
		cancel()
		<-done
	}
}
