package platformrunner

import (
	// Plug-ins of the deployment's nodes.
	_ "github.com/quetzalroad/quetzalroad/decisions/admitter/bypasser"
	_ "github.com/quetzalroad/quetzalroad/decisions/balancer/separator"
	_ "github.com/quetzalroad/quetzalroad/decisions/dispatcher"
	_ "github.com/quetzalroad/quetzalroad/decisions/limiter/bypasser"
	_ "github.com/quetzalroad/quetzalroad/decisions/predictor"
	_ "github.com/quetzalroad/quetzalroad/decisions/quarantiner"
	_ "github.com/quetzalroad/quetzalroad/decisions/retrier/budgeter"
	_ "github.com/quetzalroad/quetzalroad/decisions/spiller/disabler"
	_ "github.com/quetzalroad/quetzalroad/decisions/throttler"
	_ "github.com/quetzalroad/quetzalroad/platform/callermapper"
	_ "github.com/quetzalroad/quetzalroad/platform/statedecoder"
	_ "github.com/quetzalroad/quetzalroad/platform/storeclient"
	_ "github.com/quetzalroad/quetzalroad/platform/upstreammapper"
	_ "github.com/quetzalroad/quetzalroad/servers/forwardserver"
	_ "github.com/quetzalroad/quetzalroad/state/tracker"
	_ "github.com/quetzalroad/quetzalroad/state/watcher"
	_ "github.com/quetzalroad/quetzalroad/support/recorder"
	_ "github.com/quetzalroad/quetzalroad/upstreams/forwardclient"
)
