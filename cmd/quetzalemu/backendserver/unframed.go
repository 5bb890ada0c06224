package backendserver

import (
	"bytes"
	"io"
	"net/http"
	"time"
)

// writeUnframed sends a response without a length and chunks, which ends with its connection.
func writeUnframed(w http.ResponseWriter, r *http.Request, body []byte, pause time.Duration) {
	parts := remainingEvents(r)
	w.Header().Set("Content-Type", "text/event-stream")
	if r.Header.Get("Model") == "" {
		text := plainBody(r, body)
		parts = []string{text[:len(text)/2], text[len(text)/2:]}
		w.Header().Set("Content-Type", "text/plain")
	}
	w.Header().Set("Connection", "close")
	var head bytes.Buffer
	head.WriteString(okStatusLine + "\r\n")
	// Writing to a buffer never fails.
	_ = w.Header().Write(&head)
	head.WriteString("\r\n")
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	if _, err := conn.Write(head.Bytes()); err != nil {
		return
	}
	for i, part := range parts {
		if i > 0 {
			time.Sleep(pause)
		}
		if _, err := io.WriteString(conn, part); err != nil {
			return
		}
	}
}
