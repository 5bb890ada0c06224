package httpclient

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
)

// startRepeatingUpstream refuses the first request of each connection, and sends the refusal once more
// in place of the response to the second. It names requests if echo is set.
func startRepeatingUpstream(t *testing.T, echo bool) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go repeatRefusal(c, echo)
		}
	}()
	return "http://" + listener.Addr().String()
}

func repeatRefusal(c net.Conn, echo bool) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	refusal := ""
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if refusal == "" {
			refusal = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n" + OutcomeHeader + ": not-run\r\n"
			if echo {
				refusal += RequestIDHeader + ": " + request.Header.Get(RequestIDHeader) + "\r\n"
			}
			refusal += "\r\n"
		}
		// The test checks what the client makes of it.
		_, _ = io.WriteString(c, refusal)
	}
}

// isBelieved sends a request, which is refused, and reports whether the client believes that it was not run.
func isBelieved(t *testing.T, c *Client, url, id string) bool {
	t.Helper()
	request, err := NewRequest(http.MethodPost, url, nil)
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set(RequestIDHeader, id)
	e, err := c.Do(t.Context(), request, false)
	if err != nil {
		t.Fatal(err)
	}
	defer e.Close()
	if _, err := io.Copy(io.Discard, e.Response.Body); err != nil {
		t.Fatal(err)
	}
	return e.ReportsNotRun()
}

func TestRefusalSentOnceMoreIsNotBelieved(t *testing.T) {
	for name, echo := range map[string]bool{"names its request": true, "names no request": false} {
		t.Run(name, func(t *testing.T) {
			url := startRepeatingUpstream(t, echo)
			c := new(Client)
			c.Open()
			defer c.Close()
			if !isBelieved(t, c, url, "1") {
				t.Fatal("the refusal on a new connection was not believed")
			}
			if isBelieved(t, c, url, "2") {
				t.Error("the refusal of an earlier request was believed")
			}
		})
	}
}

func TestRefusalThatNamesItsRequestIsBelievedOnAReusedConnection(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(RequestIDHeader, r.Header.Get(RequestIDHeader))
		w.Header().Set(OutcomeHeader, "not-run")
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer server.Close()
	c := new(Client)
	c.Open()
	defer c.Close()
	for _, id := range []string{"1", "2"} {
		if !isBelieved(t, c, server.URL, id) {
			t.Errorf("the refusal of request %s was not believed", id)
		}
	}
}

// The request may have run, and would be sent to another upstream.
func TestContradictoryOutcomeIsNoStatementThatTheRequestWasNotRun(t *testing.T) {
	for _, headers := range []http.Header{
		{OutcomeHeader: {"not-run", "unknown"}}, {OutcomeHeader: {"not-run", ""}}, {OutcomeHeader: {"not-run, unknown"}}, {OutcomeHeader: {"Not-Run"}}, {OutcomeHeader: {""}},
	} {
		e := &Exchange{requestID: "1", Response: &http.Response{StatusCode: http.StatusServiceUnavailable, Header: headers}}
		if e.ReportsNotRun() {
			t.Errorf("%v was believed", headers)
		}
	}
	e := &Exchange{requestID: "1", Response: &http.Response{StatusCode: http.StatusServiceUnavailable, Header: http.Header{OutcomeHeader: {"not-run", "not-run"}, RequestIDHeader: {"1", "2"}}}}
	if !e.ReportsNotRun() {
		t.Error("the same statement twice was not believed on a new connection")
	}
	e.reused.Store(true)
	if e.ReportsNotRun() {
		t.Error("the statement of a response that names two requests was believed on a reused connection")
	}
}
