package forwardserver_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/quetzalroad/quetzalroad"
	_ "github.com/quetzalroad/quetzalroad/platform/callermapper"
	"github.com/quetzalroad/quetzalroad/proofs/faker"
	_ "github.com/quetzalroad/quetzalroad/servers/forwardserver"
)

func TestResponseStatuses(t *testing.T) {
	x := newFixture(t, true)
	for name, c := range map[string]struct {
		text   string
		status int
		sent   int
	}{
		"no route":                {"GET /nowhere/ HTTP/1.1\r\nHost: h.example\r\n\r\n", 404, 0},
		"no key":                  {"GET /keyed/ HTTP/1.1\r\nHost: h.example\r\n\r\n", 401, 0},
		"unknown key":             {"GET /keyed/ HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer wrong\r\n\r\n", 401, 0},
		"valid key":               {"GET /keyed/ HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer secret\r\n\r\n", 200, 1},
		"no key needed":           {"GET /open/ HTTP/1.1\r\nHost: h.example\r\n\r\n", 200, 1},
		"body too large":          {"POST /open/ HTTP/1.1\r\nHost: h.example\r\nContent-Length: 2000\r\n\r\n", 413, 0},
		"malformed token count":   {"GET /open/ HTTP/1.1\r\nHost: h.example\r\nToken-Usage: many\r\n\r\n", 400, 0},
		"two content lengths":     {"POST /open/ HTTP/1.1\r\nHost: h.example\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab", 400, 0},
		"space in field name":     {"GET /open/ HTTP/1.1\r\nHost: h.example\r\nTenant : x\r\n\r\n", 400, 0},
		"folded header field":     {"GET /open/ HTTP/1.1\r\nHost: h.example\r\n Tenant: x\r\n\r\n", 400, 0},
		"unknown transfer coding": {"POST /open/ HTTP/1.1\r\nHost: h.example\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", 501, 0},
	} {
		t.Run(name, func(t *testing.T) {
			before := len(x.Sent())
			response, body := x.roundTrip(t, c.text)
			if response.StatusCode != c.status {
				t.Errorf("status %d (%s), want %d", response.StatusCode, body, c.status)
			}
			if got := len(x.Sent()) - before; got != c.sent {
				t.Errorf("%d requests sent to upstreams, want %d", got, c.sent)
			}
		})
	}
}

// After the last key was withdrawn, no request with a key, and none without, runs on a route that isn't open to
// anonymous callers.
func TestWithdrawnLastKeyIsRefused(t *testing.T) {
	const get = "GET %s HTTP/1.1\r\nHost: h.example\r\n%s\r\n"
	for name, c := range map[string]struct {
		// before tells whether a state with teams came first.
		before bool
		change func(s *quetzalroad.PublishedState)
		// noKey is the status of a request without a key on a route that isn't open.
		noKey int
	}{
		"no teams left":              {true, func(s *quetzalroad.PublishedState) { s.Teams = nil }, 401},
		"teams without keys":         {true, func(s *quetzalroad.PublishedState) { s.Teams[0].KeyHashes = nil }, 401},
		"teams are no longer stated": {true, func(s *quetzalroad.PublishedState) { s.Teams, s.Keyless = nil, true }, 401},
		"no teams from the start":    {false, func(s *quetzalroad.PublishedState) { s.Teams = nil }, 401},
		"teams were never stated":    {false, func(s *quetzalroad.PublishedState) { s.Teams, s.Keyless = nil, true }, 200},
	} {
		t.Run(name, func(t *testing.T) {
			x := newFixture(t, c.before)
			state := publishedState(2)
			c.change(&state)
			x.KeyedLog.Put(quetzalroad.LogStreamOperators, "config", state)
			x.putUpstream()
			for x.node.Ready() != nil || x.node.Freshness.Version() != 2 || !x.knowsUpstream() {
				time.Sleep(time.Millisecond)
			}
			for what, r := range map[string]struct {
				path, key string
				want      int
			}{
				"withdrawn key":           {"/keyed/", "Authorization: Bearer secret\r\n", 401},
				"key that never was":      {"/keyed/", "Authorization: Bearer wrong\r\n", 401},
				"empty key":               {"/keyed/", "Authorization: Bearer \r\n", c.noKey},
				"no key":                  {"/keyed/", "", c.noKey},
				"no key, open route":      {"/open/", "", 200},
				"unknown key, open route": {"/open/", "Authorization: Bearer wrong\r\n", 200},
			} {
				if response, _ := x.roundTrip(t, fmt.Sprintf(get, r.path, r.key)); response.StatusCode != r.want {
					t.Errorf("%s: status %d, want %d", what, response.StatusCode, r.want)
				}
			}
		})
	}
}

func TestReservedHeaderFieldsAreNotForwarded(t *testing.T) {
	x := newFixture(t, true)
	x.roundTrip(t, "GET /keyed/a?b=%20c HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer secret\r\nRequest-Attempt-Id: id-1\r\n"+
		"tENANT: evil\r\nRequest-Priority: 0\r\nHold: 1\r\nPin-Duration: 9\r\nKv_From: x\r\nKv-Backup: y\r\nExpected-Instance: z\r\n"+
		"Connection: X-Hop\r\nX-Hop: 1\r\nX-Kept: 2\r\n\r\n")
	sent := x.Sent()
	if len(sent) != 1 {
		t.Fatalf("%d requests sent, want 1", len(sent))
	}
	f := sent[0].Request
	for name := range f.Header {
		if name != "X-Kept" && name != "Request-Attempt-Id" {
			t.Errorf("%s was forwarded", name)
		}
	}
	if f.RequestTarget != "/keyed/a?b=%20c" || f.CallerRequestID != "id-1" || f.Team.Name != "team" || !f.HasKey {
		t.Errorf("target %q, caller request id %q, team %q, has key %v", f.RequestTarget, f.CallerRequestID, f.Team.Name, f.HasKey)
	}
}

func TestChunkedBodyIsForwardedComplete(t *testing.T) {
	x := newFixture(t, true)
	x.roundTrip(t, "POST /open/ HTTP/1.1\r\nHost: h.example\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n")
	if sent := x.Sent(); len(sent) != 1 || sent[0].Request.Body.String() != "abcde" {
		t.Errorf("%d requests sent, want 1 with the body \"abcde\"", len(sent))
	}
}

func TestNodeWithoutStateReturnsServiceUnavailable(t *testing.T) {
	x := newFixture(t, false)
	response, _ := x.roundTrip(t, "GET /open/ HTTP/1.1\r\nHost: h.example\r\n\r\n")
	if response.StatusCode != http.StatusServiceUnavailable || response.Header.Get("Retry-After") == "" {
		t.Errorf("status %d, header %v", response.StatusCode, response.Header)
	}
	ready, err := http.Get("http://" + x.readinessAddress.String() + "/readiness")
	if err != nil {
		t.Fatal(err)
	}
	if err := ready.Body.Close(); err != nil || ready.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("readiness status %d, error %v", ready.StatusCode, err)
	}
}

func TestStaleStateNeverReturnsNotFoundOrUnauthorized(t *testing.T) {
	x := newFixture(t, true)
	x.SetUnavailable(true)
	for x.node.Freshness.IsFresh() {
		time.Sleep(10 * time.Millisecond)
	}
	for text, want := range map[string]int{
		"GET /nowhere/ HTTP/1.1\r\nHost: h.example\r\n\r\n":                               http.StatusServiceUnavailable,
		"GET /keyed/ HTTP/1.1\r\nHost: h.example\r\n\r\n":                                 http.StatusServiceUnavailable,
		"GET /keyed/ HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer wrong\r\n\r\n":  http.StatusServiceUnavailable,
		"GET /keyed/ HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer secret\r\n\r\n": http.StatusServiceUnavailable,
		"GET /open/ HTTP/1.1\r\nHost: h.example\r\n\r\n":                                  http.StatusOK,
	} {
		if response, body := x.roundTrip(t, text); response.StatusCode != want {
			t.Errorf("%q: status %d (%s), want %d", text, response.StatusCode, body, want)
		}
	}
}

// Guards against connections that are kept after a refused request without a body, and on which the node takes
// the callers of all later requests for gone.
func TestConnectionServesRequestsAfterARefusedOneWithoutABody(t *testing.T) {
	const rounds, refusedEach = 40, 4
	x := newFixture(t, true)
	for !x.knowsUpstream() {
		time.Sleep(time.Millisecond)
	}
	x.Script = func(context.Context, *quetzalroad.Attempt) (*faker.ScriptedResponse, error) {
		return &faker.ScriptedResponse{Chunks: []quetzalroad.BodyChunk{{Data: []byte("ok")}}}, nil
	}
	c, r := x.sendRaw(t, "")
	for round := range rounds {
		for range refusedEach {
			if status := sendOn(t, c, r, "GET /nowhere/ HTTP/1.1\r\nHost: h.example\r\n\r\n"); status != http.StatusNotFound {
				t.Fatalf("round %d: status %d for a path without a route, want 404", round, status)
			}
		}
		if status := sendOn(t, c, r, "POST /open/x HTTP/1.1\r\nHost: h.example\r\nContent-Length: 2\r\n\r\nhi"); status != http.StatusOK {
			t.Fatalf("round %d: status %d after %d refusals on the connection, want 200", round, status, refusedEach*(round+1))
		}
	}
}

// sendOn sends a request on a connection and returns the status of its response.
func sendOn(t *testing.T, c net.Conn, r *bufio.Reader, text string) int {
	t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
	response, err := http.ReadResponse(r, nil)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		t.Fatal(err)
	}
	return response.StatusCode
}

func TestInterruptedStreamClosesConnection(t *testing.T) {
	x := newFixture(t, true)
	x.Script = func(context.Context, *quetzalroad.Attempt) (*faker.ScriptedResponse, error) {
		return &faker.ScriptedResponse{EventStream: true, Chunks: []quetzalroad.BodyChunk{{Data: []byte("id: 1\n\n"), EventID: 1}}, Interrupted: true}, nil
	}
	_, r := x.sendRaw(t, "GET /stream/ HTTP/1.1\r\nHost: h.example\r\n\r\n")
	response, err := http.ReadResponse(r, nil)
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(response.Body)
	if err == nil || string(body) != "id: 1\n\n" {
		t.Errorf("body %q, error %v; want the event and a connection error", body, err)
	}
}

// A stream that broke off ended like a whole one for a caller who can't read chunks.
func TestInterruptedStreamLooksWholeToNoCallerWithoutChunks(t *testing.T) {
	x := newFixture(t, true)
	x.Script = func(context.Context, *quetzalroad.Attempt) (*faker.ScriptedResponse, error) {
		return &faker.ScriptedResponse{EventStream: true, Chunks: []quetzalroad.BodyChunk{{Data: []byte("id: 1\n\n"), EventID: 1}}, Interrupted: true}, nil
	}
	_, r := x.sendRaw(t, "GET /stream/ HTTP/1.0\r\nHost: h.example\r\n\r\n")
	response, err := http.ReadResponse(r, nil)
	if err != nil {
		return
	}
	if body, err := io.ReadAll(response.Body); err == nil {
		t.Errorf("the response ended as complete after %q", body)
	}
}

func TestLostUpstreamResponseReturnsBadGateway(t *testing.T) {
	x := newFixture(t, true)
	x.Script = func(_ context.Context, a *quetzalroad.Attempt) (*faker.ScriptedResponse, error) {
		return nil, &quetzalroad.AttemptError{Upstream: a.Upstream.Name, RetryReason: quetzalroad.RetryConnectionLost, Cause: errors.New("reset")}
	}
	if response, _ := x.roundTrip(t, "GET /open/ HTTP/1.1\r\nHost: h.example\r\n\r\n"); response.StatusCode != http.StatusBadGateway {
		t.Errorf("status %d", response.StatusCode)
	}
}

func TestUpstreamResponseIsUnchanged(t *testing.T) {
	x := newFixture(t, true)
	x.Script = func(context.Context, *quetzalroad.Attempt) (*faker.ScriptedResponse, error) {
		return &faker.ScriptedResponse{
			Status: 418, Header: http.Header{"Response-Seal": {"s"}, "Request-Attempt-Id": {"id-1"}}, Chunks: []quetzalroad.BodyChunk{{Data: []byte("pot")}},
		}, nil
	}
	response, body := x.roundTrip(t, "GET /open/ HTTP/1.1\r\nHost: h.example\r\n\r\n")
	if response.StatusCode != 418 || response.Header.Get("Response-Seal") != "s" || body != "pot" {
		t.Errorf("status %d, header %v, body %q", response.StatusCode, response.Header, body)
	}
	if _, ok := response.Header["Content-Type"]; ok {
		t.Error("the server added a Content-Type")
	}
}

func TestIncompleteHeaderTimesOutWithoutBlockingOthers(t *testing.T) {
	x := newFixture(t, true)
	c, r := x.sendRaw(t, "GET /open/ HTTP/1.1\r\nHost: h.exa")
	if response, _ := x.roundTrip(t, "GET /open/ HTTP/1.1\r\nHost: h.example\r\n\r\n"); response.StatusCode != http.StatusOK {
		t.Errorf("status %d while another header is incomplete", response.StatusCode)
	}
	if _, err := r.ReadByte(); err == nil {
		t.Error("the incomplete header got a response")
	}
	_ = c
}

func TestStoppingNodeRespondsAndClosesConnection(t *testing.T) {
	x := newFixture(t, true)
	c, r := x.sendRaw(t, "")
	go x.node.Stop(context.Background())
	for !x.node.Stopping() {
		time.Sleep(time.Millisecond)
	}
	if _, err := io.WriteString(c, "GET /open/ HTTP/1.1\r\nHost: h.example\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	response, err := http.ReadResponse(r, nil)
	if err != nil {
		t.Fatal(err)
	}
	if response.StatusCode != http.StatusOK || !response.Close {
		t.Errorf("status %d, connection header %q", response.StatusCode, response.Header.Get("Connection"))
	}
	if x.node.Ready() == nil {
		t.Error("a stopping node reports itself ready")
	}
}

// A request that comes late in a planned stop either ends before the node does, or is refused as not run. One
// that still runs at the end is answered, not cut.
func TestNothingIsCutWithoutAnAnswerAtTheEndOfAPlannedStop(t *testing.T) {
	const (
		// runTime is how long a request runs, and lateAfter when in the stop the late ones come.
		runTime   = 300 * time.Millisecond
		lateAfter = 300 * time.Millisecond
	)
	for name, c := range map[string]struct {
		path, header string
		// endless requests never end by themselves, and late ones come when the node no longer expects any.
		endless, late bool
		status        int
		sent          int
	}{
		"running, ends in time":              {path: "/open/", status: 200, sent: 1},
		"running at the end":                 {path: "/open/", endless: true, status: 502, sent: 1},
		"late, ends in time":                 {path: "/open/", late: true, header: "Deadline-Remaining: 900\r\n", status: 200, sent: 1},
		"late, may run longer than the node": {path: "/open/", late: true, status: 503},
		"late, with a key":                   {path: "/keyed/", late: true, header: "Authorization: Bearer secret\r\n", status: 503},
	} {
		t.Run(name, func(t *testing.T) {
			x := newFixtureWithSettings(t, true, map[string]string{"node": `{"name": "node-1", "data-centre": "west-1", "region": "west", "balancer-lag": "100ms", "stop-timeout": "2s"}`})
			x.Script = func(ctx context.Context, a *quetzalroad.Attempt) (*faker.ScriptedResponse, error) {
				if !c.endless {
					time.Sleep(runTime)
					return &faker.ScriptedResponse{}, nil
				}
				<-ctx.Done()
				return nil, &quetzalroad.AttemptError{Upstream: a.Upstream.Name, RetryReason: quetzalroad.RetryConnectionLost, Cause: ctx.Err()}
			}
			conn, r := x.sendRaw(t, "")
			request := "POST " + c.path + " HTTP/1.1\r\nHost: h.example\r\nRequest-Attempt-Id: 1\r\n" + c.header + "Content-Length: 2\r\n\r\n"
			write := func(text string) {
				if _, err := io.WriteString(conn, text); err != nil {
					t.Error(err)
				}
			}
			if !c.late {
				write(request + "ok")
				for len(x.Sent()) == 0 {
					time.Sleep(time.Millisecond)
				}
			} else {
				// The connection is in use when the stop begins, with a body still to come.
				write(request + "o")
			}
			stopped := make(chan struct{})
			go func() {
				defer close(stopped)
				x.node.Stop(context.Background())
			}()
			if c.late {
				time.Sleep(lateAfter)
				write("k")
			}
			response, err := http.ReadResponse(r, nil)
			if err != nil {
				t.Fatalf("cut without an answer: %v", err)
			}
			if response.StatusCode != c.status || len(x.Sent()) != c.sent {
				t.Errorf("status %d, sent %d times; want %d and %d", response.StatusCode, len(x.Sent()), c.status, c.sent)
			}
			<-stopped
		})
	}
}

func TestReservedNamesWithUnderscoresAreNotForwarded(t *testing.T) {
	x := newFixture(t, true)
	x.roundTrip(t, "GET /open/ HTTP/1.1\r\nHost: h.example\r\nKv_Backup: y\r\nX_Other: z\r\n\r\n")
	for name := range x.Sent()[0].Request.Header {
		if strings.HasPrefix(name, "Kv") {
			t.Errorf("%s was forwarded", name)
		}
	}
}

// A caller may send a header byte by byte, or without end, also on a connection that has carried a
// request. It must not hold the connection and its memory until it leaves.
func TestRequestHeaderIsBoundedInTimeAndSize(t *testing.T) {
	const request = "GET /open/x HTTP/1.1\r\nHost: h.example\r\nRequest-Attempt-Id: 1\r\n"
	for name, tc := range map[string]struct {
		begin string
		pause time.Duration
	}{
		"trickled on a new connection": {"", 10 * time.Millisecond},
		"trickled on a reused one":     {request + "\r\n", 10 * time.Millisecond},
		"without end":                  {"", 0},
		"without end on a reused one":  {request + "\r\n", 0},
	} {
		t.Run(name, func(t *testing.T) {
			x := newFixture(t, true)
			c, r := x.sendRaw(t, tc.begin)
			if tc.begin != "" {
				response, err := http.ReadResponse(r, nil)
				if err != nil {
					t.Fatal(err)
				}
				if _, err := io.Copy(io.Discard, response.Body); err != nil {
					t.Fatal(err)
				}
			}
			deadline := time.Now().Add(10 * time.Second)
			_, err := io.WriteString(c, request+"A: ")
			for err == nil && time.Now().Before(deadline) {
				time.Sleep(tc.pause)
				_, err = io.WriteString(c, "aaaaaaaa")
			}
			if err == nil {
				t.Error("the connection is still open")
			}
		})
	}
}
