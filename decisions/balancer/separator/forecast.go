package separator

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/quetzalroad/quetzalroad"
)

// kind is a service and whether the prompts are long.
type kind struct {
	service quetzalroad.ServiceName
	long    bool
}

// lineShard holds the lines of the services that hash to it.
type lineShard struct {
	mu sync.Mutex
	// lines is guarded by mu and made on first use.
	lines map[kind]*line
}

// line is the time to the first token as a straight line over the number of
// running requests, fitted to observations that fade.
type line struct {
	weight, x, y, xx, xy float64
}

const (
	// fade is what an observation's weight keeps at each further one.
	fade = 0.99
	// enoughWeight is the weight of observations from which a line holds.
	enoughWeight = 20
)

func (l *line) add(x, y float64) {
	l.weight = l.weight*fade + 1
	l.x = l.x*fade + x
	l.y = l.y*fade + y
	l.xx = l.xx*fade + x*x
	l.xy = l.xy*fade + x*y
}

// at gives the line's value; a slope that falls counts as level.
func (l *line) at(x float64) float64 {
	mean := l.x / l.weight
	slope := 0.0
	if spread := l.xx/l.weight - mean*mean; spread > 0 {
		slope = max(0, (l.xy/l.weight-mean*l.y/l.weight)/spread)
	}
	return max(0, l.y/l.weight+slope*(x-mean))
}

func (s *Separator) kindOf(r *quetzalroad.Request) kind {
	return kind{service: r.Service.Name, long: r.PromptTokens >= s.longPrompt}
}

func (s *Separator) lineShard(k kind) *lineShard {
	return &s.lines[xxhash.Sum64String(string(k.service))%divisionShards]
}

// Observe implements quetzalroad.Forecaster.
func (s *Separator) Observe(r *quetzalroad.Request, running int, took time.Duration) {
	if r.Model == "" {
		return
	}
	k := s.kindOf(r)
	sh := s.lineShard(k)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if sh.lines == nil {
		sh.lines = make(map[kind]*line)
	}
	l := sh.lines[k]
	if l == nil {
		l = new(line)
		sh.lines[k] = l
	}
	l.add(float64(running), took.Seconds())
}

// Forecast implements quetzalroad.Forecaster. Only long prompts are forecast:
// they crowd each other, while short ones find room beside those that run.
func (s *Separator) Forecast(now time.Time, r *quetzalroad.Request, candidates []quetzalroad.Upstream) (time.Duration, bool) {
	if r.Model == "" || r.PromptTokens < s.longPrompt || len(candidates) == 0 {
		return 0, false
	}
	u := s.Choose(now, r, candidates)
	running := s.load.Estimate(u.Name, now).Running
	k := s.kindOf(r)
	sh := s.lineShard(k)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	l := sh.lines[k]
	if l == nil || l.weight < enoughWeight {
		return 0, false
	}
	return time.Duration(l.at(float64(running)) * float64(time.Second)), true
}
