package watcher

import (
	"slices"

	"github.com/quetzalroad/quetzalroad"
)

// tierRanks holds the distinct tiers of a published state's teams and routes, in
// ascending order. The zero value is empty.
type tierRanks struct {
	teams  []quetzalroad.Tier
	routes []quetzalroad.Tier
}

func newTierRanks(state *quetzalroad.PublishedState) *tierRanks {
	r := new(tierRanks)
	for _, t := range state.Teams {
		if t.HasTier {
			r.teams = append(r.teams, t.Tier)
		}
	}
	for _, route := range state.Routes {
		r.routes = append(r.routes, route.Profile.Tier)
	}
	slices.Sort(r.teams)
	slices.Sort(r.routes)
	r.teams, r.routes = slices.Compact(r.teams), slices.Compact(r.routes)
	return r
}

// combine returns the tier of a request: teams are ranked first, and routes within
// a team's tier. A team without a tier of its own ranks with the most urgent ones.
func (r *tierRanks) combine(route quetzalroad.Tier, team quetzalroad.Team) quetzalroad.Tier {
	if len(r.teams) == 0 || len(r.routes) == 0 {
		return route
	}
	teamRank := 0
	if team.HasTier {
		teamRank, _ = slices.BinarySearch(r.teams, team.Tier)
	}
	routeRank, _ := slices.BinarySearch(r.routes, route)
	return min(quetzalroad.Tier(teamRank*len(r.routes)+routeRank), quetzalroad.LowestTier)
}

// EffectiveTier implements quetzalroad.RouteTable.
func (t *routeTable) EffectiveTier(route quetzalroad.Tier, team quetzalroad.Team) quetzalroad.Tier {
	if r := t.ranks.Load(); r != nil {
		return r.combine(route, team)
	}
	return route
}
