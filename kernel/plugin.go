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

	"github.com/quetzalroad/quetzalroad/configurer"
)

// Slot is a place in the node that an implementation fills.
type Slot string

// The slots in the order in which they are built.
const (
	SlotRecorder   Slot = "recorder"
	SlotLog        Slot = "log"
	SlotVMList     Slot = "vm-list"
	SlotState      Slot = "state"
	SlotDrains     Slot = "drains"
	SlotClaims     Slot = "claims"
	SlotLoad       Slot = "load"
	SlotLengths    Slot = "lengths"
	SlotBalancer   Slot = "balancer"
	SlotLimiter    Slot = "limiter"
	SlotAdmitter   Slot = "admitter"
	SlotSpill      Slot = "spill"
	SlotRetry      Slot = "retry"
	SlotEngines    Slot = "engines"
	SlotServices   Slot = "services"
	SlotDispatcher Slot = "dispatcher"
	SlotTransport  Slot = "peer-transport"
	SlotPeers      Slot = "peers"
	SlotAdmin      Slot = "admin"
	SlotCallers    Slot = "callers"
)

// slots lists each slot once, in the order of building.
var slots = []struct {
	slot Slot
	doc  string
}{
	{SlotRecorder, "Counters and histograms of what the node decides."},
	{SlotLog, "The platform's log."},
	{SlotVMList, "The platform's lagging list of VMs."},
	{SlotState, "The published state: following the log and publishing to it."},
	{SlotDrains, "Drains that take hold before the log knows of them."},
	{SlotClaims, "Claims of idempotency keys."},
	{SlotLoad, "The belief about the load of upstreams."},
	{SlotLengths, "What is learnt of the lengths of answers."},
	{SlotBalancer, "The choice of an upstream."},
	{SlotLimiter, "The limits of teams and services."},
	{SlotAdmitter, "The queue in front of the upstreams."},
	{SlotSpill, "Work that goes to another data centre for want of room."},
	{SlotRetry, "Whether an attempt may be repeated."},
	{SlotEngines, "The protocol of model engines."},
	{SlotServices, "The protocol of plain services."},
	{SlotDispatcher, "The way of a request from admission to its answer."},
	{SlotTransport, "The connections between nodes."},
	{SlotPeers, "The exchange with other nodes."},
	{SlotAdmin, "The face for operators."},
	{SlotCallers, "The face for callers."},
}

// Part is an implementation of a slot.
type Part interface {
	// Declare binds the part's settings.
	Declare(s *configurer.Section)
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
	New func() Part
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
	if _, taken := names[p.Name]; taken {
		panic("kernel: plug-in registered twice: " + string(p.Slot) + " " + p.Name)
	}
	names[p.Name] = p
}

// chooser lets a settings file choose the implementation of a slot.
type chooser struct {
	slot Slot
	// part is the chosen implementation; nil before a choice.
	part Part
	// given is set where the program brings the implementation itself, which
	// leaves nothing to choose.
	given Part
}

// Choose makes the part of the named plug-in and declares its settings.
func (c *chooser) Choose(name string) *configurer.Section {
	c.part = c.given
	if c.given == nil {
		p, ok := registry[c.slot][name]
		if !ok {
			return nil
		}
		c.part = p.New()
	}
	section := new(configurer.Section)
	c.part.Declare(section)
	return section
}

// Names lists the registered names, the default first.
func (c *chooser) Names() []string {
	if c.given != nil {
		return nil
	}
	var names []string
	first := ""
	for name, p := range registry[c.slot] {
		if p.Default {
			first = name
			continue
		}
		names = append(names, name)
	}
	sort.Strings(names)
	if first == "" {
		return names
	}
	return append([]string{first}, names...)
}
