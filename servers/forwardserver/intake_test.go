package forwardserver_test

import (
	"bufio"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/quetzalroad/quetzalroad"

	_ "github.com/quetzalroad/quetzalroad/decisions/intaker"
	_ "github.com/quetzalroad/quetzalroad/support/limitsetter"
)

// maxPublishedBody is the published limit of bodies in these tests.
const maxPublishedBody = 4 << 20

// newIntakeFixture starts a node with settings of the intake, large bodies and a less urgent route.
func newIntakeFixture(t *testing.T, settings map[string]string) *fixture {
	t.Helper()
	x := newFixtureWithSettings(t, true, settings)
	state := publishedState(2)
	state.Limits.MaxBodyBytes = maxPublishedBody
	batch := state.Routes[1]
	batch.Name, batch.PathPrefix = "batch", "/batch/"
	batch.Profile.Tier = 4
	state.Routes = append(state.Routes, batch)
	x.KeyedLog.Put(quetzalroad.LogStreamOperators, "config", state)
	for x.node.Freshness.Version() != 2 || !x.knowsUpstream() {
		time.Sleep(time.Millisecond)
	}
	return x
}

func post(path string, declared, sent int) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h.example\r\nContent-Length: %d\r\n\r\n%s", path, declared, strings.Repeat("b", sent))
}

// A request that was refused for want of memory had been sent to an upstream, or its caller was not told when to come
// again.
func TestRequestRefusedForMemoryHasNotRun(t *testing.T) {
	x := newIntakeFixture(t, map[string]string{"intake": `{"max-bytes": 65536, "wait": "10ms"}`})
	response, body := x.roundTrip(t, post("/open/", 200_000, 150_000))
	if response.StatusCode != http.StatusServiceUnavailable || response.Header.Get("Retry-After") == "" || !response.Close {
		t.Errorf("status %d, header %v", response.StatusCode, response.Header)
	}
	if !strings.Contains(body, string(quetzalroad.ReasonRequestMemoryFull)) || !strings.Contains(body, string(quetzalroad.OutcomeNotRun)) {
		t.Errorf("body %s", body)
	}
	if sent := x.Sent(); len(sent) != 0 {
		t.Errorf("%d requests were sent to upstreams", len(sent))
	}
}

// The body of a less urgent request kept an urgent one from being received.
func TestLessUrgentBodyGivesWay(t *testing.T) {
	x := newIntakeFixture(t, map[string]string{"intake": `{"max-bytes": 200000, "stall-after": "1m", "wait": "10s"}`})
	_, pending := x.sendRaw(t, post("/batch/", 150_000, 149_000))
	for x.node.Vars.Get("request-bytes").String() == "0" {
		time.Sleep(time.Millisecond)
	}
	if response, body := x.roundTrip(t, post("/open/", 150_000, 150_000)); response.StatusCode != http.StatusOK {
		t.Errorf("status %d (%s) of the urgent request", response.StatusCode, body)
	}
	response, err := http.ReadResponse(bufio.NewReader(pending), nil)
	if err != nil {
		t.Fatal(err)
	}
	if response.StatusCode != http.StatusServiceUnavailable || len(x.Sent()) != 1 {
		t.Errorf("status %d of the less urgent request, %d requests sent", response.StatusCode, len(x.Sent()))
	}
}

// A request as large as the published limits allow was refused although the node was calm.
func TestLargestRequestIsServedWithDefaults(t *testing.T) {
	x := newIntakeFixture(t, map[string]string{"process": `{"memory-mb": "112", "descriptors": "2870", "runtime-share": 1}`})
	const lines = (16 << 10) / len("a:\r\n")
	head := fmt.Sprintf("POST /open/ HTTP/1.1\r\nHost: h.example\r\nContent-Length: %d\r\n", maxPublishedBody)
	head += strings.Repeat("a:\r\n", lines-len(head)/4-1) + "\r\n"
	response, body := x.roundTrip(t, head+strings.Repeat("b", maxPublishedBody))
	if response.StatusCode != http.StatusOK {
		t.Fatalf("status %d (%s)", response.StatusCode, body)
	}
	if got := x.Sent()[0].Request; got.Host != "h.example" {
		t.Errorf("host %q", got.Host)
	}
	for x.node.Vars.Get("request-bytes").String() != "0" {
		time.Sleep(time.Millisecond)
	}
}
