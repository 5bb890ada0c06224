package faultproxy

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/netip"
	"testing"
	"time"
)

// bringUp gives a proxy before a server that sends lines back.
func bringUp(t *testing.T) (*Proxy, func() (net.Conn, *bufio.Reader)) {
	t.Helper()
	server, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	front, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		for {
			c, err := server.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				_, _ = io.Copy(c, c)
			}()
		}
	}()
	p := &Proxy{Target: netip.MustParseAddrPort(server.Addr().String())}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		p.Serve(ctx, front)
		close(done)
	}()
	t.Cleanup(func() {
		cancel()
		server.Close()
		<-done
	})
	return p, func() (net.Conn, *bufio.Reader) {
		c, err := net.Dial("tcp", front.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		return c, bufio.NewReader(c)
	}
}

// line sends a line and waits for its return.
func line(t *testing.T, c net.Conn, r *bufio.Reader, wait time.Duration) error {
	t.Helper()
	if _, err := io.WriteString(c, "line\n"); err != nil {
		return err
	}
	if err := c.SetReadDeadline(time.Now().Add(wait)); err != nil {
		t.Fatal(err)
	}
	_, err := r.ReadString('\n')
	return err
}

const (
	enough  = 30 * time.Second
	tooLong = 100 * time.Millisecond
)

func TestASoundProxyPassesOn(t *testing.T) {
	_, dial := bringUp(t)
	c, r := dial()
	if err := line(t, c, r, enough); err != nil {
		t.Error(err)
	}
}

func TestAConnectionThatLostBytesStaysSilentWhileNewOnesWork(t *testing.T) {
	for _, m := range []Mode{{DropTo: true}, {DropFrom: true}} {
		p, dial := bringUp(t)
		c, r := dial()
		if err := line(t, c, r, enough); err != nil {
			t.Fatal(err)
		}
		p.Set(m)
		if err := line(t, c, r, tooLong); err == nil {
			t.Errorf("%+v: the line came back", m)
		}
		p.Set(Mode{})
		if err := line(t, c, r, tooLong); err == nil {
			t.Errorf("%+v: a connection that lost bytes works again", m)
		}
		fresh, reader := dial()
		if err := line(t, fresh, reader, enough); err != nil {
			t.Errorf("%+v: a new connection: %v", m, err)
		}
	}
}

func TestResetAndRefusalEndConnections(t *testing.T) {
	p, dial := bringUp(t)
	c, r := dial()
	if err := line(t, c, r, enough); err != nil {
		t.Fatal(err)
	}
	p.Reset()
	if err := line(t, c, r, enough); err == nil {
		t.Error("a connection that was reset works")
	}
	p.Set(Mode{Refuse: true})
	c, r = dial()
	if err := line(t, c, r, enough); err == nil {
		t.Error("a connection that was refused works")
	}
}
