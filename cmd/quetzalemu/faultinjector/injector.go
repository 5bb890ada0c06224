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
	// LoseAnswerShare is the share of writes whose answer is lost after they
	// took effect.
	LoseAnswerShare float64
	// CrashAfterTokens makes an engine crash each time it has generated that
	// many tokens.
	CrashAfterTokens int
	// SilentOpenConnections makes the connections open when it is set go
	// silent for good.
	SilentOpenConnections bool
	// ReportLag is how late load reports are; zero for the usual lag.
	ReportLag time.Duration
}

type faultsJSON struct {
	DownFor               string  `json:"down-for,omitempty"`
	SlowFactor            float64 `json:"slow-factor,omitempty"`
	LoseAnswerShare       float64 `json:"lose-answer-share,omitempty"`
	CrashAfterTokens      int     `json:"crash-after-tokens,omitempty"`
	SilentOpenConnections bool    `json:"silent-open-connections,omitempty"`
	ReportLag             string  `json:"report-lag,omitempty"`
}

func decode(data []byte) (Faults, error) {
	var j faultsJSON
	if err := json.Unmarshal(data, &j); err != nil {
		return Faults{}, err
	}
	down, err := span("down-for", j.DownFor)
	if err != nil {
		return Faults{}, err
	}
	lag, err := span("report-lag", j.ReportLag)
	if err != nil {
		return Faults{}, err
	}
	if j.SlowFactor < 0 || j.LoseAnswerShare < 0 || j.LoseAnswerShare > 1 || j.CrashAfterTokens < 0 {
		return Faults{}, errors.New("slow-factor and crash-after-tokens can't be negative, and lose-answer-share is between 0 and 1")
	}
	return Faults{
		DownFor: down, SlowFactor: j.SlowFactor, LoseAnswerShare: j.LoseAnswerShare,
		CrashAfterTokens: j.CrashAfterTokens, SilentOpenConnections: j.SilentOpenConnections, ReportLag: lag,
	}, nil
}

func span(name, text string) (time.Duration, error) {
	if text == "" {
		return 0, nil
	}
	d, err := time.ParseDuration(text)
	if err != nil || d < 0 {
		return 0, errors.Newf("%s: %q is not a duration such as \"30s\"", name, text)
	}
	return d, nil
}

func encode(f Faults) faultsJSON {
	j := faultsJSON{
		SlowFactor: f.SlowFactor, LoseAnswerShare: f.LoseAnswerShare,
		CrashAfterTokens: f.CrashAfterTokens, SilentOpenConnections: f.SilentOpenConnections,
	}
	if f.DownFor > 0 {
		j.DownFor = f.DownFor.String()
	}
	if f.ReportLag > 0 {
		j.ReportLag = f.ReportLag.String()
	}
	return j
}

// Host serves a stand-in. The zero value has no faults.
type Host struct {
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
func (h *Host) OnChange(f func(Faults)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.onChange = f
}

// Faults gives the faults in force.
func (h *Host) Faults() Faults {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.faults
}

// Slowed stretches a span by the slow factor.
func (h *Host) Slowed(d time.Duration) time.Duration {
	if f := h.Faults().SlowFactor; f > 0 {
		return time.Duration(float64(d) * f)
	}
	return d
}

// LosesAnswer draws whether an answer is lost.
func (h *Host) LosesAnswer() bool {
	return rand.Float64() < h.Faults().LoseAnswerShare
}

// Down tells that the stand-in is down.
func (h *Host) Down() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return time.Now().Before(h.downUntil)
}

// Crash cuts all connections and stays down for a while.
func (h *Host) Crash(downFor time.Duration) {
	h.mu.Lock()
	h.downUntil = time.Now().Add(downFor)
	conns := h.openLocked()
	h.mu.Unlock()
	cut(conns)
}

func (h *Host) openLocked() []*faultyConn {
	var open []*faultyConn
	for c := range h.conns {
		open = append(open, c)
	}
	return open
}

func cut(conns []*faultyConn) {
	for _, c := range conns {
		c.reset()
	}
}

// set puts faults in force. The connection that asks for it is spared.
func (h *Host) set(f Faults, asking *faultyConn) {
	h.mu.Lock()
	h.faults = f
	h.downUntil = time.Now().Add(f.DownFor)
	var open []*faultyConn
	for _, c := range h.openLocked() {
		if c != asking {
			open = append(open, c)
		}
	}
	onChange := h.onChange
	h.mu.Unlock()
	if f.DownFor > 0 {
		cut(open)
	}
	if f.SilentOpenConnections {
		for _, c := range open {
			c.silence()
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
func (h *Host) Serve(ctx context.Context, address netip.AddrPort, handler http.Handler) error {
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /faults", h.put)
	mux.HandleFunc("GET /faults", h.get)
	mux.Handle("GET /stats", handler)
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		if h.Down() {
			CutOff(w)
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
	err = server.Serve(&faultyListener{Listener: listener, host: h})
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

func (h *Host) put(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxFaultBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	f, err := decode(data)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	asking, _ := r.Context().Value(connKey{}).(*faultyConn)
	h.set(f, asking)
	h.get(w, r)
}

func (h *Host) get(w http.ResponseWriter, _ *http.Request) {
	Answer(w, encode(h.Faults()))
}

// Answer writes a JSON answer.
func Answer(w http.ResponseWriter, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	// A client that is gone doesn't miss the answer.
	_, _ = w.Write(append(data, '\n'))
}

// CutOff closes the connection of a request without an answer.
func CutOff(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	// The connection is given up.
	_ = conn.Close()
}
