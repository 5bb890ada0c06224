package prover

import (
	"context"
	"testing"
	"time"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/decisions/bufferlimiter"
	"github.com/quetzalroad/quetzalroad/upstreams/engineconnector"
)

// Some hundred events of engines without end took more memory than a node has.
func TestManyEndlessEngineEventsDoNotUseUpTheMemory(t *testing.T) {
	const (
		calls    = 300
		maxBytes = 900 << 10
	)
	for name, c := range map[string]struct{ head, text string }{
		"data":    {"200 OK\r\n\r\ndata: ", "x"},
		"lines":   {"200 OK\r\n\r\n", "data: x\n"},
		"comment": {"200 OK\r\n\r\n: ", "x"},
		"error":   {"400 Bad Request\r\n\r\n", "x"},
	} {
		t.Run(name, func(t *testing.T) {
			u := startEndlessServer(t, "HTTP/1.1 "+c.head, c.text, maxBytes)
			connector := new(engineconnector.Connector)
			buildComponents(t, new(bufferlimiter.Limiter), connector)
			checkPeakHeap(t, calls, 2*time.Second, func(ctx context.Context) {
				chat := &quetzalroad.ChatRequest{Body: []byte(`{"messages":[]}`)}
				stream, err := connector.Start(ctx, u, chat, nil)
				if err == nil {
					_, err = stream.Next()
					if err := stream.Close(); err != nil {
						t.Error(err)
					}
				}
				if err == nil {
					t.Error("a response without end ended")
				}
			})
		})
	}
}

// Sound streams of engines go on while others have used up the budget, and a stream ends with its request.
func TestCommentsWithoutEndTakeNoBuffers(t *testing.T) {
	u := startEndlessServer(t, "HTTP/1.1 200 OK\r\n\r\n", ": comment\n\n", 1<<30)
	connector := new(engineconnector.Connector)
	limiter := new(bufferlimiter.Limiter)
	buildComponents(t, limiter, connector)
	ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
	defer cancel()
	stream, err := connector.Start(ctx, u, &quetzalroad.ChatRequest{Body: []byte(`{"messages":[]}`)}, nil)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := stream.Next(); err == nil || ctx.Err() == nil {
		t.Errorf("error %v before the request's time was up", err)
	}
	if err := stream.Close(); err != nil {
		t.Error(err)
	}
}
