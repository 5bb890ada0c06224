package linefinder

import (
	"bytes"
	"testing"
)

func FuzzIndex(f *testing.F) {
	f.Add([]byte("id: 1\r\ndata\n"))
	f.Add(append(bytes.Repeat([]byte("x"), windowBytes), '\r'))
	f.Fuzz(func(t *testing.T, text []byte) {
		if got, want := Index(text), bytes.IndexAny(text, "\r\n"); got != want {
			t.Errorf("%q: %d, want %d", text, got, want)
		}
	})
}
