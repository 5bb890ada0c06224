package callerserver_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/kernel"
	"github.com/quetzalroad/quetzalroad/proofs/faker"
	_ "github.com/quetzalroad/quetzalroad/servers/callerserver"
)

// callRequest is a call of a plain service without the last byte of its body.
const callRequest = "POST /services/portal/bookings HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer secret\r\nContent-Length: 2\r\n\r\no"

// newNode starts a node that listens on loopback, with a plain service whose calls last longer than the test, and with
// further settings sections.
func newNode(t *testing.T, sections ...string) (*kernel.Node, *faker.ServiceClient, net.Addr) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr()
	if err := listener.Close(); err != nil {
		t.Fatal(err)
	}
	d := new(faker.Deployment)
	d.ServiceClient.ExecutionTime = time.Minute
	t.Cleanup(d.Close)
	err = d.Publish(
		quetzalroad.Object{Profile: &quetzalroad.Profile{Name: "booking", Class: "booking", FirstTokenTarget: time.Second, Timeout: 30 * time.Second}},
		quetzalroad.Object{Team: &quetzalroad.Team{Name: "team", DefaultProfile: "booking", KeyHashes: []quetzalroad.KeyHash{quetzalroad.HashKey("secret")}}},
		quetzalroad.Object{Service: &quetzalroad.Service{Name: "portal", Kind: quetzalroad.ServiceKindPlain, DefaultProfile: "booking"}},
		quetzalroad.Object{Upstream: &quetzalroad.Upstream{Name: "u", Service: "portal", DataCentre: "east", Region: "east", MaxConcurrency: 8, Address: netip.MustParseAddrPort("127.0.0.1:1")}},
	)
	if err != nil {
		t.Fatal(err)
	}
	n, err := d.AddNode("node-1", "east", "east", strings.Join(append(sections, `"callers": {"plugin": "http", "address": "`+address.String()+`"}`), ", "))
	if errors.Is(err, syscall.EADDRINUSE) {
		// Another process took the port meanwhile.
		return newNode(t, sections...)
	}
	if err != nil {
		t.Fatal(err)
	}
	for n.Ready() != nil {
		time.Sleep(time.Millisecond)
	}
	return n, &d.ServiceClient, address
}

// A call that runs at the end of a planned stop, or whose body is complete only late in it, gets an answer on its
// connection.
func TestPlannedStopCutsNoCallWithoutAnAnswer(t *testing.T) {
	const (
		// stopTime is longer than the balancer lag of a faker.Deployment, and lateAfter is between the two.
		stopTime  = 3 * time.Second
		lateAfter = 1500 * time.Millisecond
	)
	for name, c := range map[string]struct {
		late         bool
		status, runs int
		outcome      quetzalroad.Outcome
	}{
		"running at the end": {status: http.StatusBadGateway, runs: 1, outcome: quetzalroad.OutcomeUnknown},
		"late":               {late: true, status: http.StatusServiceUnavailable, outcome: quetzalroad.OutcomeNotRun},
	} {
		t.Run(name, func(t *testing.T) {
			n, service, address := newNode(t)
			conn, err := net.Dial("tcp", address.String())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			write := func(text string) {
				if _, err := io.WriteString(conn, text); err != nil {
					t.Error(err)
				}
			}
			write(callRequest)
			if !c.late {
				write("k")
				for service.TotalExecutions() == 0 {
					time.Sleep(time.Millisecond)
				}
			}
			ctx, cancel := context.WithTimeout(t.Context(), stopTime)
			defer cancel()
			stopped := make(chan struct{})
			go func() {
				defer close(stopped)
				n.Stop(ctx)
			}()
			if c.late {
				time.Sleep(lateAfter)
				write("k")
			}
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				t.Fatalf("cut without an answer: %v", err)
			}
			outcome := quetzalroad.Outcome(response.Header.Get("Quetzalroad-Outcome"))
			if response.StatusCode != c.status || outcome != c.outcome || service.TotalExecutions() != c.runs {
				t.Errorf("status %d, outcome %s, run %d times; want %d, %s and %d", response.StatusCode, outcome, service.TotalExecutions(), c.status, c.outcome, c.runs)
			}
			<-stopped
		})
	}
}
