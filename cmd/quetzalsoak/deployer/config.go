package deployer

import (
	"net/http"
	"time"

	"github.com/quetzalroad/quetzalroad/cmd/quetzalemu/configbuilder"
	"github.com/quetzalroad/quetzalroad/cmd/quetzalsoak/judge"
)

// publish writes the next version of the config. Its callers hold mu or are
// alone.
func (d *Deployment) publish() {
	const versionStep = 3
	d.version += versionStep
	c := configbuilder.Config{Version: d.version, Services: []string{Engines, Application, SecondApplication}, APIKeys: make(map[string]string)}
	for _, k := range d.keys {
		c.APIKeys[TeamOf(k)] = k
	}
	for _, class := range Classes {
		service := Engines
		if class.Events == 0 {
			service = d.service
		}
		c.Routes = append(c.Routes, configbuilder.Route{
			Name: class.Name, Host: Host, Kind: class.kind, Service: service, Timeout: class.Timeout, Resumable: class.Repeatable,
		})
	}
	text, err := c.Encode()
	if err != nil {
		d.logger.Error("config not written", "error", err)
		return
	}
	d.Store.PutConfig(text)
}

// TeamOf names the team of a key.
func TeamOf(key string) string { return "team-of-" + key }

// Class is a kind of request of the soak.
type Class struct {
	judge.Class
	Method string
	Events int
	kind   configbuilder.Kind
}

// Classes lists the kinds of requests.
var Classes = []Class{
	{Class: judge.Class{Name: "draft", Repeatable: true, Timeout: 6 * time.Second}, Method: http.MethodPost, Events: 20, kind: configbuilder.Streaming},
	{Class: judge.Class{Name: "chat", Timeout: 6 * time.Second}, Method: http.MethodPost, Events: 12, kind: configbuilder.Streaming},
	{Class: judge.Class{Name: "booking", Timeout: 2 * time.Second}, Method: http.MethodPost, kind: configbuilder.Unsafe},
	{Class: judge.Class{Name: "list", Repeatable: true, Timeout: 2 * time.Second}, Method: http.MethodGet, kind: configbuilder.Safe},
}
