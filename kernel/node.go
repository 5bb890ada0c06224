package kernel

import (
	"context"
	"expvar"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"gopkg.in/tomb.v2"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/support/configloader"
)

// Identity is what a node knows of itself from its settings.
type Identity struct {
	Name       quetzalroad.NodeName
	DataCentre quetzalroad.DataCentre
	Region     quetzalroad.Region
}

// Node is one process of the router, or one of several in a test. Parts set
// the fields of their slot while they are built; afterwards they are read
// only.
type Node struct {
	Identity
	// Logger is never nil once Build was called.
	Logger *slog.Logger

	Recorder          quetzalroad.Recorder
	Vars              *expvar.Map
	Log               quetzalroad.Log
	VMList            quetzalroad.VMList
	Directory         quetzalroad.Directory
	Publisher         quetzalroad.Publisher
	Snapshotter       quetzalroad.Snapshotter
	Replicators       []quetzalroad.StreamReplicator
	Claimer           quetzalroad.Claimer
	LoadTracker       quetzalroad.LoadTracker
	CapacityEstimator quetzalroad.CapacityEstimator
	LengthEstimator   quetzalroad.LengthEstimator
	Balancer          quetzalroad.Balancer
	Limiter           quetzalroad.Limiter
	Admitter          quetzalroad.Admitter
	Spiller           quetzalroad.Spiller
	RetryPolicy       quetzalroad.RetryPolicy
	ChatClient        quetzalroad.ChatClient
	ServiceClient     quetzalroad.ServiceClient
	Dispatcher        quetzalroad.Dispatcher
	Drainer           quetzalroad.Drainer
	PeerTransport     quetzalroad.PeerTransport
	Peers             quetzalroad.Peers

	KeyedLog      quetzalroad.KeyedLog
	KeyedWriter   quetzalroad.KeyedWriter
	ReadTransport quetzalroad.ReadTransport
	StateCodec    quetzalroad.StateCodec
	RouteTable    quetzalroad.RouteTable
	Freshness     quetzalroad.Freshness
	CallerCodec   quetzalroad.CallerCodec
	UpstreamCodec quetzalroad.UpstreamCodec
	ForwardClient quetzalroad.ForwardClient
	Forwarder     quetzalroad.Forwarder

	readiness []quetzalroad.Readiness
	tasks     []task
	stopHooks []func(ctx context.Context)
	inFlight  []func() int
	// balancerLag is how long the node goes on accepting after it turned
	// unready, and stopTimeout how long a planned stop may take in all; zero
	// for as long as it takes.
	balancerLag time.Duration
	stopTimeout time.Duration

	tomb     tomb.Tomb
	stopping atomic.Bool
	stopOnce sync.Once
}

// task is something a part runs.
type task struct {
	name string
	run  func(ctx context.Context) error
}

// AddTask registers a task that runs from start to stop. A task that returns an
// error before the stop takes the node down.
func (n *Node) AddTask(name string, run func(ctx context.Context) error) {
	n.tasks = append(n.tasks, task{name: name, run: run})
}

// OnStop registers what a planned stop has to wait for. The functions run one
// after another, the last registered first, before the tasks are ended.
func (n *Node) OnStop(hook func(ctx context.Context)) {
	n.stopHooks = append(n.stopHooks, hook)
}

// AddInFlightCounter registers a count of work in flight.
func (n *Node) AddInFlightCounter(f func() int) {
	n.inFlight = append(n.inFlight, f)
}

// AddReadiness registers a condition of readiness.
func (n *Node) AddReadiness(r quetzalroad.Readiness) {
	n.readiness = append(n.readiness, r)
}

// errStopping is the reason of a node that is being stopped.
var errStopping = errors.New("node is stopping")

// Ready tells whether the node should get traffic.
func (n *Node) Ready() error {
	if n.stopping.Load() {
		return errStopping
	}
	for _, r := range n.readiness {
		if err := r.Ready(); err != nil {
			return err
		}
	}
	return nil
}

// Stopping tells whether a planned stop has begun.
func (n *Node) Stopping() bool {
	return n.stopping.Load()
}

// InFlight counts the work in flight.
func (n *Node) InFlight() int {
	total := 0
	for _, f := range n.inFlight {
		total += f()
	}
	return total
}

// Start runs the registered tasks.
func (n *Node) Start() {
	ctx := n.tomb.Context(context.Background())
	n.tomb.Go(func() error {
		for _, s := range n.tasks {
			n.tomb.Go(func() error { return n.supervise(ctx, s) })
		}
		<-n.tomb.Dying()
		return nil
	})
}

func (n *Node) supervise(ctx context.Context, s task) error {
	err := s.run(ctx)
	if err != nil && !errors.Is(err, context.Canceled) {
		n.Logger.Error("task failed", "task", s.name, "error", err)
		return errors.Wrapf(err, "task %s", s.name)
	}
	return nil
}

// Wait returns when the node has ended.
func (n *Node) Wait() error {
	return n.tomb.Wait()
}

// Kill ends the node at once, as a crash would.
func (n *Node) Kill() {
	n.tomb.Kill(nil)
}

// Stop ends the node as planned: it turns unready, goes on accepting while
// the balancer's list lags, waits for the work in flight, and ends its tasks.
// The context cuts the waiting short.
func (n *Node) Stop(ctx context.Context) {
	n.stopOnce.Do(func() { n.stop(ctx) })
}

func (n *Node) stop(ctx context.Context) {
	n.stopping.Store(true)
	if n.stopTimeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, n.stopTimeout)
		defer cancel()
	}
	n.Logger.Info("stopping", "balancer-lag", n.balancerLag, "open", n.InFlight())
	timer := time.NewTimer(n.balancerLag)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	for i := len(n.stopHooks) - 1; i >= 0; i-- {
		n.stopHooks[i](ctx)
	}
	n.tomb.Kill(nil)
}

// Config is a node's settings: what to build.
type Config struct {
	schema      configloader.Schema
	selectors   map[Slot]*pluginSelector
	name        string
	dataCentre  string
	region      string
	balancerLag time.Duration
	stopTimeout time.Duration
}

// Override is a part that a program brings itself in place of a registered one.
type Override struct {
	Slot      Slot
	Component Component
}

// NewConfig declares the settings of a node. Given parts fill their slots
// whatever the settings say; tests bring their fakes so.
func NewConfig(overrides ...Override) *Config {
	cfg := &Config{selectors: make(map[Slot]*pluginSelector)}
	section := new(configloader.Section)
	section.Name("name", &cfg.name, "", "Name of this node, unique in the deployment.")
	section.Name("data-centre", &cfg.dataCentre, "", "Data centre this node runs in.")
	section.Name("region", &cfg.region, "", "Region of the data centre.")
	section.Duration("balancer-lag", &cfg.balancerLag, 5*time.Second, 0, 10*time.Minute, "How long to go on accepting after turning unready.")
	section.Duration("stop-timeout", &cfg.stopTimeout, 0, 0, 24*time.Hour, "How long a planned stop may take in all; zero for as long as the last answer takes.")
	cfg.schema.AddSection("node", "Who this node is.", configloader.FixedSection{Section: section})
	for _, s := range slotSpecs {
		selector := &pluginSelector{slot: s.slot, optional: s.optional}
		for _, override := range overrides {
			if override.Slot == s.slot {
				selector.override = override.Component
			}
		}
		if selector.override == nil && len(selector.Names()) == 0 {
			continue
		}
		cfg.selectors[s.slot] = selector
		cfg.schema.AddSection(string(s.slot), s.doc, selector)
	}
	return cfg
}

// Load fills the plan from a settings file. The error is a
// *configloader.FindingsError.
func (cfg *Config) Load(name string, data []byte) error {
	return cfg.schema.Load(name, data)
}

// Schema gives the description of the settings.
func (cfg *Config) Schema() *configloader.Schema {
	return &cfg.schema
}

// Build makes the node of a plan that was read.
func (cfg *Config) Build(logger *slog.Logger) (*Node, error) {
	n := &Node{
		Identity: Identity{
			Name:       quetzalroad.NodeName(cfg.name),
			DataCentre: quetzalroad.DataCentre(cfg.dataCentre),
			Region:     quetzalroad.Region(cfg.region),
		},
		Logger:      logger.With("node", cfg.name),
		Vars:        new(expvar.Map),
		balancerLag: cfg.balancerLag,
		stopTimeout: cfg.stopTimeout,
	}
	for _, s := range slotSpecs {
		selector := cfg.selectors[s.slot]
		if selector == nil || selector.component == nil {
			continue
		}
		if err := selector.component.Build(n); err != nil {
			return nil, errors.Wrapf(err, "build %s", s.slot)
		}
	}
	return n, nil
}
