// Package adminserver is the admin API server for operators. It serves the
// published objects with their revisions, drains, the status of the node and its
// peers, and the metrics.
package adminserver

import (
	"context"
	"crypto/sha256"
	"encoding/json"
	"expvar"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/pprof"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/uptrace/bunrouter"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/kernel"
	"github.com/quetzalroad/quetzalroad/support/configloader"
	"github.com/quetzalroad/quetzalroad/support/retrylistener"
)

func init() {
	kernel.Register(kernel.Plugin{
		Slot: kernel.SlotAdminServer, Name: "http", Default: true,
		New: func() kernel.Component { return new(Server) },
	})
}

const (
	// maxBodyBytes is the maximum size of the body of a change.
	maxBodyBytes = 256 << 10
	// readTimeout is the time limit for receiving a request with its body.
	readTimeout = 10 * time.Second
	// maxHeaderBytes limits the size of a request header.
	maxHeaderBytes = 32 << 10
)

// Server is the component that accepts operators' requests.
type Server struct {
	address     netip.AddrPort
	enablePprof bool
	node        *kernel.Node
	logger      *slog.Logger
	httpServer  http.Server
	key         quetzalroad.KeyHash
}

// Declare implements kernel.Component.
func (s *Server) Declare(section *configloader.Section) {
	section.Address("address", &s.address, "127.0.0.1:7081", "Address to listen on.")
	section.SHA256("key-sha256", (*[sha256.Size]byte)(&s.key), "SHA-256 hash of the operators' bearer key, in hex.")
	section.Bool("pprof", &s.enablePprof, false, "Serve Go runtime profiles to operators under /debug/pprof/.")
}

// Build implements kernel.Component.
func (s *Server) Build(n *kernel.Node) error {
	s.node = n
	s.logger = n.Logger
	s.httpServer = http.Server{Handler: s.routes(), ReadTimeout: readTimeout, MaxHeaderBytes: maxHeaderBytes, ErrorLog: slog.NewLogLogger(n.Logger.Handler(), slog.LevelDebug)}
	listener, err := net.Listen("tcp", s.address.String())
	if err != nil {
		return err
	}
	n.AddTask("serve operators", func(ctx context.Context) error { return s.serve(ctx, retrylistener.New(listener, n.Logger)) })
	return nil
}

// serve runs until ctx ends, after the node's planned stop, so that operators can observe the whole stop.
func (s *Server) serve(ctx context.Context, listener net.Listener) error {
	stop := context.AfterFunc(ctx, func() {
		// Serve returns whether or not Close reports an error.
		_ = s.httpServer.Close()
	})
	defer stop()
	err := s.httpServer.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

func (s *Server) routes() http.Handler {
	router := bunrouter.New()
	router.GET("/healthz", bunrouter.HTTPHandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }))
	router.GET("/readyz", bunrouter.HTTPHandlerFunc(s.handleReadiness))
	router.GET("/debug/vars", s.handle(s.handleVars))
	router.GET("/admin/v1/status", s.handle(s.handleStatus))
	router.GET("/admin/v1/nodes", s.handle(s.handleNodes))
	router.GET("/admin/v1/route", s.handle(s.handleRoute))
	router.GET("/admin/v1/:kind", s.handle(s.handleList))
	router.GET("/admin/v1/:kind/:name", s.handle(s.handleGet))
	router.PUT("/admin/v1/:kind/:name", s.handle(s.handlePut))
	router.DELETE("/admin/v1/:kind/:name", s.handle(s.handleDelete))
	router.POST("/admin/v1/upstreams/:name/drain", s.handle(s.handleDrain))
	router.POST("/admin/v1/upstreams/:name/undrain", s.handle(s.handleUndrain))
	if s.enablePprof {
		router.GET("/debug/pprof/profile", s.handle(wrapHandler(pprof.Profile)))
		router.GET("/debug/pprof/heap", s.handle(wrapHandler(pprof.Handler("heap").ServeHTTP)))
		router.GET("/debug/pprof/goroutine", s.handle(wrapHandler(pprof.Handler("goroutine").ServeHTTP)))
	}
	return router
}

// wrapHandler adapts an http.HandlerFunc to a handler for handle; it never returns an error.
func wrapHandler(handler http.HandlerFunc) func(w http.ResponseWriter, r bunrouter.Request) error {
	return func(w http.ResponseWriter, r bunrouter.Request) error {
		handler(w, r.Request)
		return nil
	}
}

func (s *Server) handleReadiness(w http.ResponseWriter, _ *http.Request) {
	if err := s.node.Ready(); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// statusError is an error with an HTTP status and a kebab-case error code.
type statusError struct {
	status int
	code   string
	cause  error
}

// Error implements error.
func (e *statusError) Error() string { return e.cause.Error() }

// Unwrap returns the underlying error.
func (e *statusError) Unwrap() error { return e.cause }

func newStatusError(status int, code, format string, args ...any) error {
	return &statusError{status: status, code: code, cause: errors.Newf(format, args...)}
}

type errorJSON struct {
	Code            string        `json:"code"`
	Message         string        `json:"message"`
	Findings        []findingJSON `json:"findings,omitempty"`
	CurrentRevision int64         `json:"current-revision,omitempty"`
	ChangeID        string        `json:"change-id,omitempty"`
}

type findingJSON struct {
	Path    string `json:"path"`
	Problem string `json:"problem"`
}

// handle wraps a handler: it checks the operator's key and sends errors as JSON.
func (s *Server) handle(handler func(w http.ResponseWriter, r bunrouter.Request) error) bunrouter.HandlerFunc {
	return func(w http.ResponseWriter, r bunrouter.Request) error {
		err := s.authenticate(r.Request)
		if err == nil {
			err = handler(w, r)
		}
		if err != nil {
			writeError(w, err)
		}
		return nil
	}
}

func (s *Server) authenticate(r *http.Request) error {
	scheme, key, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") || quetzalroad.HashKey(strings.TrimSpace(key)) != s.key {
		return newStatusError(http.StatusUnauthorized, "unauthorized", "the operators' bearer key is required")
	}
	return nil
}

func writeError(w http.ResponseWriter, err error) {
	status := http.StatusInternalServerError
	body := errorJSON{Code: "internal", Message: err.Error()}
	var statusErr *statusError
	var invalid *quetzalroad.InvalidError
	var conflict *quetzalroad.ConflictError
	var unconfirmed *quetzalroad.UnconfirmedError
	switch {
	case errors.As(err, &invalid):
		status, body.Code = http.StatusUnprocessableEntity, "invalid"
		for _, problem := range invalid.Problems {
			body.Findings = append(body.Findings, findingJSON{Path: problem.Path, Problem: problem.Message})
		}
	case errors.As(err, &conflict):
		status, body.Code, body.CurrentRevision = http.StatusConflict, "conflict", int64(conflict.CurrentRevision)
	case errors.As(err, &unconfirmed):
		status, body.Code, body.ChangeID = http.StatusGatewayTimeout, "unconfirmed", string(unconfirmed.ID)
	case errors.Is(err, quetzalroad.ErrUnknownUpstream):
		status, body.Code = http.StatusNotFound, "not-found"
	case errors.As(err, &statusErr):
		status, body.Code = statusErr.status, statusErr.code
	}
	writeJSON(w, status, body)
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	data, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// Write errors are ignored: the operator has disconnected.
	_, _ = w.Write(append(data, '\n'))
}

// handleVars sends the node's metrics and the expvar variables of the process.
func (s *Server) handleVars(w http.ResponseWriter, _ bunrouter.Request) error {
	w.Header().Set("Content-Type", "application/json")
	_, err := fmt.Fprintf(w, "{\n\"node\": %s", s.node.Vars.String())
	expvar.Do(func(kv expvar.KeyValue) {
		if err == nil {
			_, err = fmt.Fprintf(w, ",\n%q: %s", kv.Key, kv.Value)
		}
	})
	if err == nil {
		_, err = io.WriteString(w, "\n}\n")
	}
	return err
}

// parseBaseRevision returns the revision that a change is based on. It is zero for
// "If-None-Match: *", which requires that the object doesn't exist yet.
func parseBaseRevision(r *http.Request) (quetzalroad.Revision, error) {
	if r.Header.Get("If-None-Match") == "*" {
		return 0, nil
	}
	ifMatch := r.Header.Get("If-Match")
	if ifMatch == "" {
		return 0, newStatusError(http.StatusPreconditionRequired, "revision-required", "say in If-Match from which revision the change was made, or If-None-Match: * for a new object")
	}
	revision, err := strconv.ParseInt(strings.Trim(ifMatch, `"`), 10, 64)
	if err != nil || revision < 0 {
		return 0, newStatusError(http.StatusBadRequest, "malformed", "If-Match %s is not a revision", ifMatch)
	}
	return quetzalroad.Revision(revision), nil
}
