package dispatcher_test

import (
	"context"
	"io"
	"log/slog"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/kernel"
	"github.com/quetzalroad/quetzalroad/proofs/faker"
	"github.com/quetzalroad/quetzalroad/support/configloader"
)

// scriptedEngine is a client of engines that send a number of equal events and then nothing more, or the end.
type scriptedEngine struct {
	event  quetzalroad.ChatEvent
	events int
	// stalls keeps a stream open after its events.
	stalls bool
	// budget is that of the node; nil leaves the default.
	budget quetzalroad.BufferBudget
	// read counts the events that were read of all streams.
	read int
}

func (*scriptedEngine) Declare(*configloader.Section) {}

func (e *scriptedEngine) Build(n *kernel.Node) error {
	n.ChatClient = e
	if e.budget != nil {
		n.BufferBudget = e.budget
	}
	return nil
}

func (e *scriptedEngine) Start(ctx context.Context, _ quetzalroad.Upstream, _ *quetzalroad.ChatRequest, _ *quetzalroad.ResumePoint) (quetzalroad.ChatStream, error) {
	return &scriptedStream{engine: e, ctx: ctx, left: e.events}, nil
}

func (*scriptedEngine) FetchLoadReport(context.Context, quetzalroad.Upstream) (quetzalroad.LoadReport, error) {
	return quetzalroad.LoadReport{}, errors.New("no report")
}

type scriptedStream struct {
	engine *scriptedEngine
	ctx    context.Context
	left   int
}

func (s *scriptedStream) Next() (quetzalroad.ChatEvent, error) {
	if s.left > 0 {
		s.left--
		s.engine.read++
		event := s.engine.event
		if s.left == 0 && !s.engine.stalls {
			event.FinishReason = "stop"
		}
		return event, nil
	}
	if s.engine.stalls {
		<-s.ctx.Done()
		return quetzalroad.ChatEvent{}, s.ctx.Err()
	}
	return quetzalroad.ChatEvent{}, io.EOF
}

func (*scriptedStream) Close() error { return nil }

// slowSink is a caller that takes an event only after a pause, and counts their bytes.
type slowSink struct {
	pause time.Duration
	bytes int
}

func (s *slowSink) Write(e quetzalroad.ChatEvent) error {
	time.Sleep(s.pause)
	s.bytes += len(e.Text)
	return nil
}

func runChat(t *testing.T, engine *scriptedEngine, sink *slowSink, timeout time.Duration) error {
	t.Helper()
	var err error
	synctest.Test(t, func(t *testing.T) {
		var log faker.KeyedLog
		node, buildErr := faker.BuildForwardNode(slog.New(slog.DiscardHandler), nil, kernel.Override{Slot: kernel.SlotKeyedLog, Component: &log},
			kernel.Override{Slot: kernel.SlotForwardClient, Component: new(faker.ForwardClient)}, kernel.Override{Slot: kernel.SlotChatClient, Component: engine})
		if buildErr != nil {
			t.Fatal(buildErr)
		}
		log.Put(quetzalroad.LogStreamOperators, "config", publishedState(1, testKey))
		log.Put(quetzalroad.LogStreamUpstreams, "a", upstreamRegistration("a", 0, 1, false))
		node.Start()
		defer func() {
			node.Kill()
			if err := node.Wait(); err != nil {
				t.Error(err)
			}
		}()
		time.Sleep(50 * time.Millisecond)
		chat := &quetzalroad.ChatRequest{}
		chat.ID, chat.Arrived = "chat-1", time.Now()
		chat.Service.Name = "service"
		chat.Profile = quetzalroad.Profile{Class: "class", FirstTokenTarget: time.Second, Timeout: timeout}
		err = node.Dispatcher.Chat(t.Context(), chat, sink)
	})
	return err
}

// The text of a completion without end was kept until the memory was used up.
func TestCompletionWithoutEndEndsWithinTheBufferBudget(t *testing.T) {
	const (
		eventBytes = 1 << 10
		// maxTextBytes is the default budget for buffers.
		maxTextBytes = 16 << 20
	)
	for name, c := range map[string]struct {
		events int
		ends   bool
	}{
		"ends":        {100, true},
		"without end": {4 * maxTextBytes / eventBytes, false},
	} {
		t.Run(name, func(t *testing.T) {
			sink := new(slowSink)
			engine := &scriptedEngine{event: quetzalroad.ChatEvent{Text: strings.Repeat("x", eventBytes), Tokens: 1}, events: c.events}
			err := runChat(t, engine, sink, time.Hour)
			if (err == nil) != c.ends || sink.bytes > maxTextBytes {
				t.Errorf("%d bytes of text, error %v", sink.bytes, err)
			}
		})
	}
}
