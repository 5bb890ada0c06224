package prover

import (
	"bufio"
	"context"
	"expvar"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"regexp"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/kernel"
	_ "github.com/quetzalroad/quetzalroad/platform/upstreammapper"
	"github.com/quetzalroad/quetzalroad/proofs/faker"
	_ "github.com/quetzalroad/quetzalroad/upstreams/forwardclient"
)

// streamLength is the number of events of each stream.
const streamLength = 4

// streamEvents returns the events from one id to another.
func streamEvents(from, to int) string {
	var b strings.Builder
	for id := from; id <= to; id++ {
		fmt.Fprintf(&b, "id: %d\ndata: piece %d\n\n", id, id)
	}
	return b.String()
}

// framing is how the end of a body is marked.
type framing string

const (
	framingLength   framing = "length"
	framingChunks   framing = "chunks"
	framingUnframed framing = "unframed"
)

var framings = []framing{framingLength, framingChunks, framingUnframed}

// sealLine is a server's signature in the head of a response.
const sealLine = "Response-Seal: s\r\n"

// encodeResponse returns a response to a request of a caller.
func encodeResponse(callerRequestID, contentType string, f framing, body string) string {
	head := "HTTP/1.1 200 OK\r\nConnection: close\r\nRequest-Attempt-Id: " + callerRequestID + "\r\n" + sealLine
	if contentType != "" {
		head += "Content-Type: " + contentType + "\r\n"
	}
	switch f {
	case framingLength:
		return head + "Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
	case framingChunks:
		head += "Transfer-Encoding: chunked\r\n\r\n"
		if body != "" {
			head += fmt.Sprintf("%x\r\n%s\r\n", len(body), body)
		}
		return head + "0\r\n\r\n"
	}
	return head + "\r\n" + body
}

// failureLogCounter counts the log lines on failed attempts.
type failureLogCounter struct {
	slog.Handler
	lines *atomic.Int64
}

func (failureLogCounter) Enabled(context.Context, slog.Level) bool { return true }

func (c failureLogCounter) WithAttrs([]slog.Attr) slog.Handler { return c }

func (c failureLogCounter) Handle(_ context.Context, r slog.Record) error {
	if r.Message == "attempt failed" {
		c.lines.Add(1)
	}
	return nil
}

// streamFixture is a node before upstreams on loopback that send whatever bytes a script returns.
type streamFixture struct {
	faker.KeyedLog
	node     *kernel.Node
	received atomic.Int32
	// loggedFailures counts the failed attempts that were logged.
	loggedFailures atomic.Int64
	// respond returns the bytes of a response, from the number of requests before it and the event to resume after.
	// It is set before each request.
	respond func(before int, request *http.Request, resumeAfter int) string
	// hold keeps connections open after the response until it is closed; nil closes them at once.
	hold chan struct{}
	// repeated follows each response without end; empty for nothing.
	repeated string
}

func newStreamFixture(t *testing.T) *streamFixture {
	t.Helper()
	x := new(streamFixture)
	node, err := faker.BuildForwardNode(slog.New(failureLogCounter{slog.DiscardHandler, &x.loggedFailures}), map[string]string{
		"forwards": `{"plugin": "relayer"}`, "upstream-fields": `{"plugin": "platform"}`,
		"retry": `{"share": 1, "reserve": 100000, "initial": 100000, "attempts": 3, "backoff": "0s", "hedge-after": 0}`,
	}, kernel.Override{Slot: kernel.SlotKeyedLog, Component: &x.KeyedLog})
	if err != nil {
		t.Fatal(err)
	}
	x.node = node
	x.KeyedLog.Put(quetzalroad.LogStreamOperators, "config", quetzalroad.PublishedState{
		Version: 1, Services: []quetzalroad.Service{{Name: "service", Kind: quetzalroad.ServiceKindPlain}},
	})
	for i := range 3 {
		x.startUpstream(t, fmt.Sprintf("upstream-%d", i))
	}
	node.Start()
	t.Cleanup(func() {
		node.Kill()
		if err := node.Wait(); err != nil {
			t.Error(err)
		}
	})
	for node.Ready() != nil || len(node.CapacityEstimator.Candidates(time.Now(), "service", nil)) < 3 {
		time.Sleep(time.Millisecond)
	}
	return x
}

// countedFailures returns how many attempts failed, by reason.
func (x *streamFixture) countedFailures() int64 {
	var sum int64
	x.node.Vars.Get("failed-attempts").(*expvar.Map).Do(func(reason expvar.KeyValue) {
		sum += reason.Value.(*expvar.Int).Value()
	})
	return sum
}

func (x *streamFixture) startUpstream(t *testing.T, id string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go x.serve(c)
		}
	}()
	x.KeyedLog.Put(quetzalroad.LogStreamUpstreams, id, quetzalroad.UpstreamRegistration{Upstream: quetzalroad.Upstream{
		Service: "service", Address: netip.MustParseAddrPort(listener.Addr().String()), DataCentre: "west-1", InstanceID: id, MaxConcurrency: 8,
	}})
}

func (x *streamFixture) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	request, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	resumeAfter, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
	response := strings.NewReader(x.respond(int(x.received.Add(1))-1, request, resumeAfter))
	// Small parts, so that this side keeps no copy of a large response. The node may have closed the connection.
	_, _ = io.CopyBuffer(struct{ io.Writer }{c}, struct{ io.Reader }{response}, make([]byte, 1<<10))
	for x.repeated != "" {
		if _, err := io.WriteString(c, x.repeated); err != nil {
			return
		}
	}
	if x.hold != nil {
		<-x.hold
	}
}

// forward sends a request for a stream and returns what the caller got, and the refusal, if any.
func (x *streamFixture) forward(t *testing.T, resumable bool, lastEventID int64) (string, *quetzalroad.Refusal) {
	t.Helper()
	return x.send(t, newStreamRequest(resumable, lastEventID))
}

// newStreamRequest returns a request for a stream, or for the rest of one after lastEventID.
func newStreamRequest(resumable bool, lastEventID int64) *quetzalroad.ForwardRequest {
	f := &quetzalroad.ForwardRequest{CallerRequestID: "caller-1", Method: http.MethodPost, RequestTarget: "/x/", Host: "h", Header: http.Header{"Request-Attempt-Id": {"caller-1"}}, LastEventID: lastEventID}
	f.ID, f.Arrived = "caller-1", time.Now()
	f.Route = quetzalroad.Route{
		Name: "route", MaxExecutions: 3, Streaming: true, Resumable: resumable, TrafficSplit: []quetzalroad.WeightedService{{Service: "service", Weight: 1}},
		Profile: quetzalroad.Profile{Name: "route", Class: "class", FirstTokenTarget: time.Second, Timeout: 5 * time.Second, Interactive: true, Idempotent: resumable},
	}
	f.Profile, f.Idempotent = f.Route.Profile, resumable
	return f
}

// send sends a request and returns the body that the caller got, and the refusal, if any.
func (x *streamFixture) send(t *testing.T, f *quetzalroad.ForwardRequest) (string, *quetzalroad.Refusal) {
	t.Helper()
	x.received.Store(0)
	sink := new(faker.ForwardSink)
	var refusal *quetzalroad.Refusal
	if err := x.node.Forwarder.Forward(t.Context(), f, sink); err != nil && !errors.As(err, &refusal) {
		t.Fatal(err)
	}
	return string(sink.Body), refusal
}

// noEvents are bytes that are no event of any stream, each with its place after the event before.
var noEvents = map[string]string{
	"text":                          "service unavailable\n\n",
	"text without an end":           "service unavailable",
	"lines":                         "panic: runtime error\ngoroutine 1 [running]:\n\n",
	"markup":                        "<html><body>Bad Gateway</body></html>\r\n\r\n",
	"JSON":                          `{"error": {"message": "overloaded"}}` + "\n\n",
	"another response":              "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 2\r\n\r\nno",
	"binary":                        "\x16\x03\x01\x00*\x02\x00\x00\n\n",
	"bytes that are no UTF-8":       "\xff\xfe\xfd\n\n",
	"data without an id":            "data: piece of another stream\n\n",
	"an error event":                "event: error\ndata: overloaded\n\n",
	"a field alone":                 "weight-versions: 3\n\n",
	"an empty id":                   "id:\ndata: x\n\n",
	"an id without a value":         "id\ndata: x\n\n",
	"an id that is no number":       "id: abc\ndata: x\n\n",
	"a negative id":                 "id: -1\ndata: x\n\n",
	"a fractional id":               "id: 1.5\ndata: x\n\n",
	"an id of nought":               "id: 0\ndata: x\n\n",
	"an id beyond any integer":      "id: 99999999999999999999999\ndata: x\n\n",
	"an id far ahead":               "id: 4000\ndata: x\n\n",
	"two ids":                       "id: 1\nid: 2\nid: 3\nid: 4\nid: 5\ndata: x\n\n",
	"an event's begin and an event": "id: 1\nda\nid: 2\ndata: x\n\n",
}

// places maps where the bytes stand to the number of events before them and whether events follow.
var places = map[string]struct {
	before int
	follow bool
}{
	"in place of all events":     {0, false},
	"before the first event":     {0, true},
	"between two events":         {2, true},
	"in place of the last event": {streamLength - 1, false},
	"after the last event":       {streamLength, false},
}

var wholeEvents = regexp.MustCompile(`^(id: \d+\ndata: piece \d+\n\n)*$`)

// garbledStream is a stream in which some bytes are no event, in a response that begins a stream or resumes one.
type garbledStream struct {
	bytes, place, contentType string
	framing                   framing
	resumeAfter               int
	resumable                 bool
}

// garbledStreams returns a stream for each of noEvents, at each place, of each type and framing.
func garbledStreams() []garbledStream {
	var streams []garbledStream
	for place := range places {
		for name := range noEvents {
			for _, contentType := range []string{"text/event-stream", "text/plain", ""} {
				for _, f := range framings {
					for _, resumable := range []bool{true, false} {
						streams = append(streams,
							garbledStream{name, place, contentType, f, 0, resumable},
							garbledStream{name, place, contentType, f, 20, resumable})
					}
				}
			}
		}
	}
	return streams
}

// last is the id of the stream's last event.
func (s garbledStream) last() int { return s.resumeAfter + streamLength }

// respond returns the garbled response to the first request, and a sound one to the others.
func (s garbledStream) respond(before int, request *http.Request, resumeAfter int) string {
	id := request.Header.Get("Request-Attempt-Id")
	if before > 0 {
		return encodeResponse(id, "text/event-stream", framingChunks, streamEvents(resumeAfter+1, s.last()))
	}
	place := places[s.place]
	body := streamEvents(resumeAfter+1, resumeAfter+place.before) + noEvents[s.bytes]
	if place.follow {
		body += streamEvents(resumeAfter+place.before+1, s.last())
	}
	return encodeResponse(id, s.contentType, s.framing, body)
}

// Garbage in a stream was passed on to callers as a piece, or made a stream look complete.
func TestBytesThatAreNoEventReachNoCaller(t *testing.T) {
	x := newStreamFixture(t)
	for _, s := range garbledStreams() {
		x.respond = s.respond
		failures := x.countedFailures()
		got, refusal := x.forward(t, s.resumable, int64(s.resumeAfter))
		whole := streamEvents(s.resumeAfter+1, s.last())
		if !strings.HasPrefix(whole, got) || !wholeEvents.MatchString(got) {
			t.Errorf("%+v: the caller got %q", s, got)
		}
		if refusal == nil && got != whole {
			t.Errorf("%+v: the response ended as complete after %q", s, got)
		}
		if s.resumable && refusal != nil {
			t.Errorf("%+v: refused with %v though other upstreams are sound", s, refusal)
		}
		if counted, logged := x.countedFailures(), x.loggedFailures.Load(); counted <= failures || logged != counted {
			t.Errorf("%+v: %d failed attempts counted and %d logged, %d before", s, counted, logged, failures)
		}
	}
}

// soundForms are streams in the forms that the format allows, each with streamLength events.
var soundForms = map[string]string{
	"line feeds":             streamEvents(1, streamLength),
	"carriage returns":       strings.ReplaceAll(streamEvents(1, streamLength), "\n", "\r"),
	"both":                   strings.ReplaceAll(streamEvents(1, streamLength), "\n", "\r\n"),
	"no space":               strings.ReplaceAll(streamEvents(1, streamLength), ": ", ":"),
	"comments":               ": begin\n\n" + strings.ReplaceAll(streamEvents(1, streamLength), "id:", ": keep-alive\n\n: more\nid:") + ": end\n\n",
	"a comment at the end":   streamEvents(1, streamLength) + ": end\n",
	"empty lines":            "\n\n" + strings.ReplaceAll(streamEvents(1, streamLength), "\n\n", "\n\n\n\n"),
	"a byte order mark":      "\ufeff" + streamEvents(1, streamLength),
	"weights and names":      strings.ReplaceAll(streamEvents(1, streamLength), "id:", "weight-versions: 3\nevent: piece\nretry: 100\nid:"),
	"the id behind the data": "data: a\nid: 1\n\ndata: b\nid: 2\n\ndata: c\ndata: d\nid: 3\n\nid: 4\ndata\n\n",
	"ids alone":              "id: 1\n\nid: 2\n\nid: 3\n\nid: 4\n\n",
	"other alphabets":        strings.ReplaceAll(streamEvents(1, streamLength), "piece", "Stück 片"),
}

// ids are the ids in the events of a stream.
var ids = regexp.MustCompile(`(?m)^[\x{feff}]?id: ?(\d+)`)

func TestSoundStreamsOfEveryFormAreForwarded(t *testing.T) {
	x := newStreamFixture(t)
	for name, body := range soundForms {
		for _, contentType := range []string{"text/event-stream", "Text/Event-Stream; charset=utf-8", "text/plain", ""} {
			for _, framing := range framings {
				x.respond = func(_ int, r *http.Request, _ int) string {
					return encodeResponse(r.Header.Get("Request-Attempt-Id"), contentType, framing, body)
				}
				got, refusal := x.forward(t, false, 0)
				if refusal != nil {
					t.Errorf("%s, type %q, %s: %v", name, contentType, framing, refusal)
					continue
				}
				var gotIDs []string
				for _, match := range ids.FindAllStringSubmatch(strings.ReplaceAll(got, "\r", "\n"), -1) {
					gotIDs = append(gotIDs, match[1])
				}
				if diff := cmp.Diff([]string{"1", "2", "3", "4"}, gotIDs); diff != "" {
					t.Errorf("%s, type %q, %s: %q (-want +got):\n%s", name, contentType, framing, got, diff)
				}
			}
		}
	}
}
