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

	"github.com/quetzalroad/quetzalroad/cmd/quetzalemu/backendserver"
	"github.com/quetzalroad/quetzalroad/cmd/quetzalemu/configbuilder"
	"github.com/quetzalroad/quetzalroad/cmd/quetzalemu/storeserver"
	"github.com/quetzalroad/quetzalroad/cmd/quetzalsoak/judge"
	"github.com/quetzalroad/quetzalroad/cmd/quetzalsoak/proxier"
	"github.com/quetzalroad/quetzalroad/cmd/quetzalsoak/supervisor"
)

// The nets of the parts within the deployment's own loopback net.
const (
	netNodes = iota + 1
	netFronts
	netStores
	netServers
	netServerLinks
)

// The ports of all parts.
const (
	portFront = 7000 + iota
	portReady
	portPeers
	portStore
	portServer
)

// The services. The plain class is led to the second or the third one in turn.
const (
	Engines           = "engines"
	Application       = "application"
	SecondApplication = "application-2"
)

// dataCentre is that of all parts.
const dataCentre = "zone-1"

// Host is the host of all routes.
const Host = "soak.example"

// Bounds are those of the users' deployments.
var Bounds = judge.Bounds{
	Leave: 3 * time.Second, Apply: 3 * time.Second, Revoke: 5 * time.Second, Stable: 4 * time.Second, Late: time.Second,
	Grace: 8 * time.Second, Slack: 200 * time.Millisecond, BudgetShare: 0.2, BudgetExtra: 54, BudgetWindow: 10 * time.Second,
}

// Node is a node with the proxies on its links.
type Node struct {
	supervisor.Node
	// Front is the proxy that callers go through, and Store that to the store.
	Front, Store *proxier.Proxy
	// FrontAddress is where callers go, and ReadyAddress where readiness is told.
	FrontAddress, ReadyAddress netip.AddrPort
}

// Server is a server with the proxy that nodes go through.
type Server struct {
	backendserver.Server
	Link *proxier.Proxy
	// link is where nodes reach it.
	link netip.AddrPort

	mu sync.Mutex
	// The fields below are guarded by mu. born begins a life, state is what it
	// says of itself, empty while it says nothing, and left is when the store
	// took its word that it leaves.
	born     time.Time
	state    string
	sequence int
	left     time.Time
}

// Left is when the server's leaving was acknowledged; zero while it stays.
func (s *Server) Left() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.left
}

// Deployment is all that runs.
type Deployment struct {
	Store   storeserver.Store
	Nodes   []*Node
	Servers []*Server
	Judge   *judge.Judge

	directory string
	place     byte
	logger    *slog.Logger
	group     sync.WaitGroup

	mu sync.Mutex
	// The fields below are guarded by mu: the config in force, with the service
	// of the plain class, the keys that hold, and when others were taken away.
	version int
	service string
	keys    []string
	taken   map[string]time.Time
}

// Options say what to bring up.
type Options struct {
	// Program is the node's program, Template the settings template.
	Program, Template string
	// Directory takes settings and logs.
	Directory string
	Nodes     int
	Logger    *slog.Logger
}

func (d *Deployment) address(part, number, port int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, d.place, byte(part), byte(number + 1)}), uint16(port))
}

// The range of the nets on loopback.
const firstPlace, lastPlace = 10, 250

// findPlace takes a net on loopback that nobody uses.
func (d *Deployment) findPlace() (net.Listener, error) {
	var last error
	for place := firstPlace; place <= lastPlace; place++ {
		d.place = byte(place)
		listener, err := net.Listen("tcp", d.address(netStores, 0, portStore).String())
		if err == nil {
			return listener, nil
		}
		last = err
	}
	return nil, errors.Wrap(last, "no free net on loopback")
}

// Start brings all up and waits until each node is ready.
func Start(ctx context.Context, o Options) (*Deployment, error) {
	d := &Deployment{directory: o.Directory, logger: o.Logger, Judge: &judge.Judge{Bounds: Bounds}, service: Application, taken: make(map[string]time.Time)}
	store, err := d.findPlace()
	if err != nil {
		return nil, err
	}
	d.serve(ctx, store, &d.Store)
	for i, service := range []string{Engines, Engines, Engines, Application, Application, SecondApplication, SecondApplication} {
		if err := d.startServer(ctx, i, service); err != nil {
			return d, err
		}
	}
	d.keys = []string{"key-0", "key-1", "key-2"}
	d.publish()
	d.writeEntries()
	d.group.Go(func() { d.beat(ctx) })
	for i := range o.Nodes {
		if err := d.startNode(ctx, i, store.Addr().(*net.TCPAddr).AddrPort(), o); err != nil {
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

// proxy runs a proxy at an address before a target.
func (d *Deployment) proxy(ctx context.Context, at, target netip.AddrPort) (*proxier.Proxy, error) {
	listener, err := net.Listen("tcp", at.String())
	if err != nil {
		return nil, err
	}
	p := &proxier.Proxy{Target: target}
	d.group.Go(func() { p.Serve(ctx, listener) })
	return p, nil
}

const (
	serverSlots = 64
	eventPause  = 15 * time.Millisecond
	plainWork   = 15 * time.Millisecond
)

func (d *Deployment) startServer(ctx context.Context, i int, service string) error {
	at := d.address(netServers, i, portServer)
	listener, err := net.Listen("tcp", at.String())
	if err != nil {
		return err
	}
	s := &Server{link: d.address(netServerLinks, i, portServer), born: time.Now(), state: "ready"}
	s.Server = backendserver.Server{ID: fmt.Sprintf("i-%d", i), Service: service, Address: s.link, Zone: dataCentre, MaxConcurrency: serverSlots, EventInterval: eventPause, ProcessingTime: plainWork}
	s.OnRequest = func(a backendserver.ReceivedRequest) { d.observe(s, a) }
	if s.Link, err = d.proxy(ctx, s.link, at); err != nil {
		return err
	}
	d.serve(ctx, listener, &s.Server)
	d.Servers = append(d.Servers, s)
	return nil
}

// observe tells the judge of a request at a server.
func (d *Deployment) observe(s *Server, a backendserver.ReceivedRequest) {
	d.Judge.Arrive(judge.Arrived{
		ID: a.ID, Server: s.ID, Service: s.Service, At: time.Now(), Ran: a.Executed, Left: s.Left(),
		Team: a.Team, HasKey: a.HasKey, Line: a.Method + " " + a.Target, Body: a.Body,
	})
}

// startNode writes a node's settings and starts its process.
func (d *Deployment) startNode(ctx context.Context, i int, store netip.AddrPort, o Options) error {
	template, err := os.ReadFile(o.Template)
	if err != nil {
		return err
	}
	name := fmt.Sprintf("node-%d", i)
	front := d.address(netNodes, i, portFront)
	n := &Node{FrontAddress: d.address(netFronts, i, portFront), ReadyAddress: d.address(netNodes, i, portReady)}
	if n.Front, err = d.proxy(ctx, n.FrontAddress, front); err != nil {
		return err
	}
	storeLink := d.address(netStores, i+1, portStore)
	if n.Store, err = d.proxy(ctx, storeLink, store); err != nil {
		return err
	}
	settings, err := configbuilder.NodeParameters{
		Name: name, DataCentre: dataCentre, Region: "region-1", CallerAddress: front, ReadinessAddress: n.ReadyAddress, StoreAddress: storeLink,
		PeerPort: portPeers, RevocationTimeout: Bounds.Revoke, DrainTimeout: Bounds.Leave, RetryBudgetRatio: Bounds.BudgetShare,
	}.RenderSettings(string(template))
	if err != nil {
		return err
	}
	n.Program, n.Settings, n.Log = o.Program, filepath.Join(d.directory, name+".hujson"), filepath.Join(d.directory, name+".log")
	if err := os.WriteFile(n.Settings, []byte(settings), 0o644); err != nil {
		return err
	}
	n.Ended = func(err error) {
		d.Judge.Find(judge.Finding{Rule: "own-end", What: fmt.Sprintf("%s ended by itself: %v", name, err)})
	}
	d.Nodes = append(d.Nodes, n)
	return n.Start()
}

const (
	// readyTimeout bounds the wait until all is up, and readyPoll lies between
	// two looks.
	readyTimeout = 30 * time.Second
	readyPoll    = 50 * time.Millisecond
)

func (d *Deployment) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, n := range d.Nodes {
		for !n.Ready(ctx) {
			select {
			case <-time.After(readyPoll):
			case <-ctx.Done():
				return errors.Newf("%s is not ready, see %s", n.Settings, n.Log)
			}
		}
	}
	return nil
}

// Ready asks whether the node wants callers.
func (n *Node) Ready(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.ReadyAddress.String()+configbuilder.ReadinessPath, http.NoBody)
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
