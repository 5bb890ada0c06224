package linker

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
	// timeBytes is the size of a time in seconds since 1970.
	timeBytes = 8
	// maxSkew bounds the difference between two nodes' clocks.
	maxSkew = 5 * time.Minute
)

var errProof = errors.New("the other end doesn't hold the key")

func sum(key []byte, label string, parts ...[]byte) []byte {
	h := hmac.New(sha256.New, key)
	h.Write([]byte(label))
	for _, p := range parts {
		h.Write(p)
	}
	return h.Sum(nil)
}

func nonce() []byte {
	n := make([]byte, nonceBytes)
	// Reading random bytes never fails.
	_, _ = rand.Read(n)
	return n
}

// giveProof runs the dialer's side.
func giveProof(conn net.Conn, key []byte, timeout time.Duration) error {
	if err := conn.SetDeadline(time.Now().Add(timeout)); err != nil {
		return err
	}
	a := nonce()
	now := binary.BigEndian.AppendUint64(nil, uint64(time.Now().Unix()))
	hello := append(append(append([]byte{}, a...), now...), sum(key, "hello", a, now)...)
	if _, err := conn.Write(hello); err != nil {
		return err
	}
	welcome := make([]byte, nonceBytes+sha256.Size)
	if _, err := io.ReadFull(conn, welcome); err != nil {
		return err
	}
	b := welcome[:nonceBytes]
	if !hmac.Equal(welcome[nonceBytes:], sum(key, "welcome", a, b)) {
		return errProof
	}
	if _, err := conn.Write(sum(key, "proof", b)); err != nil {
		return err
	}
	return conn.SetDeadline(time.Time{})
}

// acceptProof runs the listener's side.
func acceptProof(conn net.Conn, key []byte, timeout time.Duration) error {
	if err := conn.SetDeadline(time.Now().Add(timeout)); err != nil {
		return err
	}
	hello := make([]byte, nonceBytes+timeBytes+sha256.Size)
	if _, err := io.ReadFull(conn, hello); err != nil {
		return err
	}
	a := hello[:nonceBytes]
	at := hello[nonceBytes : nonceBytes+timeBytes]
	if !hmac.Equal(hello[nonceBytes+timeBytes:], sum(key, "hello", a, at)) {
		return errProof
	}
	skew := time.Since(time.Unix(int64(binary.BigEndian.Uint64(at)), 0))
	if skew.Abs() > maxSkew {
		return errProof
	}
	b := nonce()
	if _, err := conn.Write(append(append([]byte{}, b...), sum(key, "welcome", a, b)...)); err != nil {
		return err
	}
	proof := make([]byte, sha256.Size)
	if _, err := io.ReadFull(conn, proof); err != nil {
		return err
	}
	if !hmac.Equal(proof, sum(key, "proof", b)) {
		return errProof
	}
	return conn.SetDeadline(time.Time{})
}
