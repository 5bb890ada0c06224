package backendserver

import (
	"io"
	"net/http"
	"strings"
)

// EndlessPart is a part of a response that a faulty server repeats until its client closes the
// connection. The zero value is none.
type EndlessPart string

// The parts of a response that may be endless.
const (
	EndlessStatusLine    EndlessPart = "status-line"
	EndlessHeaderLine    EndlessPart = "header-line"
	EndlessHeader        EndlessPart = "header"
	EndlessInformational EndlessPart = "informational"
	EndlessChunk         EndlessPart = "chunk"
	EndlessBody          EndlessPart = "body"
	EndlessEvent         EndlessPart = "event"
	EndlessTrailer       EndlessPart = "trailer"
)

// EndlessParts lists all endless parts.
var EndlessParts = []EndlessPart{
	EndlessStatusLine, EndlessHeaderLine, EndlessHeader, EndlessInformational,
	EndlessChunk, EndlessBody, EndlessEvent, EndlessTrailer,
}

// endlessResponse is the beginning of a response, after which repeated follows without end.
type endlessResponse struct{ begin, repeated string }

func newEndlessResponse(part EndlessPart, id string) endlessResponse {
	const statusLine = "HTTP/1.1 200 OK\r\n"
	// The body belongs to another request, so that no caller gets any of it.
	foreignHead := statusLine + "Request-Attempt-Id: another\r\n"
	switch part {
	case EndlessStatusLine:
		return endlessResponse{"HTTP/1.1 200 ", "O"}
	case EndlessHeaderLine:
		return endlessResponse{statusLine + "A: ", "a"}
	case EndlessHeader:
		return endlessResponse{statusLine, "A: b\r\n"}
	case EndlessInformational:
		return endlessResponse{"", "HTTP/1.1 102 Processing\r\n\r\n"}
	case EndlessChunk:
		return endlessResponse{foreignHead + "Transfer-Encoding: chunked\r\n\r\n1;", "a"}
	case EndlessEvent:
		return endlessResponse{statusLine + "Request-Attempt-Id: " + id + "\r\nContent-Type: text/event-stream\r\n\r\nid: 1\ndata: ", "a"}
	case EndlessTrailer:
		return endlessResponse{foreignHead + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "A: b\r\n"}
	}
	return endlessResponse{foreignHead + "\r\n", "body\r\n"}
}

// endlessBlockBytes is about how much of an endless response is written at once.
const endlessBlockBytes = 16 << 10

// writeEndless writes an endless response until the client closes the connection.
func (s *Server) writeEndless(w http.ResponseWriter, part EndlessPart, id string) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	response := newEndlessResponse(part, id)
	_, err = io.WriteString(conn, response.begin)
	block := strings.Repeat(response.repeated, 1+endlessBlockBytes/len(response.repeated))
	for err == nil {
		_, err = io.WriteString(conn, block)
	}
}
