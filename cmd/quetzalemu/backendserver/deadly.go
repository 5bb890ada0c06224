package backendserver

import (
	"io"
	"net/http"
	"strings"
	"time"
)

// DeadlySegment is the prompt part that crashes a server that responds to a request with it.
const DeadlySegment = "dead"

// DeadlyPhase is how far a server comes with the response to a deadly request before it crashes.
type DeadlyPhase int

// The phases of a response.
const (
	DeadlyBeforeResponse DeadlyPhase = iota
	DeadlyInStatusLine
	DeadlyInHeader
	DeadlyAfterHeader
	DeadlyInEvent
	DeadlyBetweenEvents
	// DeadlyPhases is the number of phases.
	DeadlyPhases
)

func isDeadly(header http.Header) bool {
	for part := range strings.SplitSeq(header.Get("Prompt-Prefix"), ",") {
		if id, _, _ := strings.Cut(part, ":"); id == DeadlySegment {
			return true
		}
	}
	return false
}

// SetDeadlyPhase sets how far the server comes with the response to a deadly request.
func (s *Server) SetDeadlyPhase(p DeadlyPhase) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deadlyPhase = p
}

// deadlyResponse returns what arrives of a response before the crash.
func deadlyResponse(p DeadlyPhase, server, id string) string {
	const (
		statusLine = "HTTP/1.1 200 OK\r\n"
		event      = "id: 1\ndata: piece 1\n\n"
	)
	head := statusLine + "Request-Attempt-Id: " + id + "\r\nResponse-Seal: " + ResponseSeal(server) + "\r\nContent-Type: text/event-stream\r\n\r\n"
	switch p {
	case DeadlyInStatusLine:
		return statusLine[:len(statusLine)/2]
	case DeadlyInHeader:
		return head[:len(head)-len("stream\r\n\r\n")]
	case DeadlyAfterHeader:
		return head
	case DeadlyInEvent:
		return head + event[:len(event)/2]
	case DeadlyBetweenEvents:
		return head + event
	}
	return ""
}

// crashDelay is the time that the last bytes before a crash have to arrive.
const crashDelay = 5 * time.Millisecond

// deadlyCrash returns what crashes the server under a request, or nil.
func (s *Server) deadlyCrash(header http.Header) func() {
	if s.OnDeadly == nil || !isDeadly(header) {
		return nil
	}
	return s.OnDeadly()
}

// respondAndCrash writes a part of the response and crashes the server.
func (s *Server) respondAndCrash(w http.ResponseWriter, id string, crash func()) {
	s.mu.Lock()
	phase := s.deadlyPhase
	s.mu.Unlock()
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	// The node may have disconnected.
	_, _ = io.WriteString(conn, deadlyResponse(phase, s.ID, id))
	time.Sleep(crashDelay)
	crash()
}
