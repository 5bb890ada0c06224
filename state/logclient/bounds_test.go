package logclient

import (
	"bytes"
	"context"
	"encoding/json"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/quetzalroad/quetzalroad/kernel"
	"github.com/quetzalroad/quetzalroad/support/configloader"
	"github.com/quetzalroad/quetzalroad/support/recorder"
)

// maxLogHeapBytes is half of the memory of the smallest node, at whose end its process is killed.
const maxLogHeapBytes = 284 << 20 / 2

func newClient(t *testing.T, handler http.HandlerFunc) *Client {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	c := new(Client)
	c.Declare(new(configloader.Section))
	c.address = netip.MustParseAddrPort(server.Listener.Addr().String())
	if err := c.Build(&kernel.Node{Logger: slog.New(slog.DiscardHandler), Recorder: new(recorder.Recorder)}); err != nil {
		t.Fatal(err)
	}
	return c
}

// The log sent bytes without end to all of a node's readers, which kept up to 64 MiB each.
func TestEndlessResponsesOfTheLogDoNotUseUpTheMemory(t *testing.T) {
	const readers = 4
	block := []byte(strings.Repeat("x", 64<<10))
	client := newClient(t, func(w http.ResponseWriter, _ *http.Request) {
		for {
			if _, err := w.Write(block); err != nil {
				return
			}
		}
	})
	heap := func() uint64 {
		var stats runtime.MemStats
		runtime.ReadMemStats(&stats)
		return stats.HeapAlloc
	}
	runtime.GC()
	before, peak := heap(), uint64(0)
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	var group sync.WaitGroup
	for range readers {
		group.Go(func() {
			for ctx.Err() == nil {
				if _, _, err := client.Read(ctx, "stream", 0, time.Second); err == nil {
					t.Error("a response without end ended")
				}
			}
		})
	}
	for ctx.Err() == nil {
		time.Sleep(5 * time.Millisecond)
		peak = max(peak, heap())
	}
	group.Wait()
	if !client.budget.Acquire(maxBufferedBytes) {
		t.Error("a part of the budget was not returned")
	}
	used := int64(peak) - int64(before)
	t.Logf("%d MB at the peak", used>>20)
	if used > maxLogHeapBytes {
		t.Errorf("the heap grew by %d MB, want at most %d MB", used>>20, maxLogHeapBytes>>20)
	}
}

// Sound records that are too large for one response are read in several.
func TestLargeRecordsAreReadInSmallerParts(t *testing.T) {
	const recordBytes = 100 << 10
	client := newClient(t, func(w http.ResponseWriter, r *http.Request) {
		limit, err := strconv.Atoi(r.URL.Query().Get("limit"))
		if err != nil {
			t.Error(err)
		}
		earliest, next := int64(0), int64(500)
		response := readResponse{Earliest: &earliest, Next: &next}
		for i := range int64(limit) {
			response.Records = append(response.Records, recordJSON{Offset: &i, Data: bytes.Repeat([]byte("x"), recordBytes)})
		}
		// The client may have closed the connection.
		_ = json.NewEncoder(w).Encode(response)
	})
	records, _, err := client.Read(t.Context(), "stream", 0, 20*time.Second)
	if err != nil || len(records) == 0 || records[0].Offset != 0 || len(records[0].Data) != recordBytes {
		t.Errorf("%d records, error %v", len(records), err)
	}
}
