package forwardclient

import (
	"bufio"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/quetzalroad/quetzalroad"
)

// readBufferBytes is the size of a connection's read buffer.
const readBufferBytes = 4 << 10

// conn is one connection to an upstream.
type conn struct {
	net.Conn
	reader *bufio.Reader
	// since is when it was last used, and keep how long the upstream said to
	// keep it; zero where it didn't say.
	since time.Time
	keep  time.Duration
	// used tells that it carried a request before.
	used bool
}

func newConn(raw net.Conn) *conn {
	return &conn{Conn: raw, reader: bufio.NewReaderSize(raw, readBufferBytes)}
}

// abort ends all reading and writing at once.
func (c *conn) abort() {
	// A connection that is closed already needs no more.
	_ = c.Conn.Close()
}

// clean tells that nothing came on the connection while it was unused: bytes
// would belong to no request, and an end means that it is of no use.
func (c *conn) clean() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	source, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = err == unix.EAGAIN || err == unix.EWOULDBLOCK
		return true
	})
	return err == nil && quiet
}

// keepMargin is how much sooner than the upstream a connection is given up.
const keepMargin = time.Second

// fit tells that a connection is young enough to be used again.
func (c *conn) fit(now time.Time, longest time.Duration) bool {
	if c.keep > 0 {
		longest = min(longest, c.keep-keepMargin)
	}
	return now.Sub(c.since) < longest
}

// poolShards is the number of shards of the kept connections.
const poolShards = 16

// poolShard holds the unused connections to the upstreams that hash to it.
type poolShard struct {
	mu sync.Mutex
	// idle is guarded by mu and made on first use. A list's last member was
	// used last.
	idle map[quetzalroad.UpstreamName][]*conn
}

// take gives the connection used last, if it is fit and clean; nil where there
// is none.
func (s *poolShard) take(u quetzalroad.UpstreamName, longest time.Duration) *conn {
	for {
		c := s.pop(u)
		if c == nil {
			return nil
		}
		if !c.fit(time.Now(), longest) {
			// Those below it were used even earlier.
			s.push(u, c)
			return nil
		}
		if c.clean() {
			return c
		}
		c.abort()
	}
}

func (s *poolShard) pop(u quetzalroad.UpstreamName) *conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := s.idle[u]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	s.idle[u] = list[:len(list)-1]
	return c
}

func (s *poolShard) push(u quetzalroad.UpstreamName, c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.idle == nil {
		s.idle = make(map[quetzalroad.UpstreamName][]*conn)
	}
	s.idle[u] = append(s.idle[u], c)
}

// put keeps a connection, and gives those that were unused for too long, of any
// upstream in the shard, to be closed.
func (s *poolShard) put(u quetzalroad.UpstreamName, c *conn, longest time.Duration, most int) {
	c.since = time.Now()
	c.used = true
	s.push(u, c)
	for _, old := range s.expire(c.since, longest, most) {
		old.abort()
	}
}

func (s *poolShard) expire(now time.Time, longest time.Duration, most int) []*conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []*conn
	for u, list := range s.idle {
		drop := 0
		for drop < len(list) && (len(list)-drop > most || !list[drop].fit(now, longest)) {
			drop++
		}
		out = append(out, list[:drop]...)
		if drop == len(list) {
			delete(s.idle, u)
			continue
		}
		s.idle[u] = list[drop:]
	}
	return out
}
