package faker

import (
	"context"
	"fmt"
	"log/slog"
	"net/netip"

	"github.com/google/uuid"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/codecs/recordmapper"
	"github.com/quetzalroad/quetzalroad/kernel"
)

// Deployment is several nodes over the same fakes. The zero value has none.
type Deployment struct {
	Log           Log
	Network       Network
	VMList        VMList
	ChatClient    ChatClient
	ServiceClient ServiceClient
	// Logger is handed to the nodes; nil discards.
	Logger *slog.Logger

	// Nodes are those added, in order.
	Nodes          []*kernel.Node
	nextPortOffset uint16
}

// basePort is the port of the first node.
const basePort = 7000

// AddNode builds a node and starts it. The settings are the sections beside
// the node's own, without the outer braces.
func (d *Deployment) AddNode(name quetzalroad.NodeName, dataCentre quetzalroad.DataCentre, region quetzalroad.Region, settings string) (*kernel.Node, error) {
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, 1}), basePort+d.nextPortOffset)
	d.nextPortOffset++
	config := kernel.NewConfig(
		kernel.Override{Slot: kernel.SlotLog, Component: d.Log.Client(name)},
		kernel.Override{Slot: kernel.SlotVMList, Component: &d.VMList},
		kernel.Override{Slot: kernel.SlotPeerTransport, Component: d.Network.NewTransport(address, name, dataCentre)},
		kernel.Override{Slot: kernel.SlotChatClient, Component: &d.ChatClient},
		kernel.Override{Slot: kernel.SlotServiceClient, Component: &d.ServiceClient},
	)
	text := fmt.Sprintf(`{"node": {"name": %q, "data-centre": %q, "region": %q, "balancer-lag": "1s"}, %s}`, name, dataCentre, region, settings)
	if err := config.Load(string(name), []byte(text)); err != nil {
		return nil, err
	}
	logger := d.Logger
	if logger == nil {
		logger = slog.New(slog.DiscardHandler)
	}
	node, err := config.Build(logger)
	if err != nil {
		return nil, err
	}
	d.VMList.Put(quetzalroad.VM{Name: string(name), Role: quetzalroad.RoleNode, Address: address, DataCentre: dataCentre, State: quetzalroad.VMLive})
	d.Nodes = append(d.Nodes, node)
	node.Start()
	return node, nil
}

// Publish appends the creation of objects to the log, without a node.
func (d *Deployment) Publish(objects ...quetzalroad.Object) error {
	for _, o := range objects {
		c := quetzalroad.Change{ID: quetzalroad.ChangeID(uuid.NewString()), Author: "test", Object: o}
		switch {
		case o.Profile != nil:
			c.Kind, c.Name = quetzalroad.ObjectProfile, string(o.Profile.Name)
		case o.Team != nil:
			c.Kind, c.Name = quetzalroad.ObjectTeam, string(o.Team.Name)
		case o.Service != nil:
			c.Kind, c.Name = quetzalroad.ObjectService, string(o.Service.Name)
		case o.Upstream != nil:
			c.Kind, c.Name = quetzalroad.ObjectUpstream, string(o.Upstream.Name)
		}
		data, err := recordmapper.EncodeChange(c)
		if err != nil {
			return err
		}
		d.Log.AppendDirectly(quetzalroad.LogStreamState, data)
	}
	return nil
}

// Close kills the nodes and waits for their end.
func (d *Deployment) Close() {
	for _, n := range d.Nodes {
		n.Kill()
	}
	for _, n := range d.Nodes {
		// A killed node has nothing to say.
		_ = n.Wait()
	}
}

// InvariantViolations gives the invariants that nodes counted as broken.
func (d *Deployment) InvariantViolations() []string {
	var violations []string
	for _, n := range d.Nodes {
		if text := n.Vars.Get("invariant-breaches").String(); text != "{}" {
			violations = append(violations, string(n.Name)+": "+text)
		}
	}
	return violations
}

// RunEngines runs the engines until the context ends.
func (d *Deployment) RunEngines(ctx context.Context) {
	d.ChatClient.Run(ctx)
}
