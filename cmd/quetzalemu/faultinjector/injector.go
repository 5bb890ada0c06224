// Package faultinjector serves an emulator over HTTP and injects faults at run time. PUT /faults
// sets them, PUT /faults with {} clears them, and GET /faults returns them.
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

// maxFaultBytes limits the body of PUT /faults.
const maxFaultBytes = 64 << 10

// Faults are the faults that can be injected. The zero value is none.
type Faults struct {
	// DownFor resets all connections and aborts new requests for this long after it is set.
	DownFor time.Duration
	// SlowFactor multiplies processing times; zero counts as one.
	SlowFactor float64
	// LostResponseRatio is the share of writes that are executed but whose response is lost.
	LostResponseRatio float64
	// CrashAfterTokens makes an engine crash each time it has generated that many tokens.
	CrashAfterTokens int
	// StallOpenConnections permanently stalls the connections that are open when it is set.
	StallOpenConnections bool
	// ReportLag is the delay of load reports; zero selects the default.
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

// Injector serves an emulator and injects faults. The zero value has no faults.
type Injector struct {
	mu sync.Mutex
	// faults, downUntil and conns are guarded by mu.
	faults    Faults
	downUntil time.Time
	conns     map[*faultyConn]bool
	// onChange is called without the lock after the faults changed. The field itself is guarded by
	// mu.
	onChange func(Faults)
}

// OnChange registers a function that is called after the faults changed.
func (inj *Injector) OnChange(f func(Faults)) {
	inj.mu.Lock()
	defer inj.mu.Unlock()
	inj.onChange = f
}

// Faults returns the current faults.
func (inj *Injector) Faults() Faults {
	inj.mu.Lock()
	defer inj.mu.Unlock()
	return inj.faults
}

// SlowDown multiplies a duration by the slow factor.
func (inj *Injector) SlowDown(d time.Duration) time.Duration {
	if f := inj.Faults().SlowFactor; f > 0 {
		return time.Duration(float64(d) * f)
	}
	return d
}

// ShouldLoseResponse reports at random whether the response of this request is lost.
func (inj *Injector) ShouldLoseResponse() bool {
	return rand.Float64() < inj.Faults().LostResponseRatio
}

// IsDown reports whether the emulator is down.
func (inj *Injector) IsDown() bool {
	inj.mu.Lock()
	defer inj.mu.Unlock()
	return time.Now().Before(inj.downUntil)
}

// Crash resets all connections and keeps the emulator down for the given duration.
func (inj *Injector) Crash(downFor time.Duration) {
	inj.mu.Lock()
	inj.downUntil = time.Now().Add(downFor)
	conns := inj.openConnsLocked()
	inj.mu.Unlock()
	resetAll(conns)
}

func (inj *Injector) openConnsLocked() []*faultyConn {
	var open []*faultyConn
	for c := range inj.conns {
		open = append(open, c)
	}
	return open
}

func resetAll(conns []*faultyConn) {
	for _, c := range conns {
		c.reset()
	}
}

// setFaults replaces the faults. The connection of the request that sets them is not affected.
func (inj *Injector) setFaults(f Faults, caller *faultyConn) {
	inj.mu.Lock()
	inj.faults = f
	inj.downUntil = time.Now().Add(f.DownFor)
	var open []*faultyConn
	for _, c := range inj.openConnsLocked() {
		if c != caller {
			open = append(open, c)
		}
	}
	onChange := inj.onChange
	inj.mu.Unlock()
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

// Serve serves the emulator until the context ends. Faults and statistics stay reachable while the
// emulator is down.
func (inj *Injector) Serve(ctx context.Context, address netip.AddrPort, handler http.Handler) error {
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /faults", inj.handlePut)
	mux.HandleFunc("GET /faults", inj.handleGet)
	mux.Handle("GET /stats", handler)
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		if inj.IsDown() {
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
		// Serve returns whether or not Close fails.
		_ = server.Close()
	})
	defer stop()
	err = server.Serve(&faultyListener{Listener: listener, injector: inj})
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

func (inj *Injector) handlePut(w http.ResponseWriter, r *http.Request) {
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
	caller, _ := r.Context().Value(connKey{}).(*faultyConn)
	inj.setFaults(f, caller)
	inj.handleGet(w, r)
}

func (inj *Injector) handleGet(w http.ResponseWriter, _ *http.Request) {
	WriteJSON(w, encodeFaults(inj.Faults()))
}

// WriteJSON writes a JSON response.
func WriteJSON(w http.ResponseWriter, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	// The client may have disconnected.
	_, _ = w.Write(append(data, '\n'))
}

// AbortConnection closes the connection of a request without sending a response.
func AbortConnection(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	// A failed close leaves nothing to do.
	_ = conn.Close()
}
