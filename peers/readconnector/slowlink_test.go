package readconnector

import (
	"context"
	"io"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/support/stalltimer"
)

const (
	// partBytes is the size of the parts in which a slow link transfers data, and partInterval the time between two.
	partBytes    = 16 << 10
	partInterval = 20 * time.Millisecond
)

// newSlowLink returns an address that leads to another one. What comes from there arrives in parts.
func newSlowLink(t *testing.T, to netip.AddrPort) netip.AddrPort {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		client, err := listener.Accept()
		if err != nil {
			return
		}
		defer client.Close()
		server, err := net.Dial("tcp", to.String())
		if err != nil {
			return
		}
		defer server.Close()
		go func() { _, _ = io.Copy(server, client) }()
		for err == nil {
			_, err = io.CopyN(client, server, partBytes)
			time.Sleep(partInterval)
		}
	}()
	return listener.Addr().(*net.TCPAddr).AddrPort()
}

// Guards against a read that is given up during its transfer, as a whole takes longer than the timeout.
func TestReadOverASlowLinkIsNotGivenUp(t *testing.T) {
	const timeout = 2 * time.Second
	value := make([]byte, partBytes*int(timeout/partInterval)*5/4)
	client, server := newConnector(t), newConnector(t)
	defer client.listener.Close()
	want := quetzalroad.SharedReadResponse{Status: quetzalroad.SharedReadOK, NextRead: 9, Records: []quetzalroad.KeyedRecord{{Key: "k", Offset: 8, Value: value}}}
	handler := &stubHandler{t: t, want: quetzalroad.SharedReadRequest{Stream: quetzalroad.LogStreamOperators}, response: want}
	serving, stop := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- server.Serve(serving, handler) }()
	defer func() {
		stop()
		<-done
	}()
	ctx, cancel := stalltimer.WithTimeout(t.Context(), timeout, timeout)
	defer cancel()
	got, err := client.RequestRead(ctx, newSlowLink(t, server.ListenAddress()), handler.want)
	if err != nil {
		t.Fatal(err, context.Cause(ctx))
	}
	got.Age = 0
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
}
