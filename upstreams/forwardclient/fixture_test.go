package forwardclient

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/kernel"
	"github.com/quetzalroad/quetzalroad/support/configloader"
)

// fakeCodec is a codec with header names of its own.
type fakeCodec struct{}

func (fakeCodec) Encode(h http.Header, a *quetzalroad.Attempt) {
	h.Set("Id", a.Request.CallerRequestID)
	if a.Timeout > 0 {
		h.Set("Left", "some")
	}
}

func (fakeCodec) Decode(_ time.Time, _ int, h http.Header) quetzalroad.ResponseMetadata {
	return quetzalroad.ResponseMetadata{CallerRequestID: h.Get("Id"), NotRun: h.Get("Not-Run") != ""}
}

func (fakeCodec) DecodeEvent(block []byte) (quetzalroad.StreamEvent, error) {
	if strings.HasPrefix(string(block), ":") {
		return quetzalroad.StreamEvent{IsComment: true}, nil
	}
	if len(block) < 4 || !strings.HasPrefix(string(block), "id:") {
		return quetzalroad.StreamEvent{}, errors.New("no event")
	}
	return quetzalroad.StreamEvent{ID: int64(block[3] - '0')}, nil
}

// fakeUpstream is an upstream that runs a script on each connection.
type fakeUpstream struct {
	listener net.Listener
	// mu guards accepted, the number of connections.
	mu       sync.Mutex
	accepted int
	wg       sync.WaitGroup
}

// startUpstream runs a script on each connection until the test ends.
func startUpstream(t *testing.T, script func(connIndex int, c net.Conn, r *bufio.Reader)) (*fakeUpstream, quetzalroad.Upstream) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &fakeUpstream{listener: listener}
	s.wg.Go(func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			connIndex := s.accepted
			s.accepted++
			s.mu.Unlock()
			s.wg.Go(func() {
				defer func() { _ = c.Close() }()
				script(connIndex, c, bufio.NewReader(c))
			})
		}
	})
	t.Cleanup(func() {
		_ = listener.Close()
		s.wg.Wait()
	})
	return s, quetzalroad.Upstream{Name: "u", Address: netip.MustParseAddrPort(listener.Addr().String())}
}

func (s *fakeUpstream) connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.accepted
}

func newClient(t *testing.T) *Client {
	t.Helper()
	client := new(Client)
	client.Declare(new(configloader.Section))
	if err := client.Build(&kernel.Node{UpstreamCodec: fakeCodec{}}); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		for i := range client.shards {
			for _, pc := range client.shards[i].evict(time.Now().Add(time.Hour), 0, 0) {
				pc.abort()
			}
		}
	})
	return client
}

func newAttempt(u quetzalroad.Upstream, id string) *quetzalroad.Attempt {
	request := &quetzalroad.ForwardRequest{CallerRequestID: id, Method: http.MethodPost, RequestTarget: "/p?q=1", Host: "h.example", Header: http.Header{"X": {"1"}}, Body: quetzalroad.Body{[]byte("body")}}
	request.Idempotent = true
	return &quetzalroad.Attempt{Upstream: u, Request: request}
}

// readRequest reads one request with its body.
func readRequest(r *bufio.Reader) (*http.Request, string, error) {
	request, err := http.ReadRequest(r)
	if err != nil {
		return nil, "", err
	}
	body, err := io.ReadAll(request.Body)
	return request, string(body), err
}

func writeString(c net.Conn, text string) {
	// The client may have closed the connection; the test checks the client's result.
	_, _ = io.WriteString(c, text)
}

func okResponse(id, body string) string {
	return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: " + string(rune('0'+len(body))) + "\r\n\r\n" + body
}

// readBody reads a response to its end and closes it.
func readBody(response quetzalroad.ForwardResponse) (string, error) {
	defer response.Close()
	var all []byte
	for {
		chunk, err := response.Next()
		all = append(all, chunk.Data...)
		if errors.Is(err, io.EOF) {
			return string(all), nil
		}
		if err != nil {
			return string(all), err
		}
	}
}

func asAttemptError(t *testing.T, err error) *quetzalroad.AttemptError {
	t.Helper()
	var attemptErr *quetzalroad.AttemptError
	if !errors.As(err, &attemptErr) {
		t.Fatalf("error %v, want an AttemptError", err)
	}
	return attemptErr
}
