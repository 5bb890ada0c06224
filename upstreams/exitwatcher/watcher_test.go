package exitwatcher

import (
	"context"
	"io"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/quetzalroad/quetzalroad"
)

// fakeProcess listens and accepts connections, of which the first one stands for that of a response.
type fakeProcess struct {
	listener net.Listener

	mu sync.Mutex
	// accepted and closing are guarded by mu. closing makes the process close each further connection at once.
	accepted []net.Conn
	closing  bool
}

func startFakeProcess(t *testing.T, address string) *fakeProcess {
	t.Helper()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	f := &fakeProcess{listener: listener}
	go f.accept()
	t.Cleanup(f.exit)
	return f
}

func (f *fakeProcess) accept() {
	for {
		conn, err := f.listener.Accept()
		if err != nil {
			return
		}
		f.mu.Lock()
		f.accepted = append(f.accepted, conn)
		if f.closing {
			_ = conn.Close()
		}
		f.mu.Unlock()
	}
}

func (f *fakeProcess) upstream() quetzalroad.Upstream {
	return quetzalroad.Upstream{Name: "u", Address: netip.MustParseAddrPort(f.listener.Addr().String())}
}

// connection returns an accepted connection, by its number.
func (f *fakeProcess) connection(t *testing.T, number int) net.Conn {
	t.Helper()
	for range 400 {
		f.mu.Lock()
		accepted := f.accepted
		f.mu.Unlock()
		if len(accepted) > number {
			return accepted[number]
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatalf("connection %d was not opened", number)
	return nil
}

// stopListening closes the listener.
func (f *fakeProcess) stopListening() {
	_ = f.listener.Close()
}

// exit closes the listener and all connections.
func (f *fakeProcess) exit() {
	f.stopListening()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, conn := range f.accepted {
		_ = conn.Close()
	}
}

// closeResponse sends the last part of the response and closes its connection.
func closeResponse(t *testing.T, f *fakeProcess) {
	t.Helper()
	conn := f.connection(t, 0)
	if _, err := conn.Write([]byte("the last part")); err != nil {
		t.Error(err)
	}
	_ = conn.Close()
}

// closeIdleConnection closes the silent connection once a check has found it open, and waits for the next one.
func closeIdleConnection(t *testing.T, f *fakeProcess) {
	t.Helper()
	time.Sleep(2 * checkInterval)
	_ = f.connection(t, 1).Close()
	f.connection(t, 2)
}

// closeOtherConnections closes all connections but that of the response, also those that are opened later.
func closeOtherConnections(t *testing.T, f *fakeProcess) {
	t.Helper()
	f.mu.Lock()
	f.closing = true
	f.mu.Unlock()
	_ = f.connection(t, 1).Close()
	time.Sleep(2 * checkInterval)
}

func dial(ctx context.Context, u quetzalroad.Upstream) (net.Conn, error) {
	return new(net.Dialer).DialContext(ctx, "tcp", u.Address.String())
}

// Guards against a response that was cut by the exit of its process and counts as whole, whatever listens at the
// address afterwards, and against a whole one that counts as cut.
func TestOutlivedResponse(t *testing.T) {
	for name, c := range map[string]struct {
		before func(t *testing.T, f *fakeProcess)
		end    func(t *testing.T, f *fakeProcess)
		want   bool
	}{
		"closes the response": {
			end: closeResponse, want: true,
		},
		"closes the response and listens no longer": {
			end: func(t *testing.T, f *fakeProcess) {
				f.stopListening()
				closeResponse(t, f)
			}, want: true,
		},
		"exits": {
			end: func(_ *testing.T, f *fakeProcess) { f.exit() },
		},
		"exits and another process takes the address": {
			end: func(t *testing.T, f *fakeProcess) {
				f.exit()
				startFakeProcess(t, f.listener.Addr().String())
			},
		},
		"had closed the silent connection, as it was idle": {
			before: closeIdleConnection,
			end:    closeResponse, want: true,
		},
		"had closed the silent connection, and exits": {
			before: closeIdleConnection,
			end:    func(_ *testing.T, f *fakeProcess) { f.exit() },
		},
		"keeps no other connection open": {
			before: closeOtherConnections,
			end:    closeResponse, want: true,
		},
		"keeps no other connection open, and exits": {
			before: closeOtherConnections,
			end:    func(_ *testing.T, f *fakeProcess) { f.exit() },
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := startFakeProcess(t, "127.0.0.1:0")
			response, err := dial(t.Context(), f.upstream())
			if err != nil {
				t.Fatal(err)
			}
			defer response.Close()
			w := Watcher{Dial: dial}
			watch := w.Watch(f.upstream())
			defer watch.Stop()
			f.connection(t, 1)
			if c.before != nil {
				c.before(t, f)
			}
			c.end(t, f)
			if _, err := io.Copy(io.Discard, response); err != nil {
				t.Fatal(err)
			}
			if got := watch.OutlivedResponse(t.Context(), response); got != c.want {
				t.Errorf("got %v, want %v", got, c.want)
			}
		})
	}
}

// Guards against a response that was cut before it was read, by a process that was replaced before a second connection
// to it was open, as happens at a node that stood still.
func TestEndThatIsReadLateIsNotConfirmedByAnotherProcess(t *testing.T) {
	// The operating system responds to keepalive probes after the process has exited.
	const probeInterval = time.Second
	f := startFakeProcess(t, "127.0.0.1:0")
	dialer := net.Dialer{KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeInterval, Interval: probeInterval}}
	response, err := dialer.DialContext(t.Context(), "tcp", f.upstream().Address.String())
	if err != nil {
		t.Fatal(err)
	}
	defer response.Close()
	if _, err := f.connection(t, 0).Write([]byte("a part")); err != nil {
		t.Fatal(err)
	}
	f.exit()
	startFakeProcess(t, f.listener.Addr().String())
	time.Sleep(probeInterval + replacementTime/2)
	w := Watcher{Dial: dial}
	watch := w.Watch(f.upstream())
	defer watch.Stop()
	if watch.OutlivedResponse(t.Context(), response) {
		t.Error("the process that took the address counts as the one that responded")
	}
}

// Guards against a cut response that is read late, after another one of the same process had a second connection opened,
// which reached the process that took the address.
func TestConnectionThatIsOpenedLateConfirmsNoOtherResponse(t *testing.T) {
	f := startFakeProcess(t, "127.0.0.1:0")
	response, err := dial(t.Context(), f.upstream())
	if err != nil {
		t.Fatal(err)
	}
	defer response.Close()
	f.connection(t, 0)
	f.exit()
	other := startFakeProcess(t, f.listener.Addr().String())
	time.Sleep(replacementTime + 100*time.Millisecond)
	w := Watcher{Dial: dial}
	first, second := w.Watch(f.upstream()), w.Watch(f.upstream())
	defer first.Stop()
	defer second.Stop()
	other.connection(t, 0)
	time.Sleep(2 * checkInterval)
	if second.OutlivedResponse(t.Context(), response) {
		t.Error("the process that took the address counts as the one that responded")
	}
}

// Guards against a connection for each of the responses of one process.
func TestResponsesOfAProcessShareAConnection(t *testing.T) {
	f := startFakeProcess(t, "127.0.0.1:0")
	w := Watcher{Dial: dial}
	first, second := w.Watch(f.upstream()), w.Watch(f.upstream())
	f.connection(t, 0)
	first.Stop()
	if !second.OutlivedResponse(t.Context(), nil) {
		t.Error("a process that runs counts as exited")
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if got := len(f.accepted); got > 2 {
		t.Errorf("%d connections, want one to watch and one to ask", got)
	}
	second.Stop()
}
