package forwardserver

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/support/intakeconn"
	"github.com/quetzalroad/quetzalroad/support/prefixhasher"
)

// exchange is one caller request and its response. It implements quetzalroad.ForwardSink.
type exchange struct {
	server         *Server
	writer         http.ResponseWriter
	request        *http.Request
	controller     *http.ResponseController
	forwardRequest quetzalroad.ForwardRequest
	// bodyRead is set once the request body has been read to its end.
	bodyRead bool
	// responseStarted is set when the response head is written.
	responseStarted bool
	// account is what the connection and the request hold; nil if there is no bound.
	account quetzalroad.IntakeAccount
	// headCost is the memory that the head takes.
	headCost int
	// contentLength is the response's Content-Length; negative if unknown.
	contentLength int64
}

func (s *Server) handleRequest(w http.ResponseWriter, r *http.Request) {
	x := &exchange{server: s, writer: w, request: r, controller: http.NewResponseController(w)}
	x.forwardRequest.Arrived = time.Now()
	if conn, ok := r.Context().Value(callerConnKey{}).(*callerConn); ok {
		x.account = conn.Account()
	}
	defer x.release()
	err := x.prepareRequest()
	if err == nil {
		err = s.node.Forwarder.Forward(r.Context(), &x.forwardRequest, x)
	}
	x.finish(err)
}

// release returns what the request holds of the node's memory.
func (x *exchange) release() {
	if x.account != nil {
		x.account.Release()
	}
}

// holdHead has the head count as what it takes once it is parsed.
func (x *exchange) holdHead() error {
	if x.account == nil {
		return nil
	}
	x.headCost = intakeconn.HeaderCost(x.request.Header)
	return x.account.Hold(x.request.Context(), x.headCost)
}

// prepareRequest decodes, routes and authenticates the request and reads its body.
func (x *exchange) prepareRequest() error {
	s := x.server
	f := &x.forwardRequest
	f.ID = quetzalroad.RequestID(uuid.NewString())
	if s.node.Freshness.Version() == 0 {
		return quetzalroad.NewRefusal(quetzalroad.ReasonNotReady, "no published state yet", notReadyRetryAfter)
	}
	if err := x.holdHead(); err != nil {
		return err
	}
	metadata, err := s.codec.Decode(x.request)
	if err != nil {
		return quetzalroad.NewRefusal(quetzalroad.ReasonMalformedRequest, err.Error(), 0)
	}
	if metadata.CallerRequestID != "" {
		f.ID = quetzalroad.RequestID(metadata.CallerRequestID)
	}
	f.CallerRequestID = metadata.CallerRequestID
	if metadata.Timeout > 0 {
		f.CallerDeadline = f.Arrived.Add(metadata.Timeout)
	}
	f.Model, f.PromptTokens, f.MaxTokens = metadata.Model, metadata.PromptTokens, metadata.MaxTokens
	f.PromptSegments, f.LastEventID, f.ResumedRequestID, f.Header = metadata.PromptSegments, metadata.LastEventID, metadata.ResumedRequestID, metadata.Header
	f.PrefixHash, f.SharedPromptTokens = prefixhasher.Shared(metadata.PromptSegments)
	f.Method, f.RequestTarget, f.Host = x.request.Method, x.request.RequestURI, x.request.Host
	if err := x.matchRoute(); err != nil {
		return err
	}
	if err := x.authenticate(metadata); err != nil {
		return err
	}
	return x.readBody()
}

// notReadyRetryAfter is the delay after which a caller may retry on another node.
const notReadyRetryAfter = 100 * time.Millisecond

// matchRoute looks up the route. A node with stale state can't rule out that a
// newer state has one, so it doesn't refuse the request as an unknown route.
func (x *exchange) matchRoute() error {
	f := &x.forwardRequest
	path, _, _ := strings.Cut(f.RequestTarget, "?")
	route, ok := x.server.node.RouteTable.Match(f.Host, path)
	if !ok {
		return x.refusalUnlessStale(quetzalroad.NewRefusal(quetzalroad.ReasonUnknownRoute, "no route leads anywhere from this host and path", 0))
	}
	f.Route = route
	f.Profile = route.Profile
	f.Idempotent = route.Profile.Idempotent
	return nil
}

// refusalUnlessStale returns the refusal if the published state is fresh, and a
// stale-state refusal otherwise, since newer state may allow the request.
func (x *exchange) refusalUnlessStale(refusal *quetzalroad.Refusal) error {
	if x.server.node.Freshness.IsFresh() {
		return refusal
	}
	return quetzalroad.NewRefusal(quetzalroad.ReasonStaleState, "the view of the published state is too old", notReadyRetryAfter)
}

// authenticate looks up the team of the caller's key. A route that allows anonymous callers accepts requests
// without a valid key. Any other route refuses them, and with stale state refuses valid keys too. Where callers
// need no key, one that is sent has to be valid all the same.
func (x *exchange) authenticate(metadata quetzalroad.RequestMetadata) error {
	f := &x.forwardRequest
	n := x.server.node
	if !metadata.HasKey {
		if !n.RouteTable.RequiresKey() || f.Route.AllowAnonymous {
			return nil
		}
		return x.refusalUnlessStale(quetzalroad.NewRefusal(quetzalroad.ReasonUnauthorized, "a key is needed", 0))
	}
	team, ok := n.Directory.TeamByKey(metadata.Key)
	if !ok {
		if f.Route.AllowAnonymous {
			return nil
		}
		return x.refusalUnlessStale(quetzalroad.NewRefusal(quetzalroad.ReasonUnauthorized, "the key names no team", 0))
	}
	f.Team, f.Key, f.HasKey = team, metadata.Key, !f.Route.AllowAnonymous
	f.Profile.Tier = n.RouteTable.EffectiveTier(f.Route.Profile.Tier, team)
	if f.HasKey && !n.Freshness.IsFresh() {
		return quetzalroad.NewRefusal(quetzalroad.ReasonStaleState, "the view of the published state is too old", notReadyRetryAfter)
	}
	return nil
}

// readBody reads the whole body, so that a retry can send it again.
func (x *exchange) readBody() error {
	limit := x.server.defaultMaxBodyBytes
	if publishedLimit := x.server.node.RouteTable.CallerLimits().MaxBodyBytes; publishedLimit > 0 {
		limit = publishedLimit
	}
	if x.request.ContentLength > int64(limit) {
		return quetzalroad.NewRefusal(quetzalroad.ReasonBodyTooLarge, "the body is longer than "+strconv.Itoa(limit)+" bytes", 0)
	}
	deadline := time.Now().Add(x.server.bodyTimeout)
	if x.account != nil {
		x.account.SetUrgency(x.forwardRequest.Profile.Tier, deadline)
	}
	if x.request.ContentLength != 0 {
		if err := x.receiveBody(deadline, int64(limit)); err != nil {
			return err
		}
	}
	x.bodyRead = true
	if x.account == nil {
		return nil
	}
	if refusal := x.account.SetReceived(); refusal != nil {
		return refusal
	}
	return nil
}

// receiveBody receives a body within its time and size.
func (x *exchange) receiveBody(deadline time.Time, limit int64) error {
	if err := x.controller.SetReadDeadline(deadline); err != nil {
		return err
	}
	ctx, cancel := context.WithDeadline(x.request.Context(), deadline)
	defer cancel()
	reader := intakeconn.BodyReader{Account: x.account, HeadCost: x.headCost, Declared: x.request.ContentLength}
	body, err := reader.Read(ctx, http.MaxBytesReader(x.writer, x.request.Body, limit))
	x.forwardRequest.Body = body
	if err != nil {
		return x.bodyRefusal(err)
	}
	return x.controller.SetReadDeadline(time.Time{})
}

// bodyRefusal returns the refusal of a request whose body wasn't received.
func (x *exchange) bodyRefusal(err error) error {
	var refusal *quetzalroad.Refusal
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &refusal):
		return refusal
	case errors.As(err, &tooLarge):
		return quetzalroad.NewRefusal(quetzalroad.ReasonBodyTooLarge, err.Error(), 0)
	}
	if x.account != nil {
		if refusal := x.account.Interrupted(); refusal != nil {
			return refusal
		}
	}
	refusal = quetzalroad.NewRefusal(quetzalroad.ReasonCallerDisconnected, "the body did not arrive", 0)
	refusal.Cause = err
	return refusal
}

// WriteHead implements quetzalroad.ForwardSink.
func (x *exchange) WriteHead(head quetzalroad.ResponseHead) error {
	x.responseStarted = true
	if route := &x.forwardRequest.Route; x.account != nil && !route.Resumable {
		// No further attempt sends the body once the response has begun. Less memory is never refused.
		x.forwardRequest.Body = nil
		_ = x.account.Hold(x.request.Context(), x.headCost)
	}
	x.contentLength = head.ContentLength
	header := x.writer.Header()
	for name, values := range head.Header {
		header[name] = values
	}
	if head.ContentLength >= 0 {
		header.Set("Content-Length", strconv.FormatInt(head.ContentLength, 10))
	}
	if _, ok := header["Content-Type"]; !ok {
		// A nil value keeps the HTTP server from adding a detected type.
		header["Content-Type"] = nil
	}
	x.setConnectionClose()
	x.writer.WriteHeader(head.Status)
	return nil
}

// setConnectionClose adds "Connection: close" if the node is stopping or part of
// the request body is unread: on a connection that stays open, the server would
// read the rest of the body before it sends the response.
func (x *exchange) setConnectionClose() {
	if x.server.node.Stopping() || x.leavesBodyUnread() {
		x.writer.Header().Set("Connection", "close")
	}
}

// leavesBodyUnread reports whether a part of the request body may not have been read.
func (x *exchange) leavesBodyUnread() bool {
	return !x.bodyRead && x.request.ContentLength != 0
}

// Write implements quetzalroad.ForwardSink.
func (x *exchange) Write(data []byte) error {
	if err := x.controller.SetWriteDeadline(time.Now().Add(x.server.writeTimeout)); err != nil {
		return err
	}
	if _, err := x.writer.Write(data); err != nil {
		return err
	}
	if x.contentLength >= 0 {
		return nil
	}
	return x.controller.Flush()
}

// finish records the outcome and sends a refusal. If the response has started or
// the caller is gone, it aborts the connection: a truncated response must not look complete.
func (x *exchange) finish(err error) {
	s := x.server
	class := x.forwardRequest.Profile.Class
	if err == nil {
		s.node.Recorder.CountOutcome(class, quetzalroad.OutcomeCompleted)
		return
	}
	refusal := quetzalroad.AsRefusal(err)
	s.node.Recorder.CountRefusal(refusal.Reason)
	s.node.Recorder.CountOutcome(class, refusal.Outcome)
	x.logRefusal(refusal)
	if x.responseStarted || refusal.Reason == quetzalroad.ReasonCallerDisconnected {
		x.abort()
	}
	status, header := s.codec.EncodeRefusal(refusal)
	for name, values := range header {
		x.writer.Header()[name] = values
	}
	x.setConnectionClose()
	if x.leavesBodyUnread() {
		// The rest of the body isn't waited for. If this fails, the connection is closed already. Where there
		// is no rest, the HTTP server may be reading ahead, and would take the deadline for the end of a
		// connection that it keeps.
		_ = x.controller.SetReadDeadline(time.Now())
	}
	x.writer.WriteHeader(status)
	body, err := json.Marshal(refusalJSON{Code: string(refusal.Reason), Message: refusal.Message, Outcome: string(refusal.Outcome)})
	if err != nil {
		body = []byte("{}")
	}
	// Write errors are ignored: the caller has disconnected.
	_, _ = x.writer.Write(body)
}

// abort closes the connection so that the response looks incomplete. In HTTP/1.0 an orderly close ends a whole
// response, so that the connection has to be reset.
func (x *exchange) abort() {
	if x.responseStarted && !x.request.ProtoAtLeast(1, 1) {
		resetOnClose(x.request.Context())
	}
	panic(http.ErrAbortHandler)
}

// refusalJSON is the body of a refusal.
type refusalJSON struct {
	Code    string `json:"code"`
	Message string `json:"message"`
	Outcome string `json:"outcome"`
}

func (x *exchange) logRefusal(refusal *quetzalroad.Refusal) {
	f := &x.forwardRequest
	n := x.server.node
	x.server.logger.Info("request refused", "request-id", string(f.ID), "route", string(f.Route.Name), "team", string(f.Team.Name),
		"reason", string(refusal.Reason), "outcome", string(refusal.Outcome), "age", time.Since(f.Arrived), "state-version", n.Freshness.Version(), "state-age", n.Freshness.Age(), "error", refusal.Cause)
}
