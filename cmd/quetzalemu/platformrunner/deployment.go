// Package platformrunner runs a small deployment on loopback as the users' platform does: the
// platform's store, servers that write their registrations, and nodes.
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

// The host, the API key and the services of the deployment.
const (
	host               = "demo.example"
	apiKey             = "demo-key"
	engineService      = "engines"
	applicationService = "application"
	// registrationInterval is how often servers write their registrations.
	registrationInterval = 300 * time.Millisecond
)

// node is a node with its addresses.
type node struct {
	*kernel.Node
	callerAddress, readinessAddress netip.AddrPort
}

// deployment is the store, the servers and the nodes of a demo or a test.
type deployment struct {
	logger  *slog.Logger
	store   storeserver.Store
	servers []*backendserver.Server
	nodes   []node
	// revocationTimeout is how soon a revoked key must stop working.
	revocationTimeout time.Duration

	storeAddress netip.AddrPort
	tasks        sync.WaitGroup
	mu           sync.Mutex
	// serverStates holds the state that each server registers and is guarded by mu; a server that
	// is missing writes no registration.
	serverStates map[string]string
}

// serve starts an emulator, which serves in the background until the context ends.
func (d *deployment) serve(ctx context.Context, address netip.AddrPort, handler http.Handler) error {
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return err
	}
	server := &http.Server{Handler: handler, ErrorLog: slog.NewLogLogger(d.logger.Handler(), slog.LevelDebug)}
	d.tasks.Go(func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			d.logger.Error("emulator server failed", "address", address.String(), "error", err)
		}
	})
	d.tasks.Go(func() {
		<-ctx.Done()
		// The deployment is ending: errors of open connections don't matter.
		_ = server.Close()
	})
	return nil
}

// start starts the deployment and waits until each node is ready.
func (d *deployment) start(ctx context.Context, nodes int) error {
	const emulatorCount = 6
	addresses, err := faultinjector.FreeAddresses(emulatorCount + 2*nodes)
	if err != nil {
		return err
	}
	d.storeAddress = addresses[0]
	d.serverStates = make(map[string]string)
	for i := 1; i < emulatorCount; i++ {
		s := &backendserver.Server{ID: fmt.Sprintf("i-%d", i), Service: engineService, Address: addresses[i], Zone: "zone-1", MaxConcurrency: 64, EventInterval: 2 * time.Millisecond}
		if i > 3 {
			s.Service = applicationService
		}
		d.servers = append(d.servers, s)
		d.serverStates[s.ID] = "ready"
	}
	if err := d.serve(ctx, d.storeAddress, &d.store); err != nil {
		return err
	}
	for _, s := range d.servers {
		if err := d.serve(ctx, s.Address, s); err != nil {
			return err
		}
	}
	d.publish(1, apiKey)
	// Registrations are written first, so that nodes find all servers when they start.
	startedAt := time.Now()
	d.writeRegistrations(1, startedAt)
	d.tasks.Go(func() { d.writeRegistrationsPeriodically(ctx, startedAt) })
	for i := range nodes {
		n := node{callerAddress: addresses[emulatorCount+2*i], readinessAddress: addresses[emulatorCount+2*i+1]}
		if n.Node, err = d.buildNode(fmt.Sprintf("node-%d", i+1), n); err != nil {
			return err
		}
		n.Start()
		d.nodes = append(d.nodes, n)
	}
	return d.awaitReady(ctx)
}

// writeRegistrationsPeriodically writes the servers' registrations until the context ends.
func (d *deployment) writeRegistrationsPeriodically(ctx context.Context, startedAt time.Time) {
	ticker := time.NewTicker(registrationInterval)
	defer ticker.Stop()
	for sequence := 2; ; sequence++ {
		select {
		case <-ticker.C:
			d.writeRegistrations(sequence, startedAt)
		case <-ctx.Done():
			return
		}
	}
}

// writeRegistrations writes the registration of each server.
func (d *deployment) writeRegistrations(sequence int, startedAt time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, s := range d.servers {
		if state, ok := d.serverStates[s.ID]; ok {
			d.store.Append("keyed.servers", s.ID, s.Registration(state, sequence, startedAt))
		}
	}
}

// setServerState changes the state that a server registers.
func (d *deployment) setServerState(id, state string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.serverStates[id] = state
}

// publish writes a config with the API keys of the only tenant.
func (d *deployment) publish(version int, keys ...string) {
	encodedKeys, err := json.Marshal(keys)
	if err != nil {
		d.logger.Error("encoding API keys failed", "error", err)
		return
	}
	d.store.Append("keyed.op", "config", fmt.Sprintf(`{"version":%d,"routes":[
{"name":"draft","host":%q,"pathPrefix":"/draft/","kind":"streaming","timeoutMs":20000,"targetLatencyMs":600,"priority":1,"service":%q,"maxAttempts":2,"stickySessions":true,"resumeStreams":true,"gapTargetMs":400},
{"name":"chat","host":%q,"pathPrefix":"/chat/","kind":"streaming","timeoutMs":20000,"targetLatencyMs":400,"priority":0,"service":%q,"maxAttempts":1,"stickySessions":true,"gapTargetMs":250},
{"name":"booking","host":%q,"pathPrefix":"/booking/","kind":"unsafe","timeoutMs":5000,"targetLatencyMs":200,"priority":2,"service":%q,"maxAttempts":1},
{"name":"list","host":%q,"pathPrefix":"/list/","kind":"safe","timeoutMs":5000,"targetLatencyMs":200,"priority":2,"service":%q,"maxAttempts":2}],
"services":[{"name":%q,"connectionLimit":300,"engine":{"kvCacheTokens":100000,"models":[{"name":"m"}]}},{"name":%q,"connectionLimit":100}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"tenant-1","apiKeys":%s,"priority":1}]}`,
		version, host, engineService, host, engineService, host, applicationService, host, applicationService, engineService, applicationService, encodedKeys))
}

// buildNode builds a node with settings like those of the deploy template, but without log sharing.
func (d *deployment) buildNode(name string, n node) (*kernel.Node, error) {
	config := kernel.NewConfig()
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
}`, name, d.storeAddress, d.revocationTimeout, n.callerAddress, n.readinessAddress)
	if err := config.Load(name, []byte(text)); err != nil {
		return nil, err
	}
	return config.Build(d.logger)
}

const (
	// readyTimeout limits the wait until all nodes are ready.
	readyTimeout = 20 * time.Second
	// readyPollInterval is the interval between readiness checks.
	readyPollInterval = 20 * time.Millisecond
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
			case <-time.After(readyPollInterval):
			case <-ctx.Done():
				return errors.Wrapf(err, "%s is not ready", n.Name)
			}
		}
	}
	return nil
}

// stop performs a planned stop of the nodes.
func (d *deployment) stop(ctx context.Context) error {
	var errs error
	for _, n := range d.nodes {
		n.Stop(ctx)
		errs = errors.CombineErrors(errs, n.Wait())
	}
	return errs
}
