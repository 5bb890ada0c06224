package checker

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/quetzalroad/quetzalroad/cmd/quetzalemu/requester"
)

// Guards against a soak that doesn't notice that the streams of killed nodes are lost.
func TestCheckReportsStreamsOfKilledNodesThatAreLost(t *testing.T) {
	for name, test := range map[string]struct {
		resumedStatus, newStatus int
		streams                  int
		keyRevoked               bool
		want                     int
	}{
		"the streams go on":                   {http.StatusOK, http.StatusOK, minResumed, false, 0},
		"the streams are refused":             {http.StatusServiceUnavailable, http.StatusOK, minResumed, false, 1},
		"new streams are refused as well":     {http.StatusServiceUnavailable, http.StatusServiceUnavailable, minResumed, false, 0},
		"too few streams to tell their share": {http.StatusServiceUnavailable, http.StatusOK, minResumed - 1, false, 0},
		"the keys of the streams are revoked": {http.StatusUnauthorized, http.StatusOK, minResumed, true, 0},
	} {
		t.Run(name, func(t *testing.T) {
			killedAt := time.Now()
			var c Checker
			c.RecordKill([]int{0}, killedAt)
			c.RecordDisruption(0, killedAt, killedAt.Add(time.Second), false)
			record := func(id, resumes string, node, lastEvent, status int, sentAt, revokedAt time.Time, complete bool) {
				c.RecordExchange(Exchange{
					KeyRevokedAt: revokedAt,
					Class:        Class{Name: "draft", Retryable: true}, Node: node,
					Request:  requester.Request{ID: id, Resumes: resumes, Events: 20, LastEventID: lastEvent},
					Response: requester.Response{Status: status, SentAt: sentAt, CompletedAt: killedAt.Add(time.Second / 2), Complete: complete},
				})
			}
			var revokedAt time.Time
			if test.keyRevoked {
				revokedAt = killedAt
			}
			for i := range test.streams {
				id := fmt.Sprint("stream-", i)
				record(id, "", 0, 0, http.StatusOK, killedAt.Add(-time.Second), revokedAt, false)
				record(id+"-rest", id, 1, 3, test.resumedStatus, killedAt.Add(time.Second/4), revokedAt, true)
				record(fmt.Sprint("new-", i), "", 1, 0, test.newStatus, killedAt.Add(time.Second/4), time.Time{}, true)
			}
			var violations []string
			c.checkKills(func(_, _, format string, args ...any) {
				violations = append(violations, fmt.Sprintf(format, args...))
			})
			if len(violations) != test.want {
				t.Errorf("violations %q, want %d", violations, test.want)
			}
		})
	}
}
