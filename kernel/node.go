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

// Identity is the name and location of a node, from its settings.
type Identity struct {
	Name       quetzalroad.NodeName
	DataCentre quetzalroad.DataCentre
	Region     quetzalroad.Region
}

// Node is one process of the router, or one of several in a test. Components
// set the fields of their slot in Build; afterwards the fields are read-only.
type Node struct {
	Identity
	// Logger is never nil after Config.Build.
	Logger *slog.Logger

	// Limits are those of the process.
	Limits quetzalroad.ProcessLimits

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
	Quarantine        quetzalroad.Quarantine
	Throttler         quetzalroad.Throttler
	// BufferBudget is nil if there is no bound.
	BufferBudget quetzalroad.BufferBudget
	// Intake is nil if callers' connections and requests are not bounded together.
	Intake        quetzalroad.Intake
	ChatClient    quetzalroad.ChatClient
	ServiceClient quetzalroad.ServiceClient
	Dispatcher    quetzalroad.Dispatcher
	Drainer       quetzalroad.Drainer
	// DrainMarker is nil if the state can't be marked.
	DrainMarker   quetzalroad.DrainMarker
	PeerTransport quetzalroad.PeerTransport
	Peers         quetzalroad.Peers

	KeyedLog    quetzalroad.KeyedLog
	KeyedWriter quetzalroad.KeyedWriter
	// ConditionalWriter is nil if the log has no conditional writes.
	ConditionalWriter quetzalroad.ConditionalWriter
	// LogEpochs is nil if the node has no keyed log.
	LogEpochs quetzalroad.EpochTracker
	// Leaser is nil if the node has no duties, PlatformClient if it sends the platform no commands, UsageMeter if
	// usage isn't counted, and Activity if no activity is exchanged.
	Leaser         quetzalroad.Leaser
	PlatformClient quetzalroad.PlatformClient
	UsageMeter     quetzalroad.UsageMeter
	Activity       quetzalroad.ActivityExchange
	// StreamTracker is nil if streams are resumed whatever version of the software began them.
	StreamTracker quetzalroad.StreamTracker
	// OriginTransport is nil if other nodes can't be asked where streams began.
	OriginTransport quetzalroad.OriginTransport
	// DemandMeter is nil if demand isn't measured, and LogSharing if each node reads the log itself.
	DemandMeter   quetzalroad.DemandMeter
	LogSharing    quetzalroad.LogSharing
	ReadTransport quetzalroad.ReadTransport
	StateCodec    quetzalroad.StateCodec
	RouteTable    quetzalroad.RouteTable
	Freshness     quetzalroad.Freshness
	CallerCodec   quetzalroad.CallerCodec
	UpstreamCodec quetzalroad.UpstreamCodec
	ForwardClient quetzalroad.ForwardClient
	Forwarder     quetzalroad.Forwarder
	// UpstreamChecker is nil if the forward client can't check upstreams.
	UpstreamChecker quetzalroad.UpstreamChecker
	// Fleet is nil if the node knows no others.
	Fleet quetzalroad.Fleet
	// MixTracker is nil if the balancer tracks no mix.
	MixTracker quetzalroad.MixTracker
	// RouteExplainer is nil if the dispatcher doesn't explain where requests go.
	RouteExplainer quetzalroad.RouteExplainer

	readiness []quetzalroad.Readiness
	tasks     []task
	stopHooks []func(ctx context.Context)
	inFlight  []func() int
	// balancerLag is how long the node accepts requests after it became unready.
	// stopTimeout bounds a planned stop; zero means no bound.
	balancerLag time.Duration
	stopTimeout time.Duration

	tomb tomb.Tomb
	// failed is closed when the node ends because of a task. It is allocated by Build.
	failed   chan struct{}
	failOnce sync.Once
	stopping atomic.Bool
	// stopBegun is closed when a planned stop begins. It is allocated by Build.
	stopBegun chan struct{}
	stopOnce  sync.Once
	// closingTo is when the work in flight has to end, once a stopping node no longer expects requests; nil
	// before.
	closingTo atomic.Pointer[time.Time]
	// restarts counts the restarts of tasks by name.
	restarts expvar.Map
	// ending is done when it has to end now. It is allocated by Build.
	ending    context.Context
	endingNow context.CancelCauseFunc
}

// task is a background function of a component.
type task struct {
	name string
	run  func(ctx context.Context) error
}

// AddTask registers a background task that runs from start to stop. A task that
// returns before the stop is started again; if it keeps returning, the node ends.
func (n *Node) AddTask(name string, run func(ctx context.Context) error) {
	n.tasks = append(n.tasks, task{name: name, run: run})
}

// OnStop registers a hook that a planned stop waits for. Hooks run one after
// another, the last registered first, before the tasks are cancelled.
func (n *Node) OnStop(hook func(ctx context.Context)) {
	n.stopHooks = append(n.stopHooks, hook)
}

// AddInFlightCounter registers a function that counts work in flight.
func (n *Node) AddInFlightCounter(f func() int) {
	n.inFlight = append(n.inFlight, f)
}

// AddReadiness registers a condition for readiness.
func (n *Node) AddReadiness(r quetzalroad.Readiness) {
	n.readiness = append(n.readiness, r)
}

// errStopping is why a stopping node is not ready.
var errStopping = errors.New("node is stopping")

// Ready returns nil, or the reason why the node should get no traffic.
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

// Stopping reports whether a planned stop has begun.
func (n *Node) Stopping() bool {
	return n.stopping.Load()
}

// StopBegun returns a channel that is closed when a planned stop begins.
func (n *Node) StopBegun() <-chan struct{} {
	return n.stopBegun
}

// InFlight returns the amount of work in flight.
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
		for _, t := range n.tasks {
			n.tomb.Go(func() error { return n.supervise(ctx, t) })
		}
		<-n.tomb.Dying()
		return nil
	})
}

// Wait waits until the node has ended and returns the error of a failed task.
func (n *Node) Wait() error {
	return n.tomb.Wait()
}

// Kill ends the node immediately, like a crash.
func (n *Node) Kill() {
	n.tomb.Kill(nil)
}

// Config is the settings of a node, from which it is built.
type Config struct {
	schema      configloader.Schema
	selectors   map[Slot]*pluginSelector
	name        string
	dataCentre  string
	region      string
	balancerLag time.Duration
	stopTimeout time.Duration
}

// Override is a component that replaces the plug-in selected by the settings.
type Override struct {
	Slot      Slot
	Component Component
}

// NewConfig declares the settings of a node. Overrides take precedence over the
// settings; tests use them to inject fakes. A required slot with neither an override
// nor a registered plug-in has no settings and stays empty.
func NewConfig(overrides ...Override) *Config {
	cfg := &Config{selectors: make(map[Slot]*pluginSelector)}
	section := new(configloader.Section)
	section.Name("name", &cfg.name, "", "Name of this node, unique in the deployment.")
	section.Name("data-centre", &cfg.dataCentre, "", "Data centre of this node.")
	section.Name("region", &cfg.region, "", "Region of the data centre.")
	section.Duration("balancer-lag", &cfg.balancerLag, 5*time.Second, 0, 10*time.Minute, "How long to accept requests after becoming unready, until load balancers have noticed.")
	section.Duration("stop-timeout", &cfg.stopTimeout, 0, 0, 24*time.Hour, "Maximum total time of a planned stop; zero waits for the last response.")
	cfg.schema.AddSection("node", "Identity of this node.", configloader.FixedSection{Section: section})
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

// Load reads a settings file. The error is a *configloader.FindingsError.
func (cfg *Config) Load(name string, data []byte) error {
	return cfg.schema.Load(name, data)
}

// Schema returns the declared settings.
func (cfg *Config) Schema() *configloader.Schema {
	return &cfg.schema
}

// Build builds the node; Load must have succeeded.
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
		failed:      make(chan struct{}),
	}
	n.stopBegun = make(chan struct{})
	n.Vars.Set("task-restarts", &n.restarts)
	n.ending, n.endingNow = context.WithCancelCause(context.Background())
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
