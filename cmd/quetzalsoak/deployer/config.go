package deployer

import (
	"net/http"
	"time"

	"github.com/quetzalroad/quetzalroad/cmd/quetzalemu/configbuilder"
	"github.com/quetzalroad/quetzalroad/cmd/quetzalsoak/checker"
)

// publishConfig writes the next configuration version. The caller holds mu unless no other goroutine uses d yet.
func (d *Deployment) publishConfig() {
	const versionStep = 3
	d.configVersion += versionStep
	config := configbuilder.Config{Version: d.configVersion, Services: []string{EngineService, ApplicationService, SecondApplicationService}, APIKeys: make(map[string]string)}
	for _, k := range d.validKeys {
		config.APIKeys[TeamForKey(k)] = k
	}
	for _, class := range Classes {
		service := EngineService
		if class.EventCount == 0 {
			service = d.applicationService
		}
		config.Routes = append(config.Routes, configbuilder.Route{
			Name: class.Name, Host: Host, Kind: class.routeKind, Service: service, Timeout: class.Timeout, Resumable: class.Retryable,
		})
	}
	text, err := config.Encode()
	if err != nil {
		d.logger.Error("failed to encode the configuration", "error", err)
		return
	}
	d.Store.PutConfig(text)
}

// TeamForKey returns the name of the team that owns a key.
func TeamForKey(key string) string { return "team-of-" + key }

// Class is a class of requests with its route.
type Class struct {
	checker.Class
	Method     string
	EventCount int
	routeKind  configbuilder.Kind
}

// Classes lists the classes of requests that callers send.
var Classes = []Class{
	{Class: checker.Class{Name: "draft", Retryable: true, Timeout: 6 * time.Second}, Method: http.MethodPost, EventCount: 20, routeKind: configbuilder.Streaming},
	{Class: checker.Class{Name: "chat", Timeout: 6 * time.Second}, Method: http.MethodPost, EventCount: 12, routeKind: configbuilder.Streaming},
	{Class: checker.Class{Name: "booking", Timeout: 2 * time.Second}, Method: http.MethodPost, routeKind: configbuilder.Unsafe},
	{Class: checker.Class{Name: "list", Retryable: true, Timeout: 2 * time.Second}, Method: http.MethodGet, routeKind: configbuilder.Safe},
}
