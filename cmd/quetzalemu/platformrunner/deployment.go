// Package platformrunner brings up a small deployment on loopback as the users'
// platform runs it: its store, servers that write their entries, and nodes.
package platformrunner

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/quetzalroad/quetzalroad/cmd/quetzalemu/backendserver"
	"github.com/quetzalroad/quetzalroad/cmd/quetzalemu/faultinjector"
	"github.com/quetzalroad/quetzalroad/cmd/quetzalemu/storeserver"
	"github.com/quetzalroad/quetzalroad/kernel"
)

// The names and keys of the deployment.
const (
	host        = "demo.example"
	key         = "demo-key"
	engines     = "engines"
	application = "application"
	// beatEvery is how often servers write their entries.
	beatEvery = 300 * time.Millisecond
)

// node is one node with its addresses.
type node struct {
	*kernel.Node
	front, ready netip.AddrPort
}

// deployment is everything that runs.
type deployment struct {
	logger  *slog.Logger
	store   storeserver.Store
	servers []*backendserver.Server
	nodes   []node
	// revokeWithin is the bound on revocation.
	revokeWithin time.Duration

	address netip.AddrPort
	group   sync.WaitGroup
	mu      sync.Mutex
	// states holds what each server says of itself, guarded by mu; a server
	// that is missing says nothing.
	states map[string]string
}

// serve runs a stand-in until the context ends.
func (d *deployment) serve(ctx context.Context, address netip.AddrPort, handler http.Handler) error {
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return err
	}
	server := &http.Server{Handler: handler, ErrorLog: slog.NewLogLogger(d.logger.Handler(), slog.LevelDebug)}
	d.group.Go(func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			d.logger.Error("stand-in ended", "address", address.String(), "error", err)
		}
	})
	d.group.Go(func() {
		<-ctx.Done()
		// What is open is of no use any more.
		_ = server.Close()
	})
	return nil
}

// start brings all up and waits until each node is ready.
func (d *deployment) start(ctx context.Context, nodes int) error {
	const standIns = 6
	ports, err := faultinjector.FreePorts(standIns + 2*nodes)
	if err != nil {
		return err
	}
	d.address = ports[0]
	d.states = make(map[string]string)
	for i := 1; i < standIns; i++ {
		s := &backendserver.Server{ID: fmt.Sprintf("i-%d", i), Service: engines, Address: ports[i], Zone: "zone-1", Slots: 64, Pause: 2 * time.Millisecond}
		if i > 3 {
			s.Service = application
		}
		d.servers = append(d.servers, s)
		d.states[s.ID] = "ready"
	}
	if err := d.serve(ctx, d.address, &d.store); err != nil {
		return err
	}
	for _, s := range d.servers {
		if err := d.serve(ctx, s.Address, s); err != nil {
			return err
		}
	}
	d.publish(1, key)
	// Nodes that start find all servers in the store.
	born := time.Now()
	d.writeEntries(1, born)
	d.group.Go(func() { d.beat(ctx, born) })
	for i := range nodes {
		n := node{front: ports[standIns+2*i], ready: ports[standIns+2*i+1]}
		if n.Node, err = d.build(fmt.Sprintf("node-%d", i+1), n); err != nil {
			return err
		}
		n.Start()
		d.nodes = append(d.nodes, n)
	}
	return d.awaitReady(ctx)
}

// beat writes the servers' entries now and then.
func (d *deployment) beat(ctx context.Context, born time.Time) {
	ticker := time.NewTicker(beatEvery)
	defer ticker.Stop()
	for sequence := 2; ; sequence++ {
		select {
		case <-ticker.C:
			d.writeEntries(sequence, born)
		case <-ctx.Done():
			return
		}
	}
}

// writeEntries writes what each server says of itself.
func (d *deployment) writeEntries(sequence int, born time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, s := range d.servers {
		if state, ok := d.states[s.ID]; ok {
			d.store.Put("keyed.servers", s.ID, s.Entry(state, sequence, born))
		}
	}
}

// set changes what a server says of itself.
func (d *deployment) set(id, state string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.states[id] = state
}

// publish writes a config with the keys of the only tenant.
func (d *deployment) publish(version int, keys ...string) {
	names, err := json.Marshal(keys)
	if err != nil {
		d.logger.Error("keys not written", "error", err)
		return
	}
	d.store.Put("keyed.op", "config", fmt.Sprintf(`{"version":%d,"routes":[
{"name":"draft","host":%q,"pathPrefix":"/draft/","kind":"streaming","timeoutMs":20000,"targetLatencyMs":600,"priority":1,"service":%q,"maxAttempts":2,"stickySessions":true,"resumeStreams":true,"gapTargetMs":400},
{"name":"chat","host":%q,"pathPrefix":"/chat/","kind":"streaming","timeoutMs":20000,"targetLatencyMs":400,"priority":0,"service":%q,"maxAttempts":1,"stickySessions":true,"gapTargetMs":250},
{"name":"booking","host":%q,"pathPrefix":"/booking/","kind":"unsafe","timeoutMs":5000,"targetLatencyMs":200,"priority":2,"service":%q,"maxAttempts":1},
{"name":"list","host":%q,"pathPrefix":"/list/","kind":"safe","timeoutMs":5000,"targetLatencyMs":200,"priority":2,"service":%q,"maxAttempts":2}],
"services":[{"name":%q,"connectionLimit":300,"engine":{"kvCacheTokens":100000,"models":[{"name":"m"}]}},{"name":%q,"connectionLimit":100}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"tenant-1","apiKeys":%s,"priority":1}]}`,
		version, host, engines, host, engines, host, application, host, application, engines, application, names))
}

// build makes a node with the settings that the deploy template gives it.
func (d *deployment) build(name string, n node) (*kernel.Node, error) {
	plan := kernel.NewConfig()
	text := fmt.Sprintf(`{
  "node": {"name": %q, "data-centre": "zone-1", "region": "region-1", "balancer-lag": "100ms", "stop-timeout": "5s"},
  "log": {"plugin": "none"}, "vm-list": {"plugin": "none"}, "drains": {"plugin": "none"}, "claims": {"plugin": "none"},
  "engines": {"plugin": "none"}, "services": {"plugin": "none"}, "peer-transport": {"plugin": "none"}, "peers": {"plugin": "none"}, "admin": {"plugin": "none"},
  "keyed-log": {"plugin": "platform", "address": %q},
  "entries": {"plugin": "platform"},
  "state": {"plugin": "watcher", "revoke-within": %q, "state-wait": "200ms", "leave-within": "1500ms", "call-timeout": "400ms", "places": "zone-1=region-1"},
  "load": {"report-interval": "0s", "reach": "all"},
  "admitter": {"plugin": "passer"}, "balancer": {"plugin": "separator"}, "limiter": {"plugin": "passer"}, "spill": {"plugin": "stayer"},
  "retry": {"plugin": "budgeter", "share": 0.2, "reserve": 100, "initial": 100, "attempts": 3, "backoff": "0s", "hedge-after": 0},
  "upstream-fields": {"plugin": "platform"}, "forwards": {"plugin": "relayer"}, "caller-fields": {"plugin": "platform"},
  "callers": {"plugin": "forward", "address": %q, "ready-address": %q},
}`, name, d.address, d.revokeWithin, n.front, n.ready)
	if err := plan.Load(name, []byte(text)); err != nil {
		return nil, err
	}
	return plan.Build(d.logger)
}

const (
	// readyTimeout bounds the wait until all is up.
	readyTimeout = 20 * time.Second
	// readyPoll is how often a node is asked.
	readyPoll = 20 * time.Millisecond
)

func (d *deployment) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, n := range d.nodes {
		for {
			err := n.Ready()
			if err == nil {
				break
			}
			select {
			case <-time.After(readyPoll):
			case <-ctx.Done():
				return errors.Wrapf(err, "%s is not ready", n.Name)
			}
		}
	}
	return nil
}

// stop ends the nodes as planned.
func (d *deployment) stop(ctx context.Context) error {
	var all error
	for _, n := range d.nodes {
		n.Stop(ctx)
		all = errors.CombineErrors(all, n.Wait())
	}
	return all
}
