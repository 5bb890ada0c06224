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
)

// exposeTimeout bounds a request for the metrics.
const exposeTimeout = 5 * time.Second

// expose serves the node's variables as text, a line each, on an address.
func expose(n *kernel.Node, address netip.AddrPort) error {
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return errors.Wrap(err, "recorder.metrics-addresses")
	}
	server := &http.Server{ReadTimeout: exposeTimeout, WriteTimeout: exposeTimeout, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		// A reader that is gone doesn't miss the rest.
		_, _ = w.Write(text(n.Vars))
	})}
	n.AddTask("expose metrics", func(ctx context.Context) error {
		stop := context.AfterFunc(ctx, func() { _ = server.Close() })
		defer stop()
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	return nil
}

// text writes each number among the variables as a line of its path and value.
func text(vars *expvar.Map) []byte {
	var b bytes.Buffer
	vars.Do(func(v expvar.KeyValue) {
		var value any
		if err := json.Unmarshal([]byte(v.Value.String()), &value); err != nil {
			// A variable that is no JSON has no number to show.
			return
		}
		line(&b, v.Key, value)
	})
	return b.Bytes()
}

func line(b *bytes.Buffer, path string, value any) {
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
			line(b, path+"/"+key, v[key])
		}
	}
}
