package watcher

import (
	"slices"

	"github.com/quetzalroad/quetzalroad"
)

// ranks holds the tiers that occur in a published state, in order. The zero
// value has none.
type ranks struct {
	teams  []quetzalroad.Tier
	routes []quetzalroad.Tier
}

func rank(state *quetzalroad.PublishedState) *ranks {
	r := new(ranks)
	for _, t := range state.Teams {
		if t.HasTier {
			r.teams = append(r.teams, t.Tier)
		}
	}
	for _, v := range state.Routes {
		r.routes = append(r.routes, v.Profile.Tier)
	}
	slices.Sort(r.teams)
	slices.Sort(r.routes)
	r.teams, r.routes = slices.Compact(r.teams), slices.Compact(r.routes)
	return r
}

// tier ranks teams first and routes within a team's tier. A team without a tier
// of its own stands with the most urgent ones.
func (r *ranks) tier(route quetzalroad.Tier, team quetzalroad.Team) quetzalroad.Tier {
	if len(r.teams) == 0 || len(r.routes) == 0 {
		return route
	}
	first := 0
	if team.HasTier {
		first, _ = slices.BinarySearch(r.teams, team.Tier)
	}
	second, _ := slices.BinarySearch(r.routes, route)
	return min(quetzalroad.Tier(first*len(r.routes)+second), quetzalroad.LowestTier)
}

// EffectiveTier implements quetzalroad.RouteTable.
func (t *routeTable) EffectiveTier(route quetzalroad.Tier, team quetzalroad.Team) quetzalroad.Tier {
	if r := t.ranks.Load(); r != nil {
		return r.tier(route, team)
	}
	return route
}
