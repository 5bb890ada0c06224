// Package deployer brings up a deployment on loopback: the platform's store and
// servers as stand-ins, nodes as processes of their own with the settings that
// the deploy template gives them, and a proxy on each link.
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

	"github.com/quetzalroad/quetzalroad/cmd/quetzalemu/backender"
	"github.com/quetzalroad/quetzalroad/cmd/quetzalemu/publisher"
	"github.com/quetzalroad/quetzalroad/cmd/quetzalemu/storekeeper"
	"github.com/quetzalroad/quetzalroad/cmd/quetzalsoak/checker"
	"github.com/quetzalroad/quetzalroad/cmd/quetzalsoak/faultproxy"
	"github.com/quetzalroad/quetzalroad/cmd/quetzalsoak/supervisor"
)

// The nets of the parts within the deployment's own loopback net.
const (
	subnetNodes = iota + 1
	subnetCallerProxies
	subnetStores
	subnetServers
	subnetServerProxies
)

// The ports of all parts.
const (
	portCallers = 7000 + iota
	portReadiness
	portPeers
	portStore
	portServer
)

// The services. The plain class is led to the second or the third one in turn.
const (
	EngineService            = "engines"
	ApplicationService       = "application"
	SecondApplicationService = "application-2"
)

// dataCentre is that of all parts.
const dataCentre = "zone-1"

// Host is the host of all routes.
const Host = "soak.example"

// Bounds are those of the users' deployments.
var Bounds = checker.Bounds{
	DrainDelay: 3 * time.Second, ApplyDelay: 3 * time.Second, RevocationDelay: 5 * time.Second, StabilizationTime: 4 * time.Second, TimeoutMargin: time.Second,
	ShutdownGrace: 8 * time.Second, ShutdownRace: 200 * time.Millisecond, RetryBudgetShare: 0.2, RetryBudgetBase: 54, RetryBudgetWindow: 10 * time.Second,
}

// Node is a node with the proxies on its links.
type Node struct {
	supervisor.Node
	// CallerProxy is the proxy that callers go through, and Store that to the store.
	CallerProxy, StoreProxy *faultproxy.Proxy
	// CallerAddress is where callers go, and ReadyAddress where readiness is told.
	CallerAddress, ReadinessAddress netip.AddrPort
}

// Server is a server with the proxy that nodes go through.
type Server struct {
	backender.Server
	Proxy *faultproxy.Proxy
	// proxyAddress is where nodes reach it.
	proxyAddress netip.AddrPort

	mu sync.Mutex
	// The fields below are guarded by mu. born begins a life, state is what it
	// says of itself, empty while it says nothing, and left is when the store
	// took its word that it leaves.
	startedAt     time.Time
	state         string
	sequence      int
	drainingSince time.Time
}

// DrainingSince is when the server's leaving was acknowledged; zero while it stays.
func (s *Server) DrainingSince() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.drainingSince
}

// Deployment is all that runs.
type Deployment struct {
	Store   storekeeper.Store
	Nodes   []*Node
	Servers []*Server
	Checker *checker.Checker

	directory string
	network   byte
	logger    *slog.Logger
	group     sync.WaitGroup

	mu sync.Mutex
	// The fields below are guarded by mu: the config in force, with the service
	// of the plain class, the keys that hold, and when others were taken away.
	configVersion      int
	applicationService string
	validKeys          []string
	revokedKeys        map[string]time.Time
}

// Options say what to bring up.
type Options struct {
	// NodeProgram is the node's program, Template the settings template.
	NodeProgram, SettingsTemplate string
	// Directory takes settings and logs.
	Directory string
	NodeCount int
	Logger    *slog.Logger
}

func (d *Deployment) address(subnet, index, port int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, d.network, byte(subnet), byte(index + 1)}), uint16(port))
}

// The range of the nets on loopback.
const firstNetwork, lastNetwork = 10, 250

// listenOnFreeNetwork takes a net on loopback that nobody uses.
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
	return nil, errors.Wrap(lastErr, "no free net on loopback")
}

// Start brings all up and waits until each node is ready.
func Start(ctx context.Context, o Options) (*Deployment, error) {
	d := &Deployment{directory: o.Directory, logger: o.Logger, Checker: &checker.Checker{Bounds: Bounds}, applicationService: ApplicationService, revokedKeys: make(map[string]time.Time)}
	storeListener, err := d.listenOnFreeNetwork()
	if err != nil {
		return nil, err
	}
	d.serve(ctx, storeListener, &d.Store)
	for i, service := range []string{EngineService, EngineService, EngineService, ApplicationService, ApplicationService, SecondApplicationService, SecondApplicationService} {
		if err := d.startServer(ctx, i, service); err != nil {
			return d, err
		}
	}
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
			d.logger.Error("stand-in ended", "address", listener.Addr().String(), "error", err)
		}
	})
	d.group.Go(func() {
		<-ctx.Done()
		// What is open is of no use any more.
		_ = server.Close()
	})
}

// startProxy runs a proxy at an address before a target.
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
	plainRequestTime  = 15 * time.Millisecond
)

func (d *Deployment) startServer(ctx context.Context, index int, service string) error {
	address := d.address(subnetServers, index, portServer)
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return err
	}
	s := &Server{proxyAddress: d.address(subnetServerProxies, index, portServer), startedAt: time.Now(), state: "ready"}
	s.Server = backender.Server{ID: fmt.Sprintf("i-%d", index), Service: service, Address: s.proxyAddress, Zone: dataCentre, Slots: serverConcurrency, Pause: eventInterval, Work: plainRequestTime}
	s.Observe = func(a backender.Arrival) { d.recordArrival(s, a) }
	if s.Proxy, err = d.startProxy(ctx, s.proxyAddress, address); err != nil {
		return err
	}
	d.serve(ctx, listener, &s.Server)
	d.Servers = append(d.Servers, s)
	return nil
}

// recordArrival tells the judge of a request at a server.
func (d *Deployment) recordArrival(s *Server, a backender.Arrival) {
	d.Checker.RecordArrival(checker.Arrival{
		RequestID: a.ID, Server: s.ID, Service: s.Service, ReceivedAt: time.Now(), Executed: a.Ran, DrainingSince: s.DrainingSince(),
		Team: a.Team, HasKey: a.HasKey, RequestLine: a.Method + " " + a.Target, Body: a.Body,
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
	settings, err := publisher.Machine{
		Name: name, DataCentre: dataCentre, Region: "region-1", Front: nodeAddress, Ready: n.ReadinessAddress, Store: storeProxyAddress,
		NodePort: portPeers, Revoke: Bounds.RevocationDelay, Leave: Bounds.DrainDelay, BudgetShare: Bounds.RetryBudgetShare,
	}.Settings(string(template))
	if err != nil {
		return err
	}
	n.Program, n.SettingsFile, n.LogFile = o.NodeProgram, filepath.Join(d.directory, name+".hujson"), filepath.Join(d.directory, name+".log")
	if err := os.WriteFile(n.SettingsFile, []byte(settings), 0o644); err != nil {
		return err
	}
	n.OnUnexpectedExit = func(err error) {
		d.Checker.RecordViolation(checker.Violation{Rule: "own-end", Detail: fmt.Sprintf("%s ended by itself: %v", name, err)})
	}
	d.Nodes = append(d.Nodes, n)
	return n.Start()
}

const (
	// readyTimeout bounds the wait until all is up, and readyPoll lies between
	// two looks.
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
				return errors.Newf("%s is not ready, see %s", n.SettingsFile, n.LogFile)
			}
		}
	}
	return nil
}

// IsReady asks whether the node wants callers.
func (n *Node) IsReady(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.ReadinessAddress.String()+publisher.ReadyPath, http.NoBody)
	if err != nil {
		return false
	}
	request.Close = true
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	// Only the status tells.
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// Close ends the nodes and, once the context of Start has ended, waits for the
// rest.
func (d *Deployment) Close() {
	for _, n := range d.Nodes {
		n.Close()
	}
	d.group.Wait()
}
