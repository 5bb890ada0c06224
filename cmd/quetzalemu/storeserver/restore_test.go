package storeserver

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
)

// response returns the status, the epoch and the body of a read.
func response(s *Store, target string) (int, string, string) {
	recorder := httptest.NewRecorder()
	s.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, target, nil))
	body, _ := io.ReadAll(recorder.Body)
	return recorder.Code, recorder.Header().Get(epochHeader), string(body)
}

func TestRestoredStoreLosesRecordsAndGivesOffsetsOutAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var s Store
		s.PutConfig("v1")
		s.PutServer("a", "ready")
		s.PutServer("gone", "ready")
		s.Append("keyed.nodes", "n1", "x")
		time.Sleep(5 * time.Second)
		s.PutConfig("v2")
		s.PutServer("b", "ready")
		s.PutServer("gone", "")
		s.Append("keyed.nodes", "n2", "x")
		time.Sleep(time.Second)
		if _, epoch, _ := response(&s, "/log-newest?topic=keyed.op&part=0"); epoch != "1" {
			t.Errorf("epoch %s, want 1", epoch)
		}
		s.Restore(3 * time.Second)
		for target, want := range map[string]string{
			"/log-newest?topic=keyed.op&part=0":      `{"endOffset":2,"hasMore":false,"items":[{"key":"config","offset":1,"value":"djI="}]}`,
			"/log-newest?topic=keyed.servers&part=0": `{"endOffset":4,"hasMore":false,"items":[`,
			"/log-newest?topic=keyed.nodes&part=0":   `{"endOffset":1,"hasMore":false,"items":[{"key":"n1","offset":0,"value":"eA=="}]}`,
		} {
			status, epoch, body := response(&s, target)
			if diff := cmp.Diff(want, body[:min(len(body), len(want))]); diff != "" || status != http.StatusOK || epoch != "2" {
				t.Errorf("%s: status %d, epoch %s (-want +got):\n%s", target, status, epoch, diff)
			}
		}
		if status, epoch, _ := response(&s, "/log-read?topic=keyed.nodes&part=0&from=2"); status != http.StatusGone || epoch != "2" {
			t.Errorf("status %d in epoch %s for an offset beyond the end, want 410 in epoch 2", status, epoch)
		}
	})
}
