package forwardclient

import (
	"bufio"
	"net"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/quetzalroad/quetzalroad"
)

func refusedResponse(id string) string {
	return "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nId: " + id + "\r\nContent-Length: 0\r\n\r\n"
}

// An upstream in trouble sends each refusal of a connection once more, before the response to the next request.
func repeatRefusals(_ int, c net.Conn, r *bufio.Reader) {
	refused := ""
	for {
		request, _, err := readRequest(r)
		if err != nil {
			return
		}
		id := request.Header.Get("Id")
		if refused == "" {
			refused = refusedResponse(id)
			writeString(c, refused)
			continue
		}
		writeString(c, refused+okResponse(id, "ran"))
	}
}

func TestRefusalSentOnceMoreIsNoResponseToTheNextRequest(t *testing.T) {
	_, u := startUpstream(t, repeatRefusals)
	client := newClient(t)
	if _, err := client.Send(t.Context(), newAttempt(u, "1")); !isNotRun(err) {
		t.Fatalf("error %v, want not-run", err)
	}
	response, err := client.Send(t.Context(), newAttempt(u, "2"))
	if err != nil {
		t.Fatal(err)
	}
	if body, err := readBody(response); body != "ran" || err != nil {
		t.Errorf("body %q, error %v", body, err)
	}
}

func TestRequestThatWasRefusedBeforeIsNotToldSoOnceMore(t *testing.T) {
	upstream, u := startUpstream(t, repeatRefusals)
	client := newClient(t)
	if _, err := client.Send(t.Context(), newAttempt(u, "1")); !isNotRun(err) {
		t.Fatalf("error %v, want not-run", err)
	}
	again := newAttempt(u, "1")
	again.NewConnection = true
	if _, err := client.Send(t.Context(), again); !isNotRun(err) || upstream.connections() != 2 {
		t.Errorf("error %v on connection %d, want the first refusal of a second connection", err, upstream.connections())
	}
}

func isNotRun(err error) bool {
	var failure *quetzalroad.AttemptError
	return errors.As(err, &failure) && failure.NotRun
}
