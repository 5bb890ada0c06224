package vmclient

import (
	"expvar"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/kernel"
	"github.com/quetzalroad/quetzalroad/support/recorder"
)

// leavingMarks notes which upstreams were marked as leaving or not.
type leavingMarks struct {
	quetzalroad.LoadTracker
	marks map[quetzalroad.UpstreamName]bool
}

// SetLeaving implements quetzalroad.LoadTracker.
func (l *leavingMarks) SetLeaving(u quetzalroad.UpstreamName, leaving bool) { l.marks[u] = leaving }

func newTestClient(t *testing.T, body string) *Client {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if _, err := w.Write([]byte(body)); err != nil {
			t.Error(err)
		}
	}))
	t.Cleanup(server.Close)
	c := &Client{address: netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://")), timeout: time.Minute}
	if err := c.Build(&kernel.Node{Recorder: new(recorder.Recorder), Vars: new(expvar.Map)}); err != nil {
		t.Fatal(err)
	}
	return c
}

// A node that starts would take the VMs for none.
func TestUnreadableListOfVMsIsNoEmptyOne(t *testing.T) {
	for body, valid := range map[string]bool{
		`{"vms":[]}`: true, "": false, "null": false, "{}": false, `{"vms":null}`: false, `{"vms":{}}`: false, `{"error":"busy"}`: false, `{"vms":[null]}`: false,
	} {
		if vms, err := newTestClient(t, body).ListVMs(t.Context()); (err == nil) != valid {
			t.Errorf("%s was decoded as %+v, error %v", body, vms, err)
		}
	}
}

// An upstream that leaves would be in use again.
func TestUnknownStateOfAVMChangesNothing(t *testing.T) {
	const vm = `{"role":"upstream","address":"10.0.0.1:80"`
	c := newTestClient(t, `{"vms":[`+vm+`,"name":"a","state":"leaving"},`+vm+`,"name":"b","state":"live"},`+vm+`,"name":"c","state":"resting"},`+vm+`,"name":"d"}]}`)
	tracker := &leavingMarks{marks: make(map[quetzalroad.UpstreamName]bool)}
	c.node.LoadTracker = tracker
	vms, err := c.ListVMs(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	c.markLeaving(vms)
	if diff := cmp.Diff(map[quetzalroad.UpstreamName]bool{"a": true, "b": false}, tracker.marks); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
}
