// Package drainer makes drains take effect immediately. A drain is recorded as
// pending on the node that received the request, sent to the other nodes with
// the next heartbeats, and published. It is pending until the published state
// shows the upstream as draining at a later revision, or no longer has it. While
// the log is unavailable, the nodes that know the drain retry publishing it.
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

// shardCount is the number of shards of the pending drains.
const shardCount = 8

// shard holds the drains of the upstreams that hash to it.
type shard struct {
	mu sync.Mutex
	// pending is guarded by mu and allocated on first use.
	pending map[quetzalroad.UpstreamName]quetzalroad.Drain
	// completed maps the ids of drains that are no longer pending to when they
	// completed, so that a lagging peer doesn't add them again.
	completed map[quetzalroad.ChangeID]time.Time
}

// completedRetention is how long the id of a completed drain is kept.
const completedRetention = time.Hour

// Drainer holds the pending drains and publishes them.
type Drainer struct {
	node          *kernel.Node
	logger        *slog.Logger
	retryInterval time.Duration
	shards        [shardCount]shard
}

// Declare implements kernel.Component.
func (d *Drainer) Declare(s *configloader.Section) {
	s.Duration("retry-every", &d.retryInterval, 3*time.Second, 10*time.Millisecond, 10*time.Minute, "Shortest interval at which publishing a pending drain is retried.")
}

// Build implements kernel.Component.
func (d *Drainer) Build(n *kernel.Node) error {
	d.node = n
	d.logger = n.Logger
	n.Drainer = d
	n.AddTask("publish drains", d.publishPending)
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
	drain := quetzalroad.Drain{
		Upstream: name, ID: quetzalroad.ChangeID(uuid.NewString()), Author: author, BaseRevision: u.Revision, RequestedAt: time.Now(),
	}
	d.MergeDrains([]quetzalroad.Drain{drain})
	if d.node.Peers != nil {
		d.node.Peers.TriggerHeartbeats()
	}
	return d.publish(ctx, drain)
}

// publish publishes a pending drain. If another change of the upstream was
// published first, the drain is applied on top of it.
func (d *Drainer) publish(ctx context.Context, drain quetzalroad.Drain) (quetzalroad.ChangeResult, error) {
	for {
		u, ok := d.node.Directory.Upstream(drain.Upstream)
		if !ok || u.Draining {
			return quetzalroad.ChangeResult{Accepted: true, Revision: u.Revision}, nil
		}
		u.Draining = true
		result, err := d.node.Publisher.Publish(ctx, quetzalroad.Change{
			ID: drain.ID + quetzalroad.ChangeID("/"+strconv.FormatInt(int64(u.Revision), 10)), Author: drain.Author,
			Kind: quetzalroad.ObjectUpstream, Name: string(drain.Upstream), BaseRevision: u.Revision, Object: quetzalroad.Object{Upstream: &u},
		})
		var conflict *quetzalroad.ConflictError
		if !errors.As(err, &conflict) {
			return result, err
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
		for _, drain := range sh.pending {
			all = append(all, drain)
		}
		sh.mu.Unlock()
	}
	var pending []quetzalroad.Drain
	for _, drain := range all {
		if d.completed(drain) {
			d.complete(drain)
			continue
		}
		pending = append(pending, drain)
	}
	return pending
}

// completed reports whether the published state has the upstream as draining at
// a later revision, or no longer has it.
func (d *Drainer) completed(drain quetzalroad.Drain) bool {
	u, ok := d.node.Directory.Upstream(drain.Upstream)
	if !ok {
		return true
	}
	return u.Draining && u.Revision > drain.BaseRevision
}

func (d *Drainer) complete(drain quetzalroad.Drain) {
	sh := d.shard(drain.Upstream)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if sh.pending[drain.Upstream].ID == drain.ID {
		delete(sh.pending, drain.Upstream)
	}
	now := time.Now()
	if sh.completed == nil {
		sh.completed = make(map[quetzalroad.ChangeID]time.Time)
	}
	sh.completed[drain.ID] = now
	for id, completedAt := range sh.completed {
		if now.Sub(completedAt) > completedRetention {
			delete(sh.completed, id)
		}
	}
}

// MergeDrains implements quetzalroad.Drainer. Of two drains of an upstream the
// later one is kept.
func (d *Drainer) MergeDrains(drains []quetzalroad.Drain) {
	for _, drain := range drains {
		if d.completed(drain) {
			continue
		}
		sh := d.shard(drain.Upstream)
		sh.mu.Lock()
		if sh.pending == nil {
			sh.pending = make(map[quetzalroad.UpstreamName]quetzalroad.Drain)
		}
		existing, ok := sh.pending[drain.Upstream]
		_, completed := sh.completed[drain.ID]
		if !completed && (!ok || drain.RequestedAt.After(existing.RequestedAt)) {
			sh.pending[drain.Upstream] = drain
		}
		sh.mu.Unlock()
	}
}

// HasPendingDrain implements quetzalroad.Drainer.
func (d *Drainer) HasPendingDrain(name quetzalroad.UpstreamName) bool {
	sh := d.shard(name)
	sh.mu.Lock()
	_, ok := sh.pending[name]
	sh.mu.Unlock()
	return ok
}

// publishPending publishes drains that are still pending, so that a drain reaches
// the log even if the node that received the request is gone.
func (d *Drainer) publishPending(ctx context.Context) error {
	for {
		if err := sleeper.Sleep(ctx, d.retryInterval+rand.N(d.retryInterval)); err != nil {
			return err
		}
		for _, drain := range d.PendingDrains() {
			if time.Since(drain.RequestedAt) < d.retryInterval {
				continue
			}
			if _, err := d.publish(ctx, drain); err != nil {
				d.logger.Warn("drain not published yet", "upstream", string(drain.Upstream), "error", err)
			}
		}
	}
}
