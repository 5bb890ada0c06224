package vmclient

import (
	"expvar"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/quetzalroad/quetzalroad/kernel"
	"github.com/quetzalroad/quetzalroad/support/configloader"
	"github.com/quetzalroad/quetzalroad/support/recorder"
)

// A list of VMs without end was read up to 16 MiB, again and again, and more was kept meanwhile.
func TestListWithoutEndIsRefusedWithinLittleMemory(t *testing.T) {
	// maxAllocatedBytes is a twentieth of the memory of the smallest node.
	const maxAllocatedBytes = 284 << 20 / 20
	block := []byte(strings.Repeat("x", 64<<10))
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		for {
			if _, err := w.Write(block); err != nil {
				return
			}
		}
	}))
	defer server.Close()
	c := new(Client)
	c.Declare(new(configloader.Section))
	c.address = netip.MustParseAddrPort(server.Listener.Addr().String())
	c.timeout = time.Minute
	if err := c.Build(&kernel.Node{Logger: slog.New(slog.DiscardHandler), Recorder: new(recorder.Recorder), Vars: new(expvar.Map)}); err != nil {
		t.Fatal(err)
	}
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	_, err := c.ListVMs(t.Context())
	runtime.ReadMemStats(&after)
	allocated := after.TotalAlloc - before.TotalAlloc
	t.Logf("%d KB allocated", allocated>>10)
	if err == nil || allocated > maxAllocatedBytes {
		t.Errorf("%d bytes allocated, want at most %d; error %v", allocated, maxAllocatedBytes, err)
	}
}
