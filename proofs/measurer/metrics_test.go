package measurer

import (
	"sort"
	"time"

	"github.com/quetzalroad/quetzalroad"
)

// The penalties that a user's score weighs. Lower is better in all of them.
const (
	worstWindowMiss    = "chats that miss the target in the worst window, %"
	slowedTail         = "p99 first token of chat, a fifth slowed, 0.1 s"
	headOfLineBlocking = "p99 first token of chat behind drafts, 0.1 s"
	tokenWaste         = "wasted tokens %"
)

// attainmentWindow is the length of the windows whose worst attainment is measured.
const attainmentWindow = 5 * time.Second

// responsesOf returns the responses of a profile in order of arrival of their requests.
func (r result) responsesOf(profile quetzalroad.ProfileName) []response {
	var selected []response
	for _, resp := range r.responses {
		if resp.profile == profile {
			selected = append(selected, resp)
		}
	}
	sort.Slice(selected, func(i, j int) bool { return selected[i].at < selected[j].at })
	return selected
}

// meetsTarget reports whether a response completed, its first token met the target and, for a
// chat, its mean inter-token time met interTokenTarget.
func meetsTarget(r response, target time.Duration) bool {
	if r.err != nil || r.firstTokenTime == 0 || r.firstTokenTime > target {
		return false
	}
	return r.profile != "chat" || r.interTokenTime <= interTokenTarget
}

// attainment returns the share of responses that meet their target.
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

// worstWindowAttainment returns the lowest attainment of any window of arrivals.
func worstWindowAttainment(responses []response, target time.Duration) float64 {
	worst := 1.0
	for i := range responses {
		end := i
		for end < len(responses) && responses[end].at < responses[i].at+attainmentWindow {
			end++
		}
		// The windows at the end of the run are incomplete and hold too few requests.
		if end == len(responses) {
			break
		}
		worst = min(worst, attainment(responses[i:end], target))
	}
	return worst
}

// firstTokenQuantile returns a quantile of the time to first token of the completed responses, or
// one minute if there are none.
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

// goodput returns the number of responses per second that meet their target.
func (r result) goodput(targets map[quetzalroad.ProfileName]time.Duration) float64 {
	met := 0
	for _, response := range r.responses {
		if meetsTarget(response, targets[response.profile]) {
			met++
		}
	}
	return float64(met) / r.duration.Seconds()
}

// wastedShare returns the share of generated tokens that were wasted.
func (r result) wastedShare() float64 {
	if r.generatedTokens == 0 {
		return 0
	}
	return float64(r.wastedTokens) / float64(r.generatedTokens)
}

// refusalRate returns the share of requests that failed.
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
