// Package forwardserver is the HTTP server for callers whose requests are
// forwarded with the body unparsed. It matches the route, authenticates the team,
// limits request sizes and streams responses. Its codec defines the wire names.
package forwardserver

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/kernel"
	"github.com/quetzalroad/quetzalroad/support/configloader"
)

func init() {
	kernel.Register(kernel.Plugin{
		Slot: kernel.SlotCallerServer, Name: "forward",
		New: func() kernel.Component { return new(Server) },
	})
}

// Server is the component that accepts caller requests and readiness probes.
type Server struct {
	address             netip.AddrPort
	readinessAddress    netip.AddrPort
	headerTimeout       time.Duration
	bodyTimeout         time.Duration
	writeTimeout        time.Duration
	defaultMaxBodyBytes int
	maxHeaderBytes      int

	node            *kernel.Node
	logger          *slog.Logger
	codec           quetzalroad.CallerCodec
	callerServer    http.Server
	readinessServer http.Server
}

// Declare implements kernel.Component.
func (s *Server) Declare(section *configloader.Section) {
	section.Address("address", &s.address, "", "Address to listen on for callers.")
	section.Address("ready-address", &s.readinessAddress, "", "Address to listen on for readiness probes of the platform.")
	section.Duration("header-timeout", &s.headerTimeout, 5*time.Second, 10*time.Millisecond, time.Hour, "Time limit for receiving a request header, if the published state sets no shorter one.")
	section.Duration("body-timeout", &s.bodyTimeout, 10*time.Second, 10*time.Millisecond, time.Hour, "Time limit for receiving a request body.")
	section.Duration("write-timeout", &s.writeTimeout, 10*time.Second, 10*time.Millisecond, time.Hour, "Time limit for each write of a response to a caller.")
	section.Int("max-header-bytes", &s.maxHeaderBytes, 64<<10, 1<<10, 1<<20, "Maximum size of a request header.")
	section.Int("max-body-bytes", &s.defaultMaxBodyBytes, 4<<20, 1<<10, 1<<30, "Maximum size of a request body if the published state sets none.")
}

// Build implements kernel.Component.
func (s *Server) Build(n *kernel.Node) error {
	if n.CallerCodec == nil || n.RouteTable == nil || n.Forwarder == nil || n.ForwardClient == nil {
		return errors.New("callers plug-in \"forward\" requires the slots caller-fields and forwards, and a state plug-in with routes")
	}
	s.node = n
	s.logger = n.Logger
	s.codec = n.CallerCodec
	errorLog := slog.NewLogLogger(n.Logger.Handler(), slog.LevelDebug)
	s.callerServer = http.Server{
		Handler: http.HandlerFunc(s.handleRequest), ConnState: trackConnState, ConnContext: withCallerConn, ErrorLog: errorLog,
		ReadHeaderTimeout: s.headerTimeout, MaxHeaderBytes: s.maxHeaderBytes,
	}
	s.readinessServer = http.Server{Handler: http.HandlerFunc(s.handleReadiness), ErrorLog: errorLog, ReadHeaderTimeout: readinessHeaderTimeout, MaxHeaderBytes: s.maxHeaderBytes}
	listenConfig := net.ListenConfig{KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: 2}}
	callerListener, err := listenConfig.Listen(context.Background(), "tcp", s.address.String())
	if err != nil {
		return err
	}
	readinessListener, err := net.Listen("tcp", s.readinessAddress.String())
	if err != nil {
		return errors.CombineErrors(err, callerListener.Close())
	}
	n.AddTask("serve callers", func(context.Context) error {
		return ignoreServerClosed(s.callerServer.Serve(&listener{Listener: callerListener, limits: n.RouteTable.CallerLimits}))
	})
	n.AddTask("serve readiness probes", func(context.Context) error { return ignoreServerClosed(s.readinessServer.Serve(readinessListener)) })
	n.OnStop(s.stop)
	return nil
}

const (
	// readinessHeaderTimeout bounds receiving the header of a readiness probe.
	readinessHeaderTimeout = 5 * time.Second
	// keepAliveInterval is the TCP keep-alive idle time and probe interval.
	keepAliveInterval = 5 * time.Second
)

func ignoreServerClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// stop closes the caller listener, waits for the requests in flight until ctx
// ends, and then closes the readiness server.
func (s *Server) stop(ctx context.Context) {
	if err := s.callerServer.Shutdown(ctx); err != nil {
		s.logger.Warn("graceful shutdown failed; closing open connections", "error", err)
		// The listener is already closed; this closes the open connections.
		_ = s.callerServer.Close()
	}
	// Readiness probes need no graceful shutdown: a failed one means not ready.
	_ = s.readinessServer.Close()
}

func (s *Server) handleReadiness(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != s.codec.ReadinessPath() {
		http.NotFound(w, r)
		return
	}
	if err := s.node.Ready(); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	}
}
