package main

import (
	"encoding/json"
	"fmt"
)

// The services of the deployment.
const (
	engineService      = "list-llm"
	applicationService = "pantry-api"
)

// Paths of the routes.
const (
	chatPath  = "/chat/"
	orderPath = "/order/"
	fetchPath = "/fetch/"
)

// eventsOfChat is the number of events of a chat.
const eventsOfChat = 58

// publish has the operator write a config. Each tenant has the keys that are named for it.
func (w *world) publish(version int, keysByTenant map[string][]string) {
	value := configValue(version, keysByTenant)
	w.store.put("keyed.op", "config", value)
	w.recordf("the store acknowledges config %d with the keys %v", version, keysByTenant)
}

func configValue(version int, keysByTenant map[string][]string) string {
	route := func(name, path, kind, service string, timeoutMs, attempts int) map[string]any {
		return map[string]any{
			"name": name, "host": host, "pathPrefix": path, "kind": kind, "service": service, "timeoutMs": timeoutMs,
			"targetLatencyMs": 400, "priority": 1, "maxAttempts": attempts,
		}
	}
	chat := route("chat", chatPath, "streaming", engineService, 15000, 2)
	chat["stickySessions"], chat["resumeStreams"], chat["gapTargetMs"] = true, true, 250
	tenants := []map[string]any{}
	for name, keys := range keysByTenant {
		tenants = append(tenants, map[string]any{"name": name, "apiKeys": keys, "priority": 1})
	}
	value, err := json.Marshal(map[string]any{
		"version": version,
		"routes": []any{
			chat, route("order", orderPath, "unsafe", applicationService, 2000, 1), route("fetch", fetchPath, "safe", applicationService, 2000, 2),
		},
		"services": []any{
			map[string]any{"name": engineService, "connectionLimit": 360, "engine": map[string]any{"kvCacheTokens": 544780, "models": []any{map[string]any{"name": "m"}}}},
			map[string]any{"name": applicationService, "connectionLimit": 100},
		},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": tenants,
	})
	if err != nil {
		panic(fmt.Sprintf("a config of plain values can always be encoded: %v", err))
	}
	return string(value)
}
