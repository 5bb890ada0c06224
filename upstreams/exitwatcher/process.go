package exitwatcher

import (
	"context"
	"net"
	"slices"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/support/boottimer"
	"github.com/quetzalroad/quetzalroad/support/sleeper"
)

const (
	// checkInterval is the time between two checks of the second connection while the response arrives.
	checkInterval = 250 * time.Millisecond
	// exitTime is the time within which all connections of a process that exits end.
	exitTime = 10 * time.Millisecond
	// retransmitTime is the time within which the end of a connection arrives although it was lost on the way once.
	retransmitTime = 300 * time.Millisecond
	// dialTimeout bounds the dials after the end of a response.
	dialTimeout = time.Second
)

// process is a process that is watched. One goroutine owns the connection.
type process struct {
	upstream quetzalroad.Upstream
	dial     DialFunc
	// watches counts the responses, and is guarded by the mutex of the shard.
	watches   int
	questions chan question
	stopped   chan struct{}
}

// question asks whether the process outlived a response.
type question struct {
	// readAt is when the end of the response was read, and dataAge how long before that its last data arrived.
	readAt  time.Time
	dataAge time.Duration
	// answer is buffered.
	answer chan bool
}

// lastDataAt is when the process was certainly there.
func (q question) lastDataAt() time.Time {
	return q.readAt.Add(-q.dataAge)
}

func startProcess(dial DialFunc, u quetzalroad.Upstream) *process {
	p := &process{upstream: u, dial: dial, questions: make(chan question), stopped: make(chan struct{})}
	go p.run()
	return p
}

func (p *process) stop() {
	close(p.stopped)
}

// outlived reports whether the process outlived a response, whose last data arrived some time before now.
func (p *process) outlived(ctx context.Context, dataAge time.Duration) bool {
	q := question{readAt: time.Now(), dataAge: dataAge, answer: make(chan bool, 1)}
	select {
	case p.questions <- q:
	case <-ctx.Done():
		return false
	}
	select {
	case ran := <-q.answer:
		return ran
	case <-ctx.Done():
		return false
	}
}

// run watches the process until the last response has ended.
func (p *process) run() {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	c := secondConn{process: p}
	c.open(ctx)
	defer func() { c.close() }()
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-p.stopped:
			return
		case <-ticker.C:
			c.check(ctx)
		case q := <-p.questions:
			p.respond(ctx, &c, q)
		}
	}
}

// respond answers a question, and those that were asked meanwhile. All their responses have ended before.
func (p *process) respond(ctx context.Context, c *secondConn, first question) {
	asked := []question{first}
	for pending := true; pending; {
		select {
		case q := <-p.questions:
			asked = append(asked, q)
		default:
			pending = false
		}
	}
	lastRead := slices.MaxFunc(asked, func(a, b question) int { return a.readAt.Compare(b.readAt) }).readAt
	e := p.collect(ctx, c, lastRead)
	for _, q := range asked {
		q.answer <- e.showsProcessRan(q)
	}
}

// collect collects the evidence after the ends of responses were read, the last one at lastRead.
func (p *process) collect(ctx context.Context, c *secondConn, lastRead time.Time) evidence {
	if c.state == connLost {
		return evidence{conn: connLost}
	}
	if c.state == connOpen && c.openedAt.After(lastRead) {
		// All the responses had ended before there was a second connection.
		return evidence{conn: connMissing, dial: dialAccepted}
	}
	if err := sleeper.Sleep(ctx, exitTime); err != nil {
		return evidence{}
	}
	e := evidence{dial: p.ask(ctx)}
	if e.dial != dialAccepted && c.state == connOpen {
		if err := sleeper.Sleep(ctx, retransmitTime); err != nil {
			return evidence{}
		}
	}
	if c.state == connOpen && !isOpen(c.conn) {
		c.lose()
	}
	e.conn, e.openedAt = c.state, c.openedAt
	return e
}

// ask dials the address of the process until it responds or dialTimeout is over.
func (p *process) ask(ctx context.Context) dialResult {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	for ctx.Err() == nil {
		conn, err := p.dial(ctx, p.upstream)
		switch {
		case err == nil:
			// Nothing was sent on the connection, so that an error on closing it means nothing.
			_ = conn.Close()
			return dialAccepted
		case errors.Is(err, syscall.ECONNREFUSED):
			return dialRefused
		}
		// An error may come at once, for example if there is no route.
		if sleeper.Sleep(ctx, exitTime) != nil {
			break
		}
	}
	return dialSilent
}

// secondConn is the second connection to a process. It must not be used concurrently.
type secondConn struct {
	process *process
	state   connState
	// conn is valid while state is connOpen. openedAt is when it was opened, and foundOpen is set once a check found it
	// open. confirmedAt is when it was last known to be open.
	conn        net.Conn
	openedAt    time.Time
	foundOpen   bool
	confirmedAt boottimer.Instant
}

func (c *secondConn) open(ctx context.Context) {
	conn, err := c.process.dial(ctx, c.process.upstream)
	if err != nil {
		return
	}
	c.conn, c.state = conn, connOpen
	c.openedAt, c.foundOpen, c.confirmedAt = time.Now(), false, boottimer.Now()
}

func (c *secondConn) close() {
	if c.state == connOpen {
		// Nothing was sent on the connection, so that an error on closing it means nothing.
		_ = c.conn.Close()
	}
}

func (c *secondConn) lose() {
	c.close()
	c.state = connLost
}

// check replaces the connection if the upstream has closed it, for example as it was idle for long. Another one that is
// accepted at once leads to the same process, unless the end of the first one is noticed late. An upstream at its limit
// of connections closes each one at once.
func (c *secondConn) check(ctx context.Context) {
	if c.state != connOpen {
		return
	}
	if isOpen(c.conn) {
		c.foundOpen, c.confirmedAt = true, boottimer.Now()
		return
	}
	c.lose()
	switch {
	case c.confirmedAt.Age() > replacementTime:
	case !c.foundOpen:
		c.state = connMissing
	default:
		c.open(ctx)
	}
}
