// Package distributor lets a few nodes of a data centre read the platform's log
// for the others, so that neither the calls to the platform nor the bytes that
// it sends grow with the number of nodes.
//
// Nodes tell of themselves on a stream of the log. All rank those of their data
// centre alike; the first ones read the log, and each of the others asks one of
// them. An answer says how old it is, so that what depends on a fresh view stays
// exact. A node whose reader fails, is too old or refuses asks the log itself.
package distributor

import (
	"context"
	"log/slog"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/kernel"
	"github.com/quetzalroad/quetzalroad/support/boottimer"
	"github.com/quetzalroad/quetzalroad/support/configloader"
	"github.com/quetzalroad/quetzalroad/support/sleeper"
)

func init() {
	kernel.Register(kernel.Plugin{
		Slot: kernel.SlotLogSharing, Name: "distributor",
		New: func() kernel.Component { return new(Distributor) },
	})
}

// Distributor is the part between the platform's log and those that follow it.
type Distributor struct {
	log       quetzalroad.KeyedLog
	writer    quetzalroad.KeyedWriter
	codec     quetzalroad.StateCodec
	transport quetzalroad.ReadTransport
	logger    *slog.Logger
	self      quetzalroad.NodeRegistration

	leastNodes  int
	fanOut      int
	readerWait  time.Duration
	askEvery    time.Duration
	askTimeout  time.Duration
	loadTimeout time.Duration
	oldest      time.Duration
	avoidFor    time.Duration
	listEvery   time.Duration
	lifetime    time.Duration
	settle      time.Duration
	callTimeout time.Duration

	members members
	feeds   map[quetzalroad.LogStream]*feed
}

// Declare implements kernel.Component.
func (d *Distributor) Declare(s *configloader.Section) {
	s.Int("least-nodes", &d.leastNodes, 4, 2, 1000000, "Nodes of a data centre from which on some read the log for the others.")
	s.Int("fan-out", &d.fanOut, 16, 1, 10000, "Nodes for which one reads the log, itself included.")
	s.Float("capacity", &d.self.ReadCapacity, 0, 0, 1e12, "How much this node can hand on, relative to others; those with most read for the others.")
	s.Duration("reader-wait", &d.readerWait, 600*time.Millisecond, 10*time.Millisecond, time.Minute, "How long a read for others waits at the log.")
	s.Duration("ask-every", &d.askEvery, 500*time.Millisecond, 10*time.Millisecond, time.Minute, "Pause between two questions to the node that reads.")
	s.Duration("ask-timeout", &d.askTimeout, 300*time.Millisecond, 10*time.Millisecond, time.Minute, "How long the node that reads may take to answer.")
	s.Duration("load-timeout", &d.loadTimeout, 3*time.Second, 10*time.Millisecond, time.Minute, "How long the node that reads may take to answer with all that stands, as many may ask at once.")
	s.Duration("oldest", &d.oldest, 2*time.Second, 10*time.Millisecond, time.Hour, "Age from which on an answer of the node that reads is no longer taken.")
	s.Duration("avoid-for", &d.avoidFor, 10*time.Second, 10*time.Millisecond, time.Hour, "How long a node that failed to answer is not asked.")
	s.Duration("list-every", &d.listEvery, 20*time.Second, 10*time.Millisecond, time.Hour, "Pause between two looks for other nodes.")
	s.Duration("lifetime", &d.lifetime, 3*time.Minute, time.Second, 24*time.Hour, "Age from which on what a node told of itself no longer counts; it is written three times as often.")
	s.Duration("settle", &d.settle, 400*time.Millisecond, 0, time.Minute, "Pause between the first two looks for other nodes, as several may start together.")
	s.Duration("call-timeout", &d.callTimeout, 800*time.Millisecond, 10*time.Millisecond, time.Minute, "How long a call to the log may take that tells or looks for nodes.")
}

// Build implements kernel.Component.
func (d *Distributor) Build(n *kernel.Node) error {
	if n.KeyedLog == nil || n.KeyedWriter == nil || n.StateCodec == nil || n.ReadTransport == nil {
		return errors.New("sharing the log needs the slots keyed-log, entries and read-transport")
	}
	d.log, d.writer, d.codec, d.transport = n.KeyedLog, n.KeyedWriter, n.StateCodec, n.ReadTransport
	d.logger = n.Logger
	d.self.Name, d.self.DataCentre, d.self.Address = n.Name, n.DataCentre, n.ReadTransport.ListenAddress()
	d.feeds = map[quetzalroad.LogStream]*feed{
		quetzalroad.LogStreamOperators: new(feed),
		quetzalroad.LogStreamUpstreams: {alike: d.alike},
	}
	n.KeyedLog = d
	n.AddTask("answer reads of others", func(ctx context.Context) error { return d.transport.Serve(ctx, d) })
	n.AddTask("look for other nodes", d.follow)
	n.OnStop(d.leave)
	return nil
}

// alike tells that two records of an upstream say the same but for their
// sequence.
func (d *Distributor) alike(a, b quetzalroad.KeyedRecord) bool {
	one, err := d.codec.DecodeRegistration(a)
	if err != nil {
		return false
	}
	other, err := d.codec.DecodeRegistration(b)
	return err == nil && one.Upstream == other.Upstream && one.StartedAt.Equal(other.StartedAt)
}

// ReadLatest implements quetzalroad.KeyedLog. A node that starts asks the log itself,
// as it knows no other yet.
func (d *Distributor) ReadLatest(ctx context.Context, s quetzalroad.LogStream) ([]quetzalroad.KeyedRecord, quetzalroad.StreamBounds, error) {
	role := d.members.role(d.self, d.leastNodes, d.fanOut)
	if role.follows() {
		records, bounds, err := d.ask(ctx, role.reader, quetzalroad.SharedReadRequest{Stream: s, From: quetzalroad.NoOffset})
		if err == nil {
			return records, bounds, nil
		}
	}
	sent := boottimer.Now()
	records, bounds, err := d.log.ReadLatest(ctx, s)
	if err != nil {
		return nil, bounds, err
	}
	d.feeds[s].load(records, bounds.NextRead, sent)
	bounds.Hops = role.hops()
	return records, bounds, nil
}

// ReadKeyed implements quetzalroad.KeyedLog.
func (d *Distributor) ReadKeyed(ctx context.Context, s quetzalroad.LogStream, from quetzalroad.Offset, wait time.Duration) ([]quetzalroad.KeyedRecord, quetzalroad.StreamBounds, error) {
	role := d.members.role(d.self, d.leastNodes, d.fanOut)
	if role.follows() {
		if wait > 0 {
			if err := sleeper.Sleep(ctx, min(wait, d.askEvery)); err != nil {
				return nil, quetzalroad.StreamBounds{}, err
			}
		}
		records, bounds, err := d.ask(ctx, role.reader, quetzalroad.SharedReadRequest{Stream: s, From: from})
		if err == nil || errors.Is(err, quetzalroad.ErrTrimmed) {
			return records, bounds, err
		}
		// Whether the view still holds is wanted at once.
		wait = 0
	}
	f := d.feeds[s]
	if role.reads {
		if !f.joins(from) {
			// What others need of the past is missing: all is read anew.
			return nil, quetzalroad.StreamBounds{}, quetzalroad.ErrTrimmed
		}
		wait = min(wait, d.readerWait)
	}
	sent := boottimer.Now()
	records, bounds, err := d.log.ReadKeyed(ctx, s, from, wait)
	if err != nil {
		return nil, bounds, err
	}
	f.add(from, records, bounds, sent)
	bounds.Hops = role.hops()
	return records, bounds, nil
}

var (
	errRefused = errors.New("the node does not read for others")
	errOld     = errors.New("the node's view is too old")
)

// ask asks a node for what it read.
func (d *Distributor) ask(ctx context.Context, reader quetzalroad.NodeRegistration, q quetzalroad.SharedReadRequest) ([]quetzalroad.KeyedRecord, quetzalroad.StreamBounds, error) {
	timeout := d.askTimeout
	if q.From == quetzalroad.NoOffset {
		timeout = d.loadTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	answer, err := d.transport.RequestRead(ctx, reader.Address, q)
	switch {
	case err != nil:
		d.members.avoid(reader.Name, time.Now().Add(d.avoidFor))
	case answer.Status == quetzalroad.SharedReadTrimmed:
		return nil, quetzalroad.StreamBounds{}, quetzalroad.ErrTrimmed
	case answer.Status != quetzalroad.SharedReadOK:
		err = errRefused
	case answer.Age > d.oldest:
		err = errOld
	}
	if err != nil {
		d.logger.Info("reader passed by", "reader", string(reader.Name), "stream", string(q.Stream), "from", int64(q.From), "age", answer.Age, "error", err)
		return nil, quetzalroad.StreamBounds{}, err
	}
	bounds := quetzalroad.StreamBounds{End: answer.NextRead, NextRead: max(q.From, answer.NextRead), Age: answer.Age, Hops: readHops}
	return answer.Records, bounds, nil
}

// HandleRead implements quetzalroad.ReadHandler.
func (d *Distributor) HandleRead(q quetzalroad.SharedReadRequest) quetzalroad.SharedReadResponse {
	f := d.feeds[q.Stream]
	if f == nil || !d.members.role(d.self, d.leastNodes, d.fanOut).reads {
		return quetzalroad.SharedReadResponse{}
	}
	return f.read(q.From)
}
