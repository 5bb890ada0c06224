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

// Deployment is a set of nodes that share the same fakes. The zero value has no nodes.
type Deployment struct {
	Log           Log
	Network       Network
	VMList        VMList
	ChatClient    ChatClient
	ServiceClient ServiceClient
	// UseChatAPI has the nodes send chats to the addresses of their engines, with the client that the program has
	// registered, instead of ChatClient.
	UseChatAPI bool
	// Logger is the nodes' logger; nil discards all log lines.
	Logger *slog.Logger

	// Nodes holds the added nodes in order.
	Nodes []*kernel.Node
	// nextPortOffset is added to basePort for the next node.
	nextPortOffset uint16
}

// basePort is the port of the first node.
const basePort = 7000

// AddNode builds and starts a node and adds it to the VM list. The settings hold
// the JSON sections other than "node", without the outer braces.
func (d *Deployment) AddNode(name quetzalroad.NodeName, dataCentre quetzalroad.DataCentre, region quetzalroad.Region, settings string) (*kernel.Node, error) {
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, 1}), basePort+d.nextPortOffset)
	d.nextPortOffset++
	overrides := []kernel.Override{
		{Slot: kernel.SlotLog, Component: d.Log.Client(name)},
		{Slot: kernel.SlotVMList, Component: &d.VMList},
		{Slot: kernel.SlotPeerTransport, Component: d.Network.NewTransport(address, name, dataCentre)},
		{Slot: kernel.SlotServiceClient, Component: &d.ServiceClient},
	}
	if !d.UseChatAPI {
		overrides = append(overrides, kernel.Override{Slot: kernel.SlotChatClient, Component: &d.ChatClient})
	}
	config := kernel.NewConfig(overrides...)
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

// Publish appends changes that create the objects to the log, bypassing the nodes' publishers.
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

// Close kills the nodes and waits until they have ended.
func (d *Deployment) Close() {
	for _, n := range d.Nodes {
		n.Kill()
	}
	for _, n := range d.Nodes {
		// A killed node's error doesn't matter.
		_ = n.Wait()
	}
}

// InvariantViolations returns the counts of invariant violations, one text for each node that has any.
func (d *Deployment) InvariantViolations() []string {
	var violations []string
	for _, n := range d.Nodes {
		if text := n.Vars.Get("invariant-breaches").String(); text != "{}" {
			violations = append(violations, string(n.Name)+": "+text)
		}
	}
	return violations
}

// RunEngines runs the engines until the context is done.
func (d *Deployment) RunEngines(ctx context.Context) {
	d.ChatClient.Run(ctx)
}
