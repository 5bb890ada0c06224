package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"time"
)

// The bounds of the small deployments.
const (
	drainTime    = 3 * time.Second
	revokeTime   = 5 * time.Second
	touchTime    = 4 * time.Second
	readyTimeout = 15 * time.Second
)

// The key of the callers, and the team that holds it.
const (
	callerKey  = "xd9dnn2ctnfzs989anu6"
	callerTeam = "huka270"
	host       = "ficu95.example"
)

// deployment is a store, servers and nodes on loopback addresses.
type deployment struct {
	options   options
	record    *record
	directory string
	store     store
	storeAt   string
	zones     map[string]any
	nodes     []*node
	servers   []*server
	// network is the first two numbers of the loopback addresses.
	network string
	version int
}

// newDeployment starts a store. The caller calls close.
func newDeployment(o options, r *record) (*deployment, error) {
	directory, err := os.MkdirTemp("", "rig3-")
	if err != nil {
		return nil, err
	}
	d := &deployment{options: o, record: r, directory: directory}
	d.network = fmt.Sprintf("127.%d.%d", 64+rand.IntN(128), 1+rand.IntN(250))
	d.zones = map[string]any{"at-east-graz": "at-east", "at-west-ibk": "at-west", "de-south-muc": "de-south"}
	d.storeAt = fmt.Sprintf("%s.200:%d", d.network, storePort)
	listener, err := net.Listen("tcp", d.storeAt)
	if err != nil {
		return nil, err
	}
	server := &http.Server{Handler: &d.store}
	go func() { _ = server.Serve(listener) }()
	return d, nil
}

// publish writes the next version of the config and returns when it was acknowledged.
func (d *deployment) publish(routes []route, services []string, teams map[string][]string) time.Time {
	d.version++
	config := map[string]any{
		"version": d.version, "routes": routes,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
	var list []map[string]any
	for _, name := range services {
		list = append(list, map[string]any{"name": name, "healthCheckPath": "/health", "connectionLimit": 360, "protocol": "h1", "tls": false})
	}
	config["services"] = list
	tenants := []map[string]any{}
	for name, keys := range teams {
		tenants = append(tenants, map[string]any{"name": name, "apiKeys": keys, "priority": 1})
	}
	config["tenants"] = tenants
	d.store.put(operatorTopic, "config", encode(config))
	d.record.printf("config version %d acknowledged", d.version)
	return time.Now()
}

// route is a route of the config.
type route struct {
	Name        string `json:"name"`
	Host        string `json:"host"`
	PathPrefix  string `json:"pathPrefix"`
	Kind        string `json:"kind"`
	TimeoutMs   int    `json:"timeoutMs"`
	TargetMs    int    `json:"targetLatencyMs"`
	Priority    int    `json:"priority"`
	Service     string `json:"service"`
	MaxAttempts int    `json:"maxAttempts"`
	Anonymous   bool   `json:"allowAnonymous"`
	Sticky      bool   `json:"stickySessions"`
	Resume      bool   `json:"resumeStreams"`
	GapTargetMs int    `json:"gapTargetMs"`
}

// addServer starts a server at an address of its own.
func (d *deployment) addServer(s *server) error {
	s.store, s.record = &d.store, d.record
	d.servers = append(d.servers, s)
	if err := s.start(fmt.Sprintf("%s.%d:0", d.network, 100+len(d.servers))); err != nil {
		return err
	}
	d.record.printf("server %s of %s, version %s, started at %s", s.id, s.service, s.version, s.address)
	return nil
}

// addNodes starts nodes in zones and waits until all are ready.
func (d *deployment) addNodes(zones ...string) error {
	for _, zone := range zones {
		number := len(d.nodes) + 1
		n := &node{name: fmt.Sprintf("front-%s-%d", zone, number), zone: zone, ip: fmt.Sprintf("%s.%d", d.network, 10+number), program: d.options.node, record: d.record}
		if err := n.configure(d.directory, d.options.template, d.zones, d.storeAt); err != nil {
			return err
		}
		if err := n.start(); err != nil {
			return err
		}
		d.nodes = append(d.nodes, n)
	}
	for _, n := range d.nodes {
		if err := n.awaitReady(readyTimeout); err != nil {
			return err
		}
	}
	return nil
}

// close ends all processes and servers.
func (d *deployment) close() {
	for _, n := range d.nodes {
		n.kill()
		_ = n.log.Close()
	}
	for _, s := range d.servers {
		s.stop()
	}
	if os.Getenv("KEEP") == "" {
		// What is left is temporary.
		_ = os.RemoveAll(d.directory)
	} else {
		d.record.report("logs in %s", d.directory)
	}
}
