// Package faultinjector serves a stand-in over HTTP and brings faults about while it
// runs. PUT /faults sets them, {} clears them, GET /faults shows them.
package faultinjector

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// maxFaultBytes bounds the body of PUT /faults.
const maxFaultBytes = 64 << 10

// Faults are the faults that can be switched on. The zero value is none.
type Faults struct {
	// DownFor cuts every connection for a span from when it is set.
	DownFor time.Duration
	// SlowFactor multiplies the time that work takes; zero counts as one.
	SlowFactor float64
	// LostResponseRatio is the share of writes whose answer is lost after they
	// took effect.
	LostResponseRatio float64
	// CrashAfterTokens makes an engine crash each time it has generated that
	// many tokens.
	CrashAfterTokens int
	// StallOpenConnections makes the connections open when it is set go
	// silent for good.
	StallOpenConnections bool
	// ReportLag is how late load reports are; zero for the usual lag.
	ReportLag time.Duration
}

type faultsJSON struct {
	DownFor              string  `json:"down-for,omitempty"`
	SlowFactor           float64 `json:"slow-factor,omitempty"`
	LostResponseRatio    float64 `json:"lose-answer-share,omitempty"`
	CrashAfterTokens     int     `json:"crash-after-tokens,omitempty"`
	StallOpenConnections bool    `json:"silent-open-connections,omitempty"`
	ReportLag            string  `json:"report-lag,omitempty"`
}

func decodeFaults(data []byte) (Faults, error) {
	var j faultsJSON
	if err := json.Unmarshal(data, &j); err != nil {
		return Faults{}, err
	}
	down, err := parseDuration("down-for", j.DownFor)
	if err != nil {
		return Faults{}, err
	}
	lag, err := parseDuration("report-lag", j.ReportLag)
	if err != nil {
		return Faults{}, err
	}
	if j.SlowFactor < 0 || j.LostResponseRatio < 0 || j.LostResponseRatio > 1 || j.CrashAfterTokens < 0 {
		return Faults{}, errors.New("slow-factor and crash-after-tokens can't be negative, and lose-answer-share is between 0 and 1")
	}
	return Faults{
		DownFor: down, SlowFactor: j.SlowFactor, LostResponseRatio: j.LostResponseRatio,
		CrashAfterTokens: j.CrashAfterTokens, StallOpenConnections: j.StallOpenConnections, ReportLag: lag,
	}, nil
}

func parseDuration(name, text string) (time.Duration, error) {
	if text == "" {
		return 0, nil
	}
	d, err := time.ParseDuration(text)
	if err != nil || d < 0 {
		return 0, errors.Newf("%s: %q is not a duration such as \"30s\"", name, text)
	}
	return d, nil
}

func encodeFaults(f Faults) faultsJSON {
	j := faultsJSON{
		SlowFactor: f.SlowFactor, LostResponseRatio: f.LostResponseRatio,
		CrashAfterTokens: f.CrashAfterTokens, StallOpenConnections: f.StallOpenConnections,
	}
	if f.DownFor > 0 {
		j.DownFor = f.DownFor.String()
	}
	if f.ReportLag > 0 {
		j.ReportLag = f.ReportLag.String()
	}
	return j
}

// Injector serves a stand-in. The zero value has no faults.
type Injector struct {
	mu sync.Mutex
	// faults, downUntil and conns are guarded by mu.
	faults    Faults
	downUntil time.Time
	conns     map[*faultyConn]bool
	// onChange is called after the faults changed, without the lock, which
	// guards it.
	onChange func(Faults)
}

// OnChange registers what is called after the faults changed.
func (h *Injector) OnChange(f func(Faults)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.onChange = f
}

// Faults gives the faults in force.
func (h *Injector) Faults() Faults {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.faults
}

// SlowDown stretches a span by the slow factor.
func (h *Injector) SlowDown(d time.Duration) time.Duration {
	if f := h.Faults().SlowFactor; f > 0 {
		return time.Duration(float64(d) * f)
	}
	return d
}

// ShouldLoseResponse draws whether an answer is lost.
func (h *Injector) ShouldLoseResponse() bool {
	return rand.Float64() < h.Faults().LostResponseRatio
}

// IsDown tells that the stand-in is down.
func (h *Injector) IsDown() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return time.Now().Before(h.downUntil)
}

// Crash cuts all connections and stays down for a while.
func (h *Injector) Crash(downFor time.Duration) {
	h.mu.Lock()
	h.downUntil = time.Now().Add(downFor)
	conns := h.openConnsLocked()
	h.mu.Unlock()
	resetAll(conns)
}

func (h *Injector) openConnsLocked() []*faultyConn {
	var open []*faultyConn
	for c := range h.conns {
		open = append(open, c)
	}
	return open
}

func resetAll(conns []*faultyConn) {
	for _, c := range conns {
		c.reset()
	}
}

// set puts faults in force. The connection that asks for it is spared.
func (h *Injector) setFaults(f Faults, caller *faultyConn) {
	h.mu.Lock()
	h.faults = f
	h.downUntil = time.Now().Add(f.DownFor)
	var open []*faultyConn
	for _, c := range h.openConnsLocked() {
		if c != caller {
			open = append(open, c)
		}
	}
	onChange := h.onChange
	h.mu.Unlock()
	if f.DownFor > 0 {
		resetAll(open)
	}
	if f.StallOpenConnections {
		for _, c := range open {
			c.stall()
		}
	}
	if onChange != nil {
		onChange(f)
	}
}

// connKey is the context key of a request's connection.
type connKey struct{}

// Serve listens and answers until the context ends. Faults and statistics stay
// reachable while the stand-in is down.
func (h *Injector) Serve(ctx context.Context, address netip.AddrPort, handler http.Handler) error {
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /faults", h.handlePut)
	mux.HandleFunc("GET /faults", h.handleGet)
	mux.Handle("GET /stats", handler)
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		if h.IsDown() {
			AbortConnection(w)
			return
		}
		handler.ServeHTTP(w, r)
	})
	server := &http.Server{
		Handler:           mux,
		ReadHeaderTimeout: 10 * time.Second,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, c)
		},
	}
	stop := context.AfterFunc(ctx, func() {
		// Serving ends either way.
		_ = server.Close()
	})
	defer stop()
	err = server.Serve(&faultyListener{Listener: listener, injector: h})
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

func (h *Injector) handlePut(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxFaultBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	f, err := decodeFaults(data)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	asking, _ := r.Context().Value(connKey{}).(*faultyConn)
	h.setFaults(f, asking)
	h.handleGet(w, r)
}

func (h *Injector) handleGet(w http.ResponseWriter, _ *http.Request) {
	WriteJSON(w, encodeFaults(h.Faults()))
}

// WriteJSON writes a JSON answer.
func WriteJSON(w http.ResponseWriter, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	// A client that is gone doesn't miss the answer.
	_, _ = w.Write(append(data, '\n'))
}

// AbortConnection closes the connection of a request without an answer.
func AbortConnection(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	// The connection is given up.
	_ = conn.Close()
}
