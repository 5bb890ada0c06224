package activitymapper

import (
	"cmp"
	"encoding/json"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/quetzalroad/quetzalroad"
)

// countsJSON holds the numbers of requests by team.
type countsJSON map[string]int

func encodeCounts(teams []quetzalroad.TeamUsage) countsJSON {
	counts := make(countsJSON, len(teams))
	for _, t := range teams {
		counts[string(t.Team)] = t.Requests
	}
	return counts
}

// decode returns the counts sorted by team.
func (c countsJSON) decode() ([]quetzalroad.TeamUsage, error) {
	var teams []quetzalroad.TeamUsage
	for team, requests := range c {
		if requests < 0 {
			return nil, errors.Newf("team %q has %d requests", team, requests)
		}
		teams = append(teams, quetzalroad.TeamUsage{Team: quetzalroad.TeamName(team), Requests: requests})
	}
	slices.SortFunc(teams, func(a, b quetzalroad.TeamUsage) int { return cmp.Compare(a.Team, b.Team) })
	return teams, nil
}

// usageStateJSON is the saved state of usage reports.
type usageStateJSON struct {
	DecidedThrough int64             `json:"decided-through"`
	Pending        []usageReportJSON `json:"pending,omitempty"`
}

type usageReportJSON struct {
	Window int64      `json:"window"`
	Teams  countsJSON `json:"teams"`
}

// EncodeUsageState encodes the state of usage reports.
func EncodeUsageState(s quetzalroad.UsageState) ([]byte, error) {
	j := usageStateJSON{DecidedThrough: int64(s.DecidedThrough)}
	for _, r := range s.Pending {
		j.Pending = append(j.Pending, usageReportJSON{Window: int64(r.Window), Teams: encodeCounts(r.Teams)})
	}
	data, err := json.Marshal(j)
	return data, errors.Wrap(err, "encode state of usage reports")
}

// DecodeUsageState decodes the state of usage reports.
func DecodeUsageState(data []byte) (quetzalroad.UsageState, error) {
	var j usageStateJSON
	if err := json.Unmarshal(data, &j); err != nil {
		return quetzalroad.UsageState{}, errors.Wrap(err, "decode state of usage reports")
	}
	state := quetzalroad.UsageState{DecidedThrough: quetzalroad.UsageWindow(j.DecidedThrough)}
	for _, r := range j.Pending {
		teams, err := r.Teams.decode()
		if err != nil {
			return quetzalroad.UsageState{}, errors.Wrapf(err, "usage of window %d", r.Window)
		}
		if r.Window > j.DecidedThrough || r.Window < 0 {
			return quetzalroad.UsageState{}, errors.Newf("the decided window %d is not among those through %d", r.Window, j.DecidedThrough)
		}
		state.Pending = append(state.Pending, quetzalroad.UsageReport{Window: quetzalroad.UsageWindow(r.Window), Teams: teams})
	}
	return state, nil
}
