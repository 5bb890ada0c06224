// Package drainer makes drains take hold at once. A drain is marked on the
// node that was asked, told to the other nodes with the next heartbeats, and
// published. The mark ends when the published state shows the upstream
// changed after the drain was asked for. While the log is away the mark holds,
// and the nodes that have it go on trying to publish it.
package drainer

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/kernel"
	"github.com/quetzalroad/quetzalroad/support/configloader"
	"github.com/quetzalroad/quetzalroad/support/sleeper"
)

func init() {
	kernel.Register(kernel.Plugin{
		Slot: kernel.SlotDrainer, Name: "marker", Default: true,
		New: func() kernel.Component { return new(Drainer) },
	})
}

// shardCount is the number of shards of the marks.
const shardCount = 8

// shard holds the marks of the upstreams that hash to it.
type shard struct {
	mu sync.Mutex
	// marks is guarded by mu and made on first use.
	marks map[quetzalroad.UpstreamName]quetzalroad.Drain
	// settled holds the ids of marks that ended, with the time, so that a peer
	// that lags doesn't bring them back.
	settled map[quetzalroad.ChangeID]time.Time
}

// settledFor is how long an ended mark is remembered.
const settledFor = time.Hour

// Drainer is the part that drains.
type Drainer struct {
	node       *kernel.Node
	logger     *slog.Logger
	retryEvery time.Duration
	shards     [shardCount]shard
}

// Declare implements kernel.Component.
func (d *Drainer) Declare(s *configloader.Section) {
	s.Duration("retry-every", &d.retryEvery, 3*time.Second, 10*time.Millisecond, 10*time.Minute, "How often a drain that the log didn't take is published again.")
}

// Build implements kernel.Component.
func (d *Drainer) Build(n *kernel.Node) error {
	d.node = n
	d.logger = n.Logger
	n.Drainer = d
	n.AddTask("publish drains", d.publishMarks)
	return nil
}

func (d *Drainer) shard(u quetzalroad.UpstreamName) *shard {
	return &d.shards[xxhash.Sum64String(string(u))%shardCount]
}

// Drain implements quetzalroad.Drainer.
func (d *Drainer) Drain(ctx context.Context, name quetzalroad.UpstreamName, author string) (quetzalroad.ChangeResult, error) {
	u, ok := d.node.Directory.Upstream(name)
	if !ok {
		return quetzalroad.ChangeResult{}, quetzalroad.ErrUnknownUpstream
	}
	if u.Draining {
		return quetzalroad.ChangeResult{Accepted: true, Revision: u.Revision}, nil
	}
	mark := quetzalroad.Drain{
		Upstream: name, ID: quetzalroad.ChangeID(uuid.NewString()), Author: author, BaseRevision: u.Revision, RequestedAt: time.Now(),
	}
	d.MergeDrains([]quetzalroad.Drain{mark})
	if d.node.Peers != nil {
		d.node.Peers.TriggerHeartbeats()
	}
	return d.publish(ctx, mark)
}

// publish publishes a marked drain. Where another change of the upstream came
// first, the drain is made from that one.
func (d *Drainer) publish(ctx context.Context, mark quetzalroad.Drain) (quetzalroad.ChangeResult, error) {
	for {
		u, ok := d.node.Directory.Upstream(mark.Upstream)
		if !ok || u.Draining {
			return quetzalroad.ChangeResult{Accepted: true, Revision: u.Revision}, nil
		}
		u.Draining = true
		v, err := d.node.Publisher.Publish(ctx, quetzalroad.Change{
			ID: mark.ID + quetzalroad.ChangeID("/"+strconv.FormatInt(int64(u.Revision), 10)), Author: mark.Author,
			Kind: quetzalroad.ObjectUpstream, Name: string(mark.Upstream), BaseRevision: u.Revision, Object: quetzalroad.Object{Upstream: &u},
		})
		var conflict *quetzalroad.ConflictError
		if !errors.As(err, &conflict) {
			return v, err
		}
	}
}

// Undrain implements quetzalroad.Drainer.
func (d *Drainer) Undrain(ctx context.Context, name quetzalroad.UpstreamName, author string) (quetzalroad.ChangeResult, error) {
	u, ok := d.node.Directory.Upstream(name)
	if !ok {
		return quetzalroad.ChangeResult{}, quetzalroad.ErrUnknownUpstream
	}
	u.Draining = false
	return d.node.Publisher.Publish(ctx, quetzalroad.Change{
		ID: quetzalroad.ChangeID(uuid.NewString()), Author: author,
		Kind: quetzalroad.ObjectUpstream, Name: string(name), BaseRevision: u.Revision, Object: quetzalroad.Object{Upstream: &u},
	})
}

// PendingDrains implements quetzalroad.Drainer.
func (d *Drainer) PendingDrains() []quetzalroad.Drain {
	var all []quetzalroad.Drain
	for i := range d.shards {
		sh := &d.shards[i]
		sh.mu.Lock()
		for _, m := range sh.marks {
			all = append(all, m)
		}
		sh.mu.Unlock()
	}
	var open []quetzalroad.Drain
	for _, m := range all {
		if d.settled(m) {
			d.drop(m)
			continue
		}
		open = append(open, m)
	}
	return open
}

// settled tells that the published state has gone beyond a mark: the upstream
// was drained, deleted, or changed since.
func (d *Drainer) settled(m quetzalroad.Drain) bool {
	u, ok := d.node.Directory.Upstream(m.Upstream)
	if !ok {
		return true
	}
	return u.Draining && u.Revision > m.BaseRevision
}

func (d *Drainer) drop(m quetzalroad.Drain) {
	sh := d.shard(m.Upstream)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if sh.marks[m.Upstream].ID == m.ID {
		delete(sh.marks, m.Upstream)
	}
	now := time.Now()
	if sh.settled == nil {
		sh.settled = make(map[quetzalroad.ChangeID]time.Time)
	}
	sh.settled[m.ID] = now
	for id, at := range sh.settled {
		if now.Sub(at) > settledFor {
			delete(sh.settled, id)
		}
	}
}

// MergeDrains implements quetzalroad.Drainer. Of two marks of an upstream the later
// one stays.
func (d *Drainer) MergeDrains(marks []quetzalroad.Drain) {
	for _, m := range marks {
		if d.settled(m) {
			continue
		}
		sh := d.shard(m.Upstream)
		sh.mu.Lock()
		if sh.marks == nil {
			sh.marks = make(map[quetzalroad.UpstreamName]quetzalroad.Drain)
		}
		have, ok := sh.marks[m.Upstream]
		_, ended := sh.settled[m.ID]
		if !ended && (!ok || m.RequestedAt.After(have.RequestedAt)) {
			sh.marks[m.Upstream] = m
		}
		sh.mu.Unlock()
	}
}

// HasPendingDrain implements quetzalroad.Drainer.
func (d *Drainer) HasPendingDrain(name quetzalroad.UpstreamName) bool {
	sh := d.shard(name)
	sh.mu.Lock()
	_, ok := sh.marks[name]
	sh.mu.Unlock()
	return ok
}

// publishMarks publishes marks that have stayed open, so that a drain reaches
// the log also where the node that was asked is gone.
func (d *Drainer) publishMarks(ctx context.Context) error {
	for {
		if err := sleeper.Sleep(ctx, d.retryEvery+rand.N(d.retryEvery)); err != nil {
			return err
		}
		for _, m := range d.PendingDrains() {
			if time.Since(m.RequestedAt) < d.retryEvery {
				continue
			}
			if _, err := d.publish(ctx, m); err != nil {
				d.logger.Warn("drain not published yet", "upstream", string(m.Upstream), "error", err)
			}
		}
	}
}
