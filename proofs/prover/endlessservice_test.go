package prover

import (
	"bufio"
	"context"
	"expvar"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/decisions/bufferlimiter"
	"github.com/quetzalroad/quetzalroad/kernel"
	"github.com/quetzalroad/quetzalroad/support/configloader"
	"github.com/quetzalroad/quetzalroad/support/recorder"
	"github.com/quetzalroad/quetzalroad/upstreams/serviceconnector"
)

// startEndlessServer responds to each request with a head and then a text again and again, pausing once it has
// written maxBytes, until the test ends.
func startEndlessServer(t *testing.T, head, text string, maxBytes int) quetzalroad.Upstream {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	block := []byte(strings.Repeat(text, max(1, (16<<10)/len(text))))
	serve := func(c net.Conn) {
		defer func() { _ = c.Close() }()
		if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
			return
		}
		_, err := io.WriteString(c, head)
		for n := 0; err == nil && n < maxBytes; n += len(block) {
			_, err = c.Write(block)
		}
		<-t.Context().Done()
	}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	return quetzalroad.Upstream{Name: "u", Address: netip.MustParseAddrPort(listener.Addr().String())}
}

// buildComponents builds components with their default settings, each with those before it.
func buildComponents(t *testing.T, components ...kernel.Component) {
	t.Helper()
	node := &kernel.Node{Logger: slog.New(slog.DiscardHandler), Vars: new(expvar.Map)}
	for _, c := range components {
		c.Declare(new(configloader.Section))
		if err := c.Build(node); err != nil {
			t.Fatal(err)
		}
	}
}

// checkPeakHeap runs a call several times at once and fails if the heap grows beyond what responses may take.
func checkPeakHeap(t *testing.T, calls int, timeout time.Duration, call func(ctx context.Context)) {
	t.Helper()
	runtime.GC()
	before, peak := heapBytes(), uint64(0)
	ctx, cancel := context.WithTimeout(t.Context(), timeout)
	defer cancel()
	var group sync.WaitGroup
	for range calls {
		group.Go(func() { call(ctx) })
	}
	for ctx.Err() == nil {
		time.Sleep(timeout / 100)
		peak = max(peak, heapBytes())
	}
	group.Wait()
	used := int64(peak) - int64(before)
	t.Logf("%d MB at the peak", used>>20)
	if used > maxResponseHeapBytes {
		t.Errorf("the heap grew by %d MB, want at most %d MB", used>>20, maxResponseHeapBytes>>20)
	}
}

// Some dozen endless responses of services took more memory than a node has.
func TestManyEndlessServiceResponsesDoNotUseUpTheMemory(t *testing.T) {
	const calls = 100
	u := startEndlessServer(t, "HTTP/1.1 200 OK\r\n\r\n", "x", 7<<20)
	connector := new(serviceconnector.Connector)
	buildComponents(t, new(bufferlimiter.Limiter), connector)
	checkPeakHeap(t, calls, 2*time.Second, func(ctx context.Context) {
		if _, err := connector.Call(ctx, u, &quetzalroad.ServiceRequest{Method: http.MethodGet, Path: "/"}); err == nil {
			t.Error("a response without end ended")
		}
	})
}

// What surrounds a body is bounded, too: each call ends long before its time is up.
func TestEndlessFramingEndsTheCall(t *testing.T) {
	const chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, c := range map[string]struct{ head, text string }{
		"bytes that are no response": {"", "x"},
		"header line":                {"HTTP/1.1 200 OK\r\nA: ", "x"},
		"header lines":               {"HTTP/1.1 200 OK\r\n", "A: b\r\n"},
		"informational responses":    {"", "HTTP/1.1 102 Processing\r\n\r\n"},
		"chunk size":                 {chunked, "0"},
		"chunk extension":            {chunked + "1;", "x"},
		"chunks with extensions":     {chunked, "1;" + strings.Repeat("x", 1000) + "\r\nx\r\n"},
		"trailer":                    {chunked + "0\r\n", "A: b\r\n"},
		"body":                       {"HTTP/1.1 200 OK\r\n\r\n", "x"},
		"body, length a lie":         {"HTTP/1.1 200 OK\r\nContent-Length: 9000000000000000000\r\n\r\n", "x"},
	} {
		t.Run(name, func(t *testing.T) {
			u := startEndlessServer(t, c.head, c.text, 1<<40)
			connector := new(serviceconnector.Connector)
			buildComponents(t, new(recorder.Recorder), new(bufferlimiter.Limiter), connector)
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			request := &quetzalroad.ServiceRequest{Method: http.MethodGet, Path: "/"}
			if _, err := connector.Call(ctx, u, request); err == nil || ctx.Err() != nil {
				t.Errorf("call: error %v, context %v", err, ctx.Err())
			}
			if _, err := connector.FetchLoadReport(ctx, u); err == nil || ctx.Err() != nil {
				t.Errorf("load report: error %v, context %v", err, ctx.Err())
			}
		})
	}
}
