package faker

import (
	// These plug-ins register the components of a Deployment's nodes.
	_ "github.com/quetzalroad/quetzalroad/decisions/admitter/bypasser"
	_ "github.com/quetzalroad/quetzalroad/decisions/admitter/prioritizer"
	_ "github.com/quetzalroad/quetzalroad/decisions/admitter/queuer"
	_ "github.com/quetzalroad/quetzalroad/decisions/balancer/estimator"
	_ "github.com/quetzalroad/quetzalroad/decisions/balancer/rotator"
	_ "github.com/quetzalroad/quetzalroad/decisions/balancer/separator"
	_ "github.com/quetzalroad/quetzalroad/decisions/dispatcher"
	_ "github.com/quetzalroad/quetzalroad/decisions/limiter/allocator"
	_ "github.com/quetzalroad/quetzalroad/decisions/limiter/bypasser"
	_ "github.com/quetzalroad/quetzalroad/decisions/predictor"
	_ "github.com/quetzalroad/quetzalroad/decisions/quarantiner"
	_ "github.com/quetzalroad/quetzalroad/decisions/quarantiner/bypasser"
	_ "github.com/quetzalroad/quetzalroad/decisions/retrier/budgeter"
	_ "github.com/quetzalroad/quetzalroad/decisions/retrier/repeater"
	_ "github.com/quetzalroad/quetzalroad/decisions/spiller/disabler"
	_ "github.com/quetzalroad/quetzalroad/decisions/spiller/offloader"
	_ "github.com/quetzalroad/quetzalroad/peers/gossiper"
	_ "github.com/quetzalroad/quetzalroad/state/claimer"
	_ "github.com/quetzalroad/quetzalroad/state/drainer"
	_ "github.com/quetzalroad/quetzalroad/state/follower"
	_ "github.com/quetzalroad/quetzalroad/state/tracker"
	_ "github.com/quetzalroad/quetzalroad/state/watcher"
	_ "github.com/quetzalroad/quetzalroad/support/recorder"
)
