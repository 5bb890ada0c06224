package connmanager

import (
	"errors"
	"net"
	"testing"
	"time"
)

// handshake runs both sides over a pipe and returns their errors.
func handshake(t *testing.T, dialerKey, listenerKey string) (dialerErr, listenerErr error) {
	t.Helper()
	dialerConn, listenerConn := net.Pipe()
	done := make(chan error, 1)
	go func() {
		err := listenerHandshake(listenerConn, []byte(listenerKey), 5*time.Second)
		if err != nil {
			listenerConn.Close()
		}
		done <- err
	}()
	dialerErr = dialerHandshake(dialerConn, []byte(dialerKey), 5*time.Second)
	listenerErr = <-done
	dialerConn.Close()
	listenerConn.Close()
	return dialerErr, listenerErr
}

func TestHandshakeWithSharedKey(t *testing.T) {
	if dialerErr, listenerErr := handshake(t, "the same key of both", "the same key of both"); dialerErr != nil || listenerErr != nil {
		t.Errorf("dialer: %v, listener: %v", dialerErr, listenerErr)
	}
}

func TestListenerSendsNothingToUnauthenticatedDialer(t *testing.T) {
	dialerConn, listenerConn := net.Pipe()
	done := make(chan error, 1)
	go func() {
		done <- listenerHandshake(listenerConn, []byte("the key"), 5*time.Second)
		listenerConn.Close()
	}()
	if _, err := dialerConn.Write(make([]byte, nonceBytes+timestampBytes+len(mac(nil, "")))); err != nil {
		t.Fatal(err)
	}
	n, err := dialerConn.Read(make([]byte, 1))
	if n != 0 || err == nil {
		t.Errorf("unauthenticated dialer read %d bytes, err %v; want none and an error", n, err)
	}
	if err := <-done; !errors.Is(err, errAuthentication) {
		t.Errorf("listener: %v, want errAuthentication", err)
	}
}

func TestHandshakeFailsWithDifferentKeys(t *testing.T) {
	dialerErr, listenerErr := handshake(t, "one key of a deployment", "the key of another one")
	if dialerErr == nil || !errors.Is(listenerErr, errAuthentication) {
		t.Errorf("dialer: %v, listener: %v", dialerErr, listenerErr)
	}
}
