package measurer

import (
	"sort"
	"time"

	"github.com/quetzalroad/quetzalroad"
)

// The measures that a user's score weighs. In all of them less is better.
const (
	worstWindowMiss    = "missed at the crest, chat %"
	slowedTail         = "p99 chat first token, fifth slowed, ms"
	headOfLineBlocking = "p99 chat first token behind drafts, ms"
	tokenWaste         = "wasted tokens %"
)

// attainmentWindow is the span of the worst attainment.
const attainmentWindow = 5 * time.Second

// of gives the answers of a profile.
func (r result) responsesOf(profile quetzalroad.ProfileName) []response {
	var selected []response
	for _, a := range r.responses {
		if a.profile == profile {
			selected = append(selected, a)
		}
	}
	sort.Slice(selected, func(i, j int) bool { return selected[i].at < selected[j].at })
	return selected
}

// meetsTarget tells that an answer came whole, began in time and, if it is a
// chat, went on at its pace.
func meetsTarget(r response, target time.Duration) bool {
	if r.err != nil || r.firstTokenTime == 0 || r.firstTokenTime > target {
		return false
	}
	return r.profile != "chat" || r.interTokenTime <= interTokenTarget
}

// attainment gives the share of answers in target.
func attainment(responses []response, target time.Duration) float64 {
	if len(responses) == 0 {
		return 1
	}
	met := 0
	for _, r := range responses {
		if meetsTarget(r, target) {
			met++
		}
	}
	return float64(met) / float64(len(responses))
}

// worstWindowAttainment gives the attainment in the worst window, by time of arrival.
func worstWindowAttainment(responses []response, target time.Duration) float64 {
	worst := 1.0
	for i := range responses {
		end := i
		for end < len(responses) && responses[end].at < responses[i].at+attainmentWindow {
			end++
		}
		// A window at the end of the run holds too few to judge by.
		if end == len(responses) {
			break
		}
		worst = min(worst, attainment(responses[i:end], target))
	}
	return worst
}

// firstTokenQuantile gives a quantile of the time to a first token, counting what had
// none as the whole time it took to be refused or the span of a minute.
func firstTokenQuantile(responses []response, quantile float64) time.Duration {
	var times []time.Duration
	for _, r := range responses {
		if r.err == nil {
			times = append(times, r.firstTokenTime)
		}
	}
	if len(times) == 0 {
		return time.Minute
	}
	sort.Slice(times, func(i, j int) bool { return times[i] < times[j] })
	return times[min(len(times)-1, int(quantile*float64(len(times))))]
}

// goodput gives the answers in target a second.
func (r result) goodput(targets map[quetzalroad.ProfileName]time.Duration) float64 {
	met := 0
	for _, response := range r.responses {
		if meetsTarget(response, targets[response.profile]) {
			met++
		}
	}
	return float64(met) / r.duration.Seconds()
}

// wastedShare gives the wasted of the generated tokens.
func (r result) wastedShare() float64 {
	if r.generatedTokens == 0 {
		return 0
	}
	return float64(r.wastedTokens) / float64(r.generatedTokens)
}

// refusalRate gives the share of answers that were refused.
func refusalRate(responses []response) float64 {
	if len(responses) == 0 {
		return 0
	}
	refused := 0
	for _, r := range responses {
		if r.err != nil {
			refused++
		}
	}
	return float64(refused) / float64(len(responses))
}
