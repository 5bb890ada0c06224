package caller

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

// stub serves answers by method and path, and notes the requests.
type stub struct {
	answers map[string]func(w http.ResponseWriter, r *http.Request)
	seen    []string
}

// ServeHTTP implements http.Handler.
func (s *stub) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	call := r.Method + " " + r.URL.Path
	s.seen = append(s.seen, call+" "+r.Header.Get("If-Match")+r.Header.Get("If-None-Match"))
	answer, ok := s.answers[call]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		_, _ = io.WriteString(w, `{"code":"not-found","message":"nothing"}`)
		return
	}
	answer(w, r)
}

func serve(t *testing.T, s *stub) netip.AddrPort {
	t.Helper()
	server := httptest.NewServer(s)
	t.Cleanup(server.Close)
	return netip.MustParseAddrPort(server.Listener.Addr().String())
}

// dead gives an address at which nobody listens.
func dead(t *testing.T) netip.AddrPort {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return netip.MustParseAddrPort(listener.Addr().String())
}

func text(body string) func(http.ResponseWriter, *http.Request) {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("ETag", `"7"`)
		_, _ = io.WriteString(w, body)
	}
}

func TestDeadNodeIsFollowedByTheNext(t *testing.T) {
	s := &stub{answers: map[string]func(http.ResponseWriter, *http.Request){"PUT /admin/v1/profiles/chat": text(`{}`)}}
	c := &Caller{Nodes: []netip.AddrPort{dead(t), serve(t, s)}, Key: "key"}
	a, err := c.Do(context.Background(), http.MethodPut, "profiles/chat", "6", []byte("{}"))
	if err != nil {
		t.Fatal(err)
	}
	if a.Revision != "7" || a.Node != c.Nodes[1] {
		t.Errorf("answer %+v", a)
	}
	if diff := cmp.Diff([]string{`PUT /admin/v1/profiles/chat "6"`}, s.seen); diff != "" {
		t.Errorf("requests (-want +got):\n%s", diff)
	}
}

// A change that a node may have taken is not sent to another one.
func TestChangeThatMayHaveBeenTakenIsNotRepeated(t *testing.T) {
	first := &stub{answers: map[string]func(http.ResponseWriter, *http.Request){"PUT /admin/v1/profiles/chat": func(http.ResponseWriter, *http.Request) {
		panic(http.ErrAbortHandler)
	}}}
	second := &stub{}
	c := &Caller{Nodes: []netip.AddrPort{serve(t, first), serve(t, second)}, Key: "key"}
	if _, err := c.Do(context.Background(), http.MethodPut, "profiles/chat", "6", []byte("{}")); err == nil {
		t.Error("the call succeeded")
	}
	if len(second.seen) != 0 {
		t.Errorf("the second node saw %v", second.seen)
	}
}

func TestRefusalCarriesAllFindings(t *testing.T) {
	s := &stub{answers: map[string]func(http.ResponseWriter, *http.Request){"PUT /admin/v1/profiles/chat": func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusUnprocessableEntity)
		_, _ = io.WriteString(w, `{"code":"invalid","message":"m","findings":[{"path":"tier","problem":"is 9"},{"path":"name","problem":"is empty"}]}`)
	}}}
	c := &Caller{Nodes: []netip.AddrPort{serve(t, s)}, Key: "key"}
	_, err := c.Do(context.Background(), http.MethodPut, "profiles/chat", "6", nil)
	var refused *RefusedError
	if !errors.As(err, &refused) {
		t.Fatalf("err = %v", err)
	}
	if diff := cmp.Diff("invalid:\n  tier: is 9\n  name: is empty", refused.Error()); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
}

func TestListReadsAllPages(t *testing.T) {
	s := &stub{answers: map[string]func(http.ResponseWriter, *http.Request){"GET /admin/v1/teams": func(w http.ResponseWriter, r *http.Request) {
		body := `{"items":[{"name":"a"}],"next":"a"}`
		if r.URL.Query().Get("after") == "a" {
			body = `{"items":[{"name":"b"}]}`
		}
		_, _ = io.WriteString(w, body)
	}}}
	c := &Caller{Nodes: []netip.AddrPort{serve(t, s)}, Key: "key"}
	items, err := c.List(context.Background(), "teams")
	if err != nil {
		t.Fatal(err)
	}
	if len(items) != 2 {
		t.Errorf("%d items", len(items))
	}
}
