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
	// DropResponses runs requests and closes the connection instead of an answer.
	DropResponses bool
	// TruncateAfter ends streams inside the event after so many; zero never does.
	TruncateAfter int
	// MismatchResponses sends an answer to another request before the own one.
	MismatchResponses bool
	// RejectAll refuses everything with the word that nothing was run.
	RejectAll bool
}

// ReceivedRequest is a request that reached a server.
type ReceivedRequest struct {
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
	// Executed tells that the server ran it.
	Executed bool
}

// Server is one server. Its fields but Faults are set before its first use.
type Server struct {
	ID             string
	Service        string
	Address        netip.AddrPort
	Zone           string
	MaxConcurrency int
	// EventInterval lies between two events of a stream.
	EventInterval time.Duration
	// ProcessingTime is how long a plain request runs.
	ProcessingTime time.Duration
	// OnRequest is told of each request for this server; nil where nobody asks.
	OnRequest func(ReceivedRequest)

	mu sync.Mutex
	// The fields below are guarded by mu. runs counts how often each request
	// was run, and ended how many streams their callers left.
	faults           Faults
	running          int
	executions       map[string]int
	cancelledStreams int
	lastHeader       http.Header
}

// SetFaults changes what the server does wrong.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// ExecutionCounts tells how often each request was run.
func (s *Server) ExecutionCounts() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := make(map[string]int, len(s.executions))
	for id, n := range s.executions {
		counts[id] = n
	}
	return counts
}

// CancelledStreams counts the streams whose callers left.
func (s *Server) CancelledStreams() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cancelledStreams
}

// LastHeader is the header of the last request that ran.
func (s *Server) LastHeader() http.Header {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastHeader.Clone()
}

// ResponseSeal is what the server's answers bear.
func ResponseSeal(id string) string { return "seal-of-" + id }

// Registration is what the server says of itself in the store.
func (s *Server) Registration(state string, sequence int, startedAt time.Time) string {
	return fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":%d,"state":%q,"coldRemainingMs":0,"sequence":%d,"born":%d}`,
		s.Service, s.Address, s.Zone, s.MaxConcurrency, state, sequence, startedAt.UnixMilli())
}

// begin takes a slot and counts the run; false where the server is full.
func (s *Server) begin(id string, header http.Header) (Faults, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.RejectAll || s.running >= s.MaxConcurrency {
		return s.faults, false
	}
	s.running++
	if s.executions == nil {
		s.executions = make(map[string]int)
	}
	s.executions[id]++
	s.lastHeader = header.Clone()
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
	if s.OnRequest != nil {
		s.OnRequest(ReceivedRequest{
			Server: s, ID: id, Method: r.Method, Target: r.RequestURI, Body: string(body),
			Team: r.Header.Get("Tenant"), HasKey: r.Header.Get("Authorization") != "", Executed: ok,
		})
	}
	h.Set("Request-Attempt-Id", id)
	if !ok {
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer s.end()
	if faults.DropResponses {
		panic(http.ErrAbortHandler)
	}
	if faults.MismatchResponses {
		s.writeMismatchedResponse(w, r, id, completeBody(r, body))
		return
	}
	h.Set("Response-Seal", ResponseSeal(s.ID))
	h.Set("Server-Load", fmt.Sprintf("%d,0,%d,100", len(body), s.MaxConcurrency))
	if r.Header.Get("Model") != "" {
		s.writeStream(w, r, faults)
		return
	}
	time.Sleep(s.ProcessingTime)
	// A caller that is gone doesn't miss the answer.
	_, _ = w.Write(append([]byte("ran "+r.Method+" "+r.RequestURI+" "), body...))
}

// own gives the whole answer to a request at once: all events of a stream, or
// what was sent.
func completeBody(r *http.Request, body []byte) []byte {
	if r.Header.Get("Model") == "" {
		return body
	}
	_, eventCount, _ := strings.Cut(r.Header.Get("Token-Usage"), ",")
	total, _ := strconv.Atoi(eventCount)
	resumeAfter, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	var all []byte
	for i := resumeAfter + 1; i <= total; i++ {
		all = fmt.Appendf(all, "id: %d\ndata: piece %d\n\n", i, i)
	}
	return all
}

// writeMismatchedResponse answers another request first, then this one.
func (s *Server) writeMismatchedResponse(w http.ResponseWriter, r *http.Request, id string, body []byte) {
	contentType := "text/plain"
	if r.Header.Get("Model") != "" {
		contentType = "text/event-stream"
	}
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	const responseFormat = "HTTP/1.1 200 OK\r\nRequest-Attempt-Id: %s\r\nResponse-Seal: seal-of-%s\r\nContent-Type: %s\r\nContent-Length: %d\r\n\r\n%s"
	// A caller that is gone doesn't miss the answer.
	_, _ = fmt.Fprintf(conn, responseFormat+responseFormat, "another", s.ID, contentType, 3, "no!", id, s.ID, contentType, len(body), body)
}

// writeStream sends events whose ids go on from the last one that the caller has.
func (s *Server) writeStream(w http.ResponseWriter, r *http.Request, faults Faults) {
	_, eventCount, _ := strings.Cut(r.Header.Get("Token-Usage"), ",")
	total, err := strconv.Atoi(eventCount)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	resumeAfter, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	w.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	for i := resumeAfter + 1; i <= total; i++ {
		if faults.TruncateAfter > 0 && i > resumeAfter+faults.TruncateAfter {
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
		case <-time.After(s.EventInterval):
		case <-r.Context().Done():
			s.mu.Lock()
			s.cancelledStreams++
			s.mu.Unlock()
			return
		}
	}
}
