package sloper

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

// size is the size of a deployment to measure.
type size struct {
	places int
	nodes  int
	// upstreams and teams are those of the whole deployment.
	upstreams int
	teams     int
	// rate is the requests a second on each node.
	rate float64
}

// cluster is a deployment on loopback. The nodes are real and speak to each
// other, to the log and to the VM list over sockets; requests are made at the
// interfaces, so that what is measured is control alone.
type cluster struct {
	size  size
	nodes []*kernel.Node
	keep  *logserver.Server
	log   netip.AddrPort
	stop  context.CancelFunc
}

const (
	serviceName = "llm"
	profileName = "chat"
	// slotsEach is the slots of an upstream.
	slotsEach = 32
	// hold is how long a request holds its place, in the mean.
	hold = 3 * time.Second
	// readyPoll is how often a node is asked whether it is ready.
	readyPoll = 10 * time.Millisecond
	// readyTimeout bounds the wait for all nodes.
	readyTimeout = time.Minute
)

func placeName(i int) string {
	return fmt.Sprintf("place-%02d", i)
}

// bringUp starts a deployment of a size and waits until its nodes are ready.
func bringUp(ctx context.Context, s size) (*cluster, error) {
	total := s.places * s.nodes
	ports, err := faultinjector.FreeAddresses(3 + 2*total)
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(ctx)
	c := &cluster{size: s, keep: &logserver.Server{AppendLatency: 5 * time.Millisecond}, log: ports[0], stop: stop}
	list := &vmlistserver.Server{}
	upstream := &echoserver.Server{}
	serve := func(f func() error) {
		go func() {
			// It ends with the context; a failure shows in the nodes.
			_ = f()
		}()
	}
	for i := range total {
		list.Put(time.Now(), quetzalroad.VM{
			Name: nodeName(i), Role: quetzalroad.RoleNode, Address: ports[3+2*i], DataCentre: quetzalroad.DataCentre(placeName(i % s.places)), State: quetzalroad.VMLive,
		})
	}
	serve(func() error { return c.keep.Injector.Serve(ctx, ports[0], c.keep.Handler()) })
	serve(func() error { return list.Injector.Serve(ctx, ports[1], list.Handler()) })
	serve(func() error { return upstream.Injector.Serve(ctx, ports[2], upstream.Handler()) })
	if err := c.publish(ctx, ports[2]); err != nil {
		return c, err
	}
	for i := range total {
		if err := c.addNode(i, ports); err != nil {
			return c, err
		}
	}
	return c, c.awaitReady(ctx)
}

func nodeName(i int) string {
	return fmt.Sprintf("node-%03d", i)
}

func (c *cluster) addNode(i int, ports []netip.AddrPort) error {
	sum := sha256.Sum256([]byte("key"))
	place := placeName(i % c.size.places)
	settings := fmt.Sprintf(`{
  "node": {"name": %q, "data-centre": %q, "region": %q, "balancer-lag": "0s"},
  "log": {"address": %q}, "vm-list": {"address": %q},
  "admin": {"address": %q, "key-sha256": %q},
  "peer-transport": {"address": %q, "key": "a-key-for-this-run-only"},
}`, nodeName(i), place, place, ports[0], ports[1], ports[4+2*i], hex.EncodeToString(sum[:]), ports[3+2*i])
	plan := kernel.NewConfig()
	if err := plan.Load("settings", []byte(settings)); err != nil {
		return err
	}
	node, err := plan.Build(slog.New(slog.DiscardHandler))
	if err != nil {
		return err
	}
	node.Start()
	c.nodes = append(c.nodes, node)
	return nil
}

// publish appends the objects of the deployment to the log.
func (c *cluster) publish(ctx context.Context, upstream netip.AddrPort) error {
	objects := []quetzalroad.Change{
		change(quetzalroad.ObjectProfile, profileName, quetzalroad.Object{Profile: &quetzalroad.Profile{
			Name: profileName, Class: "chat", Tier: 1, FirstTokenTarget: time.Second, Timeout: time.Minute, Idempotent: true, Interactive: true,
		}}),
		change(quetzalroad.ObjectService, serviceName, quetzalroad.Object{Service: &quetzalroad.Service{Name: serviceName, Kind: quetzalroad.ServiceKindPlain, DefaultProfile: profileName}}),
	}
	for i := range c.size.upstreams {
		name := fmt.Sprintf("engine-%04d", i)
		place := placeName(i % c.size.places)
		objects = append(objects, change(quetzalroad.ObjectUpstream, name, quetzalroad.Object{Upstream: &quetzalroad.Upstream{
			Name: quetzalroad.UpstreamName(name), Service: serviceName, Address: upstream,
			DataCentre: quetzalroad.DataCentre(place), Region: quetzalroad.Region(place), MaxConcurrency: slotsEach,
		}}))
	}
	for i := range c.size.teams {
		objects = append(objects, change(quetzalroad.ObjectTeam, teamName(i), quetzalroad.Object{Team: &quetzalroad.Team{
			Name: quetzalroad.TeamName(teamName(i)), DefaultProfile: profileName, MaxTokensPerSecond: 100000, MaxConcurrency: 1000,
			KeyHashes: []quetzalroad.KeyHash{quetzalroad.HashKey(teamName(i))},
		}}))
	}
	for _, o := range objects {
		data, err := recordmapper.EncodeChange(o)
		if err != nil {
			return err
		}
		c.keep.Append(string(quetzalroad.LogStreamState), data)
	}
	return ctx.Err()
}

func teamName(i int) string {
	return fmt.Sprintf("team-%04d", i)
}

func change(kind quetzalroad.ObjectKind, name string, o quetzalroad.Object) quetzalroad.Change {
	return quetzalroad.Change{ID: quetzalroad.ChangeID(uuid.NewString()), Author: "bench", Kind: kind, Name: name, Object: o}
}

func (c *cluster) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	ticker := time.NewTicker(readyPoll)
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

// play makes requests on all nodes until the context ends.
func (c *cluster) play(ctx context.Context) {
	var group sync.WaitGroup
	for _, n := range c.nodes {
		group.Go(func() { c.playOne(ctx, n) })
	}
	group.Wait()
}

// playOne makes requests on a node at the rate. A request takes its places as
// a real one does, and holds them without sending anything.
func (c *cluster) playOne(ctx context.Context, n *kernel.Node) {
	var open sync.WaitGroup
	defer open.Wait()
	for ctx.Err() == nil {
		timer := time.NewTimer(time.Duration(rand.ExpFloat64() / c.size.rate * float64(time.Second)))
		select {
		case <-timer.C:
			open.Go(func() { c.request(ctx, n) })
		case <-ctx.Done():
			timer.Stop()
		}
	}
}

func (c *cluster) request(ctx context.Context, n *kernel.Node) {
	profile, _ := n.Directory.Profile(profileName)
	service, _ := n.Directory.Service(serviceName)
	team, _ := n.Directory.Team(quetzalroad.TeamName(teamName(rand.IntN(c.size.teams))))
	now := time.Now()
	r := &quetzalroad.Request{ID: "r", Team: team, Profile: profile, Service: service, Arrived: now, PromptTokens: 100, Idempotent: true}
	grant, err := n.Limiter.Acquire(now, r)
	if err != nil {
		return
	}
	defer grant.Release(now, 100)
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
	timer := time.NewTimer(time.Duration(rand.ExpFloat64() * float64(hold)))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	n.LoadTracker.EndAttempt(u.Name, time.Now(), false)
}

// close ends the deployment.
func (c *cluster) close() {
	for _, n := range c.nodes {
		n.Kill()
	}
	for _, n := range c.nodes {
		// A killed node has nothing to say.
		_ = n.Wait()
	}
	c.stop()
}
