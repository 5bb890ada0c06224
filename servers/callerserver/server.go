// Package callerserver is the HTTP server for callers: the chat API, the model
// list and the plain services. It decodes HTTP requests, passes them to the
// dispatcher and encodes the results; it makes no routing decisions.
package callerserver

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/uptrace/bunrouter"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/kernel"
	"github.com/quetzalroad/quetzalroad/support/configloader"
	"github.com/quetzalroad/quetzalroad/support/intakeconn"
	"github.com/quetzalroad/quetzalroad/support/retrylistener"
)

func init() {
	kernel.Register(kernel.Plugin{
		Slot: kernel.SlotCallerServer, Name: "http", Default: true,
		New: func() kernel.Component { return new(Server) },
	})
}

// Server is the component that accepts caller requests.
type Server struct {
	address         netip.AddrPort
	maxBodyBytes    int
	maxHeaderBytes  int
	maxHeaderLines  int
	headerTimeout   time.Duration
	bodyTimeout     time.Duration
	writeTimeout    time.Duration
	maxOpenRequests int

	node         *kernel.Node
	logger       *slog.Logger
	httpServer   http.Server
	openRequests atomic.Int64
	// wasReady is set once the node has had the published state. From then on it
	// keeps serving with the state it has.
	wasReady atomic.Bool
}

// Declare implements kernel.Component.
func (s *Server) Declare(section *configloader.Section) {
	section.Address("address", &s.address, "127.0.0.1:7080", "Address to listen on.")
	section.Int("max-body-bytes", &s.maxBodyBytes, 4<<20, 1<<10, 1<<30, "Maximum size of a request body.")
	section.Int("max-header-bytes", &s.maxHeaderBytes, 32<<10, 1<<10, 1<<20, "Maximum size of a request header.")
	section.Int("max-header-lines", &s.maxHeaderLines, 8<<10, 16, 1<<20, "Maximum number of lines of a request header.")
	section.Duration("header-timeout", &s.headerTimeout, 5*time.Second, 10*time.Millisecond, 10*time.Minute, "Time limit for receiving a request header.")
	section.Duration("body-timeout", &s.bodyTimeout, 15*time.Second, 10*time.Millisecond, time.Hour, "Time limit for receiving a request body.")
	section.Duration("write-timeout", &s.writeTimeout, 15*time.Second, 10*time.Millisecond, time.Hour, "Time limit for each write of a response to a caller.")
	section.Int("max-open", &s.maxOpenRequests, 20000, 1, 10000000, "Maximum number of requests open at once.")
}

// Build implements kernel.Component.
func (s *Server) Build(n *kernel.Node) error {
	s.node = n
	s.logger = n.Logger
	s.httpServer = http.Server{
		Handler:           s.routes(),
		ReadHeaderTimeout: s.headerTimeout,
		MaxHeaderBytes:    s.maxHeaderBytes,
		IdleTimeout:       2 * time.Minute,
		ConnState:         intakeconn.TrackState,
		ConnContext:       intakeconn.WithConn,
		ErrorLog:          slog.NewLogLogger(n.Logger.Handler(), slog.LevelDebug),
	}
	listener, err := net.Listen("tcp", s.address.String())
	if err != nil {
		return err
	}
	callers := &intakeconn.Listener{Listener: retrylistener.New(listener, n.Logger), Intake: n.Intake, MaxHeaderBytes: s.maxHeaderBytes, MaxHeaderLines: s.maxHeaderLines, Refuse: s.refuseHead}
	n.AddTask("serve callers", func(ctx context.Context) error { return s.serve(ctx, callers) })
	n.OnStop(s.stop)
	return nil
}

// refuseHead logs, counts and encodes the refusal of a connection, or of a head that wasn't parsed.
func (s *Server) refuseHead(refusal *quetzalroad.Refusal) (int, http.Header) {
	s.node.Recorder.CountRefusal(refusal.Reason)
	s.logger.Info("connection refused", "reason", string(refusal.Reason), "retry-after", refusal.RetryAfter)
	header := http.Header{fieldOutcome: {string(refusal.Outcome)}}
	setRetryAfter(header, refusal)
	return refusalStatus(refusal), header
}

// serve serves callers until the server is closed, or the node ends without a planned stop.
func (s *Server) serve(ctx context.Context, listener net.Listener) error {
	// The node has ended if the context is done: the connections are of no further use.
	stop := context.AfterFunc(ctx, func() { _ = s.httpServer.Close() })
	defer stop()
	err := s.httpServer.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// stop closes the listener, waits for the requests in flight until ctx ends, and closes the connections left.
func (s *Server) stop(ctx context.Context) {
	if err := s.httpServer.Shutdown(ctx); err != nil {
		s.logger.Warn("graceful shutdown failed; closing open connections", "open", s.openRequests.Load(), "error", err)
		// The listener is already closed; this closes the open connections.
		_ = s.httpServer.Close()
	}
}

// serviceMethods are the methods registered for plain services. Requests with other
// methods reach handleNotFound or handleMethodNotAllowed, which forward them too.
var serviceMethods = []string{
	http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete, http.MethodOptions,
}

func (s *Server) routes() http.Handler {
	router := bunrouter.New(bunrouter.WithNotFoundHandler(s.handle(s.handleNotFound)), bunrouter.WithMethodNotAllowedHandler(s.handle(s.handleMethodNotAllowed)))
	router.GET("/healthz", bunrouter.HTTPHandlerFunc(s.handleHealth))
	router.GET("/readyz", bunrouter.HTTPHandlerFunc(s.handleReadiness))
	router.GET("/v1/models", s.handle(s.handleModels))
	router.POST("/v1/chat/completions", s.handle(s.handleChat))
	for _, method := range serviceMethods {
		router.Handle(method, "/services/:service", s.handle(s.handleService))
		router.Handle(method, "/services/:service/*path", s.handle(s.handleService))
	}
	return router
}

func (s *Server) handleHealth(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusOK)
}

func (s *Server) handleReadiness(w http.ResponseWriter, _ *http.Request) {
	if err := s.node.Ready(); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// isServicePath reports whether the path belongs to a plain service, which accepts
// any method, including those not in serviceMethods.
func (x *exchange) isServicePath() bool {
	return strings.HasPrefix(x.request.URL.Path, servicePrefix)
}

func (s *Server) handleNotFound(x *exchange) error {
	if x.isServicePath() {
		return s.handleService(x)
	}
	x.statusOverride = http.StatusNotFound
	return quetzalroad.NewRefusal(quetzalroad.ReasonNotFound, "there is nothing at this path", 0)
}

func (s *Server) handleMethodNotAllowed(x *exchange) error {
	if x.isServicePath() {
		return s.handleService(x)
	}
	x.statusOverride = http.StatusMethodNotAllowed
	return quetzalroad.NewRefusal(quetzalroad.ReasonNotFound, "this path doesn't take that method", 0)
}

// checkReadiness returns an error until the node has the published state, unless it is stopping. After that the
// node keeps serving even if the log becomes unavailable.
func (s *Server) checkReadiness() error {
	if s.wasReady.Load() {
		return nil
	}
	if err := s.node.Ready(); err != nil && !s.node.Stopping() {
		return err
	}
	s.wasReady.Store(true)
	return nil
}
