package faker

import (
	// The nodes of a fake deployment are built from these.
	_ "github.com/quetzalroad/quetzalroad/admitter/prioritizer"
	_ "github.com/quetzalroad/quetzalroad/admitter/queuer"
	_ "github.com/quetzalroad/quetzalroad/balancer/estimator"
	_ "github.com/quetzalroad/quetzalroad/balancer/rotator"
	_ "github.com/quetzalroad/quetzalroad/claimer"
	_ "github.com/quetzalroad/quetzalroad/counter"
	_ "github.com/quetzalroad/quetzalroad/dispatcher"
	_ "github.com/quetzalroad/quetzalroad/drainer"
	_ "github.com/quetzalroad/quetzalroad/follower"
	_ "github.com/quetzalroad/quetzalroad/gossiper"
	_ "github.com/quetzalroad/quetzalroad/learner"
	_ "github.com/quetzalroad/quetzalroad/limiter/passer"
	_ "github.com/quetzalroad/quetzalroad/limiter/sharer"
	_ "github.com/quetzalroad/quetzalroad/retrier/budgeter"
	_ "github.com/quetzalroad/quetzalroad/retrier/repeater"
	_ "github.com/quetzalroad/quetzalroad/spiller/sender"
	_ "github.com/quetzalroad/quetzalroad/spiller/stayer"
	_ "github.com/quetzalroad/quetzalroad/tracker"
)
