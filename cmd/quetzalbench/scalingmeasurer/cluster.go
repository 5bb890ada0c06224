package scalingmeasurer

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/cmd/quetzalemu/echoserver"
	"github.com/quetzalroad/quetzalroad/cmd/quetzalemu/faultinjector"
	"github.com/quetzalroad/quetzalroad/cmd/quetzalemu/logserver"
	"github.com/quetzalroad/quetzalroad/cmd/quetzalemu/vmlistserver"
	"github.com/quetzalroad/quetzalroad/codecs/recordmapper"
	"github.com/quetzalroad/quetzalroad/kernel"
)

type deploymentSize struct {
	dataCentres        int
	nodesPerDataCentre int
	// upstreams and teams are totals over the whole deployment.
	upstreams int
	teams     int
	// requestRate is the requests per second on each node.
	requestRate float64
}

// cluster is a deployment on loopback. The nodes connect to each other, the log
// and the VM list over sockets. Requests call the nodes' interfaces directly, so
// that only the control plane is measured.
type cluster struct {
	size       deploymentSize
	nodes      []*kernel.Node
	logServer  *logserver.Server
	logAddress netip.AddrPort
	cancel     context.CancelFunc
}

const (
	serviceName         = "llm"
	profileName         = "chat"
	upstreamConcurrency = 32
	// meanHoldTime is the mean time that a request runs on its upstream.
	meanHoldTime      = 3 * time.Second
	readyPollInterval = 10 * time.Millisecond
	// readyTimeout limits the wait until all nodes are ready.
	readyTimeout = time.Minute
)

func dataCentreName(i int) string {
	return fmt.Sprintf("place-%02d", i)
}

// startCluster starts a deployment and waits until its nodes are ready.
func startCluster(ctx context.Context, s deploymentSize) (*cluster, error) {
	total := s.dataCentres * s.nodesPerDataCentre
	addresses, err := faultinjector.FreeAddresses(3 + 2*total)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	c := &cluster{size: s, logServer: &logserver.Server{AppendLatency: 5 * time.Millisecond}, logAddress: addresses[0], cancel: cancel}
	vmList := &vmlistserver.Server{}
	service := &echoserver.Server{}
	serve := func(f func() error) {
		go func() {
			// Serving ends with the context; if a server fails, awaitReady times out.
			_ = f()
		}()
	}
	for i := range total {
		vmList.Put(time.Now(), quetzalroad.VM{
			Name: nodeName(i), Role: quetzalroad.RoleNode, Address: addresses[3+2*i], DataCentre: quetzalroad.DataCentre(dataCentreName(i % s.dataCentres)), State: quetzalroad.VMLive,
		})
	}
	serve(func() error { return c.logServer.Injector.Serve(ctx, addresses[0], c.logServer.Handler()) })
	serve(func() error { return vmList.Injector.Serve(ctx, addresses[1], vmList.Handler()) })
	serve(func() error { return service.Injector.Serve(ctx, addresses[2], service.Handler()) })
	if err := c.publishObjects(ctx, addresses[2]); err != nil {
		return c, err
	}
	for i := range total {
		if err := c.addNode(i, addresses); err != nil {
			return c, err
		}
	}
	return c, c.awaitReady(ctx)
}

func nodeName(i int) string {
	return fmt.Sprintf("node-%03d", i)
}

// addNode starts node i. addresses holds those of the log, the VM list and the upstream server, followed by two for
// each node: of its peer transport and of its admin API.
func (c *cluster) addNode(i int, addresses []netip.AddrPort) error {
	keyHash := sha256.Sum256([]byte("key"))
	dataCentre := dataCentreName(i % c.size.dataCentres)
	settings := fmt.Sprintf(`{
  "node": {"name": %q, "data-centre": %q, "region": %q, "balancer-lag": "0s"},
  "log": {"address": %q}, "vm-list": {"address": %q},
  "admin": {"address": %q, "key-sha256": %q},
  "peer-transport": {"address": %q, "key": "a-key-for-this-run-only"},
}`, nodeName(i), dataCentre, dataCentre, addresses[0], addresses[1], addresses[4+2*i], hex.EncodeToString(keyHash[:]), addresses[3+2*i])
	config := kernel.NewConfig()
	if err := config.Load("settings", []byte(settings)); err != nil {
		return err
	}
	node, err := config.Build(slog.New(slog.DiscardHandler))
	if err != nil {
		return err
	}
	node.Start()
	c.nodes = append(c.nodes, node)
	return nil
}

// publishObjects appends the deployment's objects to the log.
func (c *cluster) publishObjects(ctx context.Context, upstreamAddress netip.AddrPort) error {
	changes := []quetzalroad.Change{
		newChange(quetzalroad.ObjectProfile, profileName, quetzalroad.Object{Profile: &quetzalroad.Profile{
			Name: profileName, Class: "chat", Tier: 1, FirstTokenTarget: time.Second, Timeout: time.Minute, Idempotent: true, Interactive: true,
		}}),
		newChange(quetzalroad.ObjectService, serviceName, quetzalroad.Object{Service: &quetzalroad.Service{Name: serviceName, Kind: quetzalroad.ServiceKindPlain, DefaultProfile: profileName}}),
	}
	for i := range c.size.upstreams {
		name := fmt.Sprintf("engine-%04d", i)
		dataCentre := dataCentreName(i % c.size.dataCentres)
		changes = append(changes, newChange(quetzalroad.ObjectUpstream, name, quetzalroad.Object{Upstream: &quetzalroad.Upstream{
			Name: quetzalroad.UpstreamName(name), Service: serviceName, Address: upstreamAddress,
			DataCentre: quetzalroad.DataCentre(dataCentre), Region: quetzalroad.Region(dataCentre), MaxConcurrency: upstreamConcurrency,
		}}))
	}
	for i := range c.size.teams {
		changes = append(changes, newChange(quetzalroad.ObjectTeam, teamName(i), quetzalroad.Object{Team: &quetzalroad.Team{
			Name: quetzalroad.TeamName(teamName(i)), DefaultProfile: profileName, MaxTokensPerSecond: 100000, MaxConcurrency: 1000,
			KeyHashes: []quetzalroad.KeyHash{quetzalroad.HashKey(teamName(i))},
		}}))
	}
	for _, change := range changes {
		data, err := recordmapper.EncodeChange(change)
		if err != nil {
			return err
		}
		c.logServer.Append(string(quetzalroad.LogStreamState), data)
	}
	return ctx.Err()
}

func teamName(i int) string {
	return fmt.Sprintf("team-%04d", i)
}

func newChange(kind quetzalroad.ObjectKind, name string, o quetzalroad.Object) quetzalroad.Change {
	return quetzalroad.Change{ID: quetzalroad.ChangeID(uuid.NewString()), Author: "bench", Kind: kind, Name: name, Object: o}
}

func (c *cluster) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	ticker := time.NewTicker(readyPollInterval)
	defer ticker.Stop()
	for _, n := range c.nodes {
		for n.Ready() != nil {
			select {
			case <-ticker.C:
			case <-ctx.Done():
				return errors.Wrapf(n.Ready(), "%s", n.Name)
			}
		}
	}
	return nil
}

// generateRequests runs requests on all nodes until the context ends.
func (c *cluster) generateRequests(ctx context.Context) {
	var group sync.WaitGroup
	for _, n := range c.nodes {
		group.Go(func() { c.generateNodeRequests(ctx, n) })
	}
	group.Wait()
}

// generateNodeRequests runs requests on a node at the configured rate. A request
// acquires its permit and admission as usual, but sends nothing upstream.
func (c *cluster) generateNodeRequests(ctx context.Context, n *kernel.Node) {
	var inFlight sync.WaitGroup
	defer inFlight.Wait()
	for ctx.Err() == nil {
		timer := time.NewTimer(time.Duration(rand.ExpFloat64() / c.size.requestRate * float64(time.Second)))
		select {
		case <-timer.C:
			inFlight.Go(func() { c.runRequest(ctx, n) })
		case <-ctx.Done():
			timer.Stop()
		}
	}
}

func (c *cluster) runRequest(ctx context.Context, n *kernel.Node) {
	profile, _ := n.Directory.Profile(profileName)
	service, _ := n.Directory.Service(serviceName)
	team, _ := n.Directory.Team(quetzalroad.TeamName(teamName(rand.IntN(c.size.teams))))
	now := time.Now()
	r := &quetzalroad.Request{ID: "r", Team: team, Profile: profile, Service: service, Arrived: now, PromptTokens: 100, Idempotent: true}
	permit, err := n.Limiter.Acquire(now, r)
	if err != nil {
		return
	}
	defer permit.Release(now, 100)
	admission, err := n.Admitter.Admit(ctx, r)
	if err != nil {
		return
	}
	defer admission.Release(100)
	candidates := n.CapacityEstimator.Candidates(now, serviceName, nil)
	if len(candidates) == 0 {
		return
	}
	u := n.Balancer.Choose(now, r, candidates)
	n.LoadTracker.BeginAttempt(u.Name, now)
	timer := time.NewTimer(time.Duration(rand.ExpFloat64() * float64(meanHoldTime)))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	n.LoadTracker.EndAttempt(u.Name, time.Now(), false)
}

// close kills the nodes and stops the servers.
func (c *cluster) close() {
	for _, n := range c.nodes {
		n.Kill()
	}
	for _, n := range c.nodes {
		// The error of a killed node is expected.
		_ = n.Wait()
	}
	c.cancel()
}
