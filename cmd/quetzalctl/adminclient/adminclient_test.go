package adminclient

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"
)

// stubHandler calls handlers by method and path, and records the requests.
type stubHandler struct {
	handlers map[string]func(w http.ResponseWriter, r *http.Request)
	requests []string
}

// ServeHTTP implements http.Handler.
func (s *stubHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	route := r.Method + " " + r.URL.Path
	s.requests = append(s.requests, route+" "+r.Header.Get("If-Match")+r.Header.Get("If-None-Match"))
	handler, ok := s.handlers[route]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		_, _ = io.WriteString(w, `{"code":"not-found","message":"nothing"}`)
		return
	}
	handler(w, r)
}

func startServer(t *testing.T, handler *stubHandler) netip.AddrPort {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return netip.MustParseAddrPort(server.Listener.Addr().String())
}

// closedAddress returns an address that refuses connections.
func closedAddress(t *testing.T) netip.AddrPort {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return netip.MustParseAddrPort(listener.Addr().String())
}

func respondWith(body string) func(http.ResponseWriter, *http.Request) {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("ETag", `"7"`)
		_, _ = io.WriteString(w, body)
	}
}

func TestDoTriesNextNodeIfConnectionIsRefused(t *testing.T) {
	handler := &stubHandler{handlers: map[string]func(http.ResponseWriter, *http.Request){"PUT /admin/v1/profiles/chat": respondWith(`{}`)}}
	c := &Client{Nodes: []netip.AddrPort{closedAddress(t), startServer(t, handler)}, Key: "key"}
	response, err := c.Do(context.Background(), http.MethodPut, "profiles/chat", "6", []byte("{}"))
	if err != nil {
		t.Fatal(err)
	}
	if response.Revision != "7" || response.Node != c.Nodes[1] {
		t.Errorf("response %+v", response)
	}
	if diff := cmp.Diff([]string{`PUT /admin/v1/profiles/chat "6"`}, handler.requests); diff != "" {
		t.Errorf("requests (-want +got):\n%s", diff)
	}
}

// A change that a node may have applied must not be sent to another node.
func TestDoDoesNotRepeatChangeThatMayHaveBeenApplied(t *testing.T) {
	first := &stubHandler{handlers: map[string]func(http.ResponseWriter, *http.Request){"PUT /admin/v1/profiles/chat": func(http.ResponseWriter, *http.Request) {
		panic(http.ErrAbortHandler)
	}}}
	second := &stubHandler{}
	c := &Client{Nodes: []netip.AddrPort{startServer(t, first), startServer(t, second)}, Key: "key"}
	if _, err := c.Do(context.Background(), http.MethodPut, "profiles/chat", "6", []byte("{}")); err == nil {
		t.Error("the request succeeded")
	}
	if len(second.requests) != 0 {
		t.Errorf("the second node received %v", second.requests)
	}
}

func TestAPIErrorListsAllFindings(t *testing.T) {
	handler := &stubHandler{handlers: map[string]func(http.ResponseWriter, *http.Request){"PUT /admin/v1/profiles/chat": func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusUnprocessableEntity)
		_, _ = io.WriteString(w, `{"code":"invalid","message":"m","findings":[{"path":"tier","problem":"is 9"},{"path":"name","problem":"is empty"}]}`)
	}}}
	c := &Client{Nodes: []netip.AddrPort{startServer(t, handler)}, Key: "key"}
	_, err := c.Do(context.Background(), http.MethodPut, "profiles/chat", "6", nil)
	var apiError *APIError
	if !errors.As(err, &apiError) {
		t.Fatalf("err = %v", err)
	}
	if diff := cmp.Diff("invalid:\n  tier: is 9\n  name: is empty", apiError.Error()); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
}

func TestListReadsAllPages(t *testing.T) {
	handler := &stubHandler{handlers: map[string]func(http.ResponseWriter, *http.Request){"GET /admin/v1/teams": func(w http.ResponseWriter, r *http.Request) {
		body := `{"items":[{"name":"a"}],"next":"a"}`
		if r.URL.Query().Get("after") == "a" {
			body = `{"items":[{"name":"b"}]}`
		}
		_, _ = io.WriteString(w, body)
	}}}
	c := &Client{Nodes: []netip.AddrPort{startServer(t, handler)}, Key: "key"}
	items, err := c.List(context.Background(), "teams")
	if err != nil {
		t.Fatal(err)
	}
	if len(items) != 2 {
		t.Errorf("%d items, want 2", len(items))
	}
}
