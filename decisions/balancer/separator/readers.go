package separator

import (
	"math"
	"sort"

	"github.com/cespare/xxhash/v2"

	"github.com/quetzalroad/quetzalroad"
)

// readers picks the share of engines that reads long prompts, spread over the
// data centres in turn. All nodes that know the same engines pick the same.
func (s *Separator) readers(candidates []quetzalroad.Upstream) map[quetzalroad.UpstreamName]bool {
	byPlace := make(map[quetzalroad.DataCentre][]quetzalroad.Upstream)
	var places []quetzalroad.DataCentre
	for _, u := range candidates {
		if byPlace[u.DataCentre] == nil {
			places = append(places, u.DataCentre)
		}
		byPlace[u.DataCentre] = append(byPlace[u.DataCentre], u)
	}
	sort.Slice(places, func(i, j int) bool { return places[i] < places[j] })
	for _, list := range byPlace {
		sort.Slice(list, func(i, j int) bool { return rank(list[i]) < rank(list[j]) })
	}
	wanted := min(max(1, int(math.Round(s.readerShare*float64(len(candidates))))), len(candidates))
	chosen := make(map[quetzalroad.UpstreamName]bool, wanted)
	for turn := 0; len(chosen) < wanted; turn++ {
		for _, p := range places {
			if turn < len(byPlace[p]) && len(chosen) < wanted {
				chosen[byPlace[p][turn].Name] = true
			}
		}
	}
	return chosen
}

// rank orders the engines of a data centre by chance, the same on all nodes.
func rank(u quetzalroad.Upstream) uint64 {
	return spread(xxhash.Sum64String(string(u.Name)))
}
