package callerserver

import (
	"encoding/json"
	"math"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/uptrace/bunrouter"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/support/intakeconn"
)

// Header fields that the router defines or reads.
const (
	fieldRequestID      = "Quetzalroad-Request-Id"
	fieldOutcome        = "Quetzalroad-Outcome"
	fieldProfile        = "Quetzalroad-Profile"
	fieldIdempotencyKey = "Idempotency-Key"
)

// maxIdempotencyKeyBytes is the maximum length of an idempotency key.
const maxIdempotencyKeyBytes = 256

// exchange is one caller request and its response.
type exchange struct {
	server     *Server
	id         quetzalroad.RequestID
	arrived    time.Time
	request    *http.Request
	writer     http.ResponseWriter
	controller *http.ResponseController
	// account is what the connection and the request hold; nil if there is no bound.
	account quetzalroad.IntakeAccount
	// headCost is the memory that the head takes.
	headCost int
	team     quetzalroad.Team
	// class is the class of the request's profile; empty until that is resolved.
	class quetzalroad.Class
	// statusOverride replaces the status in refusalStatuses unless it is zero.
	statusOverride int
	// responseStarted is set when writing of the response starts.
	responseStarted bool
}

// handle wraps a handler: it admits the request, converts an error into a refusal,
// and records and logs the outcome.
func (s *Server) handle(handler func(x *exchange) error) bunrouter.HandlerFunc {
	return func(w http.ResponseWriter, r bunrouter.Request) error {
		x := &exchange{
			server: s, id: quetzalroad.RequestID(uuid.NewString()), arrived: time.Now(),
			request: r.Request, writer: w, controller: http.NewResponseController(w), account: intakeconn.AccountOf(r.Context()),
		}
		defer x.release()
		openRequests := s.openRequests.Add(1)
		defer s.openRequests.Add(-1)
		w.Header().Set(fieldRequestID, string(x.id))
		err := x.admit(int(openRequests))
		if err == nil {
			err = handler(x)
		}
		x.finish(err)
		return nil
	}
}

// release returns what the request holds of the node's memory.
func (x *exchange) release() {
	if x.account != nil {
		x.account.Release()
	}
}

// busyRetryAfter is the Retry-After delay of a node that is at its limit or not ready.
const busyRetryAfter = time.Second

func (x *exchange) admit(openRequests int) error {
	if openRequests > x.server.maxOpenRequests {
		return quetzalroad.NewRefusal(quetzalroad.ReasonTooManyOpenRequests, "the node has too many requests open", busyRetryAfter)
	}
	if err := x.server.checkReadiness(); err != nil {
		refusal := quetzalroad.NewRefusal(quetzalroad.ReasonNotReady, "the node doesn't have the published state yet", busyRetryAfter)
		refusal.Cause = err
		return refusal
	}
	if err := x.holdHead(); err != nil {
		return err
	}
	return x.authenticate()
}

// holdHead has the head count as what it takes once it is parsed.
func (x *exchange) holdHead() error {
	if x.account == nil {
		return nil
	}
	x.headCost = intakeconn.HeaderCost(x.request.Header)
	if err := x.account.Hold(x.request.Context(), x.headCost); err != nil {
		return err
	}
	if x.request.ContentLength != 0 {
		return nil
	}
	return x.setReceived()
}

// setReceived keeps the request from giving way to others, as all of it has arrived.
func (x *exchange) setReceived() error {
	if x.account == nil {
		return nil
	}
	if refusal := x.account.SetReceived(); refusal != nil {
		return refusal
	}
	return nil
}

func (x *exchange) authenticate() error {
	scheme, key, _ := strings.Cut(x.request.Header.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") || key == "" {
		return quetzalroad.NewRefusal(quetzalroad.ReasonUnauthorized, "a bearer key is required", 0)
	}
	team, ok := x.server.node.Directory.TeamByKey(quetzalroad.HashKey(strings.TrimSpace(key)))
	if !ok {
		return quetzalroad.NewRefusal(quetzalroad.ReasonUnauthorized, "the key is not known", 0)
	}
	x.team = team
	return nil
}

// readBody reads the whole body within the size and time limits.
func (x *exchange) readBody() ([]byte, error) {
	// A connection without deadline support is bounded by the other timeouts.
	_ = x.controller.SetReadDeadline(time.Now().Add(x.server.bodyTimeout))
	reader := intakeconn.BodyReader{Account: x.account, HeadCost: x.headCost, Declared: x.request.ContentLength}
	body, err := reader.Read(x.request.Context(), http.MaxBytesReader(x.writer, x.request.Body, int64(x.server.maxBodyBytes)))
	if err != nil {
		return nil, x.bodyRefusal(err)
	}
	if err := x.setReceived(); err != nil {
		return nil, err
	}
	// From here on the server reads only to detect that the caller disconnects.
	_ = x.controller.SetReadDeadline(time.Time{})
	return x.join(body)
}

// join returns a body in one piece, which takes its size once more until the parts are freed.
func (x *exchange) join(body quetzalroad.Body) ([]byte, error) {
	if len(body) == 1 {
		return body[0], nil
	}
	if x.account != nil {
		if err := x.account.Hold(x.request.Context(), x.headCost+2*body.Len()); err != nil {
			return nil, err
		}
	}
	data := make([]byte, 0, body.Len())
	for _, part := range body {
		data = append(data, part...)
	}
	if x.account == nil {
		return data, nil
	}
	return data, x.account.Hold(x.request.Context(), x.headCost+len(data))
}

// bodyRefusal returns the refusal of a request whose body wasn't received.
func (x *exchange) bodyRefusal(err error) error {
	var refusal *quetzalroad.Refusal
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &refusal):
		return refusal
	case errors.As(err, &tooLarge):
		return quetzalroad.NewRefusal(quetzalroad.ReasonBodyTooLarge, "the body is larger than "+strconv.Itoa(x.server.maxBodyBytes)+" bytes", 0)
	}
	if x.account != nil {
		if refusal := x.account.Interrupted(); refusal != nil {
			return refusal
		}
	}
	refusal = quetzalroad.NewRefusal(quetzalroad.ReasonMalformedRequest, "the body did not arrive whole and in time", 0)
	refusal.Cause = err
	return refusal
}

// resolveProfile returns the profile named in the request's header, or else the
// one named defaultName, or else the team's default, and sets the class.
func (x *exchange) resolveProfile(defaultName quetzalroad.ProfileName) (quetzalroad.Profile, error) {
	name := quetzalroad.ProfileName(x.request.Header.Get(fieldProfile))
	if name == "" {
		name = defaultName
	}
	if name == "" {
		name = x.team.DefaultProfile
	}
	profile, ok := x.server.node.Directory.Profile(name)
	if !ok {
		return quetzalroad.Profile{}, quetzalroad.NewRefusal(quetzalroad.ReasonUnknownProfile, "there is no profile "+strconv.Quote(string(name)), 0)
	}
	x.class = profile.Class
	return profile, nil
}

// idempotencyKey returns the caller's idempotency key after checking it; empty if the caller sent none.
func (x *exchange) idempotencyKey() (string, error) {
	lines := slices.Compact(slices.Clone(x.request.Header.Values(fieldIdempotencyKey)))
	switch {
	case len(lines) == 0:
		return "", nil
	case len(lines) > 1 || lines[0] == "":
		return "", quetzalroad.NewRefusal(quetzalroad.ReasonMalformedRequest, "the idempotency key is empty, or there are several", 0)
	case len(lines[0]) > maxIdempotencyKeyBytes:
		return "", quetzalroad.NewRefusal(quetzalroad.ReasonMalformedRequest, "the idempotency key is longer than "+strconv.Itoa(maxIdempotencyKeyBytes)+" bytes", 0)
	}
	return lines[0], nil
}

// write writes part of the response, with a deadline for a caller that doesn't read.
func (x *exchange) write(data []byte) error {
	// A connection without deadline support is bounded by the other timeouts.
	_ = x.controller.SetWriteDeadline(time.Now().Add(x.server.writeTimeout))
	if _, err := x.writer.Write(data); err != nil {
		return err
	}
	return nil
}

// refusalStatuses maps refusal reasons to HTTP statuses; refusalStatus has the others.
var refusalStatuses = map[quetzalroad.RefusalReason]int{
	quetzalroad.ReasonUnauthorized:            http.StatusUnauthorized,
	quetzalroad.ReasonMalformedRequest:        http.StatusBadRequest,
	quetzalroad.ReasonHeaderTooLarge:          http.StatusRequestHeaderFieldsTooLarge,
	quetzalroad.ReasonTooManyHeaderLines:      http.StatusRequestHeaderFieldsTooLarge,
	quetzalroad.ReasonBodyTooLarge:            http.StatusRequestEntityTooLarge,
	quetzalroad.ReasonUnknownModel:            http.StatusNotFound,
	quetzalroad.ReasonUnknownProfile:          http.StatusBadRequest,
	quetzalroad.ReasonUnknownService:          http.StatusNotFound,
	quetzalroad.ReasonTeamRateLimit:           http.StatusTooManyRequests,
	quetzalroad.ReasonTeamConcurrencyLimit:    http.StatusTooManyRequests,
	quetzalroad.ReasonServiceConcurrencyLimit: http.StatusTooManyRequests,
	quetzalroad.ReasonTimeout:                 http.StatusGatewayTimeout,
	quetzalroad.ReasonUpstreamFailed:          http.StatusBadGateway,
	quetzalroad.ReasonUpstreamResponseLost:    http.StatusBadGateway,
	quetzalroad.ReasonStreamInterrupted:       http.StatusBadGateway,
	quetzalroad.ReasonIdempotencyKeyExpired:   http.StatusConflict,
	quetzalroad.ReasonIdempotencyKeyReused:    http.StatusUnprocessableEntity,
	quetzalroad.ReasonDuplicateInProgress:     http.StatusConflict,
}

// refusalStatus returns the HTTP status of a refusal. Without one for its reason, 503 means that the request was
// not run, and 502 that it may have been.
func refusalStatus(refusal *quetzalroad.Refusal) int {
	if status, ok := refusalStatuses[refusal.Reason]; ok {
		return status
	}
	if refusal.Outcome == quetzalroad.OutcomeNotRun {
		return http.StatusServiceUnavailable
	}
	return http.StatusBadGateway
}

type refusalJSON struct {
	Code      string     `json:"code"`
	Message   string     `json:"message"`
	RequestID string     `json:"request-id"`
	Outcome   string     `json:"outcome"`
	Error     *errorJSON `json:"error"`
}

// errorJSON is the error object of the chat API, which its clients expect.
type errorJSON struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
}

func (x *exchange) encodeRefusal(refusal *quetzalroad.Refusal) []byte {
	body := refusalJSON{
		Code: string(refusal.Reason), Message: refusal.Message, RequestID: string(x.id), Outcome: string(refusal.Outcome),
		Error: &errorJSON{Message: refusal.Message, Type: "quetzalroad", Code: string(refusal.Reason)},
	}
	data, err := json.Marshal(body)
	if err != nil {
		return []byte("{}")
	}
	return data
}

// finish sends a refusal unless the response has started, and records the outcome.
func (x *exchange) finish(err error) {
	outcome := quetzalroad.OutcomeCompleted
	if err != nil {
		refusal := quetzalroad.AsRefusal(err)
		outcome = refusal.Outcome
		x.server.node.Recorder.CountRefusal(refusal.Reason)
		x.logRefusal(refusal)
		if !x.responseStarted {
			x.writeRefusal(refusal)
		}
	}
	if x.class != "" {
		x.server.node.Recorder.CountOutcome(x.class, outcome)
	}
}

func (x *exchange) logRefusal(refusal *quetzalroad.Refusal) {
	x.server.logger.Info("request refused", "request-id", string(x.id), "team", string(x.team.Name), "class", string(x.class),
		"reason", string(refusal.Reason), "outcome", string(refusal.Outcome), "error", refusal.Cause)
}

func setRetryAfter(header http.Header, refusal *quetzalroad.Refusal) {
	if refusal.RetryAfter > 0 {
		header.Set("Retry-After", strconv.Itoa(int(math.Ceil(refusal.RetryAfter.Seconds()))))
	}
}

func (x *exchange) writeRefusal(refusal *quetzalroad.Refusal) {
	var rejected *quetzalroad.RejectedError
	status := refusalStatus(refusal)
	if x.statusOverride != 0 {
		status = x.statusOverride
	}
	body := x.encodeRefusal(refusal)
	if errors.As(refusal.Cause, &rejected) {
		status = rejected.Status
		if json.Valid(rejected.Body) {
			body = rejected.Body
		}
	}
	header := x.writer.Header()
	header.Set("Content-Type", "application/json")
	header.Set(fieldOutcome, string(refusal.Outcome))
	setRetryAfter(header, refusal)
	if refusal.Reason == quetzalroad.ReasonUnauthorized {
		header.Set("WWW-Authenticate", "Bearer")
	}
	if refusal.Reason == quetzalroad.ReasonRequestMemoryFull || refusal.Reason == quetzalroad.ReasonTooManyConnections {
		// The rest of the body isn't waited for. If this fails, the connection is closed already.
		header.Set("Connection", "close")
		_ = x.controller.SetReadDeadline(time.Now())
	}
	x.writer.WriteHeader(status)
	// Write errors are ignored: the caller has disconnected.
	_ = x.write(body)
}
