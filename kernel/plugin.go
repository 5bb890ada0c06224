// Package kernel holds the registry of plug-ins and builds, starts and stops a
// node from them.
//
// A plug-in registers itself in its own package's init function. Settings
// choose one implementation for each slot. The kernel builds the slots in a
// fixed order, hands each part the node with the parts built before it, and
// supervises what they run.
package kernel

import (
	"sort"

	"github.com/quetzalroad/quetzalroad/support/configloader"
)

// Slot is a place in the node that an implementation fills.
type Slot string

// The slots in the order in which they are built.
const (
	SlotRecorder        Slot = "recorder"
	SlotLog             Slot = "log"
	SlotVMList          Slot = "vm-list"
	SlotKeyedLog        Slot = "keyed-log"
	SlotStateCodec      Slot = "entries"
	SlotReadTransport   Slot = "read-transport"
	SlotLogSharing      Slot = "log-sharing"
	SlotState           Slot = "state"
	SlotDrainer         Slot = "drains"
	SlotClaimer         Slot = "claims"
	SlotLoadTracker     Slot = "load"
	SlotLengthEstimator Slot = "lengths"
	SlotBalancer        Slot = "balancer"
	SlotLimiter         Slot = "limiter"
	SlotAdmitter        Slot = "admitter"
	SlotSpiller         Slot = "spill"
	SlotRetryPolicy     Slot = "retry"
	SlotChatClient      Slot = "engines"
	SlotServiceClient   Slot = "services"
	SlotUpstreamCodec   Slot = "upstream-fields"
	SlotForwardClient   Slot = "forwards"
	SlotDispatcher      Slot = "dispatcher"
	SlotPeerTransport   Slot = "peer-transport"
	SlotPeers           Slot = "peers"
	SlotAdminServer     Slot = "admin"
	SlotCallerCodec     Slot = "caller-fields"
	SlotCallerServer    Slot = "callers"
)

// slotSpecs lists each slot once, in the order of building.
var slotSpecs = []struct {
	slot Slot
	doc  string
	// optional slots may stay empty: settings choose "none".
	optional bool
}{
	{slot: SlotRecorder, doc: "Counters and histograms of what the node decides."},
	{slot: SlotLog, doc: "The platform's log.", optional: true},
	{slot: SlotVMList, doc: "The platform's lagging list of VMs.", optional: true},
	{slot: SlotKeyedLog, doc: "The platform's log where it keeps the newest record of each key.", optional: true},
	{slot: SlotStateCodec, doc: "How operators' and upstreams' entries on the platform are read.", optional: true},
	{slot: SlotReadTransport, doc: "The connections over which nodes read the platform's log for each other.", optional: true},
	{slot: SlotLogSharing, doc: "Which nodes read the platform's log for others.", optional: true},
	{slot: SlotState, doc: "The published state: following the log and publishing to it."},
	{slot: SlotDrainer, doc: "Drains that take hold before the log knows of them.", optional: true},
	{slot: SlotClaimer, doc: "Claims of idempotency keys.", optional: true},
	{slot: SlotLoadTracker, doc: "The belief about the load of upstreams."},
	{slot: SlotLengthEstimator, doc: "What is learnt of the lengths of answers."},
	{slot: SlotBalancer, doc: "The choice of an upstream."},
	{slot: SlotLimiter, doc: "The limits of teams and services."},
	{slot: SlotAdmitter, doc: "The queue in front of the upstreams."},
	{slot: SlotSpiller, doc: "Work that goes to another data centre for want of room."},
	{slot: SlotRetryPolicy, doc: "Whether an attempt may be repeated."},
	{slot: SlotChatClient, doc: "The protocol of model engines.", optional: true},
	{slot: SlotServiceClient, doc: "The protocol of plain services.", optional: true},
	{slot: SlotUpstreamCodec, doc: "The header fields between the router and upstreams that requests are passed on to.", optional: true},
	{slot: SlotForwardClient, doc: "The way to upstreams that requests are passed on to unread.", optional: true},
	{slot: SlotDispatcher, doc: "The way of a request from admission to its answer."},
	{slot: SlotPeerTransport, doc: "The connections between nodes.", optional: true},
	{slot: SlotPeers, doc: "The exchange with other nodes.", optional: true},
	{slot: SlotAdminServer, doc: "The face for operators.", optional: true},
	{slot: SlotCallerCodec, doc: "The header fields between callers and the router where requests are passed on unread.", optional: true},
	{slot: SlotCallerServer, doc: "The face for callers."},
}

// Component is an implementation of a slot.
type Component interface {
	// Declare binds the part's settings.
	Declare(s *configloader.Section)
	// Build puts the part into its place in the node and registers what it
	// runs. It does no I/O but to listen.
	Build(n *Node) error
}

// Plugin describes an implementation to the kernel.
type Plugin struct {
	Slot Slot
	// Name is the kebab-case name by which settings choose it.
	Name string
	// Default makes it the choice of settings that name none.
	Default bool
	// New makes a part that is ready to be declared.
	New func() Component
}

// registry maps slots and names to plug-ins. It is written by init functions
// only and read afterwards.
var registry = make(map[Slot]map[string]Plugin)

// Register adds a plug-in. It is called from init functions and panics where a
// name is taken.
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

// pluginSelector lets a settings file choose the implementation of a slot.
type pluginSelector struct {
	slot Slot
	// component is the chosen implementation; nil before a choice.
	component Component
	// override is set where the program brings the implementation itself, which
	// leaves nothing to choose.
	override Component
	// optional lets settings leave the slot empty.
	optional bool
}

// none is the name by which settings leave an optional slot empty.
const none = "none"

// Select makes the part of the named plug-in and declares its settings.
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

// Names lists the registered names, the default first.
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
