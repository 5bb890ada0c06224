package linker

import (
	"errors"
	"net"
	"testing"
	"time"
)

// handshake runs both sides over a pipe and gives their errors.
func handshake(t *testing.T, dialer, listener string) (given, accepted error) {
	t.Helper()
	a, b := net.Pipe()
	done := make(chan error, 1)
	go func() {
		err := acceptProof(b, []byte(listener), 5*time.Second)
		if err != nil {
			b.Close()
		}
		done <- err
	}()
	given = giveProof(a, []byte(dialer), 5*time.Second)
	accepted = <-done
	a.Close()
	b.Close()
	return given, accepted
}

func TestBothEndsProveTheKey(t *testing.T) {
	if given, accepted := handshake(t, "the same key of both", "the same key of both"); given != nil || accepted != nil {
		t.Errorf("dialer: %v, listener: %v", given, accepted)
	}
}

func TestStrangerGetsNoByte(t *testing.T) {
	a, b := net.Pipe()
	done := make(chan error, 1)
	go func() {
		done <- acceptProof(b, []byte("the key"), 5*time.Second)
		b.Close()
	}()
	if _, err := a.Write(make([]byte, nonceBytes+timeBytes+len(sum(nil, "")))); err != nil {
		t.Fatal(err)
	}
	n, err := a.Read(make([]byte, 1))
	if n != 0 || err == nil {
		t.Errorf("a stranger read %d bytes, err %v", n, err)
	}
	if err := <-done; !errors.Is(err, errProof) {
		t.Errorf("the listener says %v", err)
	}
}

func TestWrongKeyIsRefused(t *testing.T) {
	given, accepted := handshake(t, "one key of a deployment", "the key of another one")
	if given == nil || !errors.Is(accepted, errProof) {
		t.Errorf("dialer: %v, listener: %v", given, accepted)
	}
}
