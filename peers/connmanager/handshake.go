package connmanager

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"io"
	"net"
	"time"

	"github.com/cockroachdb/errors"
)

// Handshake on a new connection, with the dialer's nonce a and the listener's nonce b:
//
//	dialer   → listener  a, timestamp, HMAC(key, "hello", a, timestamp)
//	listener → dialer    b, HMAC(key, "welcome", a, b)
//	dialer   → listener  HMAC(key, "proof", b)
//
// The listener replies only to a valid hello, so it sends nothing to a dialer without
// the key. It accepts calls only after the proof, which prevents replay of a hello.

const (
	nonceBytes = 32
	// timestampBytes is the size of a Unix time in seconds.
	timestampBytes = 8
	// maxClockSkew is the largest accepted difference between two nodes' clocks.
	maxClockSkew = 5 * time.Minute
)

var errAuthentication = errors.New("handshake failed: different shared key, or clocks too far apart")

func mac(key []byte, label string, parts ...[]byte) []byte {
	h := hmac.New(sha256.New, key)
	h.Write([]byte(label))
	for _, p := range parts {
		h.Write(p)
	}
	return h.Sum(nil)
}

func newNonce() []byte {
	n := make([]byte, nonceBytes)
	// crypto/rand.Read never returns an error.
	_, _ = rand.Read(n)
	return n
}

// dialerHandshake runs the dialer's side of the handshake.
func dialerHandshake(conn net.Conn, key []byte, timeout time.Duration) error {
	if err := conn.SetDeadline(time.Now().Add(timeout)); err != nil {
		return err
	}
	dialerNonce := newNonce()
	timestamp := binary.BigEndian.AppendUint64(nil, uint64(time.Now().Unix()))
	hello := append(append(append([]byte{}, dialerNonce...), timestamp...), mac(key, "hello", dialerNonce, timestamp)...)
	if _, err := conn.Write(hello); err != nil {
		return err
	}
	welcome := make([]byte, nonceBytes+sha256.Size)
	if _, err := io.ReadFull(conn, welcome); err != nil {
		return err
	}
	listenerNonce := welcome[:nonceBytes]
	if !hmac.Equal(welcome[nonceBytes:], mac(key, "welcome", dialerNonce, listenerNonce)) {
		return errAuthentication
	}
	if _, err := conn.Write(mac(key, "proof", listenerNonce)); err != nil {
		return err
	}
	return conn.SetDeadline(time.Time{})
}

// listenerHandshake runs the listener's side of the handshake.
func listenerHandshake(conn net.Conn, key []byte, timeout time.Duration) error {
	if err := conn.SetDeadline(time.Now().Add(timeout)); err != nil {
		return err
	}
	hello := make([]byte, nonceBytes+timestampBytes+sha256.Size)
	if _, err := io.ReadFull(conn, hello); err != nil {
		return err
	}
	dialerNonce := hello[:nonceBytes]
	timestamp := hello[nonceBytes : nonceBytes+timestampBytes]
	if !hmac.Equal(hello[nonceBytes+timestampBytes:], mac(key, "hello", dialerNonce, timestamp)) {
		return errAuthentication
	}
	skew := time.Since(time.Unix(int64(binary.BigEndian.Uint64(timestamp)), 0))
	if skew.Abs() > maxClockSkew {
		return errAuthentication
	}
	listenerNonce := newNonce()
	if _, err := conn.Write(append(append([]byte{}, listenerNonce...), mac(key, "welcome", dialerNonce, listenerNonce)...)); err != nil {
		return err
	}
	proof := make([]byte, sha256.Size)
	if _, err := io.ReadFull(conn, proof); err != nil {
		return err
	}
	if !hmac.Equal(proof, mac(key, "proof", listenerNonce)) {
		return errAuthentication
	}
	return conn.SetDeadline(time.Time{})
}
