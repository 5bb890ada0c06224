package storeserver

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

func appendStatus(s *Store, condition, records string) (int, string) {
	recorder := httptest.NewRecorder()
	s.ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, "/log-append?topic=keyed.leases&part=0"+condition, strings.NewReader(records)))
	return recorder.Code, strings.TrimSpace(recorder.Body.String())
}

// Two nodes would hold a lease at the same time if the store accepted both of their writes.
func TestConditionalAppendNeedsTheTopicsEnd(t *testing.T) {
	var s Store
	const record = "\x00\x00\x00\x03\x01kv"
	for _, c := range []struct {
		condition, records string
		status             int
		body               string
	}{
		{"&at=1", record, http.StatusPreconditionFailed, `{"endOffset":0}`},
		{"&at=0", record, http.StatusOK, `{"endOffset":1,"offset":0}`},
		{"&at=0", record, http.StatusPreconditionFailed, `{"endOffset":1}`},
		{"&at=x", record, http.StatusBadRequest, `{"error":"at is no offset"}`},
		{"&at=1", record + "\x00\x00\x00\x09\x01k", http.StatusBadRequest, `{"error":"a record is cut"}`},
		{"", record, http.StatusOK, `{"endOffset":2,"offset":1}`},
	} {
		if status, body := appendStatus(&s, c.condition, c.records); status != c.status || body != c.body {
			t.Errorf("%q: status %d, %s, want %d, %s", c.condition, status, body, c.status, c.body)
		}
	}
}
