package engineconnector

import (
	"bufio"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/kernel"
	"github.com/quetzalroad/quetzalroad/support/configloader"
)

// startEngine responds to every request with a stream that ends with its connection.
func startEngine(t *testing.T, body string) quetzalroad.Upstream {
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
			if request, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				// The test checks what the client makes of the response.
				_, _ = io.Copy(io.Discard, request.Body)
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"+body)
			}
			_ = c.Close()
		}
	}()
	return quetzalroad.Upstream{Name: "u", Address: netip.MustParseAddrPort(listener.Addr().String())}
}

func TestUnframedStreamIsCompleteOnlyAfterItsLastEvent(t *testing.T) {
	const chunk = `data: {"choices":[{"index":0,"delta":{"content":"x"}}]}`
	for name, c := range map[string]struct {
		body     string
		complete bool
	}{
		"complete":                       {chunk + "\n\ndata: [DONE]\n\n", true},
		"ends between two events":        {chunk + "\n\n", false},
		"ends inside an event":           {chunk, false},
		"ends inside the last event":     {chunk + "\n\ndata: [DONE]", false},
		"ends before the first event":    {"", false},
		"ends inside a line of an event": {chunk[:20], false},
	} {
		t.Run(name, func(t *testing.T) {
			connector := new(Connector)
			connector.Declare(new(configloader.Section))
			if err := connector.Build(&kernel.Node{Logger: slog.New(slog.DiscardHandler)}); err != nil {
				t.Fatal(err)
			}
			defer connector.client.Close()
			stream, err := connector.Start(t.Context(), startEngine(t, c.body), &quetzalroad.ChatRequest{Body: []byte(`{"messages":[]}`)}, nil)
			if err != nil {
				t.Fatal(err)
			}
			for err == nil {
				_, err = stream.Next()
			}
			if errors.Is(err, io.EOF) != c.complete {
				t.Errorf("ended with %v, want complete %v", err, c.complete)
			}
			if err := stream.Close(); err != nil {
				t.Error(err)
			}
		})
	}
}
