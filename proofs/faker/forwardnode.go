package faker

import (
	"log/slog"
	"strings"

	"github.com/quetzalroad/quetzalroad/kernel"
	"github.com/quetzalroad/quetzalroad/support/configloader"

	// All nodes track the epoch of their log.
	_ "github.com/quetzalroad/quetzalroad/state/epochtracker"
)

// ForwardNodeName is the name of the node that BuildForwardNode builds, in data
// centre "west-1" of region "west".
const ForwardNodeName = "node-1"

// BuildForwardNode builds a node that forwards requests without reading their
// bodies. Overrides replace components; sections hold settings as JSON by
// section name. Optional slots that neither of them names stay empty.
func BuildForwardNode(logger *slog.Logger, sections map[string]string, overrides ...kernel.Override) (*kernel.Node, error) {
	settings := map[string]string{
		"node":           `{"name": "` + ForwardNodeName + `", "data-centre": "west-1", "region": "west", "balancer-lag": "2s", "stop-timeout": "7s"}`,
		"state":          `{"plugin": "watcher", "revoke-within": "5s", "places": "east-1=east,west-1=west"}`,
		"load":           `{"report-interval": "0s", "reach": "all"}`,
		"admitter":       `{"plugin": "passer"}`,
		"balancer":       `{"plugin": "separator"}`,
		"limiter":        `{"plugin": "passer"}`,
		"spill":          `{"plugin": "stayer"}`,
		"retry":          `{"share": 0.2, "reserve": 2, "initial": 2, "attempts": 3, "backoff": "0s", "hedge-after": 0}`,
		"log":            `{"plugin": "none"}`,
		"vm-list":        `{"plugin": "none"}`,
		"drains":         `{"plugin": "none"}`,
		"claims":         `{"plugin": "none"}`,
		"engines":        `{"plugin": "none"}`,
		"services":       `{"plugin": "none"}`,
		"peer-transport": `{"plugin": "none"}`,
		"peers":          `{"plugin": "none"}`,
		"admin":          `{"plugin": "none"}`,
	}
	for name, text := range sections {
		settings[name] = text
	}
	if _, configured := sections["callers"]; !configured {
		overrides = append(overrides, kernel.Override{Slot: kernel.SlotCallerServer, Component: emptyComponent{}})
	}
	for _, override := range overrides {
		delete(settings, string(override.Slot))
	}
	var lines []string
	for name, text := range settings {
		lines = append(lines, `"`+name+`": `+text)
	}
	config := kernel.NewConfig(overrides...)
	if err := config.Load(ForwardNodeName, []byte("{"+strings.Join(lines, ",\n")+"}")); err != nil {
		return nil, err
	}
	return config.Build(logger)
}

// emptyComponent is a component that builds nothing.
type emptyComponent struct{}

// Declare implements kernel.Component.
func (emptyComponent) Declare(*configloader.Section) {}

// Build implements kernel.Component.
func (emptyComponent) Build(*kernel.Node) error { return nil }
