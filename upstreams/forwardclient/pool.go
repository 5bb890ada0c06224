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

// persistConn is one connection to an upstream.
type persistConn struct {
	net.Conn
	reader *bufio.Reader
	// lastUsed is when it was last used, and keep how long the upstream said to
	// keep it; zero where it didn't say.
	lastUsed  time.Time
	keepAlive time.Duration
	// reused tells that it carried a request before.
	reused bool
}

func newPersistConn(netConn net.Conn) *persistConn {
	return &persistConn{Conn: netConn, reader: bufio.NewReaderSize(netConn, readBufferBytes)}
}

// abort ends all reading and writing at once.
func (pc *persistConn) abort() {
	// A connection that is closed already needs no more.
	_ = pc.Conn.Close()
}

// isClean tells that nothing came on the connection while it was unused: bytes
// would belong to no request, and an end means that it is of no use.
func (pc *persistConn) isClean() bool {
	if pc.reader.Buffered() > 0 {
		return false
	}
	syscallConn, ok := pc.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	rawConn, err := syscallConn.SyscallConn()
	if err != nil {
		return false
	}
	noData := false
	err = rawConn.Read(func(fd uintptr) bool {
		var buf [1]byte
		_, _, err := unix.Recvfrom(int(fd), buf[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		noData = err == unix.EAGAIN || err == unix.EWOULDBLOCK
		return true
	})
	return err == nil && noData
}

// keepAliveMargin is how much sooner than the upstream a connection is given up.
const keepAliveMargin = time.Second

// fit tells that a connection is young enough to be used again.
func (pc *persistConn) withinIdleTimeout(now time.Time, idleTimeout time.Duration) bool {
	if pc.keepAlive > 0 {
		idleTimeout = min(idleTimeout, pc.keepAlive-keepAliveMargin)
	}
	return now.Sub(pc.lastUsed) < idleTimeout
}

// poolShardCount is the number of shards of the kept connections.
const poolShardCount = 16

// poolShard holds the unused connections to the upstreams that hash to it.
type poolShard struct {
	mu sync.Mutex
	// idle is guarded by mu and made on first use. A list's last member was
	// used last.
	idle map[quetzalroad.UpstreamName][]*persistConn
}

// get gives the connection used last, if it is fit and clean; nil where there
// is none.
func (s *poolShard) get(u quetzalroad.UpstreamName, idleTimeout time.Duration) *persistConn {
	for {
		pc := s.pop(u)
		if pc == nil {
			return nil
		}
		if !pc.withinIdleTimeout(time.Now(), idleTimeout) {
			// Those below it were used even earlier.
			s.push(u, pc)
			return nil
		}
		if pc.isClean() {
			return pc
		}
		pc.abort()
	}
}

func (s *poolShard) pop(u quetzalroad.UpstreamName) *persistConn {
	s.mu.Lock()
	defer s.mu.Unlock()
	conns := s.idle[u]
	if len(conns) == 0 {
		return nil
	}
	pc := conns[len(conns)-1]
	s.idle[u] = conns[:len(conns)-1]
	return pc
}

func (s *poolShard) push(u quetzalroad.UpstreamName, pc *persistConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.idle == nil {
		s.idle = make(map[quetzalroad.UpstreamName][]*persistConn)
	}
	s.idle[u] = append(s.idle[u], pc)
}

// put keeps a connection, and gives those that were unused for too long, of any
// upstream in the shard, to be closed.
func (s *poolShard) put(u quetzalroad.UpstreamName, pc *persistConn, idleTimeout time.Duration, maxIdle int) {
	pc.lastUsed = time.Now()
	pc.reused = true
	s.push(u, pc)
	for _, expired := range s.evict(pc.lastUsed, idleTimeout, maxIdle) {
		expired.abort()
	}
}

func (s *poolShard) evict(now time.Time, idleTimeout time.Duration, maxIdle int) []*persistConn {
	s.mu.Lock()
	defer s.mu.Unlock()
	var evicted []*persistConn
	for u, conns := range s.idle {
		n := 0
		for n < len(conns) && (len(conns)-n > maxIdle || !conns[n].withinIdleTimeout(now, idleTimeout)) {
			n++
		}
		evicted = append(evicted, conns[:n]...)
		if n == len(conns) {
			delete(s.idle, u)
			continue
		}
		s.idle[u] = conns[n:]
	}
	return evicted
}
