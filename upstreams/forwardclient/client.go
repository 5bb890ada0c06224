// Package forwardclient forwards requests to upstreams over HTTP/1.1 without
// parsing their bodies, and returns the response bodies in chunks.
//
// It has its own connection pool, as it may report a request as not run only if
// it knows whether any byte of it was written, and as an idle connection may
// hold a response to an earlier request or be dead without notice.
package forwardclient

import (
	"context"
	"math"
	"net"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/kernel"
	"github.com/quetzalroad/quetzalroad/support/configloader"
	"github.com/quetzalroad/quetzalroad/support/retrylistener"
	"github.com/quetzalroad/quetzalroad/support/sleeper"
	"github.com/quetzalroad/quetzalroad/upstreams/exitwatcher"
)

func init() {
	kernel.Register(kernel.Plugin{
		Slot: kernel.SlotForwardClient, Name: "relayer",
		New: func() kernel.Component { return new(Client) },
	})
}

// Client implements quetzalroad.ForwardClient.
type Client struct {
	codec                    quetzalroad.UpstreamCodec
	bufferBudget             quetzalroad.BufferBudget
	dialTimeout              time.Duration
	ackTimeout               time.Duration
	idleTimeout              time.Duration
	nonIdempotentIdleTimeout time.Duration
	maxIdlePerUpstream       int
	maxIdlePerShard          int
	maxHeadBytes             int
	maxDiscardedBytes        int
	discardTimeout           time.Duration
	shards                   [poolShardCount]poolShard
	exits                    exitwatcher.Watcher
}

// Declare implements kernel.Component.
func (c *Client) Declare(s *configloader.Section) {
	s.Duration("dial-timeout", &c.dialTimeout, 300*time.Millisecond, time.Millisecond, time.Minute, "Timeout for connecting to an upstream.")
	s.Duration("ack-timeout", &c.ackTimeout, 1500*time.Millisecond, 100*time.Millisecond, time.Minute, "How long sent data or keepalive probes may stay unacknowledged before the connection is closed.")
	s.Duration("idle", &c.idleTimeout, 8*time.Second, 0, time.Hour, "Longest idle time of a connection that is reused.")
	s.Duration("once-idle", &c.nonIdempotentIdleTimeout, 2*time.Second, 0, time.Hour, "Longest idle time of a connection that is reused for a non-idempotent request.")
	s.Int("max-idle", &c.maxIdlePerUpstream, 24, 0, 10000, "Maximum number of idle connections to one upstream.")
	s.Int("max-head-bytes", &c.maxHeadBytes, 16<<10, 1<<10, 1<<20, "Maximum size of a response head, together with the informational responses before it. A longer one ends the attempt.")
	s.Int("max-discarded-bytes", &c.maxDiscardedBytes, 256<<10, 0, 1<<30, "Maximum size of a response body that is read only to reuse the connection, or to reach the response behind it.")
	s.Duration("discard-timeout", &c.discardTimeout, 200*time.Millisecond, time.Millisecond, time.Minute, "Time limit for reading such a body.")
}

// Build implements kernel.Component.
func (c *Client) Build(n *kernel.Node) error {
	if n.UpstreamCodec == nil {
		return errors.New("plug-in relayer requires the slot upstream-fields")
	}
	c.codec = n.UpstreamCodec
	c.exits.Dial = c.dial
	c.maxIdlePerShard = math.MaxInt
	if n.Limits.Descriptors > 0 {
		c.maxIdlePerShard = max(1, n.Limits.Descriptors/idleShare/poolShardCount)
	}
	c.bufferBudget = n.BufferBudget
	n.ForwardClient = c
	n.UpstreamChecker = c
	return nil
}

// idleShare is the part of the process's descriptors that idle connections may take, as a divisor.
const idleShare = 8

func (c *Client) shard(u quetzalroad.UpstreamName) *poolShard {
	return &c.shards[xxhash.Sum64String(string(u))%poolShardCount]
}

// Send implements quetzalroad.ForwardClient.
func (c *Client) Send(ctx context.Context, a *quetzalroad.Attempt) (quetzalroad.ForwardResponse, error) {
	pc, err := c.acquireConn(ctx, a)
	if err != nil {
		return nil, &quetzalroad.AttemptError{Upstream: a.Upstream.Name, NotRun: true, Unsent: true, RetryReason: quetzalroad.RetryDialFailed, Cause: err}
	}
	x := &exchange{client: c, attempt: a, conn: pc}
	x.stopAbort = context.AfterFunc(ctx, pc.abort)
	if err := x.send(ctx); err != nil {
		x.Close()
		return nil, err
	}
	if err := x.receive(ctx); err != nil {
		x.Close()
		return nil, err
	}
	return x, nil
}

// acquireConn returns an idle connection, unless the attempt needs a new one, or opens one.
func (c *Client) acquireConn(ctx context.Context, a *quetzalroad.Attempt) (*persistConn, error) {
	if pc := c.idleConn(a); pc != nil {
		return pc, nil
	}
	netConn, err := c.dial(ctx, a.Upstream)
	if err != nil {
		return nil, err
	}
	return newPersistConn(netConn), nil
}

// idleConn returns an idle connection that the attempt may use; nil if there is none.
func (c *Client) idleConn(a *quetzalroad.Attempt) *persistConn {
	if a.NewConnection {
		return nil
	}
	idleTimeout := c.idleTimeout
	if !a.Request.Idempotent {
		idleTimeout = min(idleTimeout, c.nonIdempotentIdleTimeout)
	}
	return c.shard(a.Upstream.Name).get(a.Upstream.Name, idleTimeout)
}

func (c *Client) dial(ctx context.Context, u quetzalroad.Upstream) (net.Conn, error) {
	dialer := net.Dialer{
		Timeout: c.dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: c.ackTimeout / 2, Interval: max(c.ackTimeout/4, time.Second), Count: 1,
		},
		Control: c.setUserTimeout,
	}
	return c.retryShortage(ctx, func() (net.Conn, error) { return dialer.DialContext(ctx, "tcp", u.Address.String()) })
}

// shortageBackoff is the delay after a dial that failed for want of descriptors; it doubles with each further failure.
const shortageBackoff = 5 * time.Millisecond

// retryShortage repeats a dial that fails for want of descriptors or buffers, within the time for a dial. Idle
// connections are closed to make room.
func (c *Client) retryShortage(ctx context.Context, dial func() (net.Conn, error)) (net.Conn, error) {
	deadline := time.Now().Add(c.dialTimeout)
	for delay := shortageBackoff; ; delay *= 2 {
		conn, err := dial()
		if err == nil || !retrylistener.IsShortage(err) || time.Now().Add(delay).After(deadline) {
			return conn, err
		}
		for i := range c.shards {
			c.shards[i].closeIdle()
		}
		if sleeper.Sleep(ctx, delay) != nil {
			return nil, err
		}
	}
}

// HasExited implements quetzalroad.UpstreamChecker.
func (c *Client) HasExited(ctx context.Context, u quetzalroad.Upstream) bool {
	netConn, err := c.dial(ctx, u)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	// Nothing was sent on the connection, so that an error on closing it means nothing.
	_ = netConn.Close()
	return false
}

// setUserTimeout sets TCP_USER_TIMEOUT, so that the operating system closes a
// connection whose peer no longer acknowledges data.
func (c *Client) setUserTimeout(_, _ string, rawConn syscall.RawConn) error {
	var sockoptErr error
	err := rawConn.Control(func(fd uintptr) {
		sockoptErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(c.ackTimeout.Milliseconds()))
	})
	return errors.CombineErrors(err, sockoptErr)
}
