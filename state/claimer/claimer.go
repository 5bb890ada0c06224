// Package claimer makes requests with the same idempotency key run at most
// once over all nodes and data centres.
//
// Before such a request runs, its node appends a claim to the claims stream of
// the platform's log and waits until it reads it back. The first claim of a
// key in offset order wins. Claims, outcomes and releases are appended in
// batches.
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

// forgetEvery is how often keys past their time are dropped.
const forgetEvery = time.Minute

// Claimer is the part that claims keys.
type Claimer struct {
	log    quetzalroad.Log
	name   quetzalroad.NodeName
	logger *slog.Logger
	vars   *expvar.Map

	window        time.Duration
	keepFor       time.Duration
	timeout       time.Duration
	appendTimeout time.Duration
	interval      time.Duration
	pollWait      time.Duration
	retryPause    time.Duration
	flushTimeout  time.Duration
	maxKept       int

	table  table
	batch  batcher
	head   atomic.Int64
	caught atomic.Bool
	// live holds the ids of this node's requests between claim and outcome.
	live sync.Map
}

// Declare implements kernel.Component.
func (c *Claimer) Declare(s *configloader.Section) {
	s.Duration("window", &c.window, time.Hour, time.Second, 30*24*time.Hour, "How long a key stands for its first request. Keep it well below the log's retention.")
	s.Duration("keep-for", &c.keepFor, 2*time.Hour, time.Second, 60*24*time.Hour, "How long a key is remembered, to be refused after its window.")
	s.Duration("timeout", &c.timeout, 2*time.Second, 10*time.Millisecond, time.Minute, "How long a request waits for its claim.")
	s.Duration("append-timeout", &c.appendTimeout, time.Second, 10*time.Millisecond, time.Minute, "How long one append may take.")
	s.Duration("batch-interval", &c.interval, 20*time.Millisecond, time.Millisecond, time.Second, "Least time between two appends.")
	s.Duration("poll-wait", &c.pollWait, 2*time.Second, 10*time.Millisecond, time.Minute, "How long the log may hold a read open for new records.")
	s.Duration("retry-pause", &c.retryPause, 100*time.Millisecond, time.Millisecond, time.Minute, "Pause after a failed read or append.")
	s.Duration("flush-timeout", &c.flushTimeout, 15*time.Second, 0, time.Hour, "How long a stopping node waits for the log to take the outcomes it has.")
	s.Int("max-kept-bytes", &c.maxKept, 2048, 0, 64<<10, "Largest answer kept in the log for repeated requests.")
}

// Build implements kernel.Component.
func (c *Claimer) Build(n *kernel.Node) error {
	c.log = n.Log
	c.name = n.Name
	c.logger = n.Logger
	c.vars = n.Vars
	n.Claimer = c
	n.Vars.Set("claims-known", expvar.Func(func() any { return c.table.count() }))
	n.AddTask("follow claims", c.follow)
	n.AddTask("append claims", c.append)
	n.AddTask("forget claims", c.forget)
	n.OnStop(c.flush)
	return nil
}

var (
	errNotCaughtUp = errors.New("the claims in the log were not read yet")
	errUnconfirmed = errors.New("the claim was not read back in time")
)

// Claim implements quetzalroad.Claimer.
func (c *Claimer) Claim(ctx context.Context, key, call quetzalroad.KeyHash, id quetzalroad.RequestID) (quetzalroad.Claim, error) {
	if !c.caught.Load() {
		return quetzalroad.Claim{}, errNotCaughtUp
	}
	ctx, cancel := context.WithTimeoutCause(ctx, c.timeout, errUnconfirmed)
	defer cancel()
	for {
		// Each try has an id of its own, as the log may hold a try that was
		// given up.
		try := id + "/" + quetzalroad.RequestID(uuid.NewString())
		state, err := c.ask(ctx, key, call, try)
		if err != nil {
			return quetzalroad.Claim{}, err
		}
		switch state {
		case quetzalroad.ClaimGranted:
			c.live.Store(id, try)
			return quetzalroad.Claim{State: state}, nil
		case quetzalroad.ClaimExpired, quetzalroad.ClaimReused:
			return quetzalroad.Claim{State: state}, nil
		case quetzalroad.ClaimCompleted, quetzalroad.ClaimHeld:
		}
		claim, released := c.await(ctx, key, call)
		if !released {
			return claim, nil
		}
	}
}

// ask appends a claim, unless the key is known to be taken, and waits for it
// to be read back.
func (c *Claimer) ask(ctx context.Context, key, call quetzalroad.KeyHash, try quetzalroad.RequestID) (quetzalroad.ClaimState, error) {
	now := time.Now()
	sh := c.table.shard(key)
	sh.mu.Lock()
	if have := sh.entries[key]; have != nil {
		defer sh.mu.Unlock()
		return have.state(call, now, c.window), nil
	}
	if sh.waiting == nil {
		sh.waiting = make(map[quetzalroad.RequestID]chan quetzalroad.ClaimState)
	}
	answer := make(chan quetzalroad.ClaimState, 1)
	sh.waiting[try] = answer
	sh.mu.Unlock()
	c.batch.add(claimmapper.Entry{Step: claimmapper.StepClaim, Key: key, Call: call, ID: try, At: now})
	select {
	case state := <-answer:
		return state, nil
	case <-ctx.Done():
	}
	c.batch.withdraw(try)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	select {
	case state := <-answer:
		return state, nil
	default:
	}
	delete(sh.waiting, try)
	sh.abandon(try, now)
	return 0, context.Cause(ctx)
}

// await waits for the outcome of the request that holds the key. It tells
// whether the key was released instead.
func (c *Claimer) await(ctx context.Context, key, call quetzalroad.KeyHash) (quetzalroad.Claim, bool) {
	sh := c.table.shard(key)
	for {
		sh.mu.Lock()
		have := sh.entries[key]
		if have == nil {
			sh.mu.Unlock()
			return quetzalroad.Claim{}, true
		}
		claim := quetzalroad.Claim{State: have.state(call, have.at, c.window), Response: have.answer}
		if have.status != statusHeld {
			sh.mu.Unlock()
			return claim, false
		}
		changed := make(chan struct{})
		have.watchers = append(have.watchers, changed)
		sh.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
			return claim, false
		}
	}
}

// Complete implements quetzalroad.Claimer.
func (c *Claimer) Complete(key quetzalroad.KeyHash, id quetzalroad.RequestID, answer *quetzalroad.ServiceResponse) {
	try, ok := c.live.LoadAndDelete(id)
	if !ok {
		return
	}
	c.batch.add(claimmapper.Entry{
		Step: claimmapper.StepDone, Key: key, ID: try.(quetzalroad.RequestID), Answer: c.kept(answer), Lost: answer == nil,
	})
}

// kept gives what of an answer is kept in the log.
func (c *Claimer) kept(answer *quetzalroad.ServiceResponse) *quetzalroad.ServiceResponse {
	if answer == nil || len(answer.Body) > c.maxKept {
		return nil
	}
	header := make(http.Header)
	for _, name := range []string{"Content-Type", "Location"} {
		if values := answer.Header.Values(name); len(values) > 0 {
			header[name] = values
		}
	}
	return &quetzalroad.ServiceResponse{Status: answer.Status, Header: header, Body: answer.Body}
}

// Release implements quetzalroad.Claimer.
func (c *Claimer) Release(key quetzalroad.KeyHash, id quetzalroad.RequestID) {
	v, ok := c.live.LoadAndDelete(id)
	if !ok {
		return
	}
	try := v.(quetzalroad.RequestID)
	sh := c.table.shard(key)
	sh.mu.Lock()
	sh.abandon(try, time.Now())
	sh.mu.Unlock()
	c.batch.add(claimmapper.Entry{Step: claimmapper.StepRelease, Key: key, ID: try})
}

// follow reads the claims stream until the node ends.
func (c *Claimer) follow(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := c.readOnce(ctx); err != nil {
			c.vars.Add("claims-read-failures", 1)
			// The loop looks at the context.
			_ = sleeper.Sleep(ctx, c.retryPause)
		}
	}
	return ctx.Err()
}

func (c *Claimer) readOnce(ctx context.Context) error {
	wait := c.pollWait
	if !c.caught.Load() {
		wait = 0
	}
	records, bounds, err := c.log.Read(ctx, quetzalroad.LogStreamClaims, quetzalroad.Offset(c.head.Load()), wait)
	if err != nil {
		return err
	}
	for _, r := range records {
		if r.Offset < quetzalroad.Offset(c.head.Load()) {
			continue
		}
		c.apply(r)
		c.head.Store(int64(r.Offset) + 1)
	}
	if c.head.Load() >= int64(bounds.End) {
		c.caught.Store(true)
	}
	return nil
}

func (c *Claimer) apply(r quetzalroad.Record) {
	b, err := claimmapper.Decode(r.Data)
	if err != nil {
		c.vars.Add("records-set-aside", 1)
		c.logger.Warn("claims set aside", "offset", int64(r.Offset), "error", err)
		return
	}
	for _, e := range b.Entries {
		c.applyEntry(e)
	}
}

// applyEntry takes one step. A claim of this node that was given up, and so
// was not run, is released as often as it turns up.
func (c *Claimer) applyEntry(e claimmapper.Entry) {
	sh := c.table.shard(e.Key)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	switch e.Step {
	case claimmapper.StepClaim:
		state := sh.applyClaim(e, c.window)
		waiter, waits := sh.waiting[e.ID]
		if waits {
			delete(sh.waiting, e.ID)
			waiter <- state
			return
		}
		if _, given := sh.abandoned[e.ID]; given && state == quetzalroad.ClaimGranted {
			c.batch.add(claimmapper.Entry{Step: claimmapper.StepRelease, Key: e.Key, ID: e.ID})
		}
	case claimmapper.StepDone:
		sh.applyDone(e)
	case claimmapper.StepRelease:
		sh.applyRelease(e)
	}
}

// forget drops old keys now and then.
func (c *Claimer) forget(ctx context.Context) error {
	ticker := time.NewTicker(forgetEvery)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			c.table.forget(now.Add(-c.keepFor))
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
