package main

import (
	"encoding/json"
	"fmt"
	"time"
)

// tenant is a tenant of a config.
type tenant struct {
	Name    string   `json:"name"`
	APIKeys []string `json:"apiKeys"`
}

// The routes of all cases, by path prefix.
const (
	orderPath  = "/order/"
	listPath   = "/list/"
	publicPath = "/public/"
)

// The services of the cases. Routes lead to the first one unless a case moves them.
const (
	service      = "pantry-api"
	otherService = "pantry-api-2"
)

// configText returns a config in the form that the store accepts from the operator, whose routes lead to a service.
// extra is the number of routes besides the usual ones.
func configText(version int, tenants []tenant, target string, extra int) string {
	route := func(name, prefix, kind string, anonymous bool) map[string]any {
		return map[string]any{
			"name": name, "host": host, "pathPrefix": prefix, "kind": kind, "timeoutMs": 4000, "targetLatencyMs": 200,
			"priority": 1, "service": target, "maxAttempts": 1, "allowAnonymous": anonymous,
			"stickySessions": false, "resumeStreams": false,
		}
	}
	plain := func(name string) map[string]any {
		return map[string]any{"name": name, "healthCheckPath": "/health", "connectionLimit": 100, "protocol": "h1", "tls": false}
	}
	routes := []any{route("r-order", orderPath, "unsafe", false), route("r-list", listPath, "safe", false), route("r-public", publicPath, "safe", true)}
	for i := range extra {
		routes = append(routes, route(fmt.Sprintf("r-%d", i), extraPath(i), "unsafe", false))
	}
	text, err := json.Marshal(map[string]any{
		"version":  version,
		"routes":   routes,
		"services": []any{plain(service), plain(otherService)},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  tenants,
	})
	if err != nil {
		panic(err)
	}
	return string(text)
}

// extraPath returns the path prefix of one of the routes besides the usual ones.
func extraPath(i int) string {
	return fmt.Sprintf("/x%d/", i)
}

// publishMany writes a config with many more routes, and returns when it was acknowledged.
func (l *lab) publishMany(s *store, version int, tenants []tenant, extra int) time.Time {
	text := configText(version, tenants, service, extra)
	at := s.put("keyed.op", "config", text)
	l.note("operator: config version %d acknowledged, %d routes more, %d bytes", version, extra, len(text))
	return at
}

// publish writes a config as the operator does, and returns when it was acknowledged.
func (l *lab) publish(s *store, version int, tenants []tenant) time.Time {
	at := s.put("keyed.op", "config", configText(version, tenants, service, 0))
	l.note("operator: config version %d acknowledged, tenants %v", version, tenants)
	return at
}

// publishEngines writes a config with routes to model servers, and returns when it was acknowledged.
func (l *lab) publishEngines(s *store, version int, tenants []tenant) time.Time {
	route := func(name, prefix string, attempts int, resume bool) map[string]any {
		return map[string]any{
			"name": name, "host": host, "pathPrefix": prefix, "kind": "streaming", "timeoutMs": 5000, "targetLatencyMs": 600,
			"priority": 1, "service": engineService, "maxAttempts": attempts, "allowAnonymous": false, "stickySessions": true,
			"resumeStreams": resume, "gapTargetMs": 400,
		}
	}
	text, err := json.Marshal(map[string]any{
		"version": version,
		"routes":  []any{route("r-draft", draftPath, 2, true), route("r-chat", chatPath, 1, false)},
		"services": []any{map[string]any{
			"name": engineService, "healthCheckPath": "/health", "connectionLimit": 360, "protocol": "h1", "tls": false,
			"engine": map[string]any{"slots": 64, "kvCacheTokens": 544780, "models": []any{map[string]any{"name": "m"}}},
		}},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": tenants,
	})
	if err != nil {
		panic(err)
	}
	at := s.put("keyed.op", "config", string(text))
	l.note("operator: config version %d acknowledged, routes to model servers", version)
	return at
}

// publishMove writes a config whose routes lead to the other service, and returns when it was acknowledged.
func (l *lab) publishMove(s *store, version int, tenants []tenant) time.Time {
	at := s.put("keyed.op", "config", configText(version, tenants, otherService, 0))
	l.note("operator: config version %d acknowledged, all routes moved to %s", version, otherService)
	return at
}
