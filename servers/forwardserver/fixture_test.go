package forwardserver_test

import (
	"bufio"
	"context"
	"io"
	"log/slog"
	"maps"
	"net"
	"net/http"
	"net/netip"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/kernel"
	_ "github.com/quetzalroad/quetzalroad/platform/callermapper"
	"github.com/quetzalroad/quetzalroad/proofs/faker"
	_ "github.com/quetzalroad/quetzalroad/servers/forwardserver"
)

// fixture is a node that listens on loopback and forwards to scripted upstreams.
type fixture struct {
	faker.KeyedLog
	faker.ForwardClient
	node                            *kernel.Node
	callerAddress, readinessAddress netip.AddrPort
}

func freeAddress(t *testing.T) netip.AddrPort {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	return netip.MustParseAddrPort(l.Addr().String())
}

func publishedState(version int64) quetzalroad.PublishedState {
	profile := quetzalroad.Profile{Class: "class", FirstTokenTarget: time.Second, Timeout: 20 * time.Second, Interactive: true}
	trafficSplit := []quetzalroad.WeightedService{{Service: "service", Weight: 1}}
	return quetzalroad.PublishedState{
		Version: version, Services: []quetzalroad.Service{{Name: "service"}},
		Teams:  []quetzalroad.Team{{Name: "team", KeyHashes: []quetzalroad.KeyHash{quetzalroad.HashKey("secret")}}},
		Limits: quetzalroad.CallerLimits{MaxHeaderBytes: 16 << 10, MaxBodyBytes: 1000, HeaderTimeout: 300 * time.Millisecond, IdleTimeout: 20 * time.Second},
		Routes: []quetzalroad.Route{
			{Name: "keyed", Host: "h.example", PathPrefix: "/keyed/", Profile: profile, MaxExecutions: 1, TrafficSplit: trafficSplit},
			{Name: "open", Host: "h.example", PathPrefix: "/open/", Profile: profile, MaxExecutions: 1, AllowAnonymous: true, TrafficSplit: trafficSplit},
			{Name: "stream", Host: "h.example", PathPrefix: "/stream/", Profile: profile, MaxExecutions: 1, AllowAnonymous: true, Streaming: true, TrafficSplit: trafficSplit},
		},
	}
}

func newFixture(t *testing.T, withState bool) *fixture {
	t.Helper()
	return newFixtureWithSettings(t, withState, nil)
}

// newFixtureWithSettings starts a node with further settings sections.
func newFixtureWithSettings(t *testing.T, withState bool, sections map[string]string) *fixture {
	t.Helper()
	x := &fixture{}
	for !x.build(t, sections) {
		t.Log("another process took a port; choosing others")
	}
	if withState {
		x.KeyedLog.Put(quetzalroad.LogStreamOperators, "config", publishedState(1))
		x.putUpstream()
	}
	x.node.Start()
	t.Cleanup(func() {
		x.node.Stop(canceled())
		if err := x.node.Wait(); err != nil {
			t.Error(err)
		}
	})
	for withState && x.node.Ready() != nil {
		time.Sleep(time.Millisecond)
	}
	return x
}

// build builds the node with free ports. It returns false if another process took one of them meanwhile.
func (x *fixture) build(t *testing.T, sections map[string]string) bool {
	t.Helper()
	x.callerAddress, x.readinessAddress = freeAddress(t), freeAddress(t)
	settings := map[string]string{
		"callers":       `{"plugin": "forward", "address": "` + x.callerAddress.String() + `", "ready-address": "` + x.readinessAddress.String() + `"}`,
		"caller-fields": `{"plugin": "platform"}`,
		"state":         `{"plugin": "watcher", "revoke-within": "2s", "state-wait": "200ms", "call-timeout": "200ms", "places": "west-1=west"}`,
	}
	maps.Copy(settings, sections)
	node, err := faker.BuildForwardNode(slog.New(slog.DiscardHandler), settings, kernel.Override{Slot: kernel.SlotKeyedLog, Component: &x.KeyedLog}, kernel.Override{Slot: kernel.SlotForwardClient, Component: &x.ForwardClient})
	if errors.Is(err, syscall.EADDRINUSE) {
		return false
	}
	if err != nil {
		t.Fatal(err)
	}
	x.node = node
	return true
}

func (x *fixture) putUpstream() {
	x.KeyedLog.Put(quetzalroad.LogStreamUpstreams, "a", quetzalroad.UpstreamRegistration{Upstream: quetzalroad.Upstream{
		Service: "service", Address: netip.MustParseAddrPort("127.0.0.1:1"), DataCentre: "west-1", InstanceID: "a", MaxConcurrency: 4,
	}})
}

// knowsUpstream reports whether the node has read the registration of putUpstream, which may come after the state.
func (x *fixture) knowsUpstream() bool {
	_, ok := x.node.Directory.Upstream("a")
	return ok
}

// canceled returns a canceled context, with which a node stops at once.
func canceled() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}

// sendRaw sends text on a new connection and returns a reader of the responses.
func (x *fixture) sendRaw(t *testing.T, text string) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := net.Dial("tcp", x.callerAddress.String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
	return c, bufio.NewReader(c)
}

func (x *fixture) roundTrip(t *testing.T, text string) (*http.Response, string) {
	t.Helper()
	_, r := x.sendRaw(t, text)
	response, err := http.ReadResponse(r, nil)
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return response, string(body)
}
