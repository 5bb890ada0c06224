package checker

import (
	"encoding/json"
	"os"
	"strings"
	"testing"

	"github.com/quetzalroad/quetzalroad/kernel"
	"github.com/quetzalroad/quetzalroad/support/renderer"

	_ "github.com/quetzalroad/quetzalroad/decisions/admitter/bypasser"
	_ "github.com/quetzalroad/quetzalroad/decisions/balancer/separator"
	_ "github.com/quetzalroad/quetzalroad/decisions/dispatcher"
	_ "github.com/quetzalroad/quetzalroad/decisions/limiter/bypasser"
	_ "github.com/quetzalroad/quetzalroad/decisions/predictor"
	_ "github.com/quetzalroad/quetzalroad/decisions/retrier/budgeter"
	_ "github.com/quetzalroad/quetzalroad/decisions/scaler"
	_ "github.com/quetzalroad/quetzalroad/decisions/spiller/disabler"
	_ "github.com/quetzalroad/quetzalroad/decisions/usagereporter"
	_ "github.com/quetzalroad/quetzalroad/peers/readconnector"
	_ "github.com/quetzalroad/quetzalroad/platform/callermapper"
	_ "github.com/quetzalroad/quetzalroad/platform/commandclient"
	_ "github.com/quetzalroad/quetzalroad/platform/statedecoder"
	_ "github.com/quetzalroad/quetzalroad/platform/storeclient"
	_ "github.com/quetzalroad/quetzalroad/platform/upstreammapper"
	_ "github.com/quetzalroad/quetzalroad/servers/forwardserver"
	_ "github.com/quetzalroad/quetzalroad/state/activitypublisher"
	_ "github.com/quetzalroad/quetzalroad/state/distributor"
	_ "github.com/quetzalroad/quetzalroad/state/leaser"
	_ "github.com/quetzalroad/quetzalroad/state/streamtracker"
	_ "github.com/quetzalroad/quetzalroad/state/tracker"
	_ "github.com/quetzalroad/quetzalroad/state/watcher"
	_ "github.com/quetzalroad/quetzalroad/support/limitsetter"
	_ "github.com/quetzalroad/quetzalroad/support/recorder"
	_ "github.com/quetzalroad/quetzalroad/upstreams/forwardclient"
)

// machineFields are the platform's fields of one machine, in its documented format.
const machineFields = `{
 "node": "front-1", "zone": "zone-a", "region": "region-a", "ipAddress": "10.1.0.19",
 "zones": {"zone-a": "region-a", "zone-b": "region-b"},
 "listen": {"front": "10.1.0.19:8740", "ready": "10.1.0.19:8749"},
 "bounds": {"enforceRevocation": true, "revokeMs": 5000, "drainMs": 3000, "retryBudgetRatio": 0.2},
 "platform": {"address": "10.200.1.7:8742"}, "internalPortRange": [7200, 7215], "limits": {"linkMbps": 1000.0, "memoryMb": 112, "fileDescriptors": 4100}
}`

func TestDeployTemplateRendersValidSettings(t *testing.T) {
	template, err := os.ReadFile("../../../deploy/node.hujson")
	if err != nil {
		t.Fatal(err)
	}
	for _, enabled := range []bool{true, false} {
		var fields map[string]any
		if err := json.Unmarshal([]byte(machineFields), &fields); err != nil {
			t.Fatal(err)
		}
		bounds := fields["bounds"].(map[string]any)
		bounds["enforceRevocation"] = enabled
		if enabled {
			fields["cloud"] = map[string]any{"address": "10.200.1.8:8750", "dutyPerS": 50.0}
			bounds["leaseMs"], bounds["usageWindowS"], bounds["usageLateS"] = 3000.0, 5.0, 10.0
		}
		settings, err := renderer.Render(string(template), fields)
		if err != nil {
			t.Error(err)
		}
		if err := kernel.NewConfig().Load("node.hujson", []byte(settings)); err != nil {
			t.Errorf("%v\n%s", err, settings)
		}
		if got := strings.Contains(settings, `"leases": {"plugin": "log", "duration": "3000ms"}`); got != enabled {
			t.Errorf("leases are configured: %v, want %v", got, enabled)
		}
	}
}
