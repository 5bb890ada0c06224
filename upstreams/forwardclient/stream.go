package forwardclient

import (
	"io"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/quetzalroad/quetzalroad"
)

var errNoEvents = errors.New("the stream ended before any event")

// isEventStream reports whether the body is read as an event stream. On a streaming route a success is nothing
// else, even if an upstream in trouble declares another type. A response to HEAD has no body.
func (x *exchange) isEventStream() bool {
	if x.attempt.Request.Method == http.MethodHead {
		return false
	}
	if x.attempt.Request.Route.Streaming {
		return x.response.StatusCode >= http.StatusOK && x.response.StatusCode < http.StatusMultipleChoices
	}
	return x.declaresEventStream()
}

func (x *exchange) declaresEventStream() bool {
	mediaType, _, _ := strings.Cut(x.response.Header.Get("Content-Type"), ";")
	return strings.EqualFold(strings.TrimSpace(mediaType), "text/event-stream")
}

// isUnframed reports whether nothing but the end of the connection ends the body. A response to HEAD has none.
func (x *exchange) isUnframed() bool {
	return x.attempt.Request.Method != http.MethodHead && x.response.ContentLength < 0 && len(x.response.TransferEncoding) == 0
}

// nextEvent returns the next event or comment.
func (x *exchange) nextEvent() (quetzalroad.BodyChunk, error) {
	event, err := x.events.next()
	switch {
	case err == nil:
		x.hasEvents = x.hasEvents || !event.IsComment || !x.events.strict
	case errors.Is(err, io.EOF) && !x.hasEvents:
		err = x.emptyStreamError()
	}
	return event, err
}

// emptyStreamError returns io.EOF if a stream without events may be whole: one that resumes another may have
// nothing to add. An upstream that exits as it begins to respond leaves an unframed stream without events.
func (x *exchange) emptyStreamError() error {
	resumes := x.attempt.ResumeAfter > 0
	switch {
	case !resumes && x.isUnframed():
		return io.ErrUnexpectedEOF
	case x.events.strict && !(resumes && x.declaresEventStream()):
		return errNoEvents
	}
	return io.EOF
}
