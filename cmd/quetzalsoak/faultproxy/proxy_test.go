package faultproxy

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"os"
	"testing"
	"time"
)

// echoProxy is a proxy in front of an echo server.
type echoProxy struct {
	*Proxy
	address netip.AddrPort
}

func startEchoProxy(t *testing.T) echoProxy {
	t.Helper()
	echoListener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	proxyListener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		for {
			c, err := echoListener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				_, _ = io.Copy(c, c)
			}()
		}
	}()
	p := &Proxy{Target: netip.MustParseAddrPort(echoListener.Addr().String())}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		p.Serve(ctx, proxyListener)
		close(done)
	}()
	t.Cleanup(func() {
		cancel()
		echoListener.Close()
		<-done
	})
	return echoProxy{Proxy: p, address: netip.MustParseAddrPort(proxyListener.Addr().String())}
}

func (p echoProxy) dial(t *testing.T) (net.Conn, *bufio.Reader, error) {
	t.Helper()
	c, err := net.Dial("tcp", p.address.String())
	if err != nil {
		return nil, nil, err
	}
	t.Cleanup(func() { c.Close() })
	return c, bufio.NewReader(c), nil
}

func (p echoProxy) mustDial(t *testing.T) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, r, err := p.dial(t)
	if err != nil {
		t.Fatal(err)
	}
	return c, r
}

// echoLine sends a line and waits until it is echoed.
func echoLine(t *testing.T, c net.Conn, r *bufio.Reader, timeout time.Duration) error {
	t.Helper()
	if _, err := io.WriteString(c, "line\n"); err != nil {
		return err
	}
	if err := c.SetReadDeadline(time.Now().Add(timeout)); err != nil {
		t.Fatal(err)
	}
	_, err := r.ReadString('\n')
	return err
}

const (
	responseTimeout = 30 * time.Second
	silenceTimeout  = 100 * time.Millisecond
)

func TestProxyForwardsByDefault(t *testing.T) {
	c, r := startEchoProxy(t).mustDial(t)
	if err := echoLine(t, c, r, responseTimeout); err != nil {
		t.Error(err)
	}
}

func TestConnectionThatDroppedBytesStaysSilent(t *testing.T) {
	for _, m := range []Mode{{DropToTarget: true}, {DropFromTarget: true}} {
		p := startEchoProxy(t)
		c, r := p.mustDial(t)
		if err := echoLine(t, c, r, responseTimeout); err != nil {
			t.Fatal(err)
		}
		p.SetMode(m)
		if err := echoLine(t, c, r, silenceTimeout); err == nil {
			t.Errorf("%+v: the line was echoed", m)
		}
		p.SetMode(Mode{})
		if err := echoLine(t, c, r, silenceTimeout); err == nil {
			t.Errorf("%+v: a connection that dropped bytes works again", m)
		}
		newConn, newReader := p.mustDial(t)
		if err := echoLine(t, newConn, newReader, responseTimeout); err != nil {
			t.Errorf("%+v: a new connection: %v", m, err)
		}
	}
}

func TestResetAndRefusalCloseConnections(t *testing.T) {
	p := startEchoProxy(t)
	c, r := p.mustDial(t)
	if err := echoLine(t, c, r, responseTimeout); err != nil {
		t.Fatal(err)
	}
	p.Reset()
	if err := echoLine(t, c, r, responseTimeout); err == nil {
		t.Error("a reset connection still works")
	}
	p.SetMode(Mode{RefuseConnections: true})
	// The reset that refuses a connection may arrive before or after the dial has returned.
	c, r, err := p.dial(t)
	if err == nil {
		err = echoLine(t, c, r, responseTimeout)
	}
	if err == nil {
		t.Error("a refused connection works")
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		t.Error("a refused connection stays open")
	}
}
