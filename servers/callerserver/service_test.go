package callerserver

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/kernel"
)

// stubDirectory knows one plain service and its profile.
type stubDirectory struct{ quetzalroad.Directory }

func (stubDirectory) Service(quetzalroad.ServiceName) (quetzalroad.Service, bool) {
	return quetzalroad.Service{Name: "portal", Kind: quetzalroad.ServiceKindPlain, DefaultProfile: "booking"}, true
}

func (stubDirectory) Profile(quetzalroad.ProfileName) (quetzalroad.Profile, bool) {
	return quetzalroad.Profile{Name: "booking"}, true
}

// releaseDispatcher answers each call with a response that counts its releases.
type releaseDispatcher struct {
	quetzalroad.Dispatcher
	released int
}

func (d *releaseDispatcher) Call(context.Context, *quetzalroad.ServiceRequest) (*quetzalroad.ServiceResponse, error) {
	return &quetzalroad.ServiceResponse{Status: http.StatusOK, Body: []byte("body"), Release: func() { d.released++ }}, nil
}

// brokenWriter is the connection of a caller that left.
type brokenWriter struct{ http.ResponseWriter }

func (brokenWriter) Write([]byte) (int, error) { return 0, errors.New("reset") }

// A response whose caller left, or that has no body to send, must not keep its share of the budget for buffers.
func TestResponseOfAServiceIsReleasedHoweverItEnds(t *testing.T) {
	for name, c := range map[string]struct {
		method string
		left   bool
	}{"sent": {http.MethodGet, false}, "no body": {http.MethodHead, false}, "caller left": {http.MethodGet, true}} {
		dispatcher := new(releaseDispatcher)
		s := &Server{node: &kernel.Node{Dispatcher: dispatcher, Directory: stubDirectory{}}, maxBodyBytes: 1 << 10}
		var writer http.ResponseWriter = httptest.NewRecorder()
		if c.left {
			writer = brokenWriter{writer}
		}
		x := &exchange{server: s, writer: writer, request: httptest.NewRequest(c.method, "/services/portal/x", strings.NewReader("")), controller: http.NewResponseController(writer)}
		if err := s.handleService(x); (err != nil) != c.left || dispatcher.released != 1 {
			t.Errorf("%s: released %d times, error %v", name, dispatcher.released, err)
		}
	}
}
