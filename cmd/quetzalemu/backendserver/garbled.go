package backendserver

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"
)

// GarbleSeed is the number from which a faulty server draws how it garbles each of its responses. The zero value
// leaves them as they are.
type GarbleSeed uint64

const (
	// spoiltStreamHeads of the garbled streams have a spoilt head, and spoiltPlainHeads of the plain responses.
	spoiltStreamHeads = 0.1
	spoiltPlainHeads  = 0.5
	// garbledPartDelay is the time between two parts of a garbled response.
	garbledPartDelay = 10 * time.Millisecond
)

// spoiltHead is a response head that is none in HTTP. The field is one more line of it.
type spoiltHead struct{ statusLine, field string }

var spoiltHeads = []spoiltHead{
	{statusLine: "HTTP/1.1 abc OK"},
	{statusLine: "200 OK"},
	{statusLine: "<html><body>Bad Gateway</body></html>"},
	{statusLine: "\x16\x03\x01\x00\x2a\x02\x00\x00\x26\x03\x03"}, // a TLS record
	{statusLine: okStatusLine, field: "a line without a colon"},
	{statusLine: okStatusLine, field: "Content-Length: -1"},
	{statusLine: okStatusLine, field: "Content-Length: many"},
	{statusLine: okStatusLine, field: "Transfer-Encoding: garbled"},
}

const okStatusLine = "HTTP/1.1 200 OK"

// garbledChunkHeader is a line in place of the length of a chunk.
const garbledChunkHeader = "zz\r\n"

// framing is how the end of a body is marked.
type framing string

const (
	framingLength   framing = "length"
	framingChunks   framing = "chunks"
	framingUnframed framing = "unframed"
)

// garbledExchange is a request whose response is garbled.
type garbledExchange struct {
	// fields are the header lines that each response of the server has.
	fields string
	random *rand.Rand
}

// head returns a response head with some more fields.
func (x garbledExchange) head(fields string) string {
	return okStatusLine + "\r\n" + x.fields + fields + "\r\n"
}

// spoilHead returns a response with a spoilt head.
func (x garbledExchange) spoilHead(body string) string {
	spoilt := spoiltHeads[x.random.IntN(len(spoiltHeads))]
	text := spoilt.statusLine + "\r\n" + x.fields + "Connection: close\r\n"
	if spoilt.field != "" {
		text += spoilt.field + "\r\n"
	}
	return text + "\r\n" + body
}

// plainResponse returns the parts of a plain response that is garbled where its framing shows it, so that nobody has
// to take it for a whole one, or that is followed by more bytes.
func (x garbledExchange) plainResponse(body string) []string {
	if x.random.Float64() < spoiltPlainHeads {
		return []string{x.spoilHead(body)}
	}
	chunked := x.head("Transfer-Encoding: chunked\r\n")
	withLength := x.head(fmt.Sprintf("Content-Length: %d\r\n", len(body)))
	half := body[:len(body)/2]
	forms := [][]string{
		{chunked + garbledChunkHeader + body},
		{chunked + encodeChunk(half), garbledChunkHeader + body[len(half):]},
		{chunked + fmt.Sprintf("-%x\r\n%s\r\n0\r\n\r\n", len(body), body)},
		{withLength + half},
		{withLength + body, "service unavailable\r\n\r\n"},
		{withLength + body, withLength + body},
	}
	return forms[x.random.IntN(len(forms))]
}

// encodeChunk encodes data as one chunk.
func encodeChunk(data string) string {
	return fmt.Sprintf("%x\r\n%s\r\n", len(data), data)
}

// newGarbledRandom returns the random sequence of the next garbled response.
func (s *Server) newGarbledRandom(seed GarbleSeed) *rand.Rand {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.garbledCount++
	return rand.New(rand.NewPCG(uint64(seed), s.garbledCount))
}

// writeGarbled writes a garbled response in place of the proper one, and closes the connection.
func (s *Server) writeGarbled(w http.ResponseWriter, r *http.Request, id string, body []byte, seed GarbleSeed) {
	x := garbledExchange{fields: "Request-Attempt-Id: " + id + "\r\nResponse-Seal: " + ResponseSeal(s.ID) + "\r\n", random: s.newGarbledRandom(seed)}
	var parts []string
	if r.Header.Get("Model") != "" {
		parts = x.streamResponse(remainingEvents(r))
	} else {
		parts = x.plainResponse(plainBody(r, body))
	}
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	for _, part := range parts {
		if _, err := io.WriteString(conn, part); err != nil {
			return
		}
		time.Sleep(garbledPartDelay)
	}
}
