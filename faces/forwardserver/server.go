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
	address      netip.AddrPort
	readyAddress netip.AddrPort
	bodyTimeout  time.Duration
	writeTimeout time.Duration
	maxBody      int

	node   *kernel.Node
	logger *slog.Logger
	codec  quetzalroad.CallerCodec
	http   http.Server
	ready  http.Server
}

// Declare implements kernel.Component.
func (s *Server) Declare(section *configloader.Section) {
	section.Address("address", &s.address, "", "Where to listen to callers.")
	section.Address("ready-address", &s.readyAddress, "", "Where the platform asks whether the node is ready.")
	section.Duration("body-timeout", &s.bodyTimeout, 10*time.Second, 10*time.Millisecond, time.Hour, "How long a caller may take to send the body.")
	section.Duration("write-timeout", &s.writeTimeout, 10*time.Second, 10*time.Millisecond, time.Hour, "How long a caller may take to accept a part of the answer.")
	section.Int("max-body-bytes", &s.maxBody, 4<<20, 1<<10, 1<<30, "Bound on the body of a request where the published state names none.")
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
	s.http = http.Server{Handler: http.HandlerFunc(s.serve), ConnState: follow, ErrorLog: errorLog}
	s.ready = http.Server{Handler: http.HandlerFunc(s.serveReady), ErrorLog: errorLog, ReadHeaderTimeout: readyTimeout}
	config := net.ListenConfig{KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAlive, Interval: keepAlive, Count: 2}}
	front, err := config.Listen(context.Background(), "tcp", s.address.String())
	if err != nil {
		return err
	}
	ready, err := net.Listen("tcp", s.readyAddress.String())
	if err != nil {
		return errors.CombineErrors(err, front.Close())
	}
	n.AddTask("serve callers", func(context.Context) error {
		return serving(s.http.Serve(&listener{Listener: front, limits: n.RouteTable.CallerLimits}))
	})
	n.AddTask("tell readiness", func(context.Context) error { return serving(s.ready.Serve(ready)) })
	n.OnStop(s.stop)
	return nil
}

const (
	// readyTimeout bounds the head of a question for readiness.
	readyTimeout = 5 * time.Second
	// keepAlive is the pause between probes of a caller that is silent.
	keepAlive = 5 * time.Second
)

func serving(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// stop refuses new connections, waits for the last answer and ends telling
// readiness.
func (s *Server) stop(ctx context.Context) {
	if err := s.http.Shutdown(ctx); err != nil {
		s.logger.Warn("requests cut off", "error", err)
		// The listener is closed already; what is open is cut.
		_ = s.http.Close()
	}
	// Nobody waits for more than a word that the node is not ready.
	_ = s.ready.Close()
}

func (s *Server) serveReady(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != s.codec.ReadinessPath() {
		http.NotFound(w, r)
		return
	}
	if err := s.node.Ready(); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	}
}
