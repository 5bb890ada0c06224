package logclient

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/kernel"
	"github.com/quetzalroad/quetzalroad/support/recorder"
)

// newTestClient returns a client of a log whose responses have a body.
func newTestClient(t *testing.T, body string) *Client {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if _, err := w.Write([]byte(body)); err != nil {
			t.Error(err)
		}
	}))
	t.Cleanup(server.Close)
	c := &Client{address: netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))}
	if err := c.Build(&kernel.Node{Recorder: new(recorder.Recorder)}); err != nil {
		t.Fatal(err)
	}
	return c
}

// Such a log would count as read to its end, or as one that lost its records; a record without data as an
// invalid one.
func TestUnreadableResponseOfTheLogIsNoEmptyLog(t *testing.T) {
	for _, body := range []string{
		"", "null", "{}", "[]", `{"error":"overloaded"}`, `{"earliest":0,"records":[]}`, `{"next":9,"records":[]}`, `{"earliest":null,"next":9}`,
		`{"earliest":0,"next":-1}`, `{"earliest":-1,"next":9}`, `{"earliest":10,"next":9}`, `{"earliest":0,"next":9,"records":[{"offset":7}]}`,
		`{"earliest":0,"next":9,"records":[{"data":"eA=="}]}`, `{"earliest":0,"next":9,"records":[{"offset":-7,"data":"eA=="}]}`, `{"earliest":0,"next":9}{}`,
	} {
		records, bounds, err := newTestClient(t, body).Read(t.Context(), quetzalroad.LogStreamState, 7, 0)
		if err == nil {
			t.Errorf("%s was decoded as %+v, %+v", body, bounds, records)
		}
	}
	records, bounds, err := newTestClient(t, `{"earliest":0,"next":9,"epoch":1,"records":[{"offset":7,"data":"eA=="},{"offset":8,"data":""}]}`).Read(t.Context(), quetzalroad.LogStreamState, 7, 0)
	want := []quetzalroad.Record{{Offset: 7, Data: []byte("x")}, {Offset: 8, Data: []byte{}}}
	if diff := cmp.Diff(want, records); diff != "" || err != nil || bounds != (quetzalroad.StreamBounds{Epoch: 1, End: 9}) {
		t.Errorf("bounds %+v, error %v (-want +got):\n%s", bounds, err, diff)
	}
	if records, _, err := newTestClient(t, `{"earliest":0,"next":0,"records":null}`).Read(t.Context(), quetzalroad.LogStreamState, 0, 0); err != nil || len(records) > 0 {
		t.Errorf("an empty log: %+v, error %v", records, err)
	}
}

// The record would count as appended at the first offset.
func TestUnreadableResponseIsNoConfirmationOfAnAppend(t *testing.T) {
	for _, body := range []string{"", "null", "{}", `{"error":"overloaded"}`, `{"offset":null}`, `{"offset":-1}`} {
		if offset, err := newTestClient(t, body).Append(t.Context(), quetzalroad.LogStreamState, []byte("x")); err == nil {
			t.Errorf("%s was decoded as offset %d", body, offset)
		}
	}
	if offset, err := newTestClient(t, `{"offset":7}`).Append(t.Context(), quetzalroad.LogStreamState, []byte("x")); err != nil || offset != 7 {
		t.Errorf("offset %d, error %v", offset, err)
	}
}
