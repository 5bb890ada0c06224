package demorunner

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/quetzalroad/quetzalroad/cmd/quetzalemu/engineserver"
	"github.com/quetzalroad/quetzalroad/support/commander"
)

const (
	// drainPropagationTimeout is how long a drain may take to apply on every node.
	drainPropagationTimeout = 3 * time.Second
	// chatsPerNode is the number of chats sent to each node, both before and after the drain.
	chatsPerNode = 8
)

// engineStats are the statistics that an engine reports.
type engineStats struct {
	Runs            int `json:"runs"`
	Cancelled       int `json:"cancelled"`
	TokensGenerated int `json:"tokens-generated"`
	TokensWasted    int `json:"tokens-wasted"`
	Active          int `json:"active"`
}

// serviceStats are the statistics that a service reports.
type serviceStats struct {
	Runs      int            `json:"runs"`
	RunsByKey map[string]int `json:"runs-by-key"`
}

// runOnce sends one request of each kind and checks the results.
func (d *deployment) runOnce(ctx context.Context, s commander.IOStreams) error {
	steps := []func(context.Context, commander.IOStreams) error{d.checkChat, d.checkBooking, d.checkDrain, d.checkCounters}
	for _, step := range steps {
		if err := step(ctx, s); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintln(s.Out, "all checks passed")
	return err
}

func encodeChatRequest(text string, stream bool) []byte {
	return fmt.Appendf(nil, `{"model":%q,"stream":%t,"max_tokens":12,"messages":[{"role":"user","content":%q}]}`, modelName, stream, text)
}

func (d *deployment) sendChat(ctx context.Context, p process, body []byte) (response, error) {
	return send(ctx, http.MethodPost, "http://"+p.address.String()+"/v1/chat/completions", teamKey, nil, body)
}

func (d *deployment) checkChat(ctx context.Context, s commander.IOStreams) error {
	body := encodeChatRequest("How long until solar panels pay back?", true)
	r, err := d.sendChat(ctx, d.nodes[0], body)
	if err != nil {
		return err
	}
	if _, err := fmt.Fprintf(s.Out, "chat: status %d, outcome %s\n%s\n", r.status, r.outcome, r.body); err != nil {
		return err
	}
	if r.status != http.StatusOK || r.outcome != "completed" || !strings.Contains(r.body, "data: [DONE]") {
		return errors.New("the streamed chat was not completed")
	}
	expected, err := engineserver.ExpectedCompletion(body)
	if err != nil {
		return err
	}
	for _, word := range strings.Fields(expected) {
		if !strings.Contains(r.body, word+" ") {
			return errors.Newf("the streamed chat is missing %q", word)
		}
	}
	return nil
}

// checkBooking sends a booking twice with the same idempotency key, to two nodes, and checks that
// it ran once.
func (d *deployment) checkBooking(ctx context.Context, s commander.IOStreams) error {
	const key = "visit-once"
	header := map[string]string{"Quetzalroad-Profile": "booking", "Idempotency-Key": key}
	for _, p := range []process{d.nodes[0], d.nodes[2]} {
		r, err := send(ctx, http.MethodPost, "http://"+p.address.String()+"/services/"+serviceName+"/bookings", teamKey, header, []byte(`{"visit":"2026-12-09"}`))
		if err != nil {
			return err
		}
		if _, err := fmt.Fprintf(s.Out, "booking at %s: status %d, outcome %s\n%s\n", p.name, r.status, r.outcome, r.body); err != nil {
			return err
		}
		if r.status != http.StatusOK || r.outcome != "completed" {
			return errors.New("the booking was not completed")
		}
	}
	runs := 0
	for _, p := range d.services {
		var stats serviceStats
		if err := fetchStats(ctx, p.address, &stats); err != nil {
			return err
		}
		runs += stats.RunsByKey[key]
	}
	if _, err := fmt.Fprintf(s.Out, "booking ran %d time(s)\n\n", runs); err != nil {
		return err
	}
	if runs != 1 {
		return errors.Newf("the booking ran %d times", runs)
	}
	return nil
}

// checkDrain drains an engine and checks that it receives no request after drainPropagationTimeout.
func (d *deployment) checkDrain(ctx context.Context, s commander.IOStreams) error {
	drained := d.engines[0]
	if err := d.sendChats(ctx); err != nil {
		return err
	}
	r, err := send(ctx, http.MethodPost, "http://"+d.nodes[0].adminAddress.String()+"/admin/v1/upstreams/"+drained.name+"/drain", adminKey, nil, nil)
	if err != nil {
		return err
	}
	if _, err := fmt.Fprintf(s.Out, "drain of %s: status %d\n%s", drained.name, r.status, r.body); err != nil {
		return err
	}
	if r.status != http.StatusOK {
		return errors.New("the drain was not accepted")
	}
	timer := time.NewTimer(drainPropagationTimeout)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return ctx.Err()
	}
	var before, after engineStats
	if err := fetchStats(ctx, drained.address, &before); err != nil {
		return err
	}
	if err := d.sendChats(ctx); err != nil {
		return err
	}
	if err := fetchStats(ctx, drained.address, &after); err != nil {
		return err
	}
	if _, err := fmt.Fprintf(s.Out, "%s ran %d before and %d after %d more chats\n\n", drained.name, before.Runs, after.Runs, chatsPerNode*len(d.nodes)); err != nil {
		return err
	}
	if before.Runs == 0 {
		return errors.New("the engine had no requests before the drain, so the check is inconclusive")
	}
	if after.Runs != before.Runs {
		return errors.New("the drained engine received new requests")
	}
	return nil
}

// sendChats sends chatsPerNode chats to each node and checks that all were completed.
func (d *deployment) sendChats(ctx context.Context) error {
	for i := range chatsPerNode {
		for _, p := range d.nodes {
			r, err := d.sendChat(ctx, p, encodeChatRequest(fmt.Sprintf("Question %d", i), false))
			if err != nil {
				return err
			}
			if r.status != http.StatusOK || r.outcome != "completed" {
				return errors.Newf("a chat at %s ended with status %d, outcome %s: %s", p.name, r.status, r.outcome, r.body)
			}
		}
	}
	return nil
}

// checkCounters prints the counters of each node and checks that none reported an invariant violation.
func (d *deployment) checkCounters(ctx context.Context, s commander.IOStreams) error {
	for _, p := range d.nodes {
		r, err := send(ctx, http.MethodGet, "http://"+p.adminAddress.String()+"/debug/vars", adminKey, nil, nil)
		if err != nil {
			return err
		}
		counters, _, _ := strings.Cut(r.body, ",\n\"cmdline\"")
		if _, err := fmt.Fprintf(s.Out, "counters of %s\n%s\n\n", p.name, counters); err != nil {
			return err
		}
		if strings.Contains(r.body, `"invariant-breaches": {"`) {
			return errors.Newf("%s reported an invariant violation", p.name)
		}
	}
	return nil
}
