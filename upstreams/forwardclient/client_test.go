package forwardclient

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/kernel"
	"github.com/quetzalroad/quetzalroad/support/configloader"
)

// words is a codec with names of its own.
type words struct{}

func (words) Encode(h http.Header, a *quetzalroad.Attempt) {
	h.Set("Id", a.Request.CallerRequestID)
	if a.Timeout > 0 {
		h.Set("Left", "some")
	}
}

func (words) Decode(_ time.Time, _ int, h http.Header) quetzalroad.ResponseMetadata {
	return quetzalroad.ResponseMetadata{CallerRequestID: h.Get("Id"), NotRun: h.Get("Not-Run") != ""}
}

func (words) EventID(event []byte) (int64, bool) {
	if len(event) < 4 || !strings.HasPrefix(string(event), "id:") {
		return 0, false
	}
	return int64(event[3] - '0'), true
}

// backEnd is an upstream whose connections follow a script each.
type backEnd struct {
	listener net.Listener
	// dialled counts the connections.
	mu      sync.Mutex
	dialled int
	group   sync.WaitGroup
}

// start serves connections with a script until the test ends.
func start(t *testing.T, script func(number int, c net.Conn, r *bufio.Reader)) (*backEnd, quetzalroad.Upstream) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	b := &backEnd{listener: listener}
	b.group.Go(func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			b.mu.Lock()
			number := b.dialled
			b.dialled++
			b.mu.Unlock()
			b.group.Go(func() {
				defer func() { _ = c.Close() }()
				script(number, c, bufio.NewReader(c))
			})
		}
	})
	t.Cleanup(func() {
		_ = listener.Close()
		b.group.Wait()
	})
	return b, quetzalroad.Upstream{Name: "u", Address: netip.MustParseAddrPort(listener.Addr().String())}
}

func (b *backEnd) connections() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.dialled
}

func newRelayer(t *testing.T) *Relayer {
	t.Helper()
	r := new(Relayer)
	r.Declare(new(configloader.Section))
	if err := r.Build(&kernel.Node{UpstreamCodec: words{}}); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		for i := range r.shards {
			for _, c := range r.shards[i].expire(time.Now().Add(time.Hour), 0, 0) {
				c.abort()
			}
		}
	})
	return r
}

func attempt(u quetzalroad.Upstream, id string) *quetzalroad.Attempt {
	f := &quetzalroad.ForwardRequest{CallerRequestID: id, Method: http.MethodPost, RequestTarget: "/p?q=1", Host: "h.example", Header: http.Header{"X": {"1"}}, Body: []byte("body")}
	f.Idempotent = true
	return &quetzalroad.Attempt{Upstream: u, Request: f}
}

// readRequest reads one request whole.
func readRequest(r *bufio.Reader) (*http.Request, string, error) {
	q, err := http.ReadRequest(r)
	if err != nil {
		return nil, "", err
	}
	body, err := io.ReadAll(q.Body)
	return q, string(body), err
}

func write(c net.Conn, text string) {
	// What the other end closed can't be told any more.
	_, _ = io.WriteString(c, text)
}

func ok(id, body string) string {
	return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: " + string(rune('0'+len(body))) + "\r\n\r\n" + body
}

// drainAnswer reads an answer to its end.
func drainAnswer(a quetzalroad.ForwardResponse) (string, error) {
	defer a.Close()
	var all []byte
	for {
		p, err := a.Next()
		all = append(all, p.Data...)
		if errors.Is(err, io.EOF) {
			return string(all), nil
		}
		if err != nil {
			return string(all), err
		}
	}
}

func failure(t *testing.T, err error) *quetzalroad.AttemptError {
	t.Helper()
	var failed *quetzalroad.AttemptError
	if !errors.As(err, &failed) {
		t.Fatalf("error %v, want an attempt's", err)
	}
	return failed
}

func TestARequestGoesOutAsItCame(t *testing.T) {
	type seen struct{ Method, Target, Host, X, Body string }
	got := make(chan seen, 1)
	_, u := start(t, func(_ int, c net.Conn, r *bufio.Reader) {
		q, body, err := readRequest(r)
		if err != nil {
			return
		}
		got <- seen{q.Method, q.RequestURI, q.Host, q.Header.Get("X"), body}
		write(c, ok("1", "yes"))
	})
	answer, err := newRelayer(t).Send(t.Context(), attempt(u, "1"))
	if err != nil {
		t.Fatal(err)
	}
	if body, err := drainAnswer(answer); err != nil || body != "yes" {
		t.Errorf("answer %q, %v", body, err)
	}
	if diff := cmp.Diff(seen{"POST", "/p?q=1", "h.example", "1", "body"}, <-got); diff != "" {
		t.Errorf("the request changed (-want +got):\n%s", diff)
	}
}

func TestAnAnswerToAnotherRequestIsPassedOver(t *testing.T) {
	_, u := start(t, func(_ int, c net.Conn, r *bufio.Reader) {
		if _, _, err := readRequest(r); err == nil {
			write(c, ok("0", "old")+ok("1", "own"))
		}
	})
	answer, err := newRelayer(t).Send(t.Context(), attempt(u, "1"))
	if err != nil {
		t.Fatal(err)
	}
	if body, err := drainAnswer(answer); err != nil || body != "own" {
		t.Errorf("answer %q, %v", body, err)
	}
}

func TestOnlyAnswersToOtherRequestsLeaveTheOutcomeOpen(t *testing.T) {
	_, u := start(t, func(_ int, c net.Conn, r *bufio.Reader) {
		if _, _, err := readRequest(r); err == nil {
			write(c, strings.Repeat(ok("0", "old"), maxForeign+1))
		}
	})
	_, err := newRelayer(t).Send(t.Context(), attempt(u, "1"))
	if failed := failure(t, err); failed.NotRun || failed.RetryReason != quetzalroad.RetryMismatchedResponse {
		t.Errorf("%+v", failed)
	}
}

func TestTheUpstreamsWordAndAFailedDialMeanNotRun(t *testing.T) {
	_, u := start(t, func(_ int, c net.Conn, r *bufio.Reader) {
		if _, _, err := readRequest(r); err == nil {
			write(c, "HTTP/1.1 503 Full\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n")
		}
	})
	r := newRelayer(t)
	_, err := r.Send(t.Context(), attempt(u, "1"))
	if failed := failure(t, err); !failed.NotRun || failed.RetryReason != quetzalroad.RetryNotRun {
		t.Errorf("%+v", failed)
	}
	gone, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	u.Address = netip.MustParseAddrPort(gone.Addr().String())
	u.Name = "gone"
	if err := gone.Close(); err != nil {
		t.Fatal(err)
	}
	_, err = r.Send(t.Context(), attempt(u, "2"))
	if failed := failure(t, err); !failed.NotRun || failed.RetryReason != quetzalroad.RetryDialFailed {
		t.Errorf("%+v", failed)
	}
}

func TestAClosedConnectionLeavesTheOutcomeOpen(t *testing.T) {
	_, u := start(t, func(_ int, _ net.Conn, r *bufio.Reader) {
		_, _, _ = readRequest(r)
	})
	_, err := newRelayer(t).Send(t.Context(), attempt(u, "1"))
	if failed := failure(t, err); failed.NotRun {
		t.Errorf("%+v: a request that was sent is said not to have run", failed)
	}
}

func TestWhatIsNotAllowedIsNotSent(t *testing.T) {
	b, u := start(t, func(_ int, _ net.Conn, r *bufio.Reader) {
		if _, _, err := readRequest(r); err == nil {
			t.Error("a request arrived that was not allowed")
		}
	})
	a := attempt(u, "1")
	a.BeforeSend = func() error { return errors.New("no more") }
	_, err := newRelayer(t).Send(t.Context(), a)
	if failed := failure(t, err); !failed.NotRun {
		t.Errorf("%+v", failed)
	}
	_ = b
}

func TestAConnectionIsUsedAgainOnlyWhereNothingIsInDoubt(t *testing.T) {
	for name, c := range map[string]struct {
		answer string
		kept   bool
	}{
		"whole":        {ok("1", "yes"), true},
		"closing":      {"HTTP/1.1 200 OK\r\nId: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", false},
		"more follows": {ok("1", "yes") + "HTTP", false},
	} {
		t.Run(name, func(t *testing.T) {
			b, u := start(t, func(_ int, conn net.Conn, r *bufio.Reader) {
				for {
					if _, _, err := readRequest(r); err != nil {
						return
					}
					write(conn, c.answer)
				}
			})
			r := newRelayer(t)
			for range 2 {
				answer, err := r.Send(t.Context(), attempt(u, "1"))
				if err != nil {
					t.Fatal(err)
				}
				if _, err := drainAnswer(answer); err != nil {
					t.Fatal(err)
				}
			}
			if got := b.connections() == 1; got != c.kept {
				t.Errorf("%d connections for two requests", b.connections())
			}
		})
	}
}

func TestAKeptConnectionWithUnreadBytesIsNotUsed(t *testing.T) {
	said := make(chan struct{})
	b, u := start(t, func(number int, c net.Conn, r *bufio.Reader) {
		for {
			if _, _, err := readRequest(r); err != nil {
				return
			}
			write(c, ok("1", "yes"))
			if number == 0 {
				<-said
				write(c, ok("1", "two"))
				said <- struct{}{}
			}
		}
	})
	r := newRelayer(t)
	first, err := r.Send(t.Context(), attempt(u, "1"))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := drainAnswer(first); err != nil {
		t.Fatal(err)
	}
	said <- struct{}{}
	<-said
	// The bytes are in the kernel once the connection is no longer clean.
	shard := r.shard(u.Name)
	kept := shard.pop(u.Name)
	for kept.clean() {
		time.Sleep(time.Millisecond)
	}
	shard.push(u.Name, kept)
	second, err := r.Send(t.Context(), attempt(u, "1"))
	if err != nil {
		t.Fatal(err)
	}
	if body, err := drainAnswer(second); err != nil || body != "yes" {
		t.Errorf("answer %q, %v", body, err)
	}
	if got := b.connections(); got != 2 {
		t.Errorf("%d connections, want a new one for the second request", got)
	}
}

func TestAnEarlyAnswerToALongBodyIsTakenAndTheConnectionDropped(t *testing.T) {
	release := make(chan struct{})
	b, u := start(t, func(number int, c net.Conn, r *bufio.Reader) {
		if _, err := r.ReadString('\n'); err != nil {
			return
		}
		write(c, ok("1", "no"))
		if number == 0 {
			<-release
		}
	})
	r := newRelayer(t)
	a := attempt(u, "1")
	a.Request.Body = make([]byte, 32<<20)
	answer, err := r.Send(t.Context(), a)
	if err != nil {
		t.Fatal(err)
	}
	if body, err := drainAnswer(answer); err != nil || body != "no" {
		t.Errorf("answer %q, %v", body, err)
	}
	close(release)
	if answer, err = r.Send(t.Context(), attempt(u, "1")); err != nil {
		t.Fatal(err)
	}
	if _, err := drainAnswer(answer); err != nil {
		t.Error(err)
	}
	if got := b.connections(); got != 2 {
		t.Errorf("%d connections, want the first one dropped", got)
	}
}

func TestAnAnswerWithoutLengthIsWholeOnlyAtAnOrderlyEnd(t *testing.T) {
	for name, orderly := range map[string]bool{"closed": true, "reset": false} {
		t.Run(name, func(t *testing.T) {
			_, u := start(t, func(_ int, c net.Conn, r *bufio.Reader) {
				if _, _, err := readRequest(r); err != nil {
					return
				}
				write(c, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\npart")
				if !orderly {
					// Whoever reads must have the part before the reset.
					time.Sleep(20 * time.Millisecond)
					if err := c.(*net.TCPConn).SetLinger(0); err != nil {
						t.Error(err)
					}
				}
			})
			answer, err := newRelayer(t).Send(t.Context(), attempt(u, "1"))
			if err != nil {
				t.Fatal(err)
			}
			if _, err := drainAnswer(answer); (err == nil) != orderly {
				t.Errorf("error %v", err)
			}
		})
	}
}

func TestOnlyWholeEventsAreHandedOn(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	chunk := func(s string) string { return string(rune('0'+len(s))) + "\r\n" + s + "\r\n" }
	_, u := start(t, func(_ int, c net.Conn, r *bufio.Reader) {
		if _, _, err := readRequest(r); err == nil {
			write(c, head+chunk("id:1\n\ni")+chunk("d:2\n\n")+chunk("id:3\n"))
		}
	})
	answer, err := newRelayer(t).Send(t.Context(), attempt(u, "1"))
	if err != nil {
		t.Fatal(err)
	}
	defer answer.Close()
	if !answer.Head().EventStream {
		t.Error("the answer is not taken for a stream of events")
	}
	for want := int64(1); want <= 2; want++ {
		p, err := answer.Next()
		if err != nil || p.EventID != want {
			t.Fatalf("event %d, %v; want %d", p.EventID, err, want)
		}
	}
	if p, err := answer.Next(); err == nil || errors.Is(err, io.EOF) || len(p.Data) > 0 {
		t.Errorf("piece %q, %v after a cut inside an event", p.Data, err)
	}
}

func TestAnOrderlyEndInsideAnEventCutsIt(t *testing.T) {
	r := eventReader{source: strings.NewReader("id:1\n\nid:2\n"), codec: words{}}
	if p, err := r.next(); err != nil || p.EventID != 1 {
		t.Fatalf("event %d, %v", p.EventID, err)
	}
	if _, err := r.next(); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("error %v, want a cut", err)
	}
}

func TestWhatCanNotBeRepeatedTakesNoOldConnection(t *testing.T) {
	b, u := start(t, func(_ int, c net.Conn, r *bufio.Reader) {
		for {
			if _, _, err := readRequest(r); err != nil {
				return
			}
			write(c, ok("1", "yes"))
		}
	})
	r := newRelayer(t)
	r.onceIdle = 0
	for i, idempotent := range []bool{true, true, false} {
		a := attempt(u, "1")
		a.Request.Idempotent = idempotent
		answer, err := r.Send(t.Context(), a)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := drainAnswer(answer); err != nil {
			t.Fatal(err)
		}
		if want := []int{1, 1, 2}[i]; b.connections() != want {
			t.Errorf("%d connections after request %d, want %d", b.connections(), i, want)
		}
	}
}

func TestACallerThatLeavesClosesTheConnectionBehindItsRequest(t *testing.T) {
	closed := make(chan error, 1)
	arrived := make(chan struct{})
	_, u := start(t, func(_ int, _ net.Conn, r *bufio.Reader) {
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
	if _, err := newRelayer(t).Send(ctx, attempt(u, "1")); err == nil {
		t.Error("an answer came")
	}
	if err := <-closed; err == nil {
		t.Error("the upstream's connection is still open")
	}
}

func FuzzEvents(f *testing.F) {
	f.Add([]byte("id:1\n\nid:2\r\n\r\n"), 3)
	f.Add([]byte("id:1\n\r\n\n\n"), 1)
	f.Fuzz(func(t *testing.T, data []byte, step int) {
		r := eventReader{source: &stepReader{data: data, step: max(1, step%16)}, codec: words{}}
		var all []byte
		for {
			p, err := r.next()
			if err != nil {
				break
			}
			if len(p.Data) == 0 {
				t.Fatal("an empty event")
			}
			all = append(all, p.Data...)
		}
		if !strings.HasPrefix(string(data), string(all)) {
			t.Errorf("%q is not the beginning of %q", all, data)
		}
	})
}

// stepReader hands out a few bytes at a time.
type stepReader struct {
	data []byte
	step int
}

// Read implements io.Reader.
func (r *stepReader) Read(p []byte) (int, error) {
	if len(r.data) == 0 {
		return 0, io.EOF
	}
	n := copy(p[:min(len(p), r.step)], r.data)
	r.data = r.data[n:]
	return n, nil
}
