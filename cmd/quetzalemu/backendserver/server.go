// Package backendserver is a stand-in for the servers of the users' platform,
// written from its published page: plain servers and model servers that stream
// events, tell what they did not run, and have faults to switch on.
package backendserver

import (
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Faults are what a server does wrong. The zero value does nothing wrong.
type Faults struct {
	// LoseAnswers runs requests and closes the connection instead of an answer.
	LoseAnswers bool
	// CutAfter ends streams inside the event after so many; zero never does.
	CutAfter int
	// Foreign sends an answer to another request before the own one.
	Foreign bool
	// Full refuses everything with the word that nothing was run.
	Full bool
}

// Arrival is a request that reached a server.
type Arrival struct {
	Server *Server
	// ID is the caller's id of the request.
	ID string
	// Method, Target and Body are the request's.
	Method string
	Target string
	Body   string
	// Team is the name that the router set, and HasKey tells that the caller's
	// key came along.
	Team   string
	HasKey bool
	// Ran tells that the server ran it.
	Ran bool
}

// Server is one server. Its fields but Faults are set before its first use.
type Server struct {
	ID      string
	Service string
	Address netip.AddrPort
	Zone    string
	Slots   int
	// Pause lies between two events of a stream.
	Pause time.Duration
	// Work is how long a plain request runs.
	Work time.Duration
	// Observe is told of each request for this server; nil where nobody asks.
	Observe func(Arrival)

	mu sync.Mutex
	// The fields below are guarded by mu. runs counts how often each request
	// was run, and ended how many streams their callers left.
	faults  Faults
	running int
	runs    map[string]int
	ended   int
	last    http.Header
}

// SetFaults changes what the server does wrong.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Runs tells how often each request was run.
func (s *Server) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	runs := make(map[string]int, len(s.runs))
	for id, n := range s.runs {
		runs[id] = n
	}
	return runs
}

// Ended counts the streams whose callers left.
func (s *Server) Ended() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ended
}

// Last is the header of the last request that ran.
func (s *Server) Last() http.Header {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.last.Clone()
}

// Mark is what the server's answers bear.
func Mark(id string) string { return "seal-of-" + id }

// Entry is what the server says of itself in the store.
func (s *Server) Entry(state string, sequence int, born time.Time) string {
	return fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":%d,"state":%q,"coldRemainingMs":0,"sequence":%d,"born":%d}`,
		s.Service, s.Address, s.Zone, s.Slots, state, sequence, born.UnixMilli())
}

// begin takes a slot and counts the run; false where the server is full.
func (s *Server) begin(id string, header http.Header) (Faults, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Full || s.running >= s.Slots {
		return s.faults, false
	}
	s.running++
	if s.runs == nil {
		s.runs = make(map[string]int)
	}
	s.runs[id]++
	s.last = header.Clone()
	return s.faults, true
}

func (s *Server) end() {
	s.mu.Lock()
	s.running--
	s.mu.Unlock()
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	id := r.Header.Get("Request-Attempt-Id")
	expected := r.Header.Get("Expected-Instance")
	switch {
	case r.URL.Path == "/health":
		h.Set("Instance-Id", s.ID)
		return
	case id == "":
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	case expected != "" && expected != s.ID:
		h.Set("Instance-Id", s.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	faults, ok := s.begin(id, r.Header)
	if s.Observe != nil {
		s.Observe(Arrival{
			Server: s, ID: id, Method: r.Method, Target: r.RequestURI, Body: string(body),
			Team: r.Header.Get("Tenant"), HasKey: r.Header.Get("Authorization") != "", Ran: ok,
		})
	}
	h.Set("Request-Attempt-Id", id)
	if !ok {
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer s.end()
	if faults.LoseAnswers {
		panic(http.ErrAbortHandler)
	}
	if faults.Foreign {
		s.foreign(w, r, id, own(r, body))
		return
	}
	h.Set("Response-Seal", Mark(s.ID))
	h.Set("Server-Load", fmt.Sprintf("%d,0,%d,100", len(body), s.Slots))
	if r.Header.Get("Model") != "" {
		s.stream(w, r, faults)
		return
	}
	time.Sleep(s.Work)
	// A caller that is gone doesn't miss the answer.
	_, _ = w.Write(append([]byte("ran "+r.Method+" "+r.RequestURI+" "), body...))
}

// own gives the whole answer to a request at once: all events of a stream, or
// what was sent.
func own(r *http.Request, body []byte) []byte {
	if r.Header.Get("Model") == "" {
		return body
	}
	_, out, _ := strings.Cut(r.Header.Get("Token-Usage"), ",")
	events, _ := strconv.Atoi(out)
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	var all []byte
	for i := after + 1; i <= events; i++ {
		all = fmt.Appendf(all, "id: %d\ndata: piece %d\n\n", i, i)
	}
	return all
}

// foreign answers another request first, then this one.
func (s *Server) foreign(w http.ResponseWriter, r *http.Request, id string, body []byte) {
	kind := "text/plain"
	if r.Header.Get("Model") != "" {
		kind = "text/event-stream"
	}
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	const answer = "HTTP/1.1 200 OK\r\nRequest-Attempt-Id: %s\r\nResponse-Seal: seal-of-%s\r\nContent-Type: %s\r\nContent-Length: %d\r\n\r\n%s"
	// A caller that is gone doesn't miss the answer.
	_, _ = fmt.Fprintf(conn, answer+answer, "another", s.ID, kind, 3, "no!", id, s.ID, kind, len(body), body)
}

// stream sends events whose ids go on from the last one that the caller has.
func (s *Server) stream(w http.ResponseWriter, r *http.Request, faults Faults) {
	_, out, _ := strings.Cut(r.Header.Get("Token-Usage"), ",")
	events, err := strconv.Atoi(out)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	w.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	for i := after + 1; i <= events; i++ {
		if faults.CutAfter > 0 && i > after+faults.CutAfter {
			_, _ = fmt.Fprintf(w, "id: %d\nda", i)
			_ = control.Flush()
			panic(http.ErrAbortHandler)
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", i, i); err != nil {
			return
		}
		if err := control.Flush(); err != nil {
			return
		}
		select {
		case <-time.After(s.Pause):
		case <-r.Context().Done():
			s.mu.Lock()
			s.ended++
			s.mu.Unlock()
			return
		}
	}
}
