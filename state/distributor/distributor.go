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

	minNodes        int
	fanOut          int
	readerPollWait  time.Duration
	pollInterval    time.Duration
	readTimeout     time.Duration
	loadTimeout     time.Duration
	maxAge          time.Duration
	avoidDuration   time.Duration
	refreshInterval time.Duration
	registrationTTL time.Duration
	settleDelay     time.Duration
	callTimeout     time.Duration

	members members
	caches  map[quetzalroad.LogStream]*streamCache
}

// Declare implements kernel.Component.
func (d *Distributor) Declare(s *configloader.Section) {
	s.Int("least-nodes", &d.minNodes, 4, 2, 1000000, "Nodes of a data centre from which on some read the log for the others.")
	s.Int("fan-out", &d.fanOut, 16, 1, 10000, "Nodes for which one reads the log, itself included.")
	s.Float("capacity", &d.self.ReadCapacity, 0, 0, 1e12, "How much this node can hand on, relative to others; those with most read for the others.")
	s.Duration("reader-wait", &d.readerPollWait, 600*time.Millisecond, 10*time.Millisecond, time.Minute, "How long a read for others waits at the log.")
	s.Duration("ask-every", &d.pollInterval, 500*time.Millisecond, 10*time.Millisecond, time.Minute, "Pause between two questions to the node that reads.")
	s.Duration("ask-timeout", &d.readTimeout, 300*time.Millisecond, 10*time.Millisecond, time.Minute, "How long the node that reads may take to answer.")
	s.Duration("load-timeout", &d.loadTimeout, 3*time.Second, 10*time.Millisecond, time.Minute, "How long the node that reads may take to answer with all that stands, as many may ask at once.")
	s.Duration("oldest", &d.maxAge, 2*time.Second, 10*time.Millisecond, time.Hour, "Age from which on an answer of the node that reads is no longer taken.")
	s.Duration("avoid-for", &d.avoidDuration, 10*time.Second, 10*time.Millisecond, time.Hour, "How long a node that failed to answer is not asked.")
	s.Duration("list-every", &d.refreshInterval, 20*time.Second, 10*time.Millisecond, time.Hour, "Pause between two looks for other nodes.")
	s.Duration("lifetime", &d.registrationTTL, 3*time.Minute, time.Second, 24*time.Hour, "Age from which on what a node told of itself no longer counts; it is written three times as often.")
	s.Duration("settle", &d.settleDelay, 400*time.Millisecond, 0, time.Minute, "Pause between the first two looks for other nodes, as several may start together.")
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
	d.caches = map[quetzalroad.LogStream]*streamCache{
		quetzalroad.LogStreamOperators: new(streamCache),
		quetzalroad.LogStreamUpstreams: {sameContent: d.sameContent},
	}
	n.KeyedLog = d
	n.AddTask("answer reads of others", func(ctx context.Context) error { return d.transport.Serve(ctx, d) })
	n.AddTask("look for other nodes", d.maintainMembership)
	n.OnStop(d.deleteOwnRegistration)
	return nil
}

// sameContent tells that two records of an upstream say the same but for their
// sequence.
func (d *Distributor) sameContent(a, b quetzalroad.KeyedRecord) bool {
	first, err := d.codec.DecodeRegistration(a)
	if err != nil {
		return false
	}
	second, err := d.codec.DecodeRegistration(b)
	return err == nil && first.Upstream == second.Upstream && first.StartedAt.Equal(second.StartedAt)
}

// ReadLatest implements quetzalroad.KeyedLog. A node that starts asks the log itself,
// as it knows no other yet.
func (d *Distributor) ReadLatest(ctx context.Context, s quetzalroad.LogStream) ([]quetzalroad.KeyedRecord, quetzalroad.StreamBounds, error) {
	ownRole := d.members.roleOf(d.self, d.minNodes, d.fanOut)
	if ownRole.hasReader() {
		records, bounds, err := d.readShared(ctx, ownRole.reader, quetzalroad.SharedReadRequest{Stream: s, From: quetzalroad.NoOffset})
		if err == nil {
			return records, bounds, nil
		}
	}
	sentAt := boottimer.Now()
	records, bounds, err := d.log.ReadLatest(ctx, s)
	if err != nil {
		return nil, bounds, err
	}
	d.caches[s].load(records, bounds.NextRead, sentAt)
	bounds.Hops = ownRole.hops()
	return records, bounds, nil
}

// ReadKeyed implements quetzalroad.KeyedLog.
func (d *Distributor) ReadKeyed(ctx context.Context, s quetzalroad.LogStream, from quetzalroad.Offset, wait time.Duration) ([]quetzalroad.KeyedRecord, quetzalroad.StreamBounds, error) {
	ownRole := d.members.roleOf(d.self, d.minNodes, d.fanOut)
	if ownRole.hasReader() {
		if wait > 0 {
			if err := sleeper.Sleep(ctx, min(wait, d.pollInterval)); err != nil {
				return nil, quetzalroad.StreamBounds{}, err
			}
		}
		records, bounds, err := d.readShared(ctx, ownRole.reader, quetzalroad.SharedReadRequest{Stream: s, From: from})
		if err == nil || errors.Is(err, quetzalroad.ErrTrimmed) {
			return records, bounds, err
		}
		// Whether the view still holds is wanted at once.
		wait = 0
	}
	cache := d.caches[s]
	if ownRole.readsLog {
		if !cache.continuesAt(from) {
			// What others need of the past is missing: all is read anew.
			return nil, quetzalroad.StreamBounds{}, quetzalroad.ErrTrimmed
		}
		wait = min(wait, d.readerPollWait)
	}
	sentAt := boottimer.Now()
	records, bounds, err := d.log.ReadKeyed(ctx, s, from, wait)
	if err != nil {
		return nil, bounds, err
	}
	cache.add(from, records, bounds, sentAt)
	bounds.Hops = ownRole.hops()
	return records, bounds, nil
}

var (
	errRefused = errors.New("the node does not read for others")
	errTooOld  = errors.New("the node's view is too old")
)

// ask asks a node for what it read.
func (d *Distributor) readShared(ctx context.Context, reader quetzalroad.NodeRegistration, q quetzalroad.SharedReadRequest) ([]quetzalroad.KeyedRecord, quetzalroad.StreamBounds, error) {
	timeout := d.readTimeout
	if q.From == quetzalroad.NoOffset {
		timeout = d.loadTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	response, err := d.transport.RequestRead(ctx, reader.Address, q)
	switch {
	case err != nil:
		d.members.avoid(reader.Name, time.Now().Add(d.avoidDuration))
	case response.Status == quetzalroad.SharedReadTrimmed:
		return nil, quetzalroad.StreamBounds{}, quetzalroad.ErrTrimmed
	case response.Status != quetzalroad.SharedReadOK:
		err = errRefused
	case response.Age > d.maxAge:
		err = errTooOld
	}
	if err != nil {
		d.logger.Info("reader passed by", "reader", string(reader.Name), "stream", string(q.Stream), "from", int64(q.From), "age", response.Age, "error", err)
		return nil, quetzalroad.StreamBounds{}, err
	}
	bounds := quetzalroad.StreamBounds{End: response.NextRead, NextRead: max(q.From, response.NextRead), Age: response.Age, Hops: sharedReadHops}
	return response.Records, bounds, nil
}

// HandleRead implements quetzalroad.ReadHandler.
func (d *Distributor) HandleRead(q quetzalroad.SharedReadRequest) quetzalroad.SharedReadResponse {
	cache := d.caches[q.Stream]
	if cache == nil || !d.members.roleOf(d.self, d.minNodes, d.fanOut).readsLog {
		return quetzalroad.SharedReadResponse{}
	}
	return cache.read(q.From)
}
