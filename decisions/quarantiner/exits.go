package quarantiner

import (
	"time"

	"github.com/quetzalroad/quetzalroad"
)

// alertExits is the number of upstreams whose recent exit makes a long alert.
const alertExits = 2

// shortAlert is how long the exit of a single upstream is an alert. A node with few requests notices few
// exits, while others may know of more.
const shortAlert = 6 * time.Second

// recentExits remembers the upstreams that exited last. The zero value is empty.
type recentExits struct {
	// last holds the last different upstreams, the latest first.
	last [alertExits]upstreamExit
}

type upstreamExit struct {
	upstream quetzalroad.UpstreamName
	at       time.Time
}

// add records an exit and reports whether it begins an alert.
func (r *recentExits) add(now time.Time, u quetzalroad.UpstreamName, window time.Duration) bool {
	for _, exit := range r.last {
		if exit.upstream == u {
			return false
		}
	}
	alert := r.isAlert(now, window)
	copy(r.last[1:], r.last[:])
	r.last[0] = upstreamExit{upstream: u, at: now}
	return !alert && r.isAlert(now, window)
}

// isAlert reports whether all remembered upstreams exited within the window, or one did a moment ago.
func (r *recentExits) isAlert(now time.Time, window time.Duration) bool {
	oldest, latest := r.last[alertExits-1].at, r.last[0].at
	return (!oldest.IsZero() && now.Sub(oldest) < window) || (!latest.IsZero() && now.Sub(latest) < min(shortAlert, window))
}
