package forwardserver

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/quetzalroad/quetzalroad"
)

// exchange is one request of a caller and its answer. It implements
// quetzalroad.ForwardSink.
type exchange struct {
	server     *Server
	response   http.ResponseWriter
	request    *http.Request
	control    *http.ResponseController
	forwarding quetzalroad.ForwardRequest
	// bodyRead tells that nothing of the request is left to be read.
	bodyRead bool
	// began tells that a part of the answer was sent.
	began bool
	// length is what the head stated; negative where it stated none.
	length int64
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	x := &exchange{server: s, response: w, request: r, control: http.NewResponseController(w)}
	x.forwarding.Arrived = time.Now()
	err := x.read()
	if err == nil {
		err = s.node.Forwarder.Forward(r.Context(), &x.forwarding, x)
	}
	x.end(err)
}

// read turns the caller's request into the domain's.
func (x *exchange) read() error {
	s := x.server
	f := &x.forwarding
	f.ID = quetzalroad.RequestID(uuid.NewString())
	if s.node.Freshness.Version() == 0 {
		return quetzalroad.NewRefusal(quetzalroad.ReasonNotReady, "no published state yet", notReadyRetry)
	}
	head, err := s.codec.Decode(x.request)
	if err != nil {
		return quetzalroad.NewRefusal(quetzalroad.ReasonMalformedRequest, err.Error(), 0)
	}
	if head.CallerRequestID != "" {
		f.ID = quetzalroad.RequestID(head.CallerRequestID)
	}
	f.CallerRequestID = head.CallerRequestID
	if head.Timeout > 0 {
		f.CallerDeadline = f.Arrived.Add(head.Timeout)
	}
	f.Model, f.PromptTokens, f.MaxTokens = head.Model, head.PromptTokens, head.MaxTokens
	f.PromptSegments, f.LastEventID, f.Header = head.PromptSegments, head.LastEventID, head.Header
	f.PrefixHash, f.SharedPromptTokens = shared(head.PromptSegments)
	f.Method, f.RequestTarget, f.Host = x.request.Method, x.request.RequestURI, x.request.Host
	if err := x.find(); err != nil {
		return err
	}
	if err := x.admit(head); err != nil {
		return err
	}
	return x.readBody()
}

// notReadyRetry is when a caller may try again at another node.
const notReadyRetry = 100 * time.Millisecond

// find looks up the route. A node whose view is too old can't tell that there
// is none.
func (x *exchange) find() error {
	f := &x.forwarding
	path, _, _ := strings.Cut(f.RequestTarget, "?")
	route, ok := x.server.node.RouteTable.Match(f.Host, path)
	if !ok {
		return x.unlessStale(quetzalroad.NewRefusal(quetzalroad.ReasonUnknownRoute, "no route leads anywhere from this host and path", 0))
	}
	f.Route = route
	f.Profile = route.Profile
	f.Idempotent = route.Profile.Idempotent
	return nil
}

// unlessStale gives a refusal that the published state demands, or another
// where the view of it is too old to say so.
func (x *exchange) unlessStale(r *quetzalroad.Refusal) error {
	if x.server.node.Freshness.IsFresh() {
		return r
	}
	return quetzalroad.NewRefusal(quetzalroad.ReasonStaleState, "the view of the published state is too old", notReadyRetry)
}

// admit finds the team that the key names.
func (x *exchange) admit(head quetzalroad.RequestMetadata) error {
	f := &x.forwarding
	n := x.server.node
	if !n.RouteTable.RequiresKey() {
		return nil
	}
	if !head.HasKey {
		if f.Route.AllowAnonymous {
			return nil
		}
		return x.unlessStale(quetzalroad.NewRefusal(quetzalroad.ReasonUnauthorized, "a key is needed", 0))
	}
	team, ok := n.Directory.TeamByKey(head.Key)
	if !ok {
		if f.Route.AllowAnonymous {
			return nil
		}
		return x.unlessStale(quetzalroad.NewRefusal(quetzalroad.ReasonUnauthorized, "the key names no team", 0))
	}
	f.Team, f.Key, f.HasKey = team, head.Key, !f.Route.AllowAnonymous
	f.Profile.Tier = n.RouteTable.EffectiveTier(f.Route.Profile.Tier, team)
	if f.HasKey && !n.Freshness.IsFresh() {
		return quetzalroad.NewRefusal(quetzalroad.ReasonStaleState, "the view of the published state is too old", notReadyRetry)
	}
	return nil
}

// readBody reads the whole body, so that it can be sent more than once.
func (x *exchange) readBody() error {
	limit := x.server.maxBody
	if published := x.server.node.RouteTable.CallerLimits().MaxBodyBytes; published > 0 {
		limit = published
	}
	if x.request.ContentLength > int64(limit) {
		return quetzalroad.NewRefusal(quetzalroad.ReasonBodyTooLarge, "the body is longer than "+strconv.Itoa(limit)+" bytes", 0)
	}
	if x.request.ContentLength == 0 {
		x.bodyRead = true
		return nil
	}
	if err := x.control.SetReadDeadline(time.Now().Add(x.server.bodyTimeout)); err != nil {
		return err
	}
	body := http.MaxBytesReader(x.response, x.request.Body, int64(limit))
	var err error
	if n := x.request.ContentLength; n > 0 {
		x.forwarding.Body = make([]byte, n)
		_, err = io.ReadFull(body, x.forwarding.Body)
	} else {
		x.forwarding.Body, err = io.ReadAll(body)
	}
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return quetzalroad.NewRefusal(quetzalroad.ReasonBodyTooLarge, err.Error(), 0)
	case err != nil:
		refusal := quetzalroad.NewRefusal(quetzalroad.ReasonCallerDisconnected, "the body did not arrive", 0)
		refusal.Cause = err
		return refusal
	}
	x.bodyRead = true
	return x.control.SetReadDeadline(time.Time{})
}

// WriteHead implements quetzalroad.ForwardSink.
func (x *exchange) WriteHead(h quetzalroad.ResponseHead) error {
	x.began = true
	x.length = h.ContentLength
	header := x.response.Header()
	for name, values := range h.Header {
		header[name] = values
	}
	if h.ContentLength >= 0 {
		header.Set("Content-Length", strconv.FormatInt(h.ContentLength, 10))
	}
	if _, ok := header["Content-Type"]; !ok {
		// Without a value the server adds none of its own.
		header["Content-Type"] = nil
	}
	x.announceEnd()
	x.response.WriteHeader(h.Status)
	return nil
}

// announceEnd tells the caller to use another connection from now on, where the
// node is stopping or the rest of a body would stand in the way: the server
// would wait for it before it answers.
func (x *exchange) announceEnd() {
	if x.server.node.Stopping() || (!x.bodyRead && x.request.ContentLength != 0) {
		x.response.Header().Set("Connection", "close")
	}
}

// Write implements quetzalroad.ForwardSink.
func (x *exchange) Write(data []byte) error {
	if err := x.control.SetWriteDeadline(time.Now().Add(x.server.writeTimeout)); err != nil {
		return err
	}
	if _, err := x.response.Write(data); err != nil {
		return err
	}
	if x.length >= 0 {
		return nil
	}
	return x.control.Flush()
}

// end answers a refusal. An answer that broke off is cut with its connection,
// so that it never looks complete.
func (x *exchange) end(err error) {
	s := x.server
	class := x.forwarding.Profile.Class
	if err == nil {
		s.node.Recorder.CountOutcome(class, quetzalroad.OutcomeCompleted)
		return
	}
	refusal := quetzalroad.AsRefusal(err)
	s.node.Recorder.CountRefusal(refusal.Reason)
	s.node.Recorder.CountOutcome(class, refusal.Outcome)
	x.log(refusal)
	if x.began || refusal.Reason == quetzalroad.ReasonCallerDisconnected {
		panic(http.ErrAbortHandler)
	}
	status, header := s.codec.EncodeRefusal(refusal)
	for name, values := range header {
		x.response.Header()[name] = values
	}
	x.announceEnd()
	x.response.WriteHeader(status)
	body, err := json.Marshal(refusalJSON{Code: string(refusal.Reason), Message: refusal.Message, Outcome: string(refusal.Outcome)})
	if err != nil {
		body = []byte("{}")
	}
	// A caller that is gone doesn't miss its refusal.
	_, _ = x.response.Write(body)
}

// refusalJSON is the body of a refusal.
type refusalJSON struct {
	Code    string `json:"code"`
	Message string `json:"message"`
	Outcome string `json:"outcome"`
}

func (x *exchange) log(r *quetzalroad.Refusal) {
	f := &x.forwarding
	n := x.server.node
	x.server.logger.Info("request refused", "request-id", string(f.ID), "route", string(f.Route.Name), "team", string(f.Team.Name),
		"reason", string(r.Reason), "outcome", string(r.Outcome), "age", time.Since(f.Arrived), "state-version", n.Freshness.Version(), "state-age", n.Freshness.Age(), "error", r.Cause)
}
