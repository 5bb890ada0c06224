// Package backendserver emulates the servers of the users' platform as its published page specifies
// them: plain servers and model servers that stream events, mark requests that they did not
// execute, and have faults that can be injected.
package backendserver

import (
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"time"
)

// Faults are the faults injected into a server. The zero value is none.
type Faults struct {
	// DropResponses makes the server execute requests and close the connection without a response.
	DropResponses bool
	// TruncateAfter makes streams end in the middle of the event after this many; zero disables it.
	TruncateAfter int
	// EventInterval replaces the server's pause between two events of a stream; zero leaves it.
	EventInterval time.Duration
	// MismatchResponses makes the server send a response to another request before the proper one.
	MismatchResponses bool
	// Endless makes the server repeat a part of each response without end.
	Endless EndlessPart
	// Garble makes the server send bytes that are no response, or no event of the stream, in place of its responses
	// or among their events.
	Garble GarbleSeed
	// RejectAll makes the server reject every request and mark it as not executed.
	RejectAll bool
	// RetryAfter is how long the server asks a node whose request it rejects to send it nothing; zero for no
	// such statement.
	RetryAfter time.Duration
	// Leaving makes the server state in its responses that it leaves.
	Leaving bool
	// Unframed makes responses end with their connection, as they have neither a length nor chunks. PartInterval is the
	// pause between their parts.
	Unframed     bool
	PartInterval time.Duration
}

// ReceivedRequest is a request that a server received.
type ReceivedRequest struct {
	Server *Server
	// ID is the caller's request id.
	ID string
	// Method, Target and Body are those of the HTTP request.
	Method string
	Target string
	Body   string
	// Team is the Tenant header, which the router sets, and HasKey reports whether the caller's key
	// was forwarded.
	Team   string
	HasKey bool
	// Executed reports whether the server executed the request, and Deadly whether the request has
	// DeadlySegment.
	Executed bool
	Deadly   bool
	// RetryAfter is how long the server asks to be sent nothing.
	RetryAfter time.Duration
	// Version is that of the server's software, and ResumeAfter the id of the event after which the request resumes a
	// stream; zero if it begins one.
	Version     string
	ResumeAfter int
}

// Server is one server. Its exported fields are set before its first use.
type Server struct {
	ID             string
	Service        string
	Address        netip.AddrPort
	Zone           string
	MaxConcurrency int
	// EventInterval is the pause between two events of a stream.
	EventInterval time.Duration
	// ProcessingTime is how long a plain request takes.
	ProcessingTime time.Duration
	// OnRequest is called for each request that has an id and is addressed to this server; may be nil.
	OnRequest func(ReceivedRequest)
	// OnDeadly is called for a request with DeadlySegment. It returns what crashes the server, or nil if the server
	// responds as usual; the field may be nil.
	OnDeadly func() (crash func())

	mu sync.Mutex
	// The fields below are guarded by mu. executions counts executions by request id, and
	// cancelledStreams the streams whose callers disconnected.
	faults           Faults
	running          int
	executions       map[string]int
	cancelledStreams int
	deadlyPhase      DeadlyPhase
	lastHeader       http.Header
	// garbledCount is the number of responses that were garbled since the faults were set.
	garbledCount uint64
	// version is that of the server's software; empty for firstVersion.
	version string
}

// firstVersion is the version of a server's software before SetVersion is called.
const firstVersion = "v1"

// SetVersion sets the version of the server's software.
func (s *Server) SetVersion(version string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version = version
}

// Version returns the version of the server's software.
func (s *Server) Version() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.version == "" {
		return firstVersion
	}
	return s.version
}

// SetFaults replaces the injected faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults, s.garbledCount = f, 0
}

// ExecutionCounts returns how often each request was executed, by request id.
func (s *Server) ExecutionCounts() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := make(map[string]int, len(s.executions))
	for id, n := range s.executions {
		counts[id] = n
	}
	return counts
}

// CancelledStreams returns the number of streams whose callers disconnected.
func (s *Server) CancelledStreams() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cancelledStreams
}

// LastHeader returns the header of the last request that was executed.
func (s *Server) LastHeader() http.Header {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastHeader.Clone()
}

// ResponseSeal returns the Response-Seal value of a server's responses.
func ResponseSeal(id string) string { return "seal-of-" + id }

// Registration returns the server's registration record for the store.
func (s *Server) Registration(state string, sequence int, startedAt time.Time) string {
	return fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":%q,"slots":%d,"state":%q,"coldRemainingMs":0,"sequence":%d,"born":%d}`,
		s.Service, s.Address, s.Zone, s.Version(), s.MaxConcurrency, state, sequence, startedAt.UnixMilli())
}

// begin reserves a slot and counts the execution; it returns false if the server rejects the request.
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
	faults, executed := s.begin(id, r.Header)
	if executed {
		defer s.end()
	}
	s.report(r, id, string(body), faults, executed)
	h.Set("Request-Attempt-Id", id)
	if faults.Leaving {
		h.Set("Server-Leaving", "1")
	}
	if !executed {
		reject(w, faults)
		return
	}
	s.respond(w, r, id, body, faults)
}

// report tells OnRequest about a request.
func (s *Server) report(r *http.Request, id, body string, faults Faults, executed bool) {
	if s.OnRequest == nil {
		return
	}
	received := ReceivedRequest{
		Server: s, ID: id, Method: r.Method, Target: r.RequestURI, Body: body,
		Team: r.Header.Get("Tenant"), HasKey: r.Header.Get("Authorization") != "", Executed: executed, Deadly: isDeadly(r.Header),
		Version: s.Version(), ResumeAfter: resumeAfter(r),
	}
	if !executed {
		received.RetryAfter = faults.RetryAfter
	}
	s.OnRequest(received)
}

// reject turns a request away.
func reject(w http.ResponseWriter, faults Faults) {
	w.Header().Set("Not-Executed", "1")
	if faults.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(faults.RetryAfter.Seconds(), 'f', 3, 64))
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}

// respond executes a request and responds to it, as far as the faults let it.
func (s *Server) respond(w http.ResponseWriter, r *http.Request, id string, body []byte, faults Faults) {
	if crash := s.deadlyCrash(r.Header); crash != nil {
		s.respondAndCrash(w, id, crash)
		return
	}
	switch {
	case faults.DropResponses:
		panic(http.ErrAbortHandler)
	case faults.Endless != "":
		s.writeEndless(w, faults.Endless, id)
		return
	case faults.Garble != 0:
		s.writeGarbled(w, r, id, body, faults.Garble)
		return
	case faults.MismatchResponses:
		s.writeMismatchedResponse(w, r, id, completeBody(r, body))
		return
	}
	h := w.Header()
	h.Set("Response-Seal", ResponseSeal(s.ID))
	h.Set("Server-Load", fmt.Sprintf("%d,0,%d,100", len(body), s.MaxConcurrency))
	switch {
	case faults.Unframed:
		writeUnframed(w, r, body, faults.PartInterval)
		return
	case r.Header.Get("Model") != "":
		s.writeStream(w, r, faults)
		return
	}
	time.Sleep(s.ProcessingTime)
	// The caller may have disconnected.
	_, _ = io.WriteString(w, plainBody(r, body))
}
