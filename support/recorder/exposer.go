package recorder

import (
	"bytes"
	"context"
	"encoding/json"
	"expvar"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/quetzalroad/quetzalroad/kernel"
	"github.com/quetzalroad/quetzalroad/support/retrylistener"
)

// metricsTimeout bounds reading and writing of a metrics request.
const metricsTimeout = 5 * time.Second

// maxHeaderBytes limits the size of the header of a metrics request.
const maxHeaderBytes = 16 << 10

// serveMetrics serves the node's variables as text, one per line, on an address.
func serveMetrics(n *kernel.Node, address netip.AddrPort) error {
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return errors.Wrap(err, "recorder.metrics-addresses")
	}
	server := &http.Server{ReadTimeout: metricsTimeout, WriteTimeout: metricsTimeout, MaxHeaderBytes: maxHeaderBytes, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		// A write error only means that the client has disconnected.
		_, _ = w.Write(renderText(n.Vars))
	})}
	n.AddTask("serve metrics", func(ctx context.Context) error {
		stop := context.AfterFunc(ctx, func() { _ = server.Close() })
		defer stop()
		if err := server.Serve(retrylistener.New(listener, n.Logger)); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	return nil
}

// renderText writes each number and string among the variables as a line of path and value.
func renderText(vars *expvar.Map) []byte {
	var b bytes.Buffer
	vars.Do(func(v expvar.KeyValue) {
		var value any
		if err := json.Unmarshal([]byte(v.Value.String()), &value); err != nil {
			// Skip variables that are not JSON.
			return
		}
		writeMetric(&b, v.Key, value)
	})
	return b.Bytes()
}

func writeMetric(b *bytes.Buffer, path string, value any) {
	switch v := value.(type) {
	case float64:
		b.WriteString(path + " " + strconv.FormatFloat(v, 'g', -1, 64) + "\n")
	case string:
		b.WriteString(path + " " + v + "\n")
	case map[string]any:
		var keys []string
		for key := range v {
			keys = append(keys, key)
		}
		slices.Sort(keys)
		for _, key := range keys {
			writeMetric(b, path+"/"+key, v[key])
		}
	}
}
