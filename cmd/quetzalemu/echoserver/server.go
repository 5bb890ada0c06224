// Package echoserver stands in for a plain service. It counts what it ran, by
// idempotency key, and keeps nothing else: a call that comes twice runs twice.
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

// maxBytes bounds the body of a call.
const maxBytes = 8 << 20

// Servicer is the service. The zero value answers at once.
type Servicer struct {
	// Host brings faults about.
	Host faultinjector.Host
	// RunTime is how long a run takes.
	RunTime time.Duration

	mu sync.Mutex
	// runs, byKey and active are guarded by mu.
	runs   int
	byKey  map[string]int
	active int
}

// Handler gives the service's HTTP face.
func (s *Servicer) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/load", s.load)
	mux.HandleFunc("GET /stats", s.stats)
	mux.HandleFunc("/", s.run)
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

// run runs a call. Reading calls are answered and not counted.
func (s *Servicer) run(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.enter(1)
	defer s.enter(-1)
	timer := time.NewTimer(s.Host.Slowed(s.RunTime))
	defer timer.Stop()
	<-timer.C
	j := runJSON{Method: r.Method, Path: r.URL.Path, Query: r.URL.RawQuery, Key: r.Header.Get("Idempotency-Key"), Echo: string(body)}
	if r.Method != http.MethodGet && r.Method != http.MethodHead {
		j.Run = s.count(j.Key)
		if s.Host.LosesAnswer() {
			faultinjector.CutOff(w)
			return
		}
	}
	faultinjector.Answer(w, j)
}

func (s *Servicer) enter(delta int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active += delta
}

func (s *Servicer) count(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs++
	if key != "" {
		if s.byKey == nil {
			s.byKey = make(map[string]int)
		}
		s.byKey[key]++
	}
	return s.runs
}

type statsJSON struct {
	Runs      int            `json:"runs"`
	RunsByKey map[string]int `json:"runs-by-key"`
}

func (s *Servicer) stats(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	j := statsJSON{Runs: s.runs, RunsByKey: map[string]int{}}
	maps.Copy(j.RunsByKey, s.byKey)
	s.mu.Unlock()
	faultinjector.Answer(w, j)
}

func (s *Servicer) load(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	report := quetzalroad.LoadReport{MeasuredAt: time.Now(), Running: s.active}
	s.mu.Unlock()
	data, err := loadmapper.Encode(report)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	// A client that is gone doesn't miss the answer.
	_, _ = w.Write(data)
}
