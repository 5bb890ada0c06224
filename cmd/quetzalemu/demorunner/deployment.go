// Package demorunner runs a small deployment on loopback in one process: the log, the VM list,
// engines, a plain service and three nodes in two data centres.
package demorunner

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/cmd/quetzalemu/echoserver"
	"github.com/quetzalroad/quetzalroad/cmd/quetzalemu/engineserver"
	"github.com/quetzalroad/quetzalroad/cmd/quetzalemu/faultinjector"
	"github.com/quetzalroad/quetzalroad/cmd/quetzalemu/logserver"
	"github.com/quetzalroad/quetzalroad/cmd/quetzalemu/vmlistserver"
	"github.com/quetzalroad/quetzalroad/kernel"
	"github.com/quetzalroad/quetzalroad/proofs/faker"
)

// The names and keys of the demo.
const (
	modelName   = "llm-orcamentos"
	serviceName = "portal-obras"
	teamName    = "telhado-demo"
	teamKey     = "demo-team-key"
	adminKey    = "demo-admin-key"
	peerKey     = "demo-peer-key-of-the-deployment"
)

const (
	// engineConcurrency is the number of requests that an engine runs at once within its latency targets.
	engineConcurrency = 128
	// serviceConcurrency is the number of requests that a service's upstream runs at once.
	serviceConcurrency = 64
	// vmListLag is the delay until the VM list shows a change.
	vmListLag = 2 * time.Second
	// readyTimeout limits the wait until all nodes are ready.
	readyTimeout = 20 * time.Second
	// readyPollInterval is the interval between readiness checks.
	readyPollInterval = 20 * time.Millisecond
)

// process is an emulator or a node with its addresses.
type process struct {
	name       string
	dataCentre string
	region     string
	address    netip.AddrPort
	// adminAddress and peerAddress are set for nodes only.
	adminAddress netip.AddrPort
	peerAddress  netip.AddrPort
}

// deployment is everything that the demo runs.
type deployment struct {
	logger        *slog.Logger
	nodes         []process
	engines       []process
	services      []process
	logAddress    netip.AddrPort
	vmListAddress netip.AddrPort
	runningNodes  []*kernel.Node
	// failed receives the first failure of an emulator or a node.
	failed chan error
}

// newDeployment assigns free ports to the processes of the deployment.
func newDeployment(logger *slog.Logger) (*deployment, error) {
	d := &deployment{logger: logger, failed: make(chan error, 1)}
	layout := []struct {
		group      *[]process
		name       string
		dataCentre string
		region     string
	}{
		{&d.nodes, "sc-node-1", "sc-zona1", "sc"},
		{&d.nodes, "sc-node-2", "sc-zona1", "sc"},
		{&d.nodes, "rs-node-1", "rs-zona1", "rs"},
		{&d.engines, "sc-engine-1", "sc-zona1", "sc"},
		{&d.engines, "sc-engine-2", "sc-zona1", "sc"},
		{&d.engines, "rs-engine-1", "rs-zona1", "rs"},
		{&d.engines, "rs-engine-2", "rs-zona1", "rs"},
		{&d.services, "sc-portal-1", "sc-zona1", "sc"},
		{&d.services, "rs-portal-1", "rs-zona1", "rs"},
	}
	addresses, err := faultinjector.FreeAddresses(3*len(layout) + 2)
	if err != nil {
		return nil, err
	}
	d.logAddress, d.vmListAddress = addresses[0], addresses[1]
	for i, l := range layout {
		p := process{name: l.name, dataCentre: l.dataCentre, region: l.region, address: addresses[2+3*i], adminAddress: addresses[3+3*i], peerAddress: addresses[4+3*i]}
		*l.group = append(*l.group, p)
	}
	return d, nil
}

// start starts all processes and waits until all nodes are ready and have applied the objects.
func (d *deployment) start(ctx context.Context) error {
	d.startEmulators(ctx)
	for _, p := range d.nodes {
		if err := d.startNode(p); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, p := range d.nodes {
		if err := d.awaitReady(ctx, p); err != nil {
			return err
		}
	}
	offset, err := d.publish(ctx)
	if err != nil {
		return err
	}
	return d.awaitApplied(ctx, offset)
}

func (d *deployment) runInBackground(name string, f func() error) {
	go func() {
		if err := f(); err != nil && !errors.Is(err, context.Canceled) {
			select {
			case d.failed <- errors.Wrap(err, name):
			default:
			}
		}
	}()
}

func (d *deployment) startEmulators(ctx context.Context) {
	logServer := &logserver.Server{AppendLatency: 5 * time.Millisecond}
	d.runInBackground("log", func() error { return logServer.Injector.Serve(ctx, d.logAddress, logServer.Handler()) })
	vmList := &vmlistserver.Server{Lag: vmListLag}
	for _, p := range d.nodes {
		vmList.Put(time.Now(), quetzalroad.VM{Name: p.name, Role: quetzalroad.RoleNode, Address: p.peerAddress, DataCentre: quetzalroad.DataCentre(p.dataCentre), State: quetzalroad.VMLive})
	}
	for _, p := range append(append([]process{}, d.engines...), d.services...) {
		vmList.Put(time.Now(), quetzalroad.VM{Name: p.name, Role: quetzalroad.RoleUpstream, Address: p.address, DataCentre: quetzalroad.DataCentre(p.dataCentre), State: quetzalroad.VMLive})
	}
	d.runInBackground("VM list", func() error { return vmList.Injector.Serve(ctx, d.vmListAddress, vmList.Handler()) })
	for _, p := range d.engines {
		engine := &engineserver.Engine{Model: faker.Engine{
			MaxBatchSize: engineConcurrency, BaseStepTime: 8 * time.Millisecond, StepTimePerRequest: 100 * time.Microsecond, PrefillTimePerToken: 20 * time.Microsecond,
		}}
		d.runInBackground(p.name, func() error { return engine.Run(ctx) })
		d.runInBackground(p.name, func() error { return engine.Injector.Serve(ctx, p.address, engine.Handler()) })
	}
	for _, p := range d.services {
		service := &echoserver.Server{ProcessingTime: 10 * time.Millisecond}
		d.runInBackground(p.name, func() error { return service.Injector.Serve(ctx, p.address, service.Handler()) })
	}
}

// nodeSettings returns the settings file of a node.
func (d *deployment) nodeSettings(p process) string {
	keyHash := quetzalroad.HashKey(adminKey)
	return fmt.Sprintf(`{
  "node": {"name": %q, "data-centre": %q, "region": %q, "balancer-lag": "500ms"},
  "log": {"address": %q},
  "vm-list": {"address": %q},
  "callers": {"address": %q},
  "admin": {"address": %q, "key-sha256": %q, "pprof": true},
  "peer-transport": {"address": %q, "key": %q},
}`, p.name, p.dataCentre, p.region, d.logAddress, d.vmListAddress, p.address, p.adminAddress, hex.EncodeToString(keyHash[:]), p.peerAddress, peerKey)
}

func (d *deployment) startNode(p process) error {
	config := kernel.NewConfig()
	if err := config.Load(p.name+".hujson", []byte(d.nodeSettings(p))); err != nil {
		return err
	}
	node, err := config.Build(d.logger)
	if err != nil {
		return err
	}
	node.Start()
	d.runningNodes = append(d.runningNodes, node)
	d.runInBackground(p.name, node.Wait)
	return nil
}

// stop performs a planned stop of the nodes.
func (d *deployment) stop(ctx context.Context) {
	done := make(chan struct{})
	for _, n := range d.runningNodes {
		go func() {
			n.Stop(ctx)
			done <- struct{}{}
		}()
	}
	for range d.runningNodes {
		<-done
	}
}

func (d *deployment) awaitReady(ctx context.Context, p process) error {
	return d.await(ctx, p.name+" is not ready", func() bool {
		response, err := http.Get("http://" + p.adminAddress.String() + "/readyz")
		if err != nil {
			return false
		}
		defer response.Body.Close()
		return response.StatusCode == http.StatusOK
	})
}

// await polls until a condition holds, a process fails, or the context ends.
func (d *deployment) await(ctx context.Context, failure string, condition func() bool) error {
	ticker := time.NewTicker(readyPollInterval)
	defer ticker.Stop()
	for !condition() {
		select {
		case <-ticker.C:
		case err := <-d.failed:
			return err
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), failure)
		}
	}
	return nil
}

// apiObject is an object of the admin API in its JSON form.
type apiObject struct {
	path string
	body map[string]any
}

func (d *deployment) objects() []apiObject {
	keyHash := quetzalroad.HashKey(teamKey)
	objects := []apiObject{
		{"profiles/chat", map[string]any{"name": "chat", "class": "chat", "tier": 1, "first-token-target": "3s", "timeout": "60s", "idempotent": true, "interactive": true}},
		{"profiles/draft", map[string]any{"name": "draft", "class": "draft", "tier": 4, "first-token-target": "60s", "timeout": "10m", "idempotent": true, "preemptible": true}},
		{"profiles/booking", map[string]any{"name": "booking", "class": "booking", "tier": 0, "first-token-target": "5s", "timeout": "30s", "interactive": true}},
		{"services/" + modelName, map[string]any{"name": modelName, "kind": "engine", "models": []string{modelName}}},
		{"services/" + serviceName, map[string]any{"name": serviceName, "kind": "plain", "default-profile": "booking"}},
	}
	for _, p := range d.engines {
		objects = append(objects, upstreamObject(p, modelName, engineConcurrency))
	}
	for _, p := range d.services {
		objects = append(objects, upstreamObject(p, serviceName, serviceConcurrency))
	}
	return append(objects, apiObject{"teams/" + teamName, map[string]any{
		"name": teamName, "key-hashes": []string{hex.EncodeToString(keyHash[:])}, "default-profile": "chat",
	}})
}

func upstreamObject(p process, service string, maxConcurrency int) apiObject {
	return apiObject{"upstreams/" + p.name, map[string]any{
		"name": p.name, "service": service, "address": p.address.String(), "data-centre": p.dataCentre, "region": p.region, "slots": maxConcurrency,
	}}
}

// publish creates the objects through the first node's admin API and returns the offset of the last
// one.
func (d *deployment) publish(ctx context.Context) (int64, error) {
	lastOffset := int64(-1)
	for _, o := range d.objects() {
		body, err := json.Marshal(o.body)
		if err != nil {
			return 0, err
		}
		response, err := d.callAdminAPI(ctx, http.MethodPut, d.nodes[0], o.path, body)
		if err != nil {
			return 0, err
		}
		var accepted struct {
			Offset int64 `json:"offset"`
		}
		if err := json.Unmarshal(response, &accepted); err != nil {
			return 0, err
		}
		lastOffset = accepted.Offset
	}
	return lastOffset, nil
}

// awaitApplied waits until all nodes have applied the log up to an offset.
func (d *deployment) awaitApplied(ctx context.Context, offset int64) error {
	for _, n := range d.runningNodes {
		err := d.await(ctx, string(n.Name)+" has not applied the objects", func() bool { return int64(n.Directory.AppliedOffset()) >= offset })
		if err != nil {
			return err
		}
	}
	return nil
}
