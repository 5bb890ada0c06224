package exitwatcher

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// discardBytes is the size of the parts in which data is discarded, and maxDiscards bounds their number in a check.
	discardBytes = 512
	maxDiscards  = 8
)

// isOpen reports whether the other side has neither closed nor reset a connection. Data that arrived before is
// discarded: an upstream may send a refusal before it closes an idle connection.
func isOpen(conn net.Conn) bool {
	open := false
	control(conn, func(fd int) {
		var buf [discardBytes]byte
		for range maxDiscards {
			n, _, err := unix.Recvfrom(fd, buf[:], unix.MSG_DONTWAIT)
			open = n > 0 || err == unix.EAGAIN || err == unix.EINTR
			if n <= 0 {
				return
			}
		}
	})
	return open
}

// dataAge returns how long ago the last data arrived on a connection, also if the other side has ended it since; zero if
// that is unknown. The operating system counts while this process stands still. Packets
// without data don't matter: it responds to keepalive probes long after a process has exited.
func dataAge(conn net.Conn) time.Duration {
	if conn == nil {
		return 0
	}
	var age time.Duration
	control(conn, func(fd int) {
		info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		if err == nil {
			age = time.Duration(info.Last_data_recv) * time.Millisecond
		}
	})
	return age
}

// control calls f with the descriptor of a connection, unless it has none or is closed.
func control(conn net.Conn, f func(fd int)) {
	syscallConn, ok := conn.(syscall.Conn)
	if !ok {
		return
	}
	rawConn, err := syscallConn.SyscallConn()
	if err != nil {
		return
	}
	// An error means that this side has closed the connection, and f was not called.
	_ = rawConn.Control(func(fd uintptr) { f(int(fd)) })
}
