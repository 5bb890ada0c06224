package connmanager

import (
	"context"
	"encoding/binary"
	"log/slog"
	"net"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"storj.io/drpc"
	"storj.io/drpc/drpcmux"
)

// maxPeerHeapBytes is half of the memory of the smallest node, at whose end its process is killed.
const maxPeerHeapBytes = 284 << 20 / 2

// writeEndlessMessage writes a message that doesn't end within maxBytes, and then nothing until ctx is done.
func writeEndlessMessage(ctx context.Context, conn net.Conn, maxBytes int) {
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	defer conn.Close()
	// The frame's control byte for an invocation, its stream and message, and its length.
	block := binary.AppendUvarint([]byte{1 << 1, 1, 1}, uint64(2*maxBytes))
	for n := 0; n < maxBytes; n += len(block) {
		if _, err := conn.Write(block); err != nil {
			return
		}
		block = make([]byte, 16<<10)
	}
	<-ctx.Done()
}

// awaitWholeBudget fails the test if closed connections keep a part of the budget.
func awaitWholeBudget(t *testing.T, m *Manager) {
	t.Helper()
	for giveUp := time.Now().Add(10 * time.Second); !m.budget.Acquire(maxBufferedBytes); time.Sleep(time.Millisecond) {
		if time.Now().After(giveUp) {
			t.Fatal("closed connections hold a part of the budget")
		}
	}
}

// Several peers that sent messages without end, as callers or in their answers, used up the memory of a node.
func TestEndlessMessagesDoNotUseUpTheMemory(t *testing.T) {
	const (
		peers        = 16
		messageBytes = 30 << 20
		timeout      = 2 * time.Second
	)
	for name, answers := range map[string]bool{"requests": false, "answers": true} {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), timeout)
			defer cancel()
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer listener.Close()
			address := netip.MustParseAddrPort(listener.Addr().String())
			manager := &Manager{Logger: slog.New(slog.DiscardHandler), DialTimeout: time.Second, IdleTimeout: time.Minute}
			heap := func() uint64 {
				var stats runtime.MemStats
				runtime.ReadMemStats(&stats)
				return stats.HeapAlloc
			}
			runtime.GC()
			before, peak := heap(), uint64(0)
			if !answers {
				go func() { _ = manager.Serve(ctx, listener, drpcmux.New()) }()
			}
			for i := range peers {
				if !answers {
					go func() {
						if conn, err := net.Dial("tcp", address.String()); err == nil {
							writeEndlessMessage(ctx, conn, messageBytes)
						}
					}()
					continue
				}
				// Each peer has an address of its own.
				own, err := net.Listen("tcp", netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(i + 1)}), 0).String())
				if err != nil {
					t.Fatal(err)
				}
				defer own.Close()
				go func() {
					if conn, err := own.Accept(); err == nil {
						writeEndlessMessage(ctx, conn, messageBytes)
					}
				}()
				go func() {
					// The calls end with ctx or before.
					_ = manager.Call(ctx, netip.MustParseAddrPort(own.Addr().String()), func(conn drpc.Conn) error {
						select {
						case <-conn.Closed():
						case <-ctx.Done():
						}
						return ctx.Err()
					})
				}()
			}
			for ctx.Err() == nil {
				time.Sleep(5 * time.Millisecond)
				peak = max(peak, heap())
			}
			manager.closeAll()
			awaitWholeBudget(t, manager)
			used := int64(peak) - int64(before)
			t.Logf("%d MB at the peak", used>>20)
			if used > maxPeerHeapBytes {
				t.Errorf("the heap grew by %d MB, want at most %d MB", used>>20, maxPeerHeapBytes>>20)
			}
		})
	}
}
