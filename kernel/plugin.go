// Package kernel registers plug-ins, and builds, starts and stops nodes made of
// them.
//
// A plug-in registers itself in its own package's init function. Settings
// select one implementation per slot. The kernel builds the slots in a fixed
// order, passes each component the node with the components built before it,
// and supervises their tasks.
package kernel

import (
	"sort"

	"github.com/quetzalroad/quetzalroad/support/configloader"
)

// Slot is an extension point of a node, filled by one implementation.
type Slot string

// The slots, in build order.
const (
	SlotProcess         Slot = "process"
	SlotRecorder        Slot = "recorder"
	SlotLog             Slot = "log"
	SlotVMList          Slot = "vm-list"
	SlotKeyedLog        Slot = "keyed-log"
	SlotLogEpochs       Slot = "log-epochs"
	SlotLeaser          Slot = "leases"
	SlotPlatformClient  Slot = "platform-commands"
	SlotActivity        Slot = "activity"
	SlotStreamTracker   Slot = "stream-origins"
	SlotUsage           Slot = "usage"
	SlotStateCodec      Slot = "entries"
	SlotReadTransport   Slot = "read-transport"
	SlotLogSharing      Slot = "log-sharing"
	SlotState           Slot = "state"
	SlotDrainer         Slot = "drains"
	SlotClaimer         Slot = "claims"
	SlotLoadTracker     Slot = "load"
	SlotLengthEstimator Slot = "lengths"
	SlotThrottler       Slot = "throttle"
	SlotBalancer        Slot = "balancer"
	SlotLimiter         Slot = "limiter"
	SlotAdmitter        Slot = "admitter"
	SlotSpiller         Slot = "spill"
	SlotRetryPolicy     Slot = "retry"
	SlotQuarantine      Slot = "quarantine"
	SlotBufferBudget    Slot = "buffers"
	SlotIntake          Slot = "intake"
	SlotChatClient      Slot = "engines"
	SlotServiceClient   Slot = "services"
	SlotUpstreamCodec   Slot = "upstream-fields"
	SlotForwardClient   Slot = "forwards"
	SlotScaling         Slot = "scaling"
	SlotDispatcher      Slot = "dispatcher"
	SlotPeerTransport   Slot = "peer-transport"
	SlotPeers           Slot = "peers"
	SlotAdminServer     Slot = "admin"
	SlotCallerCodec     Slot = "caller-fields"
	SlotCallerServer    Slot = "callers"
)

// slotSpecs lists each slot once, in build order.
var slotSpecs = []struct {
	slot Slot
	doc  string
	// optional slots may stay empty: settings select "none".
	optional bool
}{
	{slot: SlotProcess, doc: "The limits that the platform sets for the process, which defaults of other settings follow."},
	{slot: SlotRecorder, doc: "Counters and histograms of the node's decisions."},
	{slot: SlotLog, doc: "The platform's log.", optional: true},
	{slot: SlotVMList, doc: "The platform's list of VMs, which lags behind reality.", optional: true},
	{slot: SlotKeyedLog, doc: "Reading of the platform's log streams that retain only the latest record of each key.", optional: true},
	{slot: SlotLogEpochs, doc: "Recognition of a platform's log that was restored from an older copy."},
	{slot: SlotLeaser, doc: "The lease whose holder performs the duties of one node at a time.", optional: true},
	{slot: SlotPlatformClient, doc: "The client for commands to the platform that only the holder of the lease sends.", optional: true},
	{slot: SlotActivity, doc: "Exchange of what all nodes recently did, through the platform's log.", optional: true},
	{slot: SlotUsage, doc: "Counting the requests of teams and reporting them to the platform.", optional: true},
	{slot: SlotStateCodec, doc: "Decoding of what operators and upstreams publish on the platform.", optional: true},
	{slot: SlotReadTransport, doc: "The connections for reading the platform's log through other nodes.", optional: true},
	{slot: SlotStreamTracker, doc: "Tracking at which software version streams began, for callers that resume them at another node.", optional: true},
	{slot: SlotLogSharing, doc: "Selection of the nodes that read the platform's log on behalf of others.", optional: true},
	{slot: SlotState, doc: "The published state: reading it from the log and publishing changes."},
	{slot: SlotDrainer, doc: "Drains that take effect before they are in the log.", optional: true},
	{slot: SlotClaimer, doc: "Claims of idempotency keys.", optional: true},
	{slot: SlotLoadTracker, doc: "Estimates of the load of upstreams."},
	{slot: SlotLengthEstimator, doc: "Predictions of response lengths."},
	{slot: SlotThrottler, doc: "The rates that upstreams state, and this node's share of them."},
	{slot: SlotBalancer, doc: "Load balancing among upstreams."},
	{slot: SlotLimiter, doc: "The limits of teams and services."},
	{slot: SlotAdmitter, doc: "Admission control and queueing of requests."},
	{slot: SlotSpiller, doc: "Spillover of requests to other data centres if there is no free capacity."},
	{slot: SlotRetryPolicy, doc: "Retries and hedged attempts."},
	{slot: SlotQuarantine, doc: "Prompt segments that crash upstreams, and the refusal of requests with them."},
	{slot: SlotBufferBudget, doc: "The memory of buffered responses."},
	{slot: SlotIntake, doc: "The connections of callers, and the memory of their requests."},
	{slot: SlotChatClient, doc: "The client for model engines.", optional: true},
	{slot: SlotServiceClient, doc: "The client for plain services.", optional: true},
	{slot: SlotUpstreamCodec, doc: "The header fields between the router and upstreams of forwarded requests.", optional: true},
	{slot: SlotForwardClient, doc: "The client for forwarding requests without interpreting their bodies.", optional: true},
	{slot: SlotScaling, doc: "Orders for upstreams, as demand changes.", optional: true},
	{slot: SlotDispatcher, doc: "Handling of requests from admission to the response."},
	{slot: SlotPeerTransport, doc: "The connections between nodes.", optional: true},
	{slot: SlotPeers, doc: "Heartbeats and membership of other nodes.", optional: true},
	{slot: SlotAdminServer, doc: "The server for operators.", optional: true},
	{slot: SlotCallerCodec, doc: "The header fields between callers and the router for forwarded requests.", optional: true},
	{slot: SlotCallerServer, doc: "The server for callers."},
}

// Component is an implementation of a slot.
type Component interface {
	// Declare declares the component's settings.
	Declare(s *configloader.Section)
	// Build sets the node's fields of its slot and registers its tasks. It does
	// no I/O except to listen.
	Build(n *Node) error
}

// Plugin describes an implementation to the kernel.
type Plugin struct {
	Slot Slot
	// Name is the kebab-case name that selects it in the settings.
	Name string
	// Default makes it the default of its slot.
	Default bool
	// New returns a component on which Declare can be called.
	New func() Component
}

// registry maps slots and names to plug-ins. Only init functions write to it;
// it is read-only afterwards.
var registry = make(map[Slot]map[string]Plugin)

// Register adds a plug-in. It is called from init functions and panics if the
// slot has a plug-in of that name.
func Register(p Plugin) {
	names := registry[p.Slot]
	if names == nil {
		names = make(map[string]Plugin)
		registry[p.Slot] = names
	}
	if _, registered := names[p.Name]; registered {
		panic("kernel: plug-in registered twice: " + string(p.Slot) + " " + p.Name)
	}
	names[p.Name] = p
}

// pluginSelector selects the implementation of a slot by the settings.
type pluginSelector struct {
	slot Slot
	// component is the selected implementation; nil before Select.
	component Component
	// override is the implementation passed to NewConfig; if it is set, the
	// settings can't select another.
	override Component
	// optional allows the settings to leave the slot empty.
	optional bool
}

// none is the plug-in name that leaves an optional slot empty.
const none = "none"

// Select uses the override, or creates the component of the named plug-in, and
// declares its settings. It returns nil for an unknown name.
func (c *pluginSelector) Select(name string) *configloader.Section {
	c.component = c.override
	if c.override == nil && c.optional && name == none {
		return new(configloader.Section)
	}
	if c.override == nil {
		p, ok := registry[c.slot][name]
		if !ok {
			return nil
		}
		c.component = p.New()
	}
	section := new(configloader.Section)
	c.component.Declare(section)
	return section
}

// Names lists the names that can be selected, the default first; an override has none.
func (c *pluginSelector) Names() []string {
	if c.override != nil {
		return nil
	}
	var names []string
	defaultName := ""
	for name, p := range registry[c.slot] {
		if p.Default {
			defaultName = name
			continue
		}
		names = append(names, name)
	}
	sort.Strings(names)
	switch {
	case defaultName != "" && c.optional:
		names = append(names, none)
	case defaultName == "" && c.optional:
		defaultName = none
	case defaultName == "":
		return names
	}
	return append([]string{defaultName}, names...)
}
