package quetzalroad

import (
	"context"
	"net/http"
	"time"
)

// ForwardRequest is a caller's request that is passed on with its body unread.
type ForwardRequest struct {
	Request
	// Route is a copy of the route as it stood on arrival.
	Route Route
	// Key is the hash of the key that named the team; it holds where Keyed is
	// set.
	Key    KeyHash
	HasKey bool
	// CallerRequestID is the caller's own id of the request, which upstreams echo.
	CallerRequestID string
	// Method, Target and Host are the caller's; Target is the request target
	// to the letter.
	Method        string
	RequestTarget string
	Host          string
	// Header holds the end-to-end fields that may be passed on.
	Header http.Header
	// Body is the whole body; its size is bounded by the caller face.
	Body []byte
	// PromptSegments lists the parts of the prompt in order; empty where none are
	// named. The last part belongs to the request alone.
	PromptSegments []PromptSegment
	// LastEventID is the id of the last event that the caller already has; zero
	// where it has none.
	LastEventID int64
}

// PromptSegment is a piece of a prompt that several requests may share.
type PromptSegment struct {
	// ID is the same wherever the piece occurs.
	ID string
	// Tokens is the piece's length.
	Tokens int
}

// Attempt is one sending of a forwarding to an upstream.
type Attempt struct {
	Upstream Upstream
	Request  *ForwardRequest
	// ResumeAfter is the id of the event after which a stream is to go on; zero from
	// the start.
	ResumeAfter int64
	// Timeout is the time that the upstream may take. The protocol sets it
	// immediately before it sends.
	Timeout time.Duration
	// ReadTimeout bounds the wait for the head and between two pieces of the
	// answer; zero for no bound.
	ReadTimeout time.Duration
	// BeforeSend is asked immediately before the first byte is sent; with an
	// error nothing is sent. Nil allows it.
	BeforeSend func() error
}

// ResponseHead is the beginning of an upstream's answer.
type ResponseHead struct {
	// Status is the HTTP status.
	Status int
	// Header holds the end-to-end fields.
	Header http.Header
	// ContentLength is the size of the body; negative where it isn't told.
	ContentLength int64
	// EventStream tells that the body is a stream of events.
	EventStream bool
	// LoadReport is the upstream's load as told with the answer; nil where it told
	// none.
	LoadReport *LoadReport
}

// BodyChunk is a part of an answer's body. Of a stream of events it is one whole
// event.
type BodyChunk struct {
	Data []byte
	// EventID is the event's id; zero where it has none.
	EventID int64
}

// ForwardResponse is an upstream's answer under way. It is used by one goroutine
// at a time.
type ForwardResponse interface {
	Head() ResponseHead
	// Next waits for the next piece, which is valid until the next call. The
	// error is io.EOF after a whole answer and an *AttemptError otherwise.
	Next() (BodyChunk, error)
	// Close ends the exchange. An answer that is not whole is cancelled.
	Close()
}

// ForwardClient sends forwardings to upstreams.
type ForwardClient interface {
	// Send sends an attempt and waits for the head of its answer. The error is
	// an *AttemptError. The context bounds the whole answer.
	Send(ctx context.Context, a *Attempt) (ForwardResponse, error)
}

// ForwardSink takes an answer as it comes.
type ForwardSink interface {
	// WriteHead sends the head.
	WriteHead(h ResponseHead) error
	// Write sends a piece of the body at once.
	Write(data []byte) error
}

// Forwarder carries forwardings from admission to their answer.
type Forwarder interface {
	// Forward runs a request and hands its answer to the sink. The error is a
	// *Refusal; whether the answer had begun is the sink's to know.
	Forward(ctx context.Context, f *ForwardRequest, sink ForwardSink) error
}

// RequestMetadata is what the header of a caller's request says.
type RequestMetadata struct {
	// CallerRequestID is the caller's id of the request; empty where it gave none.
	CallerRequestID string
	// Key is the hash of the bearer key; it holds where HasKey is set.
	Key    KeyHash
	HasKey bool
	// Timeout is how long the caller goes on waiting; zero where it didn't say.
	Timeout time.Duration
	// Model is the model asked for; empty for plain services.
	Model          ModelName
	PromptTokens   int
	MaxTokens      int
	PromptSegments []PromptSegment
	LastEventID    int64
	// Header holds the fields to pass on.
	Header http.Header
}

// CallerCodec knows the names by which callers and the router talk over HTTP.
type CallerCodec interface {
	// Decode reads a request's header. The error says what can't be read.
	Decode(r *http.Request) (RequestMetadata, error)
	// EncodeRefusal gives the status and the header fields of a refusal.
	EncodeRefusal(r *Refusal) (int, http.Header)
	// ReadinessPath is the path under which the platform asks whether the node is
	// ready.
	ReadinessPath() string
}

// ResponseMetadata is what the head of an upstream's answer says beside the answer
// itself.
type ResponseMetadata struct {
	// CallerRequestID is the echoed id of the request that the answer belongs to; empty
	// where it names none.
	CallerRequestID string
	// NotRun tells that the upstream states that it didn't run the request.
	NotRun bool
	// Misdirected tells that another instance stands at the address.
	Misdirected bool
	// LoadReport is the load told; nil where none was.
	LoadReport *LoadReport
	// KeepAlive is how long the upstream keeps an idle connection; zero where it
	// didn't say.
	KeepAlive time.Duration
}

// UpstreamCodec knows the names by which the router and upstreams talk over
// HTTP.
type UpstreamCodec interface {
	// Encode adds the fields of an attempt to a header.
	Encode(h http.Header, a *Attempt)
	// Decode reads an answer's head, received at a time.
	Decode(received time.Time, status int, h http.Header) ResponseMetadata
	// EventID reads the id of one whole event; false where it has none.
	EventID(event []byte) (int64, bool)
}

// KeyedRecord is a record of a stream of which the log keeps the newest of
// each key.
type KeyedRecord struct {
	Key string
	// Value is nil where the record drops the key.
	Value  []byte
	Offset Offset
}

// KeyedLog reads streams of the platform's log that keep the newest record of
// each key.
type KeyedLog interface {
	// ReadLatest gives the newest record of each key. Records that came meanwhile
	// may be among them.
	ReadLatest(ctx context.Context, s LogStream) ([]KeyedRecord, StreamBounds, error)
	// ReadKeyed gives records from an offset on in their order, waiting up to
	// wait for the first. The error is ErrTrimmed where records from the offset
	// on are gone.
	ReadKeyed(ctx context.Context, s LogStream, from Offset, wait time.Duration) ([]KeyedRecord, StreamBounds, error)
}

// The streams that operators and upstreams write.
const (
	LogStreamOperators LogStream = "operators"
	LogStreamUpstreams LogStream = "upstreams"
	// LogStreamNodes is where the nodes of the router tell of themselves.
	LogStreamNodes LogStream = "nodes"
)

// KeyedWriter writes to the streams of the router's own.
type KeyedWriter interface {
	// PutKeyed makes a value the newest of a key; nil drops the key.
	PutKeyed(ctx context.Context, s LogStream, key string, value []byte) error
}

// StateCodec reads what operators and upstreams write to the platform.
type StateCodec interface {
	// DecodeState reads a published state; false where the record holds
	// something else. The error names what can't be read.
	DecodeState(r KeyedRecord) (*PublishedState, bool, error)
	// DecodeRegistration reads an upstream's entry.
	DecodeRegistration(r KeyedRecord) (UpstreamRegistration, error)
}
