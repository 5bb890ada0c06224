package checker

import (
	"encoding/json"
	"os"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/quetzalroad/quetzalroad/kernel"

	_ "github.com/quetzalroad/quetzalroad/decisions/admitter/passer"
	_ "github.com/quetzalroad/quetzalroad/decisions/balancer/separator"
	_ "github.com/quetzalroad/quetzalroad/decisions/dispatcher"
	_ "github.com/quetzalroad/quetzalroad/decisions/learner"
	_ "github.com/quetzalroad/quetzalroad/decisions/limiter/passer"
	_ "github.com/quetzalroad/quetzalroad/decisions/retrier/budgeter"
	_ "github.com/quetzalroad/quetzalroad/decisions/spiller/stayer"
	_ "github.com/quetzalroad/quetzalroad/faces/forwardserver"
	_ "github.com/quetzalroad/quetzalroad/peers/readconnector"
	_ "github.com/quetzalroad/quetzalroad/platform/callermapper"
	_ "github.com/quetzalroad/quetzalroad/platform/entrymapper"
	_ "github.com/quetzalroad/quetzalroad/platform/storeclient"
	_ "github.com/quetzalroad/quetzalroad/platform/upstreammapper"
	_ "github.com/quetzalroad/quetzalroad/state/distributor"
	_ "github.com/quetzalroad/quetzalroad/state/tracker"
	_ "github.com/quetzalroad/quetzalroad/state/watcher"
	_ "github.com/quetzalroad/quetzalroad/support/counter"
	_ "github.com/quetzalroad/quetzalroad/upstreams/relayer"
)

// machine is what the platform knows of one machine, as its page shows it.
const machine = `{
 "node": "front-1", "zone": "zone-a", "region": "region-a", "ipAddress": "10.1.0.19",
 "zones": {"zone-a": "region-a", "zone-b": "region-b"},
 "listen": {"front": "10.1.0.19:8740", "ready": "10.1.0.19:8749"},
 "bounds": {"enforceRevocation": true, "revokeMs": 5000, "drainMs": 3000, "retryBudgetRatio": 0.2},
 "platform": {"address": "10.200.1.7:8742"}, "internalPortRange": [7200, 7215], "limits": {"linkMbps": 1000.0}
}`

var (
	section = regexp.MustCompile(`(?s)\{\{([#^])([\w.]+)\}\}(.*?)\{\{/([\w.]+)\}\}`)
	value   = regexp.MustCompile(`\{\{([\w.]+)(\|json)?\}\}`)
)

func lookUp(fields map[string]any, path string) any {
	var at any = fields
	for name := range strings.SplitSeq(path, ".") {
		switch v := at.(type) {
		case map[string]any:
			at = v[name]
		case []any:
			i, err := strconv.Atoi(name)
			if err != nil || i >= len(v) {
				return nil
			}
			at = v[i]
		}
	}
	return at
}

func plain(v any) string {
	if text, ok := v.(string); ok {
		return text
	}
	data, _ := json.Marshal(v)
	return string(data)
}

// render fills a template in as the platform's page says, as far as ours goes.
func render(t *testing.T, template string, fields map[string]any) string {
	t.Helper()
	template = section.ReplaceAllStringFunc(template, func(text string) string {
		m := section.FindStringSubmatch(text)
		v := lookUp(fields, m[2])
		if m[2] != m[4] {
			t.Errorf("section %s ends as %s", m[2], m[4])
		}
		there := v != nil && v != false
		if (m[1] == "^") == there {
			return ""
		}
		table, ok := v.(map[string]any)
		if !ok {
			return m[3]
		}
		var keys []string
		for key := range table {
			keys = append(keys, key)
		}
		slices.Sort(keys)
		var all strings.Builder
		for i, key := range keys {
			comma := ","
			if i == len(keys)-1 {
				comma = ""
			}
			all.WriteString(strings.NewReplacer("{{@}}", key, "{{.}}", plain(table[key]), "{{,}}", comma).Replace(m[3]))
		}
		return all.String()
	})
	return value.ReplaceAllStringFunc(template, func(text string) string {
		m := value.FindStringSubmatch(text)
		v := lookUp(fields, m[1])
		if v == nil {
			t.Errorf("%s has no value", m[1])
		}
		if m[2] != "" {
			data, err := json.Marshal(v)
			if err != nil {
				t.Error(err)
			}
			return string(data)
		}
		return plain(v)
	})
}

func TestTheDeployTemplateGivesSettingsWithoutFindings(t *testing.T) {
	template, err := os.ReadFile("../../../deploy/node.hujson")
	if err != nil {
		t.Fatal(err)
	}
	for _, enforced := range []bool{true, false} {
		var fields map[string]any
		if err := json.Unmarshal([]byte(machine), &fields); err != nil {
			t.Fatal(err)
		}
		fields["bounds"].(map[string]any)["enforceRevocation"] = enforced
		settings := render(t, string(template), fields)
		if err := kernel.NewPlan().Read("node.hujson", []byte(settings)); err != nil {
			t.Errorf("%v\n%s", err, settings)
		}
	}
}
