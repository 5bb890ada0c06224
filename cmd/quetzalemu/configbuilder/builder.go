// Package configbuilder builds what the operators of the users' platform provide, as its published
// page specifies it: the config that they write to the store, and the settings of a node, rendered
// as the platform does.
package configbuilder

import (
	"encoding/json"
	"net/netip"
	"time"

	"github.com/quetzalroad/quetzalroad/support/renderer"
)

// ReadinessPath is the path of a node's readiness check.
const ReadinessPath = "/readiness"

// Kind is the kind of a route, which determines whether its requests may be retried.
type Kind string

// The kinds of routes.
const (
	Safe      Kind = "safe"
	Unsafe    Kind = "unsafe"
	Streaming Kind = "streaming"
)

// Route routes requests with the path prefix /NAME/ to a service.
type Route struct {
	Name    string
	Host    string
	Kind    Kind
	Service string
	Timeout time.Duration
	// Resumable reports whether an interrupted stream may be resumed at another server.
	Resumable bool
}

// Config is one version of the platform's config.
type Config struct {
	Version  int
	Routes   []Route
	Services []string
	// APIKeys holds the one API key of each team.
	APIKeys map[string]string
}

const (
	targetLatency  = 400 * time.Millisecond
	eventGapTarget = 400 * time.Millisecond
	maxAttempts    = 2
	// connectionLimit is the number of connections that each server of a service accepts.
	connectionLimit = 300
	maxHeaderBytes  = 16 << 10
	maxBodyBytes    = 1 << 20
	headerTimeout   = 3 * time.Second
	idleTimeout     = 15 * time.Second
	teamPriority    = 1
	routePriority   = 1
	// linkMbps is the capacity of a node's network link in Mbit/s.
	linkMbps = 1000.0
	// memoryMB and fileDescriptors are the limits of a node's process, those of a small VM.
	memoryMB        = 184.0
	fileDescriptors = 4100.0
)

// Encode returns the config in the JSON form that is written to the store.
func (c Config) Encode() (string, error) {
	routes := make([]map[string]any, 0, len(c.Routes))
	for _, r := range c.Routes {
		route := map[string]any{
			"name": r.Name, "host": r.Host, "pathPrefix": "/" + r.Name + "/", "kind": r.Kind, "timeoutMs": r.Timeout.Milliseconds(),
			"targetLatencyMs": targetLatency.Milliseconds(), "priority": routePriority, "service": r.Service, "maxAttempts": maxAttempts,
		}
		if r.Kind == Streaming {
			route["stickySessions"], route["gapTargetMs"], route["resumeStreams"] = true, eventGapTarget.Milliseconds(), r.Resumable
		}
		routes = append(routes, route)
	}
	services := make([]map[string]any, 0, len(c.Services))
	for _, s := range c.Services {
		services = append(services, map[string]any{"name": s, "connectionLimit": connectionLimit})
	}
	tenants := make([]map[string]any, 0, len(c.APIKeys))
	for team, key := range c.APIKeys {
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

// NodeParameters are the values that the platform sets for a node: its VM, addresses and limits.
type NodeParameters struct {
	Name             string
	DataCentre       string
	Region           string
	CallerAddress    netip.AddrPort
	ReadinessAddress netip.AddrPort
	StoreAddress     netip.AddrPort
	// PeerPort is the only port of the range that is reserved for traffic between nodes.
	PeerPort          uint16
	RevocationTimeout time.Duration
	DrainTimeout      time.Duration
	// RetryBudgetRatio is the highest share of requests that may be retries.
	RetryBudgetRatio float64
}

// RenderSettings renders a template of the node's settings.
func (p NodeParameters) RenderSettings(template string) (string, error) {
	return renderer.Render(template, map[string]any{
		"node": p.Name, "zone": p.DataCentre, "region": p.Region, "ipAddress": p.CallerAddress.Addr().String(),
		"zones":  map[string]any{p.DataCentre: p.Region},
		"listen": map[string]any{"front": p.CallerAddress.String(), "ready": p.ReadinessAddress.String()},
		"bounds": map[string]any{
			"enforceRevocation": p.RevocationTimeout > 0, "revokeMs": p.RevocationTimeout.Milliseconds(), "drainMs": p.DrainTimeout.Milliseconds(), "retryBudgetRatio": p.RetryBudgetRatio,
		},
		"platform":          map[string]any{"address": p.StoreAddress.String()},
		"internalPortRange": []any{float64(p.PeerPort), float64(p.PeerPort)},
		"limits":            map[string]any{"linkMbps": linkMbps, "memoryMb": memoryMB, "fileDescriptors": fileDescriptors},
	})
}
