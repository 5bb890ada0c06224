// Package demorunner brings up a small deployment on loopback in one
// process: the log, the VM list, engines, a plain service and three nodes in
// two data centres.
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
	// engineSlots is what an engine runs within its targets.
	engineSlots = 128
	// serviceSlots is what a service's upstream runs at once.
	serviceSlots = 64
	// listLag is how late the VM list is.
	listLag = 2 * time.Second
	// readyTimeout bounds the wait until all is up.
	readyTimeout = 20 * time.Second
	// readyPoll is how often a node is asked whether it is ready.
	readyPoll = 20 * time.Millisecond
)

// place is a process of the deployment with its address.
type place struct {
	name       string
	dataCentre string
	region     string
	address    netip.AddrPort
	// admin and peer are set for nodes.
	admin netip.AddrPort
	peer  netip.AddrPort
}

// deployment is everything that the demo runs.
type deployment struct {
	logger   *slog.Logger
	nodes    []place
	engines  []place
	services []place
	log      netip.AddrPort
	list     netip.AddrPort
	running  []*kernel.Node
	// failed takes the first failure of a stand-in.
	failed chan error
}

// plan lays the deployment out on free ports.
func plan(logger *slog.Logger) (*deployment, error) {
	d := &deployment{logger: logger, failed: make(chan error, 1)}
	layout := []struct {
		list       *[]place
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
	free, err := faultinjector.FreePorts(3*len(layout) + 2)
	if err != nil {
		return nil, err
	}
	d.log, d.list = free[0], free[1]
	for i, l := range layout {
		p := place{name: l.name, dataCentre: l.dataCentre, region: l.region, address: free[2+3*i], admin: free[3+3*i], peer: free[4+3*i]}
		*l.list = append(*l.list, p)
	}
	return d, nil
}

// start brings everything up and waits until all nodes serve.
func (d *deployment) start(ctx context.Context) error {
	d.startStandIns(ctx)
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
	revision, err := d.publish(ctx)
	if err != nil {
		return err
	}
	return d.awaitRevision(ctx, revision)
}

func (d *deployment) run(name string, f func() error) {
	go func() {
		if err := f(); err != nil && !errors.Is(err, context.Canceled) {
			select {
			case d.failed <- errors.Wrap(err, name):
			default:
			}
		}
	}()
}

func (d *deployment) startStandIns(ctx context.Context) {
	keeper := &logserver.Keeper{AppendTime: 5 * time.Millisecond}
	d.run("log", func() error { return keeper.Host.Serve(ctx, d.log, keeper.Handler()) })
	list := &vmlistserver.Lister{Lag: listLag}
	for _, p := range d.nodes {
		list.Put(time.Now(), quetzalroad.VM{Name: p.name, Role: quetzalroad.RoleNode, Address: p.peer, DataCentre: quetzalroad.DataCentre(p.dataCentre), State: quetzalroad.VMLive})
	}
	for _, p := range append(append([]place{}, d.engines...), d.services...) {
		list.Put(time.Now(), quetzalroad.VM{Name: p.name, Role: quetzalroad.RoleUpstream, Address: p.address, DataCentre: quetzalroad.DataCentre(p.dataCentre), State: quetzalroad.VMLive})
	}
	d.run("VM list", func() error { return list.Host.Serve(ctx, d.list, list.Handler()) })
	for _, p := range d.engines {
		engine := &engineserver.Engine{Model: faker.Engine{
			Batch: engineSlots, TokenTime: 8 * time.Millisecond, PerRequest: 100 * time.Microsecond, PrefillTime: 20 * time.Microsecond,
		}}
		d.run(p.name, func() error { return engine.Run(ctx) })
		d.run(p.name, func() error { return engine.Host.Serve(ctx, p.address, engine.Handler()) })
	}
	for _, p := range d.services {
		service := &echoserver.Servicer{RunTime: 10 * time.Millisecond}
		d.run(p.name, func() error { return service.Host.Serve(ctx, p.address, service.Handler()) })
	}
}

// settings gives a node's settings file.
func (d *deployment) settings(p place) string {
	sum := quetzalroad.HashKey(adminKey)
	return fmt.Sprintf(`{
  "node": {"name": %q, "data-centre": %q, "region": %q, "balancer-lag": "500ms"},
  "log": {"address": %q},
  "vm-list": {"address": %q},
  "callers": {"address": %q},
  "admin": {"address": %q, "key-sha256": %q, "pprof": true},
  "peer-transport": {"address": %q, "key": %q},
}`, p.name, p.dataCentre, p.region, d.log, d.list, p.address, p.admin, hex.EncodeToString(sum[:]), p.peer, peerKey)
}

func (d *deployment) startNode(p place) error {
	settings := kernel.NewConfig()
	if err := settings.Load(p.name+".hujson", []byte(d.settings(p))); err != nil {
		return err
	}
	node, err := settings.Build(d.logger)
	if err != nil {
		return err
	}
	node.Start()
	d.running = append(d.running, node)
	d.run(p.name, node.Wait)
	return nil
}

// stop ends the nodes as planned.
func (d *deployment) stop(ctx context.Context) {
	done := make(chan struct{})
	for _, n := range d.running {
		go func() {
			n.Stop(ctx)
			done <- struct{}{}
		}()
	}
	for range d.running {
		<-done
	}
}

func (d *deployment) awaitReady(ctx context.Context, p place) error {
	return d.await(ctx, p.name+" is not ready", func() bool {
		answer, err := http.Get("http://" + p.admin.String() + "/readyz")
		if err != nil {
			return false
		}
		defer answer.Body.Close()
		return answer.StatusCode == http.StatusOK
	})
}

// await polls until a condition holds.
func (d *deployment) await(ctx context.Context, what string, holds func() bool) error {
	ticker := time.NewTicker(readyPoll)
	defer ticker.Stop()
	for !holds() {
		select {
		case <-ticker.C:
		case err := <-d.failed:
			return err
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), what)
		}
	}
	return nil
}

// object is one published object in its JSON form.
type object struct {
	path string
	body map[string]any
}

func (d *deployment) objects() []object {
	sum := quetzalroad.HashKey(teamKey)
	objects := []object{
		{"profiles/chat", map[string]any{"name": "chat", "class": "chat", "tier": 1, "first-token-target": "3s", "timeout": "60s", "idempotent": true, "interactive": true}},
		{"profiles/draft", map[string]any{"name": "draft", "class": "draft", "tier": 4, "first-token-target": "60s", "timeout": "10m", "idempotent": true, "preemptible": true}},
		{"profiles/booking", map[string]any{"name": "booking", "class": "booking", "tier": 0, "first-token-target": "5s", "timeout": "30s", "interactive": true}},
		{"services/" + modelName, map[string]any{"name": modelName, "kind": "engine", "models": []string{modelName}}},
		{"services/" + serviceName, map[string]any{"name": serviceName, "kind": "plain", "default-profile": "booking"}},
	}
	for _, p := range d.engines {
		objects = append(objects, upstream(p, modelName, engineSlots))
	}
	for _, p := range d.services {
		objects = append(objects, upstream(p, serviceName, serviceSlots))
	}
	return append(objects, object{"teams/" + teamName, map[string]any{
		"name": teamName, "key-hashes": []string{hex.EncodeToString(sum[:])}, "default-profile": "chat",
	}})
}

func upstream(p place, service string, slots int) object {
	return object{"upstreams/" + p.name, map[string]any{
		"name": p.name, "service": service, "address": p.address.String(), "data-centre": p.dataCentre, "region": p.region, "slots": slots,
	}}
}

// publish puts the objects by the first node's admin API and gives the offset
// of the last.
func (d *deployment) publish(ctx context.Context) (int64, error) {
	last := int64(-1)
	for _, o := range d.objects() {
		body, err := json.Marshal(o.body)
		if err != nil {
			return 0, err
		}
		answer, err := d.admin(ctx, http.MethodPut, d.nodes[0], o.path, body)
		if err != nil {
			return 0, err
		}
		var accepted struct {
			Offset int64 `json:"offset"`
		}
		if err := json.Unmarshal(answer, &accepted); err != nil {
			return 0, err
		}
		last = accepted.Offset
	}
	return last, nil
}

// awaitRevision waits until all nodes have applied an offset.
func (d *deployment) awaitRevision(ctx context.Context, offset int64) error {
	for _, n := range d.running {
		err := d.await(ctx, string(n.Name)+" lags", func() bool { return int64(n.Directory.AppliedOffset()) >= offset })
		if err != nil {
			return err
		}
	}
	return nil
}
