package platformrunner

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/quetzalroad/quetzalroad/cmd/quetzalemu/backendserver"
	"github.com/quetzalroad/quetzalroad/cmd/quetzalemu/storeserver"
	"github.com/quetzalroad/quetzalroad/support/commander"
)

// revocationTimeout is the deployment's revocation timeout in these tests.
const revocationTimeout = 2 * time.Second

func startDeployment(t *testing.T) *deployment {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	d := &deployment{logger: slog.New(slog.DiscardHandler), revocationTimeout: revocationTimeout}
	t.Cleanup(func() {
		if err := d.stop(ctx); err != nil {
			t.Error(err)
		}
		cancel()
		d.tasks.Wait()
	})
	if err := d.start(ctx, 2); err != nil {
		t.Fatal(err)
	}
	return d
}

// eventually waits until a condition holds; the timeout is generous for slow machines.
func eventually(t *testing.T, description string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(30 * time.Second); !condition(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s: not within 30 seconds", description)
		}
	}
}

func (d *deployment) send(t *testing.T, nodeIndex int, params request) response {
	t.Helper()
	r, err := sendRequest(t.Context(), d.nodes[nodeIndex%len(d.nodes)], params)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func TestRunOnceSucceeds(t *testing.T) {
	var out strings.Builder
	streams := commander.IOStreams{Out: &out}
	if err := Run(t.Context(), streams, slog.New(slog.DiscardHandler), true); err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(out.String(), "all checks passed") {
		t.Error(out.String())
	}
}

func TestInterruptedDraftsResumeOnOtherServers(t *testing.T) {
	d := startDeployment(t)
	d.servers[0].SetFaults(backendserver.Faults{TruncateAfter: 4})
	var group sync.WaitGroup
	const drafts, events = 40, 12
	for i := range drafts {
		group.Go(func() {
			r, err := sendRequest(t.Context(), d.nodes[i%2], request{method: http.MethodPost, path: "/draft/", id: fmt.Sprintf("d%d", i), key: apiKey, events: events})
			if err == nil {
				err = r.checkEvents(events)
			}
			if err != nil {
				t.Errorf("draft %d: %v", i, err)
			}
		})
	}
	group.Wait()
}

func TestInterruptedChatIsTruncatedAndRunsOnce(t *testing.T) {
	d := startDeployment(t)
	for _, s := range d.servers[:3] {
		s.SetFaults(backendserver.Faults{TruncateAfter: 2})
	}
	r := d.send(t, 0, request{method: http.MethodPost, path: "/chat/", id: "c", key: apiKey, events: 9})
	if !r.truncated || strings.Contains(r.body, "id: 3") {
		t.Errorf("truncated %v, body %q", r.truncated, r.body)
	}
	runs := 0
	for _, s := range d.servers {
		runs += s.ExecutionCounts()["c"]
	}
	if runs != 1 {
		t.Errorf("got %d runs, want 1", runs)
	}
}

func TestBookingsRunOnceAndStatusMatchesExecution(t *testing.T) {
	d := startDeployment(t)
	d.servers[3].SetFaults(backendserver.Faults{DropResponses: true})
	const bookings = 40
	statuses := make(map[string]int)
	for i := range bookings {
		id := fmt.Sprintf("b%d", i)
		statuses[id] = d.send(t, i, request{method: http.MethodPost, path: "/booking/", id: id, key: apiKey, body: "visit"}).status
	}
	for id, status := range statuses {
		runs := d.servers[3].ExecutionCounts()[id] + d.servers[4].ExecutionCounts()[id]
		if runs > 1 || (status == http.StatusOK && runs != 1) || (status == http.StatusServiceUnavailable && runs != 0) {
			t.Errorf("%s: status %d after %d runs", id, status, runs)
		}
	}
}

func TestServersThatRejectAllAreSkipped(t *testing.T) {
	d := startDeployment(t)
	d.servers[3].SetFaults(backendserver.Faults{RejectAll: true})
	for i := range 10 {
		if r := d.send(t, i, request{method: http.MethodPost, path: "/booking/", id: fmt.Sprintf("f%d", i), key: apiKey}); r.status != http.StatusOK {
			t.Errorf("status %d although another server is free", r.status)
		}
	}
	d.servers[4].SetFaults(backendserver.Faults{RejectAll: true})
	r := d.send(t, 0, request{method: http.MethodPost, path: "/booking/", id: "none", key: apiKey})
	if r.status != http.StatusServiceUnavailable || r.header.Get("Response-Seal") != "" {
		t.Errorf("status %d, header %v", r.status, r.header)
	}
}

func TestMismatchedResponsesAreNotForwarded(t *testing.T) {
	d := startDeployment(t)
	for _, s := range d.servers[3:] {
		s.SetFaults(backendserver.Faults{MismatchResponses: true})
	}
	for i := range 10 {
		if r := d.send(t, i, request{method: http.MethodPost, path: "/booking/", id: fmt.Sprintf("o%d", i), key: apiKey, body: "own"}); r.body != "ran POST /booking/ own" {
			t.Errorf("status %d, body %q", r.status, r.body)
		}
	}
}

func TestDrainingServerReceivesNoRequests(t *testing.T) {
	d := startDeployment(t)
	d.setServerState("i-4", "draining")
	eventually(t, "the nodes see the server as draining", func() bool {
		for _, n := range d.nodes {
			for _, u := range n.Directory.Upstreams() {
				if u.InstanceID == "i-4" && !u.Draining {
					return false
				}
			}
		}
		return true
	})
	for i := range 20 {
		d.send(t, i, request{method: http.MethodPost, path: "/booking/", id: fmt.Sprintf("l%d", i), key: apiKey})
	}
	if got := len(d.servers[3].ExecutionCounts()); got != 0 {
		t.Errorf("the draining server ran %d requests", got)
	}
}

func TestRevokedKeyIsRefusedAndStoreOutageStopsKeyedRequests(t *testing.T) {
	d := startDeployment(t)
	params := request{method: http.MethodPost, path: "/booking/", id: "k", key: apiKey}
	d.publish(2, "another")
	eventually(t, "the key is refused", func() bool { return d.send(t, 0, params).status == http.StatusUnauthorized })
	params.key = "another"
	if r := d.send(t, 0, params); r.status != http.StatusOK {
		t.Fatalf("request with the new key: status %d", r.status)
	}
	d.store.SetMode(storeserver.ModeUnresponsive)
	eventually(t, "requests with a key are refused while the store is unresponsive", func() bool { return d.send(t, 0, params).status == http.StatusServiceUnavailable })
	d.store.SetMode(storeserver.ModeAvailable)
	eventually(t, "requests with a key succeed again", func() bool { return d.send(t, 0, params).status == http.StatusOK })
}

func TestTruncatedTopicsAreReadFromLatest(t *testing.T) {
	d := startDeployment(t)
	d.store.SetMode(storeserver.ModeUnavailable)
	d.publish(5, "another")
	d.store.Truncate("keyed.op")
	d.store.Truncate("keyed.servers")
	d.store.SetMode(storeserver.ModeAvailable)
	eventually(t, "the new config version is applied", func() bool {
		return d.send(t, 0, request{method: http.MethodPost, path: "/booking/", id: "h", key: "another"}).status == http.StatusOK
	})
}

func TestCallerDisconnectCancelsServerStream(t *testing.T) {
	d := startDeployment(t)
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	// The request fails since its context expires.
	_, _ = sendRequest(ctx, d.nodes[0], request{method: http.MethodPost, path: "/chat/", id: "gone", key: apiKey, events: 100000})
	eventually(t, "the server's stream is cancelled", func() bool {
		return d.servers[0].CancelledStreams()+d.servers[1].CancelledStreams()+d.servers[2].CancelledStreams() > 0
	})
}

// A server in trouble sends bytes without end, until its client closes the connection. The node
// must close it, refuse or retry the request, and go on using the other servers.
func TestEndlessResponsesEndTheAttempt(t *testing.T) {
	for _, part := range backendserver.EndlessParts {
		t.Run(string(part), func(t *testing.T) {
			d := startDeployment(t)
			d.servers[0].SetFaults(backendserver.Faults{Endless: part})
			d.servers[3].SetFaults(backendserver.Faults{Endless: part})
			const requests, events = 12, 3
			for i := range requests {
				r := d.send(t, i, request{method: http.MethodPost, path: "/draft/", id: fmt.Sprintf("d%d", i), key: apiKey, events: events})
				if err := r.checkEvents(events); err != nil {
					t.Errorf("draft %d: %v", i, err)
				}
				booking := d.send(t, i, request{method: http.MethodPost, path: "/booking/", id: fmt.Sprintf("b%d", i), key: apiKey, body: "visit"})
				if booking.status != http.StatusOK && booking.status != http.StatusBadGateway {
					t.Errorf("booking %d: status %d", i, booking.status)
				}
			}
		})
	}
}
