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

// The handshake before a connection carries calls:
//
//	dialer   → listener  nonce a, time, HMAC(key, "hello", a, time)
//	listener → dialer    nonce b, HMAC(key, "welcome", a, b)
//	dialer   → listener  HMAC(key, "proof", b)
//
// The listener answers only to a hello that holds, so that a stranger gets no
// byte, and takes calls only after the proof, so that a hello that was
// recorded and sent again opens nothing.

const (
	// nonceBytes is the size of a nonce.
	nonceBytes = 32
	// timestampBytes is the size of a time in seconds since 1970.
	timestampBytes = 8
	// maxClockSkew bounds the difference between two nodes' clocks.
	maxClockSkew = 5 * time.Minute
)

var errAuthentication = errors.New("the other end doesn't hold the key")

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
	// Reading random bytes never fails.
	_, _ = rand.Read(n)
	return n
}

// dialerHandshake runs the dialer's side.
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

// listenerHandshake runs the listener's side.
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
