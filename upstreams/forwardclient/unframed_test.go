package forwardclient

import (
	"bufio"
	"net"
	"sync/atomic"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/quetzalroad/quetzalroad"
)

// A response without length and chunks ends with its connection, also when its upstream breaks off.
func TestUnframedStreamIsCompleteOnlyAtTheEndOfAnEvent(t *testing.T) {
	for name, c := range map[string]struct {
		body     string
		resumed  bool
		complete bool
	}{
		"whole events":                     {"id:1\n\nid:2\n\n", false, true},
		"ends inside an event":             {"id:1\n\nid:2\n", false, false},
		"ends inside the first event":      {"id:1", false, false},
		"ends before the first event":      {"", false, false},
		"resumed after the last event":     {"", true, true},
		"resumed and ends inside an event": {"id:3\nx", true, false},
	} {
		t.Run(name, func(t *testing.T) {
			var used atomic.Int64
			_, u := startUpstream(t, func(_ int, c2 net.Conn, r *bufio.Reader) {
				if _, _, err := readRequest(r); err == nil {
					used.Add(1)
					writeString(c2, "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Type: text/event-stream\r\n\r\n"+c.body)
				}
			})
			client := newClient(t)
			attempt := newAttempt(u, "1")
			if c.resumed {
				attempt.ResumeAfter = 2
			}
			response, err := client.Send(t.Context(), attempt)
			if err != nil {
				t.Fatal(err)
			}
			_, err = readBody(response)
			if (err == nil) != c.complete {
				t.Errorf("error %v, want complete %v", err, c.complete)
			}
			var failure *quetzalroad.AttemptError
			if !c.complete && (!errors.As(err, &failure) || failure.RetryReason != quetzalroad.RetryConnectionLost) {
				t.Errorf("error %v, want a lost connection", err)
			}
			if next, err := client.Send(t.Context(), newAttempt(u, "1")); err == nil {
				next.Close()
			}
			if got := used.Load(); got != 2 {
				t.Errorf("%d connections carried two requests, want 2", got)
			}
		})
	}
}

func TestConnectionOfUnframedResponseIsNotReused(t *testing.T) {
	var used atomic.Int64
	_, u := startUpstream(t, func(_ int, c net.Conn, r *bufio.Reader) {
		if _, _, err := readRequest(r); err == nil {
			used.Add(1)
			writeString(c, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nwhole body")
		}
	})
	client := newClient(t)
	for range 2 {
		response, err := client.Send(t.Context(), newAttempt(u, "1"))
		if err != nil {
			t.Fatal(err)
		}
		if body, err := readBody(response); err != nil || body != "whole body" {
			t.Errorf("body %q, error %v", body, err)
		}
	}
	if got := used.Load(); got != 2 {
		t.Errorf("%d connections carried two requests, want 2", got)
	}
}
