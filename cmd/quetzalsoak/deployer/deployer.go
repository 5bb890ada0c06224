// Package deployer starts a deployment on loopback: emulators of the platform's
// store and upstream servers, nodes as separate processes with settings rendered
// from the deploy template, and a fault proxy on each link.
package deployer

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/quetzalroad/quetzalroad/cmd/quetzalemu/backendserver"
	"github.com/quetzalroad/quetzalroad/cmd/quetzalemu/configbuilder"
	"github.com/quetzalroad/quetzalroad/cmd/quetzalemu/storeserver"
	"github.com/quetzalroad/quetzalroad/cmd/quetzalsoak/checker"
	"github.com/quetzalroad/quetzalroad/cmd/quetzalsoak/faultproxy"
	"github.com/quetzalroad/quetzalroad/cmd/quetzalsoak/supervisor"
)

// The third octet of the addresses, by their use.
const (
	subnetNodes = iota + 1
	subnetCallerProxies
	subnetStores
	subnetServers
	subnetServerProxies
)

// The ports that the nodes, the store and the servers listen on.
const (
	portCallers = 7000 + iota
	portReadiness
	portPeers
	portStore
	portServer
)

// The services. The classes without events are routed to one of the application
// services, which SwitchService changes.
const (
	EngineService            = "engines"
	ApplicationService       = "application"
	SecondApplicationService = "application-2"
)

// dataCentre is the data centre of all nodes and servers.
const dataCentre = "zone-1"

// Host is the host of all routes.
const Host = "soak.example"

// Bounds are the limits of the users' deployments.
var Bounds = checker.Bounds{
	DrainDelay: 3 * time.Second, ApplyDelay: 3 * time.Second, RevocationDelay: 5 * time.Second, StabilizationTime: 4 * time.Second, TimeoutMargin: time.Second,
	ShutdownGrace: 8 * time.Second, ShutdownRace: 200 * time.Millisecond, RetryBudgetShare: 0.2, RetryBudgetBase: 54, RetryBudgetWindow: 10 * time.Second,
}

// Node is a node with the fault proxies on its links.
type Node struct {
	supervisor.Node
	// CallerProxy accepts the connections of callers, and StoreProxy those to the store.
	CallerProxy, StoreProxy *faultproxy.Proxy
	// CallerAddress is CallerProxy's address, and ReadinessAddress that of the node's readiness endpoint.
	CallerAddress, ReadinessAddress netip.AddrPort
}

// Server is an emulated upstream server with the fault proxy in front of it.
type Server struct {
	backendserver.Server
	Proxy *faultproxy.Proxy
	// proxyAddress is the address that nodes connect to.
	proxyAddress netip.AddrPort

	mu sync.Mutex
	// The fields below are guarded by mu. startedAt is the start of the current incarnation, and sequence numbers its
	// heartbeats; state is the registered state, empty while the server sends no heartbeats; drainingSince is when the
	// store acknowledged the drain.
	startedAt     time.Time
	state         string
	sequence      int
	drainingSince time.Time
	// leavingSince is when the server began to state in its responses that it leaves.
	leavingSince time.Time
}

// DrainingSince returns when the store acknowledged the server's drain; zero
// unless the server is draining.
func (s *Server) DrainingSince() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.drainingSince
}

// Deployment is a running deployment.
type Deployment struct {
	Store   storeserver.Store
	Nodes   []*Node
	Servers []*Server
	Checker *checker.Checker
	// spare is a server of streams that JoinSpare registers.
	spare *Server

	directory string
	network   byte
	logger    *slog.Logger
	group     sync.WaitGroup

	mu sync.Mutex
	// The fields below are guarded by mu: the latest configuration, with the service
	// of the classes without events, and the time of revocation of revoked keys.
	configVersion      int
	applicationService string
	validKeys          []string
	revokedKeys        map[string]time.Time
	// deadlyPrefix is the prompt of the deadly requests that callers send now; empty if they send none.
	deadlyPrefix string
}

// ServersOfStreams returns the servers that respond with streams, or the others.
func (d *Deployment) ServersOfStreams(streams bool) []*Server {
	var servers []*Server
	for _, s := range d.Servers {
		if (s.Service == EngineService) == streams {
			servers = append(servers, s)
		}
	}
	return servers
}

// Options configure a deployment.
type Options struct {
	// NodeProgram is the path of the node's executable, and SettingsTemplate that of its settings template.
	NodeProgram, SettingsTemplate string
	// Directory is where the nodes' settings and logs are written.
	Directory string
	NodeCount int
	Logger    *slog.Logger
}

func (d *Deployment) address(subnet, index, port int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, d.network, byte(subnet), byte(index + 1)}), uint16(port))
}

// The range of the second octet in 127.0.0.0/8, which is the same for a whole deployment.
const firstNetwork, lastNetwork = 10, 250

// listenOnFreeNetwork selects the first loopback network on which the store's address is free, and listens on it.
func (d *Deployment) listenOnFreeNetwork() (net.Listener, error) {
	var lastErr error
	for network := firstNetwork; network <= lastNetwork; network++ {
		d.network = byte(network)
		listener, err := net.Listen("tcp", d.address(subnetStores, 0, portStore).String())
		if err == nil {
			return listener, nil
		}
		lastErr = err
	}
	return nil, errors.Wrap(lastErr, "no free loopback network")
}

// Start starts a deployment and waits until each node is ready.
func Start(ctx context.Context, o Options) (*Deployment, error) {
	d := &Deployment{directory: o.Directory, logger: o.Logger, Checker: &checker.Checker{Bounds: Bounds}, applicationService: ApplicationService, revokedKeys: make(map[string]time.Time)}
	storeListener, err := d.listenOnFreeNetwork()
	if err != nil {
		return nil, err
	}
	d.serve(ctx, storeListener, &d.Store)
	for i, service := range []string{EngineService, EngineService, EngineService, ApplicationService, ApplicationService, SecondApplicationService, SecondApplicationService} {
		s, err := d.startServer(ctx, i, service)
		if err != nil {
			return d, err
		}
		d.Servers = append(d.Servers, s)
	}
	if d.spare, err = d.startServer(ctx, len(d.Servers), EngineService); err != nil {
		return d, err
	}
	d.spare.state, d.spare.EventInterval = "", spareEventInterval
	d.spare.SetVersion(newerVersion)
	d.validKeys = []string{"key-0", "key-1", "key-2"}
	d.publishConfig()
	d.writeRegistrations()
	d.group.Go(func() { d.sendHeartbeats(ctx) })
	for i := range o.NodeCount {
		if err := d.startNode(ctx, i, storeListener.Addr().(*net.TCPAddr).AddrPort(), o); err != nil {
			return d, err
		}
	}
	return d, d.awaitReady(ctx)
}

func (d *Deployment) serve(ctx context.Context, listener net.Listener, handler http.Handler) {
	server := &http.Server{Handler: handler, ErrorLog: slog.NewLogLogger(d.logger.Handler(), slog.LevelDebug)}
	d.group.Go(func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			d.logger.Error("emulated server stopped", "address", listener.Addr().String(), "error", err)
		}
	})
	d.group.Go(func() {
		<-ctx.Done()
		// An error is ignored: the remaining connections are not needed any more.
		_ = server.Close()
	})
}

// startProxy starts a fault proxy in front of a target.
func (d *Deployment) startProxy(ctx context.Context, listenAddress, target netip.AddrPort) (*faultproxy.Proxy, error) {
	listener, err := net.Listen("tcp", listenAddress.String())
	if err != nil {
		return nil, err
	}
	p := &faultproxy.Proxy{Target: target}
	d.group.Go(func() { p.Serve(ctx, listener) })
	return p, nil
}

const (
	serverConcurrency = 64
	eventInterval     = 15 * time.Millisecond
	// spareEventInterval makes most callers have a stream of the spare server in progress when they lose their connections.
	spareEventInterval = 4 * eventInterval
	plainRequestTime   = 15 * time.Millisecond
)

// startServer starts a server, which registers with the next heartbeat.
func (d *Deployment) startServer(ctx context.Context, index int, service string) (*Server, error) {
	address := d.address(subnetServers, index, portServer)
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return nil, err
	}
	s := &Server{proxyAddress: d.address(subnetServerProxies, index, portServer), startedAt: time.Now(), state: "ready"}
	s.Server = backendserver.Server{ID: fmt.Sprintf("i-%d", index), Service: service, Address: s.proxyAddress, Zone: dataCentre, MaxConcurrency: serverConcurrency, EventInterval: eventInterval, ProcessingTime: plainRequestTime}
	s.OnRequest = func(a backendserver.ReceivedRequest) { d.recordArrival(s, a) }
	s.OnDeadly = func() func() { return d.deadlyCrash(ctx, s) }
	if s.Proxy, err = d.startProxy(ctx, s.proxyAddress, address); err != nil {
		return nil, err
	}
	d.serve(ctx, listener, &s.Server)
	return s, nil
}

// recordArrival reports a request at a server to the checker.
func (d *Deployment) recordArrival(s *Server, a backendserver.ReceivedRequest) {
	d.Checker.RecordArrival(checker.Arrival{
		RequestID: a.ID, Server: s.ID, Service: s.Service, ReceivedAt: time.Now(), Executed: a.Executed, DrainingSince: s.DrainingSince(),
		LeavingSince: s.announcedSince(), RetryAfter: a.RetryAfter, Deadly: a.Deadly,
		Team: a.Team, HasKey: a.HasKey, RequestLine: a.Method + " " + a.Target, Body: a.Body, Version: a.Version, ResumeAfter: a.ResumeAfter,
	})
}

// startNode writes a node's settings and starts its process.
func (d *Deployment) startNode(ctx context.Context, index int, storeAddress netip.AddrPort, o Options) error {
	template, err := os.ReadFile(o.SettingsTemplate)
	if err != nil {
		return err
	}
	name := fmt.Sprintf("node-%d", index)
	nodeAddress := d.address(subnetNodes, index, portCallers)
	n := &Node{CallerAddress: d.address(subnetCallerProxies, index, portCallers), ReadinessAddress: d.address(subnetNodes, index, portReadiness)}
	if n.CallerProxy, err = d.startProxy(ctx, n.CallerAddress, nodeAddress); err != nil {
		return err
	}
	storeProxyAddress := d.address(subnetStores, index+1, portStore)
	if n.StoreProxy, err = d.startProxy(ctx, storeProxyAddress, storeAddress); err != nil {
		return err
	}
	settings, err := configbuilder.NodeParameters{
		Name: name, DataCentre: dataCentre, Region: "region-1", CallerAddress: nodeAddress, ReadinessAddress: n.ReadinessAddress, StoreAddress: storeProxyAddress,
		PeerPort: portPeers, RevocationTimeout: Bounds.RevocationDelay, DrainTimeout: Bounds.DrainDelay, RetryBudgetRatio: Bounds.RetryBudgetShare,
	}.RenderSettings(string(template))
	if err != nil {
		return err
	}
	n.Program, n.SettingsFile, n.LogFile = o.NodeProgram, filepath.Join(d.directory, name+".hujson"), filepath.Join(d.directory, name+".log")
	if err := os.WriteFile(n.SettingsFile, []byte(settings), 0o644); err != nil {
		return err
	}
	n.OnUnexpectedExit = func(err error) {
		d.Checker.RecordViolation(checker.Violation{Rule: "own-end", Detail: fmt.Sprintf("%s exited unexpectedly or failed to restart: %v", name, err)})
	}
	d.Nodes = append(d.Nodes, n)
	return n.Start()
}

const (
	// readyTimeout bounds the wait until all nodes are ready, which is checked
	// every readyPollInterval.
	readyTimeout      = 30 * time.Second
	readyPollInterval = 50 * time.Millisecond
)

func (d *Deployment) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, n := range d.Nodes {
		for !n.IsReady(ctx) {
			select {
			case <-time.After(readyPollInterval):
			case <-ctx.Done():
				return errors.Newf("node with settings %s is not ready; see its log %s", n.SettingsFile, n.LogFile)
			}
		}
	}
	return nil
}

// IsReady reports whether the node's readiness endpoint responds with status 200.
func (n *Node) IsReady(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.ReadinessAddress.String()+configbuilder.ReadinessPath, http.NoBody)
	if err != nil {
		return false
	}
	request.Close = true
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	// Only the status matters, so an error on closing the body is ignored.
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// Close kills the nodes and waits for all goroutines, which end with the context
// that was passed to Start.
func (d *Deployment) Close() {
	for _, n := range d.Nodes {
		n.Close()
	}
	d.group.Wait()
}
