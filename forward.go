package quetzalroad

import (
	"context"
	"net/http"
	"time"
)

// Forwarding is a caller's request that is passed on with its body unread.
type Forwarding struct {
	Request
	// Route is a copy of the route as it stood on arrival.
	Route Route
	// Key is the hash of the key that named the team; it holds where Keyed is
	// set.
	Key   KeyHash
	Keyed bool
	// CallerID is the caller's own id of the request, which upstreams echo.
	CallerID string
	// Method, Target and Host are the caller's; Target is the request target
	// to the letter.
	Method string
	Target string
	Host   string
	// Header holds the end-to-end fields that may be passed on.
	Header http.Header
	// Body is the whole body; its size is bounded by the caller face.
	Body []byte
	// Prompt lists the parts of the prompt in order; empty where none are
	// named. The last part belongs to the request alone.
	Prompt []PromptPart
	// LastEvent is the id of the last event that the caller already has; zero
	// where it has none.
	LastEvent int64
}

// PromptPart is a piece of a prompt that several requests may share.
type PromptPart struct {
	// ID is the same wherever the piece occurs.
	ID string
	// Tokens is the piece's length.
	Tokens int
}

// Attempt is one sending of a forwarding to an upstream.
type Attempt struct {
	Upstream   Upstream
	Forwarding *Forwarding
	// After is the id of the event after which a stream is to go on; zero from
	// the start.
	After int64
	// Left is the time that the upstream may take. The protocol sets it
	// immediately before it sends.
	Left time.Duration
	// Silence bounds the wait for the head and between two pieces of the
	// answer; zero for no bound.
	Silence time.Duration
	// Allowed is asked immediately before the first byte is sent; with an
	// error nothing is sent. Nil allows it.
	Allowed func() error
}

// AnswerHead is the beginning of an upstream's answer.
type AnswerHead struct {
	// Status is the HTTP status.
	Status int
	// Header holds the end-to-end fields.
	Header http.Header
	// Length is the size of the body; negative where it isn't told.
	Length int64
	// Events tells that the body is a stream of events.
	Events bool
	// Load is the upstream's load as told with the answer; nil where it told
	// none.
	Load *LoadReport
}

// Piece is a part of an answer's body. Of a stream of events it is one whole
// event.
type Piece struct {
	Data []byte
	// Event is the event's id; zero where it has none.
	Event int64
}

// ForwardAnswer is an upstream's answer under way. It is used by one goroutine
// at a time.
type ForwardAnswer interface {
	Head() AnswerHead
	// Next waits for the next piece, which is valid until the next call. The
	// error is io.EOF after a whole answer and an *AttemptError otherwise.
	Next() (Piece, error)
	// Close ends the exchange. An answer that is not whole is cancelled.
	Close()
}

// ForwardProtocol sends forwardings to upstreams.
type ForwardProtocol interface {
	// Send sends an attempt and waits for the head of its answer. The error is
	// an *AttemptError. The context bounds the whole answer.
	Send(ctx context.Context, a *Attempt) (ForwardAnswer, error)
}

// ForwardSink takes an answer as it comes.
type ForwardSink interface {
	// Begin sends the head.
	Begin(h AnswerHead) error
	// Write sends a piece of the body at once.
	Write(data []byte) error
}

// Forwarder carries forwardings from admission to their answer.
type Forwarder interface {
	// Forward runs a request and hands its answer to the sink. The error is a
	// *Refusal; whether the answer had begun is the sink's to know.
	Forward(ctx context.Context, f *Forwarding, sink ForwardSink) error
}

// CallerHead is what the header of a caller's request says.
type CallerHead struct {
	// ID is the caller's id of the request; empty where it gave none.
	ID string
	// Key is the hash of the bearer key; it holds where HasKey is set.
	Key    KeyHash
	HasKey bool
	// Left is how long the caller goes on waiting; zero where it didn't say.
	Left time.Duration
	// Model is the model asked for; empty for plain services.
	Model        ModelName
	PromptTokens int
	MaxTokens    int
	Prompt       []PromptPart
	LastEvent    int64
	// Header holds the fields to pass on.
	Header http.Header
}

// CallerCodec knows the names by which callers and the router talk over HTTP.
type CallerCodec interface {
	// Decode reads a request's header. The error says what can't be read.
	Decode(r *http.Request) (CallerHead, error)
	// Refuse gives the status and the header fields of a refusal.
	Refuse(r *Refusal) (int, http.Header)
	// ReadyPath is the path under which the platform asks whether the node is
	// ready.
	ReadyPath() string
}

// UpstreamWord is what the head of an upstream's answer says beside the answer
// itself.
type UpstreamWord struct {
	// ID is the echoed id of the request that the answer belongs to; empty
	// where it names none.
	ID string
	// NotRun tells that the upstream states that it didn't run the request.
	NotRun bool
	// Misdirected tells that another instance stands at the address.
	Misdirected bool
	// Load is the load told; nil where none was.
	Load *LoadReport
	// Keep is how long the upstream keeps an idle connection; zero where it
	// didn't say.
	Keep time.Duration
}

// UpstreamCodec knows the names by which the router and upstreams talk over
// HTTP.
type UpstreamCodec interface {
	// Encode adds the fields of an attempt to a header.
	Encode(h http.Header, a *Attempt)
	// Decode reads an answer's head, received at a time.
	Decode(received time.Time, status int, h http.Header) UpstreamWord
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
	// Newest gives the newest record of each key. Records that came meanwhile
	// may be among them.
	Newest(ctx context.Context, s Stream) ([]KeyedRecord, Bounds, error)
	// ReadKeyed gives records from an offset on in their order, waiting up to
	// wait for the first. The error is ErrTrimmed where records from the offset
	// on are gone.
	ReadKeyed(ctx context.Context, s Stream, from Offset, wait time.Duration) ([]KeyedRecord, Bounds, error)
}

// The streams that operators and upstreams write.
const (
	StreamOperators Stream = "operators"
	StreamUpstreams Stream = "upstreams"
	// StreamNodes is where the nodes of the router tell of themselves.
	StreamNodes Stream = "nodes"
)

// KeyedWriter writes to the streams of the router's own.
type KeyedWriter interface {
	// PutKeyed makes a value the newest of a key; nil drops the key.
	PutKeyed(ctx context.Context, s Stream, key string, value []byte) error
}

// StateCodec reads what operators and upstreams write to the platform.
type StateCodec interface {
	// DecodeState reads a published state; false where the record holds
	// something else. The error names what can't be read.
	DecodeState(r KeyedRecord) (*PublishedState, bool, error)
	// DecodeEntry reads an upstream's entry.
	DecodeEntry(r KeyedRecord) (UpstreamEntry, error)
}
