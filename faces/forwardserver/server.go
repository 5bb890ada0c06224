// Package forwardserver is the face for callers whose requests are passed on
// unread. It finds the route and the team, bounds what a caller may send, and
// hands answers back as they come. The names on the wire are its codec's.
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

// Server is the part that listens to callers.
type Server struct {
	address             netip.AddrPort
	readinessAddress    netip.AddrPort
	bodyTimeout         time.Duration
	writeTimeout        time.Duration
	defaultMaxBodyBytes int

	node            *kernel.Node
	logger          *slog.Logger
	codec           quetzalroad.CallerCodec
	callerServer    http.Server
	readinessServer http.Server
}

// Declare implements kernel.Component.
func (s *Server) Declare(section *configloader.Section) {
	section.Address("address", &s.address, "", "Where to listen to callers.")
	section.Address("ready-address", &s.readinessAddress, "", "Where the platform asks whether the node is ready.")
	section.Duration("body-timeout", &s.bodyTimeout, 10*time.Second, 10*time.Millisecond, time.Hour, "How long a caller may take to send the body.")
	section.Duration("write-timeout", &s.writeTimeout, 10*time.Second, 10*time.Millisecond, time.Hour, "How long a caller may take to accept a part of the answer.")
	section.Int("max-body-bytes", &s.defaultMaxBodyBytes, 4<<20, 1<<10, 1<<30, "Bound on the body of a request where the published state names none.")
}

// Build implements kernel.Component.
func (s *Server) Build(n *kernel.Node) error {
	if n.CallerCodec == nil || n.RouteTable == nil || n.Forwarder == nil || n.ForwardClient == nil {
		return errors.New("the face needs the slots caller-fields and forwards, and a state with routes")
	}
	s.node = n
	s.logger = n.Logger
	s.codec = n.CallerCodec
	errorLog := slog.NewLogLogger(n.Logger.Handler(), slog.LevelDebug)
	s.callerServer = http.Server{Handler: http.HandlerFunc(s.handleRequest), ConnState: trackConnState, ErrorLog: errorLog}
	s.readinessServer = http.Server{Handler: http.HandlerFunc(s.handleReadiness), ErrorLog: errorLog, ReadHeaderTimeout: readinessHeaderTimeout}
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
	n.AddTask("tell readiness", func(context.Context) error { return ignoreServerClosed(s.readinessServer.Serve(readinessListener)) })
	n.OnStop(s.stop)
	return nil
}

const (
	// readinessHeaderTimeout bounds the head of a question for readiness.
	readinessHeaderTimeout = 5 * time.Second
	// keepAliveInterval is the pause between probes of a caller that is silent.
	keepAliveInterval = 5 * time.Second
)

func ignoreServerClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// stop refuses new connections, waits for the last answer and ends telling
// readiness.
func (s *Server) stop(ctx context.Context) {
	if err := s.callerServer.Shutdown(ctx); err != nil {
		s.logger.Warn("requests cut off", "error", err)
		// The listener is closed already; what is open is cut.
		_ = s.callerServer.Close()
	}
	// Nobody waits for more than a word that the node is not ready.
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
