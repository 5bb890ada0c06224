package intaker

import (
	"container/list"
	"expvar"
	"sync"
)

// connection is the state of a connection in the table.
type connection struct {
	// counted is set while the connection is in the table, and fresh is its place among those whose first request
	// hasn't arrived, or nil. They are guarded by the lock of the table.
	counted bool
	fresh   *list.Element
	// evicted is set if the connection has to give way. It is guarded by the lock of the table.
	evicted bool
}

// freshConnection is a connection whose first request hasn't arrived.
type freshConnection struct {
	connection *connection
	disconnect func()
}

// connectionTable counts the connections, and closes the oldest without a request to make room for a new one. Those
// that have carried a request are kept, as their callers may send the next one at any time.
type connectionTable struct {
	max       int
	evictions expvar.Int

	mu sync.Mutex
	// count and fresh are guarded by mu. fresh holds freshConnection values, the oldest first.
	count int
	fresh list.List
}

// add adds a new connection, and reports whether there was room.
func (t *connectionTable) add(c *connection, disconnect func()) bool {
	t.mu.Lock()
	var oldest func()
	if t.count >= t.max {
		first := t.fresh.Front()
		if first == nil {
			t.mu.Unlock()
			return false
		}
		evicted := first.Value.(freshConnection)
		t.removeLocked(evicted.connection)
		evicted.connection.evicted = true
		oldest = evicted.disconnect
	}
	t.count++
	c.counted = true
	c.fresh = t.fresh.PushBack(freshConnection{c, disconnect})
	t.mu.Unlock()
	if oldest != nil {
		t.evictions.Add(1)
		oldest()
	}
	return true
}

// setBusy records that a request has arrived on the connection, unless the connection has to give way already.
func (t *connectionTable) setBusy(c *connection) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if c.fresh != nil {
		t.fresh.Remove(c.fresh)
		c.fresh = nil
	}
	return !c.evicted
}

func (t *connectionTable) isEvicted(c *connection) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return c.evicted
}

func (t *connectionTable) remove(c *connection) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.removeLocked(c)
}

func (t *connectionTable) removeLocked(c *connection) {
	if c.fresh != nil {
		t.fresh.Remove(c.fresh)
		c.fresh = nil
	}
	if c.counted {
		c.counted = false
		t.count--
	}
}

func (t *connectionTable) len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.count
}
