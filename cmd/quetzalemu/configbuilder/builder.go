// Package configbuilder stands in for the operators of the users' platform, written
// from its published page: it gives a config as they write it, and a node's
// settings as the platform fills them in.
package configbuilder

import (
	"encoding/json"
	"net/netip"
	"time"

	"github.com/quetzalroad/quetzalroad/support/renderer"
)

// ReadyPath is where a node is asked whether it wants callers.
const ReadyPath = "/readiness"

// Kind says what may be repeated.
type Kind string

// The kinds of routes.
const (
	Safe      Kind = "safe"
	Unsafe    Kind = "unsafe"
	Streaming Kind = "streaming"
)

// Route leads the requests below /NAME/ to a service.
type Route struct {
	Name    string
	Host    string
	Kind    Kind
	Service string
	Timeout time.Duration
	// Resumable streams may be taken up at another server.
	Resumable bool
}

// Config is one version of the config.
type Config struct {
	Version  int
	Routes   []Route
	Services []string
	// Keys holds the only key of each team.
	Keys map[string]string
}

const (
	latencyTarget  = 400 * time.Millisecond
	pauseTarget    = 400 * time.Millisecond
	attempts       = 2
	connections    = 300
	maxHeaderBytes = 16 << 10
	maxBodyBytes   = 1 << 20
	headerTimeout  = 3 * time.Second
	idleTimeout    = 15 * time.Second
	teamPriority   = 1
	routePriority  = 1
	bandwidthMbit  = 1000.0
)

// Encode gives the config as it is written to the store.
func (c Config) Encode() (string, error) {
	routes := make([]map[string]any, 0, len(c.Routes))
	for _, r := range c.Routes {
		route := map[string]any{
			"name": r.Name, "host": r.Host, "pathPrefix": "/" + r.Name + "/", "kind": r.Kind, "timeoutMs": r.Timeout.Milliseconds(),
			"targetLatencyMs": latencyTarget.Milliseconds(), "priority": routePriority, "service": r.Service, "maxAttempts": attempts,
		}
		if r.Kind == Streaming {
			route["stickySessions"], route["gapTargetMs"], route["resumeStreams"] = true, pauseTarget.Milliseconds(), r.Resumable
		}
		routes = append(routes, route)
	}
	services := make([]map[string]any, 0, len(c.Services))
	for _, s := range c.Services {
		services = append(services, map[string]any{"name": s, "connectionLimit": connections})
	}
	tenants := make([]map[string]any, 0, len(c.Keys))
	for team, key := range c.Keys {
		tenants = append(tenants, map[string]any{"name": team, "apiKeys": []string{key}, "priority": teamPriority})
	}
	data, err := json.Marshal(map[string]any{
		"version": c.Version, "routes": routes, "services": services, "tenants": tenants,
		"limits": map[string]any{
			"maxHeaderBytes": maxHeaderBytes, "maxBodyBytes": maxBodyBytes,
			"headerTimeoutMs": headerTimeout.Milliseconds(), "idleTimeoutMs": idleTimeout.Milliseconds(),
		},
	})
	return string(data), err
}

// Machine is what the platform tells a node of its machine and its bounds.
type Machine struct {
	Name       string
	DataCentre string
	Region     string
	Front      netip.AddrPort
	Ready      netip.AddrPort
	Store      netip.AddrPort
	// NodePort is free for what nodes say to each other.
	NodePort uint16
	Revoke   time.Duration
	Leave    time.Duration
	// BudgetShare is the part of the requests that may be repeats.
	BudgetShare float64
}

// Settings fills a settings template in.
func (m Machine) Settings(template string) (string, error) {
	return renderer.Render(template, map[string]any{
		"node": m.Name, "zone": m.DataCentre, "region": m.Region, "ipAddress": m.Front.Addr().String(),
		"zones":  map[string]any{m.DataCentre: m.Region},
		"listen": map[string]any{"front": m.Front.String(), "ready": m.Ready.String()},
		"bounds": map[string]any{
			"enforceRevocation": m.Revoke > 0, "revokeMs": m.Revoke.Milliseconds(), "drainMs": m.Leave.Milliseconds(), "retryBudgetRatio": m.BudgetShare,
		},
		"platform":          map[string]any{"address": m.Store.String()},
		"internalPortRange": []any{float64(m.NodePort), float64(m.NodePort)},
		"limits":            map[string]any{"linkMbps": bandwidthMbit},
	})
}
