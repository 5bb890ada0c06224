// Package forwardclient passes requests on to upstreams over HTTP/1.1 with their
// bytes unread, and hands their answers back piece by piece.
//
// It keeps connections of its own, as a promise that a request was not run
// depends on knowing whether any byte of it was written, and a kept connection
// may hold an answer to an earlier request or be dead without telling.
package forwardclient

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/kernel"
	"github.com/quetzalroad/quetzalroad/support/configloader"
)

func init() {
	kernel.Register(kernel.Plugin{
		Slot: kernel.SlotForwardClient, Name: "relayer",
		New: func() kernel.Component { return new(Relayer) },
	})
}

// Relayer is the part that sends requests to upstreams.
type Relayer struct {
	codec       quetzalroad.UpstreamCodec
	dialTimeout time.Duration
	ackTimeout  time.Duration
	idle        time.Duration
	onceIdle    time.Duration
	maxIdle     int
	shards      [poolShards]poolShard
}

// Declare implements kernel.Component.
func (r *Relayer) Declare(s *configloader.Section) {
	s.Duration("dial-timeout", &r.dialTimeout, 300*time.Millisecond, time.Millisecond, time.Minute, "How long a connection to an upstream may take.")
	s.Duration("ack-timeout", &r.ackTimeout, 1500*time.Millisecond, 100*time.Millisecond, time.Minute, "How long an upstream's machine may leave sent bytes or probes unacknowledged.")
	s.Duration("idle", &r.idle, 8*time.Second, 0, time.Hour, "How long an unused connection is kept.")
	s.Duration("once-idle", &r.onceIdle, 2*time.Second, 0, time.Hour, "How long an unused connection may carry a request that can't be repeated.")
	s.Int("max-idle", &r.maxIdle, 24, 0, 10000, "Bound on the unused connections kept to an upstream.")
}

// Build implements kernel.Component.
func (r *Relayer) Build(n *kernel.Node) error {
	if n.UpstreamCodec == nil {
		return errors.New("the relayer needs the slot upstream-fields")
	}
	r.codec = n.UpstreamCodec
	n.ForwardClient = r
	return nil
}

func (r *Relayer) shard(u quetzalroad.UpstreamName) *poolShard {
	return &r.shards[xxhash.Sum64String(string(u))%poolShards]
}

// Send implements quetzalroad.ForwardClient.
func (r *Relayer) Send(ctx context.Context, a *quetzalroad.Attempt) (quetzalroad.ForwardResponse, error) {
	c, err := r.connection(ctx, a)
	if err != nil {
		return nil, &quetzalroad.AttemptError{Upstream: a.Upstream.Name, NotRun: true, Unsent: true, RetryReason: quetzalroad.RetryDialFailed, Cause: err}
	}
	x := &exchange{relayer: r, attempt: a, conn: c}
	x.stopWatch = context.AfterFunc(ctx, c.abort)
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

// connection takes a kept connection or makes one.
func (r *Relayer) connection(ctx context.Context, a *quetzalroad.Attempt) (*conn, error) {
	longest := r.idle
	if !a.Request.Idempotent {
		longest = min(longest, r.onceIdle)
	}
	if c := r.shard(a.Upstream.Name).take(a.Upstream.Name, longest); c != nil {
		return c, nil
	}
	dialer := net.Dialer{
		Timeout: r.dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: r.ackTimeout / 2, Interval: max(r.ackTimeout/4, time.Second), Count: 1,
		},
		Control: r.setUserTimeout,
	}
	raw, err := dialer.DialContext(ctx, "tcp", a.Upstream.Address.String())
	if err != nil {
		return nil, err
	}
	return newConn(raw), nil
}

// setUserTimeout makes the kernel give up a connection whose other end no
// longer acknowledges anything.
func (r *Relayer) setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(r.ackTimeout.Milliseconds()))
	})
	return errors.CombineErrors(err, failed)
}
