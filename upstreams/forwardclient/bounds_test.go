package forwardclient

import (
	"bufio"
	"context"
	"io"
	"net"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/quetzalroad/quetzalroad"
)

// writeWithoutEnd writes a text again and again until the client closes the connection.
func writeWithoutEnd(c net.Conn, text string) {
	block := strings.Repeat(text, max(1, (16<<10)/len(text)))
	for {
		if _, err := io.WriteString(c, block); err != nil {
			return
		}
	}
}

// endlessHeads are response heads that never end: what is sent first, and what follows without end.
var endlessHeads = map[string]struct{ begin, repeated string }{
	"status line":                    {"HTTP/1.1 200 ", "O"},
	"bytes that are no response":     {"", "x"},
	"one header line":                {"HTTP/1.1 200 OK\r\nA: ", "a"},
	"header lines":                   {"HTTP/1.1 200 OK\r\n", "A: b\r\n"},
	"informational responses":        {"", "HTTP/1.1 102 Processing\r\n\r\n"},
	"header line continued":          {"HTTP/1.1 200 OK\r\nA: b\r\n", " c\r\n"},
	"body of a mismatched response":  {"HTTP/1.1 200 OK\r\nId: 0\r\n\r\n", "body\r\n"},
	"chunks of a mismatched one":     {"HTTP/1.1 200 OK\r\nId: 0\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\na\r\n"},
	"extension of its first chunk":   {"HTTP/1.1 200 OK\r\nId: 0\r\nTransfer-Encoding: chunked\r\n\r\n1;", "a"},
	"trailer of a mismatched one":    {"HTTP/1.1 200 OK\r\nId: 0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "A: b\r\n"},
	"mismatched responses in a row":  {"", "HTTP/1.1 200 OK\r\nId: 0\r\nContent-Length: 0\r\n\r\n"},
	"second head after a mismatched": {okResponse("0", "old"), "A"},
}

// A server in trouble may send bytes without end until its client closes the connection. The
// attempt must end by the bounds on a head and on what is discarded, long before its time is up,
// and the request may have run.
func TestEndlessHeadEndsTheAttempt(t *testing.T) {
	for name, endless := range endlessHeads {
		t.Run(name, func(t *testing.T) {
			_, u := startUpstream(t, func(_ int, c net.Conn, r *bufio.Reader) {
				if _, _, err := readRequest(r); err == nil {
					writeString(c, endless.begin)
					writeWithoutEnd(c, endless.repeated)
				}
			})
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			_, err := newClient(t).Send(ctx, newAttempt(u, "1"))
			attemptErr := asAttemptError(t, err)
			if attemptErr.NotRun || ctx.Err() != nil {
				t.Errorf("%+v, context %v", attemptErr, ctx.Err())
			}
			if attemptErr.RetryReason != quetzalroad.RetryMalformedResponse && attemptErr.RetryReason != quetzalroad.RetryMismatchedResponse {
				t.Errorf("retry reason %s", attemptErr.RetryReason)
			}
		})
	}
}

// What surrounds the chunks of a response's own body is bounded as well.
func TestEndlessFramingEndsTheAttempt(t *testing.T) {
	for name, endless := range map[string]struct{ begin, repeated string }{
		"chunk size":             {"", "0"},
		"chunk extension":        {"1;", "a"},
		"chunks with extensions": {"", "1;" + strings.Repeat("a", 1000) + "\r\na\r\n"},
		"trailer":                {"0\r\n", "A: b\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			_, u := startUpstream(t, func(_ int, c net.Conn, r *bufio.Reader) {
				if _, _, err := readRequest(r); err == nil {
					writeString(c, "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n"+endless.begin)
					writeWithoutEnd(c, endless.repeated)
				}
			})
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			response, err := newClient(t).Send(ctx, newAttempt(u, "1"))
			if err != nil {
				t.Fatal(err)
			}
			if body, err := readBody(response); err == nil || ctx.Err() != nil {
				t.Errorf("%d bytes, error %v, context %v", len(body), err, ctx.Err())
			}
		})
	}
}

// The statement that the request was not run holds whatever follows it, and is passed on at once.
func TestEndlessBodyOfNotRunResponseIsNotAwaited(t *testing.T) {
	for name, pause := range map[string]time.Duration{"fast": 0, "a byte now and then": 5 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			server, u := startUpstream(t, func(_ int, c net.Conn, r *bufio.Reader) {
				if _, _, err := readRequest(r); err != nil {
					return
				}
				writeString(c, "HTTP/1.1 503 Full\r\nId: 1\r\nNot-Run: 1\r\n\r\n")
				for {
					if _, err := io.WriteString(c, "x"); err != nil {
						return
					}
					time.Sleep(pause)
				}
			})
			client := newClient(t)
			client.discardTimeout = 50 * time.Millisecond
			for range 2 {
				_, err := client.Send(t.Context(), newAttempt(u, "1"))
				if attemptErr := asAttemptError(t, err); !attemptErr.NotRun {
					t.Errorf("%+v", attemptErr)
				}
			}
			if got := server.connections(); got != 2 {
				t.Errorf("%d connections for two requests, want one each", got)
			}
		})
	}
}

func TestTrickledMismatchedResponseEndsWithinTheDiscardTimeout(t *testing.T) {
	_, u := startUpstream(t, func(_ int, c net.Conn, r *bufio.Reader) {
		if _, _, err := readRequest(r); err != nil {
			return
		}
		writeString(c, "HTTP/1.1 200 OK\r\nId: 0\r\n\r\n")
		for {
			if _, err := io.WriteString(c, "x"); err != nil {
				return
			}
			time.Sleep(time.Millisecond)
		}
	})
	client := newClient(t)
	client.discardTimeout = 50 * time.Millisecond
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	_, err := client.Send(ctx, newAttempt(u, "1"))
	if attemptErr := asAttemptError(t, err); attemptErr.NotRun || ctx.Err() != nil {
		t.Errorf("%+v, context %v", attemptErr, ctx.Err())
	}
}

// The time of a request bounds a response that arrives byte by byte.
func TestTrickledHeadEndsWithTheRequest(t *testing.T) {
	_, u := startUpstream(t, func(_ int, c net.Conn, r *bufio.Reader) {
		if _, _, err := readRequest(r); err != nil {
			return
		}
		for {
			if _, err := io.WriteString(c, "H"); err != nil {
				return
			}
			time.Sleep(time.Millisecond)
		}
	})
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	_, err := newClient(t).Send(ctx, newAttempt(u, "1"))
	if attemptErr := asAttemptError(t, err); attemptErr.NotRun {
		t.Errorf("%+v", attemptErr)
	}
}

// A sound response may be slow and large: neither its body nor the pauses in it are bounded.
func TestSlowSoundStreamIsNotCut(t *testing.T) {
	const events = 40
	event := "id:1\ndata: " + strings.Repeat("x", 8<<10) + "\n\n"
	_, u := startUpstream(t, func(_ int, c net.Conn, r *bufio.Reader) {
		if _, _, err := readRequest(r); err != nil {
			return
		}
		for _, b := range []byte("HTTP/1.1 200 OK\r\nId: 1\r\nContent-Type: text/event-stream\r\n\r\n") {
			writeString(c, string(b))
		}
		for range events {
			time.Sleep(5 * time.Millisecond)
			writeString(c, event)
		}
	})
	client := newClient(t)
	client.discardTimeout = time.Millisecond
	response, err := client.Send(t.Context(), newAttempt(u, "1"))
	if err != nil {
		t.Fatal(err)
	}
	if body, err := readBody(response); err != nil || len(body) != events*len(event) {
		t.Errorf("%d bytes, %v", len(body), err)
	}
}

// The smallest VM has less than 200 MB: many servers in trouble at once must not end it.
func TestManyEndlessHeadsUseLittleMemory(t *testing.T) {
	const (
		servers          = 64
		maxBytesEach     = 1 << 20
		samplingInterval = 2 * time.Millisecond
	)
	client := newClient(t)
	_, u := startUpstream(t, func(_ int, c net.Conn, r *bufio.Reader) {
		if _, _, err := readRequest(r); err == nil {
			writeString(c, "HTTP/1.1 200 OK\r\n")
			writeWithoutEnd(c, "A: b\r\n")
		}
	})
	heap := func() uint64 {
		var stats runtime.MemStats
		runtime.ReadMemStats(&stats)
		return stats.HeapAlloc
	}
	before, peak := heap(), uint64(0)
	done := make(chan struct{})
	var group sync.WaitGroup
	for range servers {
		group.Go(func() {
			_, err := client.Send(t.Context(), newAttempt(u, "1"))
			if err == nil {
				t.Error("an endless head was accepted")
			}
		})
	}
	go func() {
		group.Wait()
		close(done)
	}()
	for sampling := true; sampling; {
		select {
		case <-done:
			sampling = false
		case <-time.After(samplingInterval):
		}
		peak = max(peak, heap())
	}
	if used := int64(peak) - int64(before); used > servers*maxBytesEach {
		t.Errorf("the heap grew by %d bytes, want at most %d for each of %d servers", used, maxBytesEach, servers)
	}
}

// A response on a reused connection that names no request may be a late copy of an earlier one.
func TestNotRunWithoutIDCountsOnNewConnectionsOnly(t *testing.T) {
	const refusal = "HTTP/1.1 503 Full\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
	_, u := startUpstream(t, func(_ int, c net.Conn, r *bufio.Reader) {
		if _, _, err := readRequest(r); err != nil {
			return
		}
		writeString(c, okResponse("1", "yes"))
		if _, _, err := readRequest(r); err == nil {
			writeString(c, refusal)
		}
	})
	client := newClient(t)
	response, err := client.Send(t.Context(), newAttempt(u, "1"))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := readBody(response); err != nil {
		t.Fatal(err)
	}
	_, err = client.Send(t.Context(), newAttempt(u, "2"))
	if attemptErr := asAttemptError(t, err); attemptErr.NotRun {
		t.Errorf("%+v", attemptErr)
	}
}

func TestConnectionWithBytesLeftOverIsNotPooled(t *testing.T) {
	_, u := startUpstream(t, func(_ int, c net.Conn, r *bufio.Reader) {
		if _, _, err := readRequest(r); err == nil {
			writeString(c, okResponse("1", "yes")+"HTTP")
		}
	})
	client := newClient(t)
	response, err := client.Send(t.Context(), newAttempt(u, "1"))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := readBody(response); err != nil {
		t.Fatal(err)
	}
	if pc := client.shard(u.Name).pop(u.Name); pc != nil {
		pc.abort()
		t.Error("a connection with unread bytes is in the pool")
	}
}
