package platformrunner

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/quetzalroad/quetzalroad/support/commander"
)

// Run starts a deployment, prints example commands and runs until the context ends. With once it
// sends the requests itself, checks the results, and returns.
func Run(ctx context.Context, streams commander.IOStreams, logger *slog.Logger, once bool) error {
	emulatorCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	d := &deployment{logger: logger, revocationTimeout: 5 * time.Second}
	defer d.tasks.Wait()
	defer cancel()
	if err := d.start(emulatorCtx, 2); err != nil {
		return err
	}
	err := d.printEndpoints(streams)
	switch {
	case err != nil:
	case once:
		err = d.runOnce(ctx, streams)
	default:
		<-ctx.Done()
	}
	return errors.CombineErrors(err, d.stop(context.WithoutCancel(ctx)))
}

func (d *deployment) printEndpoints(s commander.IOStreams) error {
	text := fmt.Sprintf("store    %s\n", d.storeAddress)
	for _, server := range d.servers {
		text += fmt.Sprintf("server   %s %s %s\n", server.Address, server.ID, server.Service)
	}
	for _, n := range d.nodes {
		text += fmt.Sprintf("node     %s %s, ready at %s\n", n.callerAddress, n.Name, n.readinessAddress)
	}
	headerArgs := fmt.Sprintf("-H 'Host: %s' -H 'Authorization: Bearer %s' -H 'Deadline-Remaining: 15000'", host, apiKey)
	text += fmt.Sprintf("\n# a streamed chat\ncurl -sN http://%s/chat/ %s -H 'Request-Attempt-Id: a1' -H 'Model: m' -H 'Token-Usage: 30,10' -H 'Prompt-Prefix: aa:10,bb:20' -d hello\n", d.nodes[0].callerAddress, headerArgs)
	text += fmt.Sprintf("\n# a booking\ncurl -si http://%s/booking/ %s -H 'Request-Attempt-Id: a2' -d visit\n\n", d.nodes[1].callerAddress, headerArgs)
	_, err := fmt.Fprint(s.Out, text)
	return err
}

// runOnce sends one request of each kind and checks the responses.
func (d *deployment) runOnce(ctx context.Context, s commander.IOStreams) error {
	const events = 10
	chat, err := sendRequest(ctx, d.nodes[0], request{method: http.MethodPost, path: "/chat/", id: "a1", key: apiKey, body: "hello", events: events})
	if err != nil {
		return err
	}
	if err := chat.checkEvents(events); err != nil {
		return errors.Wrap(err, "chat")
	}
	booking, err := sendRequest(ctx, d.nodes[1], request{method: http.MethodPost, path: "/booking/", id: "a2", key: apiKey, body: "visit"})
	if err != nil {
		return err
	}
	if booking.status != http.StatusOK || booking.body != "ran POST /booking/ visit" {
		return errors.Newf("booking: status %d, body %q", booking.status, booking.body)
	}
	unauthenticated, err := sendRequest(ctx, d.nodes[0], request{method: http.MethodPost, path: "/booking/", id: "a3", body: "visit"})
	if err != nil {
		return err
	}
	if unauthenticated.status != http.StatusUnauthorized {
		return errors.Newf("request without an API key: status %d", unauthenticated.status)
	}
	_, err = fmt.Fprintln(s.Out, "all checks passed: chat, booking, refusal without an API key")
	return err
}
