package dispatcher_test

import (
	"context"
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/kernel"
	"github.com/quetzalroad/quetzalroad/proofs/faker"
	"github.com/quetzalroad/quetzalroad/support/configloader"
)

// BenchmarkForward measures all decisions of one forwarded request, from admission to its end, with
// upstreams that respond at once.
func BenchmarkForward(b *testing.B) {
	x := new(forwardFixture)
	node, err := faker.BuildForwardNode(slog.New(slog.DiscardHandler), nil,
		kernel.Override{Slot: kernel.SlotKeyedLog, Component: &x.KeyedLog}, kernel.Override{Slot: kernel.SlotForwardClient, Component: discardingClient{}})
	if err != nil {
		b.Fatal(err)
	}
	x.KeyedLog.Put(quetzalroad.LogStreamOperators, "config", publishedState(1, testKey))
	for i, id := range testUpstreams {
		x.KeyedLog.Put(quetzalroad.LogStreamUpstreams, id, upstreamRegistration(id, i, 1, false))
	}
	node.Start()
	defer node.Kill()
	for len(node.Directory.Upstreams()) == 0 || node.Freshness.Version() == 0 {
		time.Sleep(time.Millisecond)
	}
	requests := make([]*quetzalroad.ForwardRequest, 64)
	for i := range requests {
		requests[i] = newForwardRequest("safe")
		requests[i].Arrived = time.Now().Add(time.Hour)
		for _, id := range []string{"common", fmt.Sprintf("subject-%d", i%8), fmt.Sprintf("own-%d", i)} {
			requests[i].PromptSegments = append(requests[i].PromptSegments, quetzalroad.PromptSegment{ID: id, Tokens: 500})
		}
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		if err := node.Forwarder.Forward(context.Background(), requests[i%len(requests)], new(faker.ForwardSink)); err != nil {
			b.Fatal(err)
		}
	}
}

// discardingClient responds to each request at once, and keeps nothing.
type discardingClient struct{}

// Declare implements kernel.Component.
func (discardingClient) Declare(*configloader.Section) {}

// Build implements kernel.Component.
func (c discardingClient) Build(n *kernel.Node) error {
	n.ForwardClient = c
	return nil
}

// Send implements quetzalroad.ForwardClient.
func (discardingClient) Send(_ context.Context, a *quetzalroad.Attempt) (quetzalroad.ForwardResponse, error) {
	if err := a.BeforeSend(); err != nil {
		return nil, err
	}
	return new(faker.ScriptedResponse), nil
}
