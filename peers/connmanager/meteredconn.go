package connmanager

import (
	"context"
	"net"
	"sync"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/support/bufferer"
	"github.com/quetzalroad/quetzalroad/support/stalltimer"
)

const (
	// maxBufferedBytes bounds the memory of the messages that are being received on all connections.
	maxBufferedBytes = 24 << 20
	// messageCopies is how often a message may be in memory while it is received and decoded.
	messageCopies = 4
)

// meteredConn reserves memory for the messages that are received on a connection. A message is what comes between
// two writes, since a connection carries one call at a time.
type meteredConn struct {
	net.Conn
	mu sync.Mutex
	// The fields below are guarded by mu. messageBytes is the length of the message so far, and longest that of the
	// longest one, as the buffers of a connection don't shrink. After the close nothing is reserved.
	messageBytes, longest int
	reservation           bufferer.Reservation
	closed                bool
	// calls holds the contexts of the calls that wait for data on the connection, by their number. It is allocated on
	// first use.
	calls    map[int]context.Context
	lastCall int
}

func newMeteredConn(conn net.Conn, budget *bufferer.Budget) *meteredConn {
	return &meteredConn{Conn: conn, reservation: bufferer.Reservation{Budget: budget}}
}

// Read implements net.Conn. If the budget is used up, it returns quetzalroad.ErrBuffersFull, which ends the
// connection.
func (c *meteredConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.advanceCalls()
	}
	if !c.reserve(n) {
		return n, quetzalroad.ErrBuffersFull
	}
	return n, err
}

// beginCall has data that arrives advance the timer of a call, until the returned function is called. Calls that
// wait for their turn on the connection are advanced too.
func (c *meteredConn) beginCall(ctx context.Context) (end func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.calls == nil {
		c.calls = make(map[int]context.Context)
	}
	c.lastCall++
	number := c.lastCall
	c.calls[number] = ctx
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.calls, number)
	}
}

func (c *meteredConn) advanceCalls() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, ctx := range c.calls {
		stalltimer.Advance(ctx)
	}
}

func (c *meteredConn) reserve(bytes int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.messageBytes += bytes
	c.longest = max(c.longest, c.messageBytes)
	return c.closed || c.reservation.Resize(messageCopies*c.longest)
}

// Write implements net.Conn.
func (c *meteredConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	c.messageBytes = 0
	c.mu.Unlock()
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *meteredConn) Close() error {
	c.mu.Lock()
	c.closed = true
	c.reservation.Release()
	c.mu.Unlock()
	return c.Conn.Close()
}
