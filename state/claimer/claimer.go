// Package claimer ensures that requests with the same idempotency key run at most
// once across all nodes and data centres.
//
// Before such a request runs, its node appends a claim to the claims stream of the platform's log
// and waits until it reads the claim back. The first claim of a key in offset order wins. Claims,
// outcomes and releases are appended in batches.
package claimer

import (
	"context"
	"expvar"
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/codecs/claimmapper"
	"github.com/quetzalroad/quetzalroad/kernel"
	"github.com/quetzalroad/quetzalroad/support/configloader"
	"github.com/quetzalroad/quetzalroad/support/sleeper"
)

func init() {
	kernel.Register(kernel.Plugin{
		Slot: kernel.SlotClaimer, Name: "log", Default: true,
		New: func() kernel.Component { return new(Claimer) },
	})
}

// expiryInterval is how often expired keys are removed.
const expiryInterval = time.Minute

// Claimer claims idempotency keys in the platform's log. Declare describes its settings.
type Claimer struct {
	log    quetzalroad.Log
	name   quetzalroad.NodeName
	logger *slog.Logger
	vars   *expvar.Map

	window           time.Duration
	retention        time.Duration
	claimTimeout     time.Duration
	appendTimeout    time.Duration
	batchInterval    time.Duration
	pollWait         time.Duration
	retryDelay       time.Duration
	flushTimeout     time.Duration
	settleTime       time.Duration
	maxResponseBytes int

	table table
	batch batcher
	// position is where to read on. It is used only by the goroutine that reads claims.
	position position
	// caughtUp is set once the stream was read to its end in the current epoch of the log and, if that has
	// lost records, once the nodes have had time to restate their claims.
	caughtUp atomic.Bool
	// inProgress maps this node's request IDs, from claim to outcome, to attempt IDs. Each attempt to
	// claim a key has its own ID.
	inProgress sync.Map
}

// Declare implements kernel.Component.
func (c *Claimer) Declare(s *configloader.Section) {
	s.Duration("window", &c.window, time.Hour, time.Second, 30*24*time.Hour, "How long a repeated key refers to its first request. Keep it well below the log's retention.")
	s.Duration("keep-for", &c.retention, 2*time.Hour, time.Second, 60*24*time.Hour, "How long a key is kept, so that its reuse after the window is refused.")
	s.Duration("timeout", &c.claimTimeout, 2*time.Second, 10*time.Millisecond, time.Minute, "How long a request waits for its claim to be confirmed, and for the outcome of an earlier request with its key.")
	s.Duration("append-timeout", &c.appendTimeout, time.Second, 10*time.Millisecond, time.Minute, "Timeout of one append to the log.")
	s.Duration("batch-interval", &c.batchInterval, 20*time.Millisecond, time.Millisecond, time.Second, "Minimum time between the starts of two appends.")
	s.Duration("poll-wait", &c.pollWait, 2*time.Second, 10*time.Millisecond, time.Minute, "How long the log may hold a read open to wait for new records.")
	s.Duration("retry-pause", &c.retryDelay, 100*time.Millisecond, time.Millisecond, time.Minute, "Delay after a failed read or append.")
	s.Duration("flush-timeout", &c.flushTimeout, 15*time.Second, 0, time.Hour, "How long a stopping node waits until its outcomes are appended to the log.")
	s.Duration("settle", &c.settleTime, 6*time.Second, 0, time.Hour, "How long no key is claimed after the log was restored from an older copy, while the nodes restate the claims that it lost; more than twice poll-wait.")
	s.Int("max-kept-bytes", &c.maxResponseBytes, 2048, 0, 64<<10, "Largest response body, in bytes, stored in the log for repeated requests.")
}

// Build implements kernel.Component.
func (c *Claimer) Build(n *kernel.Node) error {
	c.log = n.Log
	c.name = n.Name
	c.logger = n.Logger
	c.vars = n.Vars
	n.Claimer = c
	n.Vars.Set("claims-known", expvar.Func(func() any { return c.table.count() }))
	n.AddTask("read claims", c.readClaims)
	n.AddTask("append claims", c.appendBatches)
	n.AddTask("expire claims", c.expireClaims)
	n.OnStop(c.flush)
	return nil
}

var (
	errNotCaughtUp = errors.New("the claims in the log were not read yet")
	errUnconfirmed = errors.New("the claim was not read back in time")
)

// Claim implements quetzalroad.Claimer.
func (c *Claimer) Claim(ctx context.Context, key, requestHash quetzalroad.KeyHash, id quetzalroad.RequestID) (quetzalroad.Claim, error) {
	if !c.caughtUp.Load() {
		return quetzalroad.Claim{}, errNotCaughtUp
	}
	ctx, cancel := context.WithTimeoutCause(ctx, c.claimTimeout, errUnconfirmed)
	defer cancel()
	for {
		// Each attempt has its own ID, as the log may hold an attempt that was abandoned.
		attemptID := id + "/" + quetzalroad.RequestID(uuid.NewString())
		state, err := c.requestClaim(ctx, key, requestHash, attemptID)
		if err != nil {
			return quetzalroad.Claim{}, err
		}
		switch state {
		case quetzalroad.ClaimGranted:
			c.inProgress.Store(id, attemptID)
			return quetzalroad.Claim{State: state}, nil
		case quetzalroad.ClaimExpired, quetzalroad.ClaimReused:
			return quetzalroad.Claim{State: state}, nil
		case quetzalroad.ClaimCompleted, quetzalroad.ClaimHeld:
		}
		claim, released := c.awaitOutcome(ctx, key, requestHash)
		if !released {
			return claim, nil
		}
	}
}

// requestClaim appends a claim, unless the key is already claimed, and waits until
// the claim is read back.
func (c *Claimer) requestClaim(ctx context.Context, key, requestHash quetzalroad.KeyHash, attemptID quetzalroad.RequestID) (quetzalroad.ClaimState, error) {
	now := time.Now()
	sh := c.table.shard(key)
	sh.mu.Lock()
	if existing := sh.entries[key]; existing != nil {
		defer sh.mu.Unlock()
		return existing.stateFor(requestHash, now, c.window), nil
	}
	if sh.waiting == nil {
		sh.waiting = make(map[quetzalroad.RequestID]chan quetzalroad.ClaimState)
	}
	result := make(chan quetzalroad.ClaimState, 1)
	sh.waiting[attemptID] = result
	sh.mu.Unlock()
	c.batch.add(claimmapper.Entry{Kind: claimmapper.EntryClaim, Key: key, RequestHash: requestHash, ID: attemptID, ClaimedAt: now})
	select {
	case state := <-result:
		return state, nil
	case <-ctx.Done():
	}
	c.batch.withdraw(attemptID)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	select {
	case state := <-result:
		return state, nil
	default:
	}
	delete(sh.waiting, attemptID)
	sh.abandon(attemptID, now)
	return 0, context.Cause(ctx)
}

// awaitOutcome waits until the request that holds the key ends, and returns the
// claim. It reports whether the key was released instead.
func (c *Claimer) awaitOutcome(ctx context.Context, key, requestHash quetzalroad.KeyHash) (quetzalroad.Claim, bool) {
	sh := c.table.shard(key)
	for {
		sh.mu.Lock()
		existing := sh.entries[key]
		if existing == nil {
			sh.mu.Unlock()
			return quetzalroad.Claim{}, true
		}
		claim := quetzalroad.Claim{State: existing.stateFor(requestHash, existing.claimedAt, c.window), Response: existing.response}
		if existing.status != statusHeld {
			sh.mu.Unlock()
			return claim, false
		}
		changed := make(chan struct{})
		existing.watchers = append(existing.watchers, changed)
		sh.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
			return claim, false
		}
	}
}

// Complete implements quetzalroad.Claimer.
func (c *Claimer) Complete(key quetzalroad.KeyHash, id quetzalroad.RequestID, response *quetzalroad.ServiceResponse) {
	attemptID, ok := c.inProgress.LoadAndDelete(id)
	if !ok {
		return
	}
	c.batch.add(claimmapper.Entry{
		Kind: claimmapper.EntryCompletion, Key: key, ID: attemptID.(quetzalroad.RequestID), Response: c.retainedResponse(response), OutcomeUnknown: response == nil,
	})
}

// retainedResponse returns the part of a response to store in the log; nil for none.
func (c *Claimer) retainedResponse(response *quetzalroad.ServiceResponse) *quetzalroad.ServiceResponse {
	if response == nil || len(response.Body) > c.maxResponseBytes {
		return nil
	}
	header := make(http.Header)
	for _, name := range []string{"Content-Type", "Location"} {
		if values := response.Header.Values(name); len(values) > 0 {
			header[name] = values
		}
	}
	return &quetzalroad.ServiceResponse{Status: response.Status, Header: header, Body: response.Body}
}

// Release implements quetzalroad.Claimer.
func (c *Claimer) Release(key quetzalroad.KeyHash, id quetzalroad.RequestID) {
	value, ok := c.inProgress.LoadAndDelete(id)
	if !ok {
		return
	}
	attemptID := value.(quetzalroad.RequestID)
	sh := c.table.shard(key)
	sh.mu.Lock()
	sh.abandon(attemptID, time.Now())
	sh.mu.Unlock()
	c.batch.add(claimmapper.Entry{Kind: claimmapper.EntryRelease, Key: key, ID: attemptID})
}

// readClaims reads the claims stream until the node stops.
func (c *Claimer) readClaims(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := c.readOnce(ctx); err != nil {
			c.vars.Add("claims-read-failures", 1)
			// The loop checks the context.
			_ = sleeper.Sleep(ctx, c.retryDelay)
		}
	}
	return ctx.Err()
}

func (c *Claimer) readOnce(ctx context.Context) error {
	records, bounds, err := c.log.Read(ctx, quetzalroad.LogStreamClaims, c.position.next.Offset, c.readWait())
	if err != nil {
		return err
	}
	if bounds.Epoch != c.position.next.Epoch {
		c.beginEpoch(bounds.Epoch)
		return nil
	}
	for _, r := range records {
		if r.Offset < c.position.next.Offset {
			continue
		}
		c.apply(r)
		c.position.next.Offset = r.Offset + 1
	}
	if c.position.next.Offset >= bounds.End {
		c.reachEnd()
	}
	return nil
}

func (c *Claimer) apply(r quetzalroad.Record) {
	b, err := claimmapper.Decode(r.Data)
	if err != nil {
		c.vars.Add("records-set-aside", 1)
		c.logger.Warn("skipped a claims record that can't be decoded", "offset", int64(r.Offset), "error", err)
		return
	}
	for _, e := range b.Entries {
		c.applyEntry(e)
	}
}

// applyEntry applies one entry. An abandoned claim of this node, whose request
// wasn't run, is released each time it is read.
func (c *Claimer) applyEntry(e claimmapper.Entry) {
	sh := c.table.shard(e.Key)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	switch e.Kind {
	case claimmapper.EntryClaim:
		state := sh.applyClaim(e, c.window)
		sh.markRead(e, c.position.next.Epoch)
		if result, waiting := sh.waiting[e.ID]; waiting {
			delete(sh.waiting, e.ID)
			if c.caughtUp.Load() {
				result <- state
				return
			}
			// Another node may have held the key before the log was restored.
			sh.abandon(e.ID, time.Now())
		}
		if _, abandoned := sh.abandoned[e.ID]; abandoned && state == quetzalroad.ClaimGranted {
			c.batch.add(claimmapper.Entry{Kind: claimmapper.EntryRelease, Key: e.Key, ID: e.ID})
		}
	case claimmapper.EntryRestatement:
		sh.applyRestatement(e)
		sh.markRead(e, c.position.next.Epoch)
	case claimmapper.EntryCompletion:
		sh.applyOutcome(e)
	case claimmapper.EntryRelease:
		sh.applyRelease(e)
	}
}

// expireClaims removes expired keys periodically.
func (c *Claimer) expireClaims(ctx context.Context) error {
	ticker := time.NewTicker(expiryInterval)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			c.table.expire(now.Add(-c.retention))
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
