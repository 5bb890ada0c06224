package deployer

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/quetzalroad/quetzalroad/cmd/quetzalsoak/judge"
)

// publish writes the next version of the config, as far as the soak needs it.
// Its callers hold mu or are alone.
func (d *Deployment) publish() {
	d.version += 3
	tenants := make([]map[string]any, 0, len(d.keys))
	for _, k := range d.keys {
		tenants = append(tenants, map[string]any{"name": TeamOf(k), "apiKeys": []string{k}, "priority": 1})
	}
	route := func(name, kind, service string, timeout time.Duration, more map[string]any) map[string]any {
		r := map[string]any{
			"name": name, "host": Host, "pathPrefix": "/" + name + "/", "kind": kind, "timeoutMs": timeout.Milliseconds(),
			"targetLatencyMs": 400, "priority": 1, "service": service, "maxAttempts": 2,
		}
		for k, v := range more {
			r[k] = v
		}
		return r
	}
	routes := make([]map[string]any, 0, len(Classes))
	for _, c := range Classes {
		service := Engines
		if c.Events == 0 {
			service = d.service
		}
		routes = append(routes, route(c.Name, c.kind, service, c.Timeout, c.more))
	}
	data, err := json.Marshal(map[string]any{
		"version": d.version, "routes": routes, "tenants": tenants,
		"services": []map[string]any{{"name": Engines, "connectionLimit": 300}, {"name": Application, "connectionLimit": 100}, {"name": SecondApplication, "connectionLimit": 100}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 1 << 20, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	if err != nil {
		d.logger.Error("config not written", "error", err)
		return
	}
	d.Store.Put("keyed.op", "config", string(data))
}

// TeamOf names the team of a key.
func TeamOf(key string) string { return "team-of-" + key }

// Class is a kind of request of the soak.
type Class struct {
	judge.Class
	Method string
	Events int
	kind   string
	more   map[string]any
}

// Classes lists the kinds of requests.
var Classes = []Class{
	{Class: judge.Class{Name: "draft", Repeatable: true, Timeout: 6 * time.Second}, Method: http.MethodPost, Events: 20, kind: "streaming", more: map[string]any{"stickySessions": true, "resumeStreams": true, "gapTargetMs": 400}},
	{Class: judge.Class{Name: "chat", Timeout: 6 * time.Second}, Method: http.MethodPost, Events: 12, kind: "streaming", more: map[string]any{"stickySessions": true, "gapTargetMs": 250}},
	{Class: judge.Class{Name: "booking", Timeout: 2 * time.Second}, Method: http.MethodPost, kind: "unsafe"},
	{Class: judge.Class{Name: "list", Repeatable: true, Timeout: 2 * time.Second}, Method: http.MethodGet, kind: "safe"},
}
