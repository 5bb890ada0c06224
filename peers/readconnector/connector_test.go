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

// answers gives the same answer to each read that it expects.
type answers struct {
	t    *testing.T
	want quetzalroad.SharedReadRequest
	give quetzalroad.SharedReadResponse
}

func (a *answers) HandleRead(q quetzalroad.SharedReadRequest) quetzalroad.SharedReadResponse {
	if q != a.want {
		a.t.Errorf("read %+v, want %+v", q, a.want)
	}
	return a.give
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

func TestAReadIsAnsweredAndAgainAfterARestart(t *testing.T) {
	asker, reader := newConnector(t), newConnector(t)
	defer asker.listener.Close()
	a := &answers{
		t: t, want: quetzalroad.SharedReadRequest{Stream: quetzalroad.LogStreamUpstreams, From: 7},
		give: quetzalroad.SharedReadResponse{Status: quetzalroad.SharedReadOK, NextRead: 9, Records: []quetzalroad.KeyedRecord{{Key: "k", Offset: 8, Value: []byte("v")}}},
	}
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	for range 2 {
		serving, stop := context.WithCancel(ctx)
		done := make(chan error, 1)
		go func() { done <- reader.Serve(serving, a) }()
		got, err := asker.RequestRead(ctx, reader.ListenAddress(), a.want)
		if err != nil {
			t.Fatal(err)
		}
		got.Age = 0
		if diff := cmp.Diff(a.give, got); diff != "" {
			t.Errorf("(-want +got):\n%s", diff)
		}
		stop()
		<-done
		if _, err := asker.RequestRead(ctx, reader.ListenAddress(), a.want); err == nil {
			t.Error("a node that stopped answered")
		}
		reader = newConnector(t)
	}
	reader.listener.Close()
}
