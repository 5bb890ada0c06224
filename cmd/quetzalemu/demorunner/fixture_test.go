package demorunner

import (
	"context"
	"encoding/json"
	"log/slog"
	"net/http"
	"testing"
	"time"
)

// startDeployment starts the demo's deployment for a test.
func startDeployment(t *testing.T) *deployment {
	t.Helper()
	d, err := newDeployment(slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	if err := d.start(ctx); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		stopCtx, cancelStop := context.WithTimeout(context.Background(), stopTimeout)
		defer cancelStop()
		d.stop(stopCtx)
		for _, n := range d.runningNodes {
			if text := n.Vars.Get("invariant-breaches").String(); text != "{}" {
				t.Errorf("%s violated an invariant: %s", n.Name, text)
			}
		}
	})
	return d
}

// setFaults injects faults into an emulator.
func setFaults(t *testing.T, p process, faults map[string]any) {
	t.Helper()
	body, err := json.Marshal(faults)
	if err != nil {
		t.Fatal(err)
	}
	r, err := send(t.Context(), http.MethodPut, "http://"+p.address.String()+"/faults", "", nil, body)
	if err != nil {
		t.Fatal(err)
	}
	if r.status != http.StatusOK {
		t.Fatalf("setting faults failed: %s", r.body)
	}
}

// eventually waits until a condition holds. The timeout is far above any guaranteed bound, so that
// it never decides the result on a working system.
func eventually(t *testing.T, description string, condition func() bool) {
	t.Helper()
	for range 1000 {
		if condition() {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Fatal("timeout: " + description)
}
