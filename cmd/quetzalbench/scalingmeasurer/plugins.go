package scalingmeasurer

import (
	// Plug-ins of the measured nodes.
	_ "github.com/quetzalroad/quetzalroad/decisions/admitter/prioritizer"
	_ "github.com/quetzalroad/quetzalroad/decisions/admitter/queuer"
	_ "github.com/quetzalroad/quetzalroad/decisions/balancer/estimator"
	_ "github.com/quetzalroad/quetzalroad/decisions/balancer/rotator"
	_ "github.com/quetzalroad/quetzalroad/decisions/dispatcher"
	_ "github.com/quetzalroad/quetzalroad/decisions/limiter/allocator"
	_ "github.com/quetzalroad/quetzalroad/decisions/limiter/bypasser"
	_ "github.com/quetzalroad/quetzalroad/decisions/predictor"
	_ "github.com/quetzalroad/quetzalroad/decisions/retrier/budgeter"
	_ "github.com/quetzalroad/quetzalroad/decisions/retrier/repeater"
	_ "github.com/quetzalroad/quetzalroad/decisions/spiller/disabler"
	_ "github.com/quetzalroad/quetzalroad/decisions/spiller/offloader"
	_ "github.com/quetzalroad/quetzalroad/peers/gossiper"
	_ "github.com/quetzalroad/quetzalroad/peers/peerconnector"
	_ "github.com/quetzalroad/quetzalroad/servers/adminserver"
	_ "github.com/quetzalroad/quetzalroad/state/claimer"
	_ "github.com/quetzalroad/quetzalroad/state/drainer"
	_ "github.com/quetzalroad/quetzalroad/state/follower"
	_ "github.com/quetzalroad/quetzalroad/state/logclient"
	_ "github.com/quetzalroad/quetzalroad/state/tracker"
	_ "github.com/quetzalroad/quetzalroad/state/vmclient"
	_ "github.com/quetzalroad/quetzalroad/support/recorder"
	_ "github.com/quetzalroad/quetzalroad/upstreams/engineconnector"
	_ "github.com/quetzalroad/quetzalroad/upstreams/serviceconnector"
)
