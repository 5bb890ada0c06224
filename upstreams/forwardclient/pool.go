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

// persistConn is a connection to an upstream that several requests may use in turn.
type persistConn struct {
	net.Conn
	// reader reads from limiter, which bounds response heads.
	reader  *bufio.Reader
	limiter *headLimiter
	// lastUsed is when the last exchange ended, and keepAlive the keep-alive timeout
	// that the upstream stated; zero if it stated none.
	lastUsed  time.Time
	keepAlive time.Duration
	// reused is set once the connection has carried a request.
	reused bool
}

func newPersistConn(netConn net.Conn) *persistConn {
	limiter := &headLimiter{src: netConn}
	return &persistConn{Conn: netConn, reader: bufio.NewReaderSize(limiter, readBufferBytes), limiter: limiter}
}

// abort closes the connection, which ends pending reads and writes.
func (pc *persistConn) abort() {
	// An error means that the connection is closed already.
	_ = pc.Conn.Close()
}

// isClean reports whether the connection is open and without unread data. Data
// that arrived while it was idle belongs to no current request.
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

// keepAliveMargin is how long before the upstream's keep-alive timeout a connection is no longer reused.
const keepAliveMargin = time.Second

// withinIdleTimeout reports whether the connection may still be reused at now.
func (pc *persistConn) withinIdleTimeout(now time.Time, idleTimeout time.Duration) bool {
	if pc.keepAlive > 0 {
		idleTimeout = min(idleTimeout, pc.keepAlive-keepAliveMargin)
	}
	return now.Sub(pc.lastUsed) < idleTimeout
}

// poolShardCount is the number of shards of the connection pool.
const poolShardCount = 16

// poolShard holds the idle connections to the upstreams that hash to it.
type poolShard struct {
	mu sync.Mutex
	// idle is guarded by mu and allocated on first use. Each list is ordered by
	// last use, the most recent at the end.
	idle map[quetzalroad.UpstreamName][]*persistConn
}

// get returns the most recently used connection that is clean and within
// idleTimeout, or nil if there is none.
func (s *poolShard) get(u quetzalroad.UpstreamName, idleTimeout time.Duration) *persistConn {
	for {
		pc := s.pop(u)
		if pc == nil {
			return nil
		}
		if !pc.withinIdleTimeout(time.Now(), idleTimeout) {
			// The remaining connections have been idle for longer.
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

// put adds a connection to the pool, unless the shard holds maxShard. It closes connections to any upstream of the
// shard that exceed maxIdle or have been idle for too long.
func (s *poolShard) put(u quetzalroad.UpstreamName, pc *persistConn, idleTimeout time.Duration, maxIdle, maxShard int) {
	pc.lastUsed = time.Now()
	pc.reused = true
	if s.len() >= maxShard {
		pc.abort()
	} else {
		s.push(u, pc)
	}
	for _, expired := range s.evict(pc.lastUsed, idleTimeout, maxIdle) {
		expired.abort()
	}
}

// len returns the number of idle connections.
func (s *poolShard) len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	total := 0
	for _, conns := range s.idle {
		total += len(conns)
	}
	return total
}

// closeIdle closes all idle connections.
func (s *poolShard) closeIdle() {
	for _, pc := range s.evict(time.Now(), 0, 0) {
		pc.abort()
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
