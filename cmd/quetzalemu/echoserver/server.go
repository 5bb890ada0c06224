// Package echoserver emulates a plain service that echoes requests. It counts executions by
// idempotency key but does not deduplicate: a request that is sent twice runs twice.
package echoserver

import (
	"io"
	"maps"
	"net/http"
	"sync"
	"time"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/cmd/quetzalemu/faultinjector"
	"github.com/quetzalroad/quetzalroad/codecs/loadmapper"
)

// maxBodyBytes limits the body of a request.
const maxBodyBytes = 8 << 20

// Server is the emulated service. The zero value responds without delay.
type Server struct {
	// Injector injects faults.
	Injector faultinjector.Injector
	// ProcessingTime is how long a request takes.
	ProcessingTime time.Duration

	mu sync.Mutex
	// runs, runsByKey and running are guarded by mu.
	runs      int
	runsByKey map[string]int
	running   int
}

// Handler returns the HTTP handler of the service.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/load", s.handleLoad)
	mux.HandleFunc("GET /stats", s.handleStats)
	mux.HandleFunc("/", s.handleCall)
	return mux
}

type runJSON struct {
	Run    int    `json:"run"`
	Method string `json:"method"`
	Path   string `json:"path"`
	Query  string `json:"query,omitempty"`
	Key    string `json:"key,omitempty"`
	Echo   string `json:"echo,omitempty"`
}

// handleCall executes a request. GET and HEAD requests are not counted.
func (s *Server) handleCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.addRunning(1)
	defer s.addRunning(-1)
	timer := time.NewTimer(s.Injector.SlowDown(s.ProcessingTime))
	defer timer.Stop()
	<-timer.C
	j := runJSON{Method: r.Method, Path: r.URL.Path, Query: r.URL.RawQuery, Key: r.Header.Get("Idempotency-Key"), Echo: string(body)}
	if r.Method != http.MethodGet && r.Method != http.MethodHead {
		j.Run = s.countRun(j.Key)
		if s.Injector.ShouldLoseResponse() {
			faultinjector.AbortConnection(w)
			return
		}
	}
	faultinjector.WriteJSON(w, j)
}

func (s *Server) addRunning(delta int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running += delta
}

func (s *Server) countRun(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs++
	if key != "" {
		if s.runsByKey == nil {
			s.runsByKey = make(map[string]int)
		}
		s.runsByKey[key]++
	}
	return s.runs
}

type statsJSON struct {
	Runs      int            `json:"runs"`
	RunsByKey map[string]int `json:"runs-by-key"`
}

func (s *Server) handleStats(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	j := statsJSON{Runs: s.runs, RunsByKey: map[string]int{}}
	maps.Copy(j.RunsByKey, s.runsByKey)
	s.mu.Unlock()
	faultinjector.WriteJSON(w, j)
}

func (s *Server) handleLoad(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	report := quetzalroad.LoadReport{MeasuredAt: time.Now(), Running: s.running}
	s.mu.Unlock()
	data, err := loadmapper.Encode(report)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	// The client may have disconnected.
	_, _ = w.Write(data)
}
