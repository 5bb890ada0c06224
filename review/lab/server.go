package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// arrival is a request that a server ran.
type arrival struct {
	at     time.Time
	server string
	id     string
	tenant string
}

// server is a stand-in for a sound server of a plain service.
type server struct {
	lab     *lab
	id      string
	service string
	address string
	born    time.Time
	// work is how long a request takes.
	work time.Duration

	mu sync.Mutex
	// The fields below are guarded by mu. runs holds the runs by request id.
	runs     map[string][]arrival
	sequence int
}

// serveHTTP serves a handler on an address until the lab ends.
func (l *lab) serveHTTP(address string, handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return "", err
	}
	s := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	go func() { _ = s.Serve(listener) }()
	l.onClose(func() { _ = s.Close() })
	return listener.Addr().String(), nil
}

// newServer starts a server that writes to the store every 1.2 s.
func (l *lab) newServer(id, service string, s *store, work time.Duration) (*server, error) {
	v := &server{lab: l, id: id, service: service, born: time.Now(), work: work, runs: make(map[string][]arrival)}
	address, err := l.serveHTTP(l.newHost()+":0", v)
	if err != nil {
		return nil, err
	}
	v.address = address
	done := make(chan struct{})
	l.onClose(func() { close(done) })
	v.beat(s)
	go func() {
		for {
			select {
			case <-time.After(1200 * time.Millisecond):
				v.beat(s)
			case <-done:
				return
			}
		}
	}()
	return v, nil
}

// beat writes the server's entry.
func (v *server) beat(s *store) {
	v.mu.Lock()
	v.sequence++
	entry := fmt.Sprintf(`{"service":%q,"address":%q,"zone":"zone-1","version":"1","slots":64,"state":"ready","coldRemainingMs":0,"sequence":%d,"born":%d}`,
		v.service, v.address, v.sequence, v.born.UnixMilli())
	v.mu.Unlock()
	s.put("keyed.servers", v.id, entry)
}

// ServeHTTP implements http.Handler. It runs the request and echoes its id.
func (v *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Attempt-Id")
	if expected := r.Header.Get("Expected-Instance"); expected != "" && expected != v.id {
		w.Header().Set("Instance-Id", v.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil || id == "" {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	v.mu.Lock()
	v.runs[id] = append(v.runs[id], arrival{at: time.Now(), server: v.id, id: id, tenant: r.Header.Get("Tenant")})
	v.mu.Unlock()
	time.Sleep(v.work)
	w.Header().Set("Request-Attempt-Id", id)
	w.Header().Set("Response-Seal", "seal-"+v.id)
	w.Header().Set("Server-Load", "1,0,64,100")
	// The caller may have left.
	_, _ = fmt.Fprintf(w, "ran %s %s %s\n%s", r.Method, r.RequestURI, strings.Repeat("x", 600), body[:min(len(body), 200)])
}

// runsOf returns the runs of a request at this server.
func (v *server) runsOf(id string) []arrival {
	v.mu.Lock()
	defer v.mu.Unlock()
	return append([]arrival(nil), v.runs[id]...)
}

// runsAt returns the runs of a request at several servers.
func runsAt(servers []*server, id string) []arrival {
	var runs []arrival
	for _, v := range servers {
		runs = append(runs, v.runsOf(id)...)
	}
	return runs
}
