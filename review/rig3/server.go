package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// heartbeatInterval is how often a server writes its entry.
	heartbeatInterval = 1200 * time.Millisecond
	slots             = 64
)

// server is a stand-in for a sound server, of models or a plain one.
type server struct {
	id, service, zone, version string
	// events is the number of events of a stream, and eventInterval the time between two.
	events        int
	eventInterval time.Duration
	// idStep is the difference between the ids of two events, one if it is zero.
	idStep int
	store  *store
	record *record
	// unknown lists the fields that another writer, which copies each entry, doesn't know; nil if there is none.
	unknown []string
	// onRun, if not nil, is called for each request that runs.
	onRun func(s *server, r *http.Request)

	http     http.Server
	address  string
	born     time.Time
	sequence int
	running  atomic.Int64

	mu sync.Mutex
	// state is guarded by mu.
	state string
	// quit is closed when the server ends.
	quit     chan struct{}
	quitOnce sync.Once
}

// start listens, writes the first entry and goes on to write it.
func (s *server) start(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	s.address, s.born, s.state, s.quit = listener.Addr().String(), time.Now(), "ready", make(chan struct{})
	s.http.Handler = s
	go func() { _ = s.http.Serve(listener) }()
	s.writeEntry()
	go s.beat()
	return nil
}

func (s *server) beat() {
	for {
		select {
		case <-time.After(heartbeatInterval):
			s.writeEntry()
		case <-s.quit:
			return
		}
	}
}

// entry returns the fields of the server's entry.
func (s *server) entry() map[string]any {
	return map[string]any{
		"service": s.service, "address": s.address, "zone": s.zone, "version": s.version, "slots": slots, "state": s.state,
		"coldRemainingMs": 0, "sequence": s.sequence, "born": s.born.UnixMilli(),
	}
}

func (s *server) writeEntry() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sequence++
	entry := s.entry()
	s.store.put(serverTopic, s.id, encode(entry))
	if s.unknown == nil {
		return
	}
	for _, field := range s.unknown {
		delete(entry, field)
	}
	s.store.put(serverTopic, s.id, encode(entry))
	s.record.printf("another writer copies the entry of %s without %v", s.id, s.unknown)
}

// copyEntries has another writer copy the entry, and each one that the server writes from now on, without fields that it
// doesn't know.
func (s *server) copyEntries(unknown ...string) {
	s.mu.Lock()
	s.unknown = unknown
	s.mu.Unlock()
	s.writeEntry()
}

// drain writes that the server leaves.
func (s *server) drain() {
	s.mu.Lock()
	s.state = "draining"
	s.mu.Unlock()
	s.writeEntry()
	s.record.printf("server %s writes that it is draining (acknowledged)", s.id)
}

// stop ends the server with all its connections.
func (s *server) stop() {
	s.quitOnce.Do(func() { close(s.quit) })
	_ = s.http.Close()
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if expected := r.Header.Get("Expected-Instance"); expected != "" && expected != s.id {
		w.Header().Set("Instance-Id", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.ReadAll(r.Body); err != nil {
		return
	}
	running := s.running.Add(1)
	defer s.running.Add(-1)
	if s.onRun != nil {
		s.onRun(s, r)
	}
	attempt := r.Header.Get("Request-Attempt-Id")
	header := w.Header()
	header.Set("Request-Attempt-Id", attempt)
	header.Set("Response-Seal", "seal."+s.id+"."+attempt)
	header.Set("Server-Load", fmt.Sprintf("%d,0,%d", running, slots))
	if s.events == 0 {
		header.Set("Content-Type", "text/plain")
		_, _ = io.WriteString(w, "done by "+s.id+"\n")
		return
	}
	s.stream(w, r)
}

// stream sends the events after the one that the request names. Each states the server's software version.
func (s *server) stream(w http.ResponseWriter, r *http.Request) {
	step := max(1, s.idStep)
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	w.Header().Set("Content-Type", "text/event-stream")
	controller := http.NewResponseController(w)
	for number := last/step + 1; number <= s.events; number++ {
		select {
		case <-time.After(s.eventInterval):
		case <-r.Context().Done():
			return
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s %s\n\n", number*step, s.version, s.id); err != nil {
			return
		}
		if controller.Flush() != nil {
			return
		}
	}
}

func encode(v any) []byte {
	// Maps of strings, numbers and lists can always be encoded.
	data, _ := json.Marshal(v)
	return data
}
