package intakeconn

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
)

// A head or a chunked body of any form must be counted at least as large as the HTTP parser makes of it, whatever the
// pieces in which it arrives, so that no form gets past the bounds.
func FuzzHeadAndChunkedBody(f *testing.F) {
	for _, seed := range []string{
		"GET / HTTP/1.1\r\nHost: h\r\n\r\n",
		"GET / HTTP/1.1\nHost: h\na:\nb: c\n\n",
		"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1;a=b\r\nx\r\n1\r\ny\r\n0\r\nTrailer: t\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nab",
		"GET / HTTP/1.1\r\nHost: h\r\n folded\r\n \r\n\r\n",
		"GET / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("a:\r\n", 100) + "\r\n",
	} {
		f.Add([]byte(seed), 7)
	}
	f.Fuzz(func(t *testing.T, data []byte, pieceBytes int) {
		pieceBytes = 1 + max(0, pieceBytes)%4096
		var meter headMeter
		headBytes := 0
		for rest := data; len(rest) > 0; rest = rest[min(pieceBytes, len(rest)):] {
			headBytes += meter.add(rest[:min(pieceBytes, len(rest))])
		}
		request, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(data)))
		if err != nil {
			return
		}
		lines := 0
		for _, values := range request.Header {
			lines += len(values)
		}
		if meter.lines < lines || headBytes < lines {
			t.Errorf("%d lines and %d bytes were counted of a head with %d fields", meter.lines, headBytes, lines)
		}
		checkBody(t, request, len(data))
	})
}

// checkBody reads a body within an account, and checks that it takes no more than the account allowed.
func checkBody(t *testing.T, request *http.Request, size int) {
	t.Helper()
	a := account{max: 1 << 20}
	reader := BodyReader{Account: &a, Declared: request.ContentLength}
	body, err := reader.Read(t.Context(), request.Body)
	if err != nil && a.peak > a.max {
		t.Errorf("%d bytes were allowed", a.peak)
	}
	if body.Len() > size {
		t.Errorf("%d bytes of a body came from %d bytes", body.Len(), size)
	}
	if errors.Is(err, io.EOF) {
		t.Error("the end of the body is an error")
	}
}
