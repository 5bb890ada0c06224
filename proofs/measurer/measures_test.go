package measurer

import (
	"sort"
	"time"

	"github.com/quetzalroad/quetzalroad"
)

// The measures that a user's score weighs. In all of them less is better.
const (
	crestMiss  = "missed at the crest, chat %"
	tailSlowed = "p99 chat first token, fifth slowed, ms"
	blocking   = "p99 chat first token behind drafts, ms"
	waste      = "wasted tokens %"
)

// crestWindow is the span of the worst attainment.
const crestWindow = 5 * time.Second

// of gives the answers of a profile.
func (o outcome) of(profile quetzalroad.ProfileName) []answer {
	var some []answer
	for _, a := range o.answers {
		if a.profile == profile {
			some = append(some, a)
		}
	}
	sort.Slice(some, func(i, j int) bool { return some[i].at < some[j].at })
	return some
}

// inTarget tells that an answer came whole, began in time and, if it is a
// chat, went on at its pace.
func inTarget(a answer, target time.Duration) bool {
	if a.err != nil || a.first == 0 || a.first > target {
		return false
	}
	return a.profile != "chat" || a.pace <= tokenTarget
}

// attained gives the share of answers in target.
func attained(answers []answer, target time.Duration) float64 {
	if len(answers) == 0 {
		return 1
	}
	good := 0
	for _, a := range answers {
		if inTarget(a, target) {
			good++
		}
	}
	return float64(good) / float64(len(answers))
}

// crest gives the attainment in the worst window, by time of arrival.
func crest(answers []answer, target time.Duration) float64 {
	worst := 1.0
	for i := range answers {
		end := i
		for end < len(answers) && answers[end].at < answers[i].at+crestWindow {
			end++
		}
		// A window at the end of the run holds too few to judge by.
		if end == len(answers) {
			break
		}
		worst = min(worst, attained(answers[i:end], target))
	}
	return worst
}

// firstToken gives a quantile of the time to a first token, counting what had
// none as the whole time it took to be refused or the span of a minute.
func firstToken(answers []answer, quantile float64) time.Duration {
	var all []time.Duration
	for _, a := range answers {
		if a.err == nil {
			all = append(all, a.first)
		}
	}
	if len(all) == 0 {
		return time.Minute
	}
	sort.Slice(all, func(i, j int) bool { return all[i] < all[j] })
	return all[min(len(all)-1, int(quantile*float64(len(all))))]
}

// goodput gives the answers in target a second.
func (o outcome) goodput(targets map[quetzalroad.ProfileName]time.Duration) float64 {
	good := 0
	for _, a := range o.answers {
		if inTarget(a, targets[a.profile]) {
			good++
		}
	}
	return float64(good) / o.span.Seconds()
}

// wastedShare gives the wasted of the generated tokens.
func (o outcome) wastedShare() float64 {
	if o.generated == 0 {
		return 0
	}
	return float64(o.wasted) / float64(o.generated)
}

// refusedShare gives the share of answers that were refused.
func refusedShare(answers []answer) float64 {
	if len(answers) == 0 {
		return 0
	}
	refused := 0
	for _, a := range answers {
		if a.err != nil {
			refused++
		}
	}
	return float64(refused) / float64(len(answers))
}
