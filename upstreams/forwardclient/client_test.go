package forwardclient

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"

	"github.com/quetzalroad/quetzalroad"
)

func TestRequestIsForwardedUnchanged(t *testing.T) {
	type received struct{ Method, Target, Host, X, Body string }
	got := make(chan received, 1)
	_, u := startUpstream(t, func(_ int, c net.Conn, r *bufio.Reader) {
		request, body, err := readRequest(r)
		if err != nil {
			return
		}
		got <- received{request.Method, request.RequestURI, request.Host, request.Header.Get("X"), body}
		writeString(c, okResponse("1", "yes"))
	})
	response, err := newClient(t).Send(t.Context(), newAttempt(u, "1"))
	if err != nil {
		t.Fatal(err)
	}
	if body, err := readBody(response); err != nil || body != "yes" {
		t.Errorf("body %q, %v", body, err)
	}
	if diff := cmp.Diff(received{"POST", "/p?q=1", "h.example", "1", "body"}, <-got); diff != "" {
		t.Errorf("the request changed (-want +got):\n%s", diff)
	}
}

func TestMismatchedResponseIsDiscarded(t *testing.T) {
	_, u := startUpstream(t, func(_ int, c net.Conn, r *bufio.Reader) {
		if _, _, err := readRequest(r); err == nil {
			writeString(c, okResponse("0", "old")+okResponse("1", "own"))
		}
	})
	response, err := newClient(t).Send(t.Context(), newAttempt(u, "1"))
	if err != nil {
		t.Fatal(err)
	}
	if body, err := readBody(response); err != nil || body != "own" {
		t.Errorf("body %q, %v", body, err)
	}
}

func TestOnlyMismatchedResponsesLeaveOutcomeUnknown(t *testing.T) {
	_, u := startUpstream(t, func(_ int, c net.Conn, r *bufio.Reader) {
		if _, _, err := readRequest(r); err == nil {
			writeString(c, strings.Repeat(okResponse("0", "old"), maxMismatchedResponses+1))
		}
	})
	_, err := newClient(t).Send(t.Context(), newAttempt(u, "1"))
	if attemptErr := asAttemptError(t, err); attemptErr.NotRun || attemptErr.RetryReason != quetzalroad.RetryMismatchedResponse {
		t.Errorf("%+v", attemptErr)
	}
}

func TestUpstreamNotRunAndFailedDialReportNotRun(t *testing.T) {
	_, u := startUpstream(t, func(_ int, c net.Conn, r *bufio.Reader) {
		if _, _, err := readRequest(r); err == nil {
			writeString(c, "HTTP/1.1 503 Full\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n")
		}
	})
	client := newClient(t)
	_, err := client.Send(t.Context(), newAttempt(u, "1"))
	if attemptErr := asAttemptError(t, err); !attemptErr.NotRun || attemptErr.RetryReason != quetzalroad.RetryNotRun {
		t.Errorf("%+v", attemptErr)
	}
	closedListener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	u.Address = netip.MustParseAddrPort(closedListener.Addr().String())
	u.Name = "gone"
	if err := closedListener.Close(); err != nil {
		t.Fatal(err)
	}
	_, err = client.Send(t.Context(), newAttempt(u, "2"))
	if attemptErr := asAttemptError(t, err); !attemptErr.NotRun || attemptErr.RetryReason != quetzalroad.RetryDialFailed {
		t.Errorf("%+v", attemptErr)
	}
}

func TestConnectionClosedAfterSendLeavesOutcomeUnknown(t *testing.T) {
	_, u := startUpstream(t, func(_ int, _ net.Conn, r *bufio.Reader) {
		_, _, _ = readRequest(r)
	})
	_, err := newClient(t).Send(t.Context(), newAttempt(u, "1"))
	if attemptErr := asAttemptError(t, err); attemptErr.NotRun {
		t.Errorf("%+v: a request that was sent is reported as not run", attemptErr)
	}
}

func TestBeforeSendErrorPreventsSending(t *testing.T) {
	server, u := startUpstream(t, func(_ int, _ net.Conn, r *bufio.Reader) {
		if _, _, err := readRequest(r); err == nil {
			t.Error("a request arrived despite the error of BeforeSend")
		}
	})
	a := newAttempt(u, "1")
	a.BeforeSend = func() error { return errors.New("no more") }
	_, err := newClient(t).Send(t.Context(), a)
	if attemptErr := asAttemptError(t, err); !attemptErr.NotRun {
		t.Errorf("%+v", attemptErr)
	}
	_ = server
}

func TestConnectionIsReusedOnlyAfterCompleteResponse(t *testing.T) {
	for name, tc := range map[string]struct {
		response string
		reused   bool
	}{
		"whole":              {okResponse("1", "yes"), true},
		"closing":            {"HTTP/1.1 200 OK\r\nId: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", false},
		"extra data follows": {okResponse("1", "yes") + "HTTP", false},
	} {
		t.Run(name, func(t *testing.T) {
			server, u := startUpstream(t, func(_ int, conn net.Conn, r *bufio.Reader) {
				for {
					if _, _, err := readRequest(r); err != nil {
						return
					}
					writeString(conn, tc.response)
				}
			})
			client := newClient(t)
			for range 2 {
				response, err := client.Send(t.Context(), newAttempt(u, "1"))
				if err != nil {
					t.Fatal(err)
				}
				if _, err := readBody(response); err != nil {
					t.Fatal(err)
				}
			}
			if got := server.connections() == 1; got != tc.reused {
				t.Errorf("%d connections for two requests", server.connections())
			}
		})
	}
}

func TestIdleConnectionWithUnreadBytesIsNotReused(t *testing.T) {
	unsolicited := make(chan struct{})
	server, u := startUpstream(t, func(connIndex int, c net.Conn, r *bufio.Reader) {
		for {
			if _, _, err := readRequest(r); err != nil {
				return
			}
			writeString(c, okResponse("1", "yes"))
			if connIndex == 0 {
				<-unsolicited
				writeString(c, okResponse("1", "two"))
				unsolicited <- struct{}{}
			}
		}
	})
	client := newClient(t)
	first, err := client.Send(t.Context(), newAttempt(u, "1"))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := readBody(first); err != nil {
		t.Fatal(err)
	}
	unsolicited <- struct{}{}
	<-unsolicited
	// Wait for the unsolicited response to arrive.
	shard := client.shard(u.Name)
	idle := shard.pop(u.Name)
	for idle.isClean() {
		time.Sleep(time.Millisecond)
	}
	shard.push(u.Name, idle)
	second, err := client.Send(t.Context(), newAttempt(u, "1"))
	if err != nil {
		t.Fatal(err)
	}
	if body, err := readBody(second); err != nil || body != "yes" {
		t.Errorf("body %q, %v", body, err)
	}
	if got := server.connections(); got != 2 {
		t.Errorf("%d connections, want a new one for the second request", got)
	}
}

func TestEarlyResponseToLongBodyIsReadAndConnectionClosed(t *testing.T) {
	release := make(chan struct{})
	server, u := startUpstream(t, func(connIndex int, c net.Conn, r *bufio.Reader) {
		if _, err := r.ReadString('\n'); err != nil {
			return
		}
		writeString(c, okResponse("1", "no"))
		if connIndex == 0 {
			<-release
		}
	})
	client := newClient(t)
	a := newAttempt(u, "1")
	a.Request.Body = quetzalroad.Body{make([]byte, 32<<20)}
	response, err := client.Send(t.Context(), a)
	if err != nil {
		t.Fatal(err)
	}
	if body, err := readBody(response); err != nil || body != "no" {
		t.Errorf("body %q, %v", body, err)
	}
	close(release)
	if response, err = client.Send(t.Context(), newAttempt(u, "1")); err != nil {
		t.Fatal(err)
	}
	if _, err := readBody(response); err != nil {
		t.Error(err)
	}
	if got := server.connections(); got != 2 {
		t.Errorf("%d connections, want 2, as the first one must be closed", got)
	}
}

func TestResponseWithoutLengthIsCompleteOnlyAtEOF(t *testing.T) {
	for name, cleanClose := range map[string]bool{"closed": true, "reset": false} {
		t.Run(name, func(t *testing.T) {
			_, u := startUpstream(t, func(_ int, c net.Conn, r *bufio.Reader) {
				if _, _, err := readRequest(r); err != nil {
					return
				}
				writeString(c, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\npart")
				if !cleanClose {
					// Let the client read the part before the reset, which discards unread data.
					time.Sleep(20 * time.Millisecond)
					if err := c.(*net.TCPConn).SetLinger(0); err != nil {
						t.Error(err)
					}
				}
			})
			response, err := newClient(t).Send(t.Context(), newAttempt(u, "1"))
			if err != nil {
				t.Fatal(err)
			}
			if !response.Head().Unframed {
				t.Error("the response is taken for a framed one")
			}
			if _, err := readBody(response); (err == nil) != cleanClose {
				t.Errorf("error %v", err)
			}
		})
	}
}

func TestOnlyCompleteEventsAreReturned(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	chunk := func(s string) string { return string(rune('0'+len(s))) + "\r\n" + s + "\r\n" }
	_, u := startUpstream(t, func(_ int, c net.Conn, r *bufio.Reader) {
		if _, _, err := readRequest(r); err == nil {
			writeString(c, head+chunk("id:1\n\ni")+chunk("d:2\n\n")+chunk("id:3\n"))
		}
	})
	response, err := newClient(t).Send(t.Context(), newAttempt(u, "1"))
	if err != nil {
		t.Fatal(err)
	}
	defer response.Close()
	if !response.Head().EventStream {
		t.Error("the response is not recognized as an event stream")
	}
	for want := int64(1); want <= 2; want++ {
		event, err := response.Next()
		if err != nil || event.EventID != want {
			t.Fatalf("event %d, %v; want %d", event.EventID, err, want)
		}
	}
	if event, err := response.Next(); err == nil || errors.Is(err, io.EOF) || len(event.Data) > 0 {
		t.Errorf("chunk %q, %v after EOF inside an event", event.Data, err)
	}
}

func TestEOFInsideAnEventIsUnexpected(t *testing.T) {
	r := eventReader{src: strings.NewReader("id:1\n\nid:2\n"), codec: fakeCodec{}}
	if event, err := r.next(); err != nil || event.EventID != 1 {
		t.Fatalf("event %d, %v", event.EventID, err)
	}
	if _, err := r.next(); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("error %v, want io.ErrUnexpectedEOF", err)
	}
}

func TestNonIdempotentRequestAvoidsOldIdleConnection(t *testing.T) {
	server, u := startUpstream(t, func(_ int, c net.Conn, r *bufio.Reader) {
		for {
			if _, _, err := readRequest(r); err != nil {
				return
			}
			writeString(c, okResponse("1", "yes"))
		}
	})
	client := newClient(t)
	client.nonIdempotentIdleTimeout = 0
	for i, idempotent := range []bool{true, true, false} {
		a := newAttempt(u, "1")
		a.Request.Idempotent = idempotent
		response, err := client.Send(t.Context(), a)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := readBody(response); err != nil {
			t.Fatal(err)
		}
		if want := []int{1, 1, 2}[i]; server.connections() != want {
			t.Errorf("%d connections after request %d, want %d", server.connections(), i, want)
		}
	}
}

func TestCancellationClosesTheUpstreamConnection(t *testing.T) {
	closed := make(chan error, 1)
	arrived := make(chan struct{})
	_, u := startUpstream(t, func(_ int, _ net.Conn, r *bufio.Reader) {
		if _, _, err := readRequest(r); err != nil {
			return
		}
		close(arrived)
		_, err := r.ReadByte()
		closed <- err
	})
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-arrived
		cancel()
	}()
	if _, err := newClient(t).Send(ctx, newAttempt(u, "1")); err == nil {
		t.Error("a response arrived after the cancellation")
	}
	if err := <-closed; err == nil {
		t.Error("the upstream's connection is still open")
	}
}

func TestUpstreamHasExitedOnlyIfItRefusesConnections(t *testing.T) {
	client := newClient(t)
	_, running := startUpstream(t, func(int, net.Conn, *bufio.Reader) {})
	if client.HasExited(t.Context(), running) {
		t.Error("an upstream that accepts connections counts as exited")
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := netip.MustParseAddrPort(listener.Addr().String())
	if err := listener.Close(); err != nil {
		t.Fatal(err)
	}
	if !client.HasExited(t.Context(), quetzalroad.Upstream{Name: "gone", Address: address}) {
		t.Error("an upstream that refuses connections does not count as exited")
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if client.HasExited(ctx, quetzalroad.Upstream{Name: "unknown", Address: address}) {
		t.Error("an upstream counts as exited although the check was cancelled")
	}
}
