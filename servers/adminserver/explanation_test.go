package adminserver

import (
	"encoding/hex"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/codecs/explanationmapper"
	"github.com/quetzalroad/quetzalroad/kernel"
	"github.com/quetzalroad/quetzalroad/proofs/faker"
)

const operatorKey = "operator"

// newRoutes returns the admin API of a node with one engine.
func newRoutes(t *testing.T) http.Handler {
	t.Helper()
	s := &Server{node: newNode(t), key: quetzalroad.HashKey(operatorKey)}
	return s.routes()
}

func newNode(t *testing.T) *kernel.Node {
	t.Helper()
	d := new(faker.Deployment)
	d.ChatClient.Engines = map[quetzalroad.UpstreamName]*faker.FaultyEngine{"u": new(faker.FaultyEngine)}
	t.Cleanup(d.Close)
	err := d.Publish(
		quetzalroad.Object{Profile: &quetzalroad.Profile{Name: "chat", Class: "chat", FirstTokenTarget: time.Second, Timeout: 30 * time.Second}},
		quetzalroad.Object{Service: &quetzalroad.Service{Name: "llm", Kind: quetzalroad.ServiceKindEngine, Models: []quetzalroad.ModelName{"m"}, DefaultProfile: "chat"}},
		quetzalroad.Object{Service: &quetzalroad.Service{Name: "portal", Kind: quetzalroad.ServiceKindPlain, DefaultProfile: "chat"}},
		quetzalroad.Object{Upstream: &quetzalroad.Upstream{Name: "u", Service: "llm", DataCentre: "east", Region: "east", MaxConcurrency: 8, Address: netip.MustParseAddrPort("127.0.0.1:1")}},
	)
	if err != nil {
		t.Fatal(err)
	}
	key := quetzalroad.HashKey(operatorKey)
	n, err := d.AddNode("node-1", "east", "east", `"admin": {"address": "127.0.0.1:0", "key-sha256": "`+hex.EncodeToString(key[:])+`"}`)
	if err != nil {
		t.Fatal(err)
	}
	for n.Ready() != nil {
		time.Sleep(time.Millisecond)
	}
	return n
}

// get returns the response to an operator's request.
func get(t *testing.T, routes http.Handler, target, key string) *httptest.ResponseRecorder {
	t.Helper()
	r := httptest.NewRequestWithContext(t.Context(), http.MethodGet, target, nil)
	r.Header.Set("Authorization", "Bearer "+key)
	w := httptest.NewRecorder()
	routes.ServeHTTP(w, r)
	return w
}

// A query that is not understood must not be answered as if it were another one.
func TestRouteChecksItsQuery(t *testing.T) {
	routes := newRoutes(t)
	for name, c := range map[string]struct {
		query, key string
		status     int
	}{
		"service":         {"service=llm", operatorKey, http.StatusOK},
		"model":           {"model=m&segment=a:b:3000&segment=c:4&max-tokens=100&profile=chat", operatorKey, http.StatusOK},
		"wrong key":       {"service=llm", "caller", http.StatusUnauthorized},
		"nothing":         {"prompt-tokens=1", operatorKey, http.StatusBadRequest},
		"no number":       {"service=llm&prompt-tokens=many", operatorKey, http.StatusBadRequest},
		"negative":        {"service=llm&max-tokens=-1", operatorKey, http.StatusBadRequest},
		"bad segment":     {"service=llm&segment=a", operatorKey, http.StatusBadRequest},
		"unknown service": {"service=x", operatorKey, http.StatusNotFound},
		"unknown model":   {"model=x", operatorKey, http.StatusNotFound},
		"unknown profile": {"service=llm&profile=x", operatorKey, http.StatusNotFound},
		"no routes":       {"path=/x", operatorKey, http.StatusNotImplemented},
	} {
		t.Run(name, func(t *testing.T) {
			if w := get(t, routes, "/admin/v1/route?"+c.query, c.key); w.Code != c.status {
				t.Errorf("status %d, want %d: %s", w.Code, c.status, w.Body)
			}
		})
	}
}

func TestRouteNamesTheNodeAndTheOnlyUpstream(t *testing.T) {
	w := get(t, newRoutes(t), "/admin/v1/route?service=llm", operatorKey)
	answer, err := explanationmapper.Decode(w.Body.Bytes())
	if err != nil {
		t.Fatal(err)
	}
	if len(answer.Services) != 1 {
		t.Fatalf("%d services", len(answer.Services))
	}
	type summary struct {
		Node   quetzalroad.NodeName
		Chosen quetzalroad.UpstreamName
		Share  float64
	}
	x := answer.Services[0]
	if diff := cmp.Diff(summary{"node-1", "u", 1}, summary{answer.Node, x.Chosen, x.Share}); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
}

// fakeRouteTable has one route, which splits its requests.
type fakeRouteTable struct {
	quetzalroad.RouteTable
}

func (fakeRouteTable) Match(host, path string) (quetzalroad.Route, bool) {
	route := quetzalroad.Route{TrafficSplit: []quetzalroad.WeightedService{{Service: "llm", Weight: 1}, {Service: "portal", Weight: 3}}}
	return route, host == "h" && path == "/x"
}

// An answer for one service of a split would hide where the other requests go.
func TestRouteExplainsEachServiceOfASplit(t *testing.T) {
	n := newNode(t)
	s := &Server{key: quetzalroad.HashKey(operatorKey), node: &kernel.Node{
		Identity: n.Identity, Directory: n.Directory, RouteExplainer: n.RouteExplainer, RouteTable: fakeRouteTable{},
	}}
	answer, err := explanationmapper.Decode(get(t, s.routes(), "/admin/v1/route?host=h&path=/x", operatorKey).Body.Bytes())
	if err != nil {
		t.Fatal(err)
	}
	shares := make(map[quetzalroad.ServiceName]float64)
	for _, x := range answer.Services {
		shares[x.Service] = x.Share
	}
	if diff := cmp.Diff(map[quetzalroad.ServiceName]float64{"llm": 0.25, "portal": 0.75}, shares); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
	if w := get(t, s.routes(), "/admin/v1/route?host=h&path=/y", operatorKey); w.Code != http.StatusNotFound {
		t.Errorf("status %d for an unknown path", w.Code)
	}
}
