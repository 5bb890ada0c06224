package quetzalroad

import (
	"context"
	"net/http"
	"time"
)

// ForwardRequest is a caller's request that is forwarded without parsing its body.
type ForwardRequest struct {
	Request
	// Route is a copy of the route as of the request's arrival.
	Route Route
	// Key is the hash of the key that identified the team; valid only if HasKey is
	// set.
	Key    KeyHash
	HasKey bool
	// CallerRequestID is the caller's own id of the request, which upstreams echo.
	CallerRequestID string
	// Method, RequestTarget and Host are the caller's; RequestTarget is unmodified.
	Method        string
	RequestTarget string
	Host          string
	// Header holds the end-to-end fields to forward.
	Header http.Header
	// Body is the whole body; the caller-facing server bounds its size.
	Body Body
	// PromptSegments lists the segments of the prompt in order; empty if the caller
	// named none. The last one is specific to this request.
	PromptSegments []PromptSegment
	// LastEventID is the id of the last event the caller has received; zero if
	// none.
	LastEventID int64
	// ResumedRequestID is the id of the request with which the caller received the first event of the stream; empty if
	// it names none, or resumes no stream.
	ResumedRequestID RequestID
}

// Resumes reports whether the caller goes on with a stream of which it has events.
func (f *ForwardRequest) Resumes() bool {
	return f.Route.Streaming && f.Route.Resumable && f.LastEventID > 0
}

// StreamID returns the id under which it is known where the stream began: that of the request that brought its
// first event.
func (f *ForwardRequest) StreamID() RequestID {
	if f.Resumes() {
		return f.ResumedRequestID
	}
	return f.ID
}

// SharedSegments returns the segments that other requests may have in common with this one.
func (f *ForwardRequest) SharedSegments() []PromptSegment {
	return f.PromptSegments[:max(0, len(f.PromptSegments)-1)]
}

// PromptSegment is a part of a prompt that several requests may have in common.
type PromptSegment struct {
	// ID is the same in every request that contains the segment.
	ID string
	// Tokens is the length of the segment.
	Tokens int
}

// Attempt is one attempt to send a request to an upstream.
type Attempt struct {
	Upstream Upstream
	Request  *ForwardRequest
	// ResumeAfter is the id of the event after which the stream resumes; zero to
	// start at the beginning.
	ResumeAfter int64
	// Timeout is the time the upstream has left. The client sets it immediately
	// before sending.
	Timeout time.Duration
	// NewConnection is set if the upstream has refused the request before. On a connection that was in use
	// then, the refusal may arrive once more and would be taken for the response.
	NewConnection bool
	// ReadTimeout bounds the wait for the response head and between two chunks of
	// the body; zero for no bound.
	ReadTimeout time.Duration
	// BeforeSend is called immediately before the first byte is sent; if it returns
	// an error, nothing is sent. It may be nil.
	BeforeSend func() error
}

// ResponseHead is the status and header of an upstream's response.
type ResponseHead struct {
	// Status is the HTTP status.
	Status int
	// Header holds the end-to-end fields.
	Header http.Header
	// ContentLength is the size of the body; negative if unknown.
	ContentLength int64
	// EventStream reports whether the body is read as an event stream: that of each success on a streaming route,
	// whatever type it declares, and elsewhere that of a response which declares the type.
	EventStream bool
	// Unframed reports whether nothing but the end of the connection ends the body.
	Unframed bool
	// ReusedConnection reports whether the connection had carried another response before.
	ReusedConnection bool
	// LoadReport is the load report sent with the response; nil if there was none.
	LoadReport *LoadReport
	// RateLimit is the limit stated with the response; nil if the statement can't be understood.
	RateLimit *RateLimit
	// Leaving reports whether the upstream states that it leaves.
	Leaving bool
	// RetryAfter is how long the upstream asks to be sent nothing; zero if it doesn't.
	RetryAfter time.Duration
}

// BodyChunk is a part of a response body. In an event stream it is one whole event, or comments.
type BodyChunk struct {
	Data []byte
	// EventID is the id of the event; zero if it has none.
	EventID int64
	// IsComment is set if the chunk holds nothing but comments of an event stream, which keep a connection open.
	IsComment bool
}

// StreamEvent is what a block of an event stream holds, which ends with an empty line.
type StreamEvent struct {
	// ID is the id of the event, which is positive; zero if it has none.
	ID int64
	// IsComment is set if the block holds nothing but comments.
	IsComment bool
}

// ForwardResponse is a response being received. It must not be used concurrently.
type ForwardResponse interface {
	Head() ResponseHead
	// Next waits for the next chunk, which is valid until the next call. The error
	// is io.EOF after a complete response and an *AttemptError otherwise. An unframed response
	// is complete only if UpstreamOutlived confirms it.
	Next() (BodyChunk, error)
	// UpstreamOutlived reports whether the upstream's process is known to have run on after an unframed
	// response, of which Next has returned io.EOF. The connections of a process that exits end like those that
	// it closes. It may take a second or two, and is false if the context ends first.
	UpstreamOutlived(ctx context.Context) bool
	// Close ends the exchange and cancels an incomplete response.
	Close()
}

// ForwardClient sends forwarded requests to upstreams.
type ForwardClient interface {
	// Send sends an attempt and waits for the head of the response. The error is an
	// *AttemptError. The context bounds the whole response.
	Send(ctx context.Context, a *Attempt) (ForwardResponse, error)
}

// ForwardSink receives a response as it arrives.
type ForwardSink interface {
	// WriteHead sends the status and header.
	WriteHead(h ResponseHead) error
	// Write sends a part of the body without buffering.
	Write(data []byte) error
}

// Forwarder handles forwarded requests from admission to the end of the response.
type Forwarder interface {
	// Forward runs a request and writes its response to the sink. The error is a
	// *Refusal; the sink knows whether the response had begun.
	Forward(ctx context.Context, f *ForwardRequest, sink ForwardSink) error
}

// RequestMetadata is what the router reads from the header of a caller's request.
type RequestMetadata struct {
	// CallerRequestID is the caller's id of the request; empty if not sent.
	CallerRequestID string
	// Key is the hash of the bearer key; valid only if HasKey is set.
	Key    KeyHash
	HasKey bool
	// Timeout is how much longer the caller waits; zero if not sent.
	Timeout time.Duration
	// Model is the requested model; empty for plain services.
	Model          ModelName
	PromptTokens   int
	MaxTokens      int
	PromptSegments []PromptSegment
	LastEventID    int64
	// ResumedRequestID is the id of the request that brought the first event of the stream; empty if not sent.
	ResumedRequestID RequestID
	// Header holds the fields to forward.
	Header http.Header
}

// CallerCodec maps the header fields between callers and the router.
type CallerCodec interface {
	// Decode reads a request's header. The error describes an invalid field.
	Decode(r *http.Request) (RequestMetadata, error)
	// EncodeRefusal returns the status and the header fields of a refusal.
	EncodeRefusal(r *Refusal) (int, http.Header)
	// ReadinessPath returns the path of the platform's readiness probe.
	ReadinessPath() string
}

// ResponseMetadata is what the header of an upstream's response states besides the
// response itself.
type ResponseMetadata struct {
	// CallerRequestID is the echoed id of the request that was answered; empty if
	// not sent.
	CallerRequestID string
	// NotRun reports whether the upstream stated that it did not run the request.
	NotRun bool
	// Unsigned reports whether the response is a success without the upstream's signature, which is no response of
	// a sound upstream.
	Unsigned bool
	// Misdirected reports whether another instance now uses the address.
	Misdirected bool
	// LoadReport is the load report sent with the response; nil if there was none.
	LoadReport *LoadReport
	// RateLimit is the limit stated with the response; nil if the statement can't be understood.
	RateLimit *RateLimit
	// Leaving reports whether the upstream states that it leaves.
	Leaving bool
	// RetryAfter is how long an upstream that turns requests away asks to be sent nothing; zero if it doesn't.
	RetryAfter time.Duration
	// KeepAlive is how long the upstream keeps an idle connection open; zero if not
	// sent.
	KeepAlive time.Duration
}

// UpstreamCodec maps the header fields between the router and upstreams.
type UpstreamCodec interface {
	// Encode adds the fields of an attempt to a header.
	Encode(h http.Header, a *Attempt)
	// Decode reads the head of a response; received is when it arrived.
	Decode(received time.Time, status int, h http.Header) ResponseMetadata
	// DecodeEvent decodes a block of an event stream, with or without the empty line that ends it. The error
	// tells why the block is no event.
	DecodeEvent(block []byte) (StreamEvent, error)
}

// KeyedRecord is a record of a log stream that retains only the latest record of
// each key.
type KeyedRecord struct {
	Key string
	// Value is nil if the record deletes the key.
	Value  []byte
	Offset Offset
}

// KeyedLog reads log streams that retain the latest record of each key.
type KeyedLog interface {
	// ReadLatest returns the latest record of each key. It may include records
	// appended during the call.
	ReadLatest(ctx context.Context, s LogStream) ([]KeyedRecord, StreamBounds, error)
	// ReadKeyed returns records in order, starting at a position, and waits up to
	// wait for the first. The error is ErrTrimmed if records from the position on
	// were removed. Once the EpochTracker stands before the log, it is an EpochChangedError if the
	// position belongs to another epoch.
	ReadKeyed(ctx context.Context, s LogStream, from Position, wait time.Duration) ([]KeyedRecord, StreamBounds, error)
}

// The log streams whose records have keys.
const (
	LogStreamOperators LogStream = "operators"
	LogStreamUpstreams LogStream = "upstreams"
	// LogStreamNodes is where the router's nodes register themselves.
	LogStreamNodes LogStream = "nodes"
	// LogStreamStreams is where nodes record at which software version streams began.
	LogStreamStreams LogStream = "streams"
)

// KeyedWriter writes to the router's own log streams.
type KeyedWriter interface {
	// PutKeyed sets the latest value of a key, and returns the epoch in which it was stored; nil deletes
	// the key.
	PutKeyed(ctx context.Context, s LogStream, key string, value []byte) (Epoch, error)
}

// StateCodec decodes what operators and upstreams publish on the platform.
type StateCodec interface {
	// DecodeState decodes a published state; false if the record holds something
	// else. The error names the invalid field.
	DecodeState(r KeyedRecord) (*PublishedState, bool, error)
	// DecodeRegistration decodes an upstream's registration.
	DecodeRegistration(r KeyedRecord) (UpstreamRegistration, error)
}
