package backendserver

import (
	"cmp"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// plainBody returns the response body of a plain request.
func plainBody(r *http.Request, requestBody []byte) string {
	return "ran " + r.Method + " " + r.RequestURI + " " + string(requestBody)
}

// completeBody returns the complete response body: all remaining events of a stream, or that of a plain request.
func completeBody(r *http.Request, requestBody []byte) string {
	if r.Header.Get("Model") == "" {
		return plainBody(r, requestBody)
	}
	return strings.Join(remainingEvents(r), "")
}

// resumeAfter returns the id of the event after which a request resumes a stream; zero if it begins one.
func resumeAfter(r *http.Request) int {
	id, err := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	if err != nil {
		return 0
	}
	return id
}

// remainingEvents returns the events that a request for a stream asks for.
func remainingEvents(r *http.Request) []string {
	_, eventCount, _ := strings.Cut(r.Header.Get("Token-Usage"), ",")
	total, _ := strconv.Atoi(eventCount)
	var events []string
	for i := resumeAfter(r) + 1; i <= total; i++ {
		events = append(events, fmt.Sprintf("id: %d\ndata: piece %d\n\n", i, i))
	}
	return events
}

// writeMismatchedResponse sends a response to another request, then the response to this one,
// which announces that the server closes the connection: a request sent on a connection that
// closes without notice would be reset.
func (s *Server) writeMismatchedResponse(w http.ResponseWriter, r *http.Request, id, body string) {
	contentType := "text/plain"
	if r.Header.Get("Model") != "" {
		contentType = "text/event-stream"
	}
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	const responseFormat = "HTTP/1.1 200 OK\r\nRequest-Attempt-Id: %s\r\nResponse-Seal: seal-of-%s\r\nConnection: %s\r\nContent-Type: %s\r\nContent-Length: %d\r\n\r\n%s"
	// The caller may have disconnected.
	_, _ = fmt.Fprintf(conn, responseFormat+responseFormat, "another", s.ID, "keep-alive", contentType, 3, "no!", id, s.ID, "close", contentType, len(body), body)
}

// writeStream sends the events after the caller's Last-Event-Id.
func (s *Server) writeStream(w http.ResponseWriter, r *http.Request, faults Faults) {
	_, eventCount, _ := strings.Cut(r.Header.Get("Token-Usage"), ",")
	total, err := strconv.Atoi(eventCount)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	begin := resumeAfter(r)
	w.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	for i := begin + 1; i <= total; i++ {
		if faults.TruncateAfter > 0 && i > begin+faults.TruncateAfter {
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
		case <-time.After(cmp.Or(faults.EventInterval, s.EventInterval)):
		case <-r.Context().Done():
			s.mu.Lock()
			s.cancelledStreams++
			s.mu.Unlock()
			return
		}
	}
}
