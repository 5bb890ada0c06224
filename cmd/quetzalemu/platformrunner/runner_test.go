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

// revokeWithin is the bound on revocation in these tests.
const revokeWithin = 2 * time.Second

func bringUp(t *testing.T) *deployment {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	d := &deployment{logger: slog.New(slog.DiscardHandler), revokeWithin: revokeWithin}
	t.Cleanup(func() {
		if err := d.stop(ctx); err != nil {
			t.Error(err)
		}
		cancel()
		d.group.Wait()
	})
	if err := d.start(ctx, 2); err != nil {
		t.Fatal(err)
	}
	return d
}

// eventually waits until something holds, for as long as a slow machine needs.
func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(30 * time.Second); !holds(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s: not within half a minute", what)
		}
	}
}

func (d *deployment) ask(t *testing.T, i int, q request) answer {
	t.Helper()
	a, err := ask(t.Context(), d.nodes[i%len(d.nodes)], q)
	if err != nil {
		t.Fatal(err)
	}
	return a
}

func TestOnceIsAsPromised(t *testing.T) {
	var out strings.Builder
	streams := commander.IOStreams{Out: &out}
	if err := Demonstrate(t.Context(), streams, slog.New(slog.DiscardHandler), true); err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(out.String(), "as promised") {
		t.Error(out.String())
	}
}

func TestDraftsGoOnElsewhereWhereAnEngineCutsThem(t *testing.T) {
	d := bringUp(t)
	d.servers[0].SetFaults(backendserver.Faults{CutAfter: 4})
	var group sync.WaitGroup
	const drafts, events = 40, 12
	for i := range drafts {
		group.Go(func() {
			a, err := ask(t.Context(), d.nodes[i%2], request{method: http.MethodPost, path: "/draft/", id: fmt.Sprintf("d%d", i), key: key, events: events})
			if err == nil {
				err = a.whole(events)
			}
			if err != nil {
				t.Errorf("draft %d: %v", i, err)
			}
		})
	}
	group.Wait()
}

func TestAChatThatIsCutNeverLooksWholeAndRunsOnce(t *testing.T) {
	d := bringUp(t)
	for _, s := range d.servers[:3] {
		s.SetFaults(backendserver.Faults{CutAfter: 2})
	}
	a := d.ask(t, 0, request{method: http.MethodPost, path: "/chat/", id: "c", key: key, events: 9})
	if !a.cut || strings.Contains(a.body, "id: 3") {
		t.Errorf("cut %v, body %q", a.cut, a.body)
	}
	runs := 0
	for _, s := range d.servers {
		runs += s.Runs()["c"]
	}
	if runs != 1 {
		t.Errorf("%d runs", runs)
	}
}

func TestBookingsRunOnceAndWhatIsSaidOfThemIsTrue(t *testing.T) {
	d := bringUp(t)
	d.servers[3].SetFaults(backendserver.Faults{LoseAnswers: true})
	const bookings = 40
	statuses := make(map[string]int)
	for i := range bookings {
		id := fmt.Sprintf("b%d", i)
		statuses[id] = d.ask(t, i, request{method: http.MethodPost, path: "/booking/", id: id, key: key, body: "visit"}).status
	}
	for id, status := range statuses {
		runs := d.servers[3].Runs()[id] + d.servers[4].Runs()[id]
		if runs > 1 || (status == http.StatusOK && runs != 1) || (status == http.StatusServiceUnavailable && runs != 0) {
			t.Errorf("%s: status %d after %d runs", id, status, runs)
		}
	}
}

func TestAFullServerIsPassedByAndNothingMeansNotRun(t *testing.T) {
	d := bringUp(t)
	d.servers[3].SetFaults(backendserver.Faults{Full: true})
	for i := range 10 {
		if a := d.ask(t, i, request{method: http.MethodPost, path: "/booking/", id: fmt.Sprintf("f%d", i), key: key}); a.status != http.StatusOK {
			t.Errorf("status %d beside a server with room", a.status)
		}
	}
	d.servers[4].SetFaults(backendserver.Faults{Full: true})
	a := d.ask(t, 0, request{method: http.MethodPost, path: "/booking/", id: "none", key: key})
	if a.status != http.StatusServiceUnavailable || a.header.Get("Response-Seal") != "" {
		t.Errorf("status %d, header %v", a.status, a.header)
	}
}

func TestAnswersToOthersNeverReachACaller(t *testing.T) {
	d := bringUp(t)
	for _, s := range d.servers[3:] {
		s.SetFaults(backendserver.Faults{Foreign: true})
	}
	for i := range 10 {
		if a := d.ask(t, i, request{method: http.MethodPost, path: "/booking/", id: fmt.Sprintf("o%d", i), key: key, body: "own"}); a.body != "own" {
			t.Errorf("status %d, body %q", a.status, a.body)
		}
	}
}

func TestALeavingServerGetsNoMoreWork(t *testing.T) {
	d := bringUp(t)
	d.set("i-4", "draining")
	eventually(t, "the nodes know of the leaving", func() bool {
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
		d.ask(t, i, request{method: http.MethodPost, path: "/booking/", id: fmt.Sprintf("l%d", i), key: key})
	}
	if got := len(d.servers[3].Runs()); got != 0 {
		t.Errorf("the leaving server ran %d requests", got)
	}
}

func TestATakenKeyStopsWorkingWithTheStoreThereAndAway(t *testing.T) {
	d := bringUp(t)
	call := request{method: http.MethodPost, path: "/booking/", id: "k", key: key}
	d.publish(2, "another")
	eventually(t, "the key is refused", func() bool { return d.ask(t, 0, call).status == http.StatusUnauthorized })
	call.key = "another"
	if a := d.ask(t, 0, call); a.status != http.StatusOK {
		t.Fatalf("the new key: status %d", a.status)
	}
	d.store.SetMode(storeserver.Silent)
	eventually(t, "keyed work stops", func() bool { return d.ask(t, 0, call).status == http.StatusServiceUnavailable })
	d.store.SetMode(storeserver.Sound)
	eventually(t, "keyed work goes on", func() bool { return d.ask(t, 0, call).status == http.StatusOK })
}

func TestForgottenHistoryIsReadAnew(t *testing.T) {
	d := bringUp(t)
	d.store.SetMode(storeserver.Busy)
	d.publish(5, "another")
	d.store.Forget("keyed.op")
	d.store.Forget("keyed.servers")
	d.store.SetMode(storeserver.Sound)
	eventually(t, "the version is in force", func() bool {
		return d.ask(t, 0, request{method: http.MethodPost, path: "/booking/", id: "h", key: "another"}).status == http.StatusOK
	})
}

func TestACallerThatLeavesEndsItsStream(t *testing.T) {
	d := bringUp(t)
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	// The answer is cut by its own caller.
	_, _ = ask(ctx, d.nodes[0], request{method: http.MethodPost, path: "/chat/", id: "gone", key: key, events: 100000})
	eventually(t, "the stream is ended at the server", func() bool {
		return d.servers[0].Ended()+d.servers[1].Ended()+d.servers[2].Ended() > 0
	})
}
