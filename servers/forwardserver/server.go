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
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/kernel"
	"github.com/quetzalroad/quetzalroad/support/configloader"
	"github.com/quetzalroad/quetzalroad/support/intakeconn"
	"github.com/quetzalroad/quetzalroad/support/retrylistener"
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
	maxHeaderLines      int
	receiveBufferBytes  int
	sendBufferBytes     int

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
	section.Int("max-header-lines", &s.maxHeaderLines, 4<<10, 16, 1<<20, "Maximum number of lines of a request header. The default is that of a header of the published size whose lines are as short as possible.")
	section.Int("receive-buffer", &s.receiveBufferBytes, 16<<10, 0, 1<<30, "Size of the receive buffer of a caller's connection; zero for that of the operating system. It applies only if the memory limit of the process is known.")
	section.Int("send-buffer", &s.sendBufferBytes, 64<<10, 0, 1<<30, "Size of the send buffer of a caller's connection, like receive-buffer.")
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
	listenConfig := net.ListenConfig{Control: s.socketControl(n.Limits), KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: 2}}
	callerListener, err := listenConfig.Listen(context.Background(), "tcp", s.address.String())
	if err != nil {
		return err
	}
	readinessListener, err := net.Listen("tcp", s.readinessAddress.String())
	if err != nil {
		return errors.CombineErrors(err, callerListener.Close())
	}
	callers := &listener{
		Listener: intakeconn.Listener{
			Listener: retrylistener.New(callerListener, n.Logger), Intake: n.Intake, MaxHeaderBytes: s.maxHeaderBytes, MaxHeaderLines: s.maxHeaderLines, Refuse: s.refuseHead,
		},
		limits: n.RouteTable.CallerLimits,
	}
	n.AddTask("serve callers", func(ctx context.Context) error { return serve(ctx, &s.callerServer, callers) })
	n.AddTask("serve readiness probes", func(ctx context.Context) error {
		return serve(ctx, &s.readinessServer, retrylistener.New(readinessListener, n.Logger))
	})
	n.OnStop(s.stop)
	return nil
}

// socketControl bounds the buffers of connections if the memory limit of the process is known.
func (s *Server) socketControl(limits quetzalroad.ProcessLimits) func(network, address string, conn syscall.RawConn) error {
	if limits.MemoryBytes == 0 {
		return nil
	}
	return intakeconn.SocketControl(s.receiveBufferBytes, s.sendBufferBytes)
}

// refuseHead logs, counts and encodes the refusal of a connection, or of a head that wasn't parsed.
func (s *Server) refuseHead(refusal *quetzalroad.Refusal) (int, http.Header) {
	s.node.Recorder.CountRefusal(refusal.Reason)
	s.logger.Info("connection refused", "reason", string(refusal.Reason), "retry-after", refusal.RetryAfter)
	return s.codec.EncodeRefusal(refusal)
}

// serve serves a listener until the server is closed, or the node ends without a planned stop.
func serve(ctx context.Context, server *http.Server, listener net.Listener) error {
	// The node has ended if the context is done: the connections are of no further use.
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	return ignoreServerClosed(server.Serve(listener))
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
