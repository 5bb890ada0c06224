// Package shedder admits requests at once, and refuses at once those that would
// come too late: where the forecast of the first token lies beyond the target,
// one more request would make those behind it late as well.
package shedder

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/kernel"
	"github.com/quetzalroad/quetzalroad/support/configurer"
)

func init() {
	kernel.Register(kernel.Plugin{
		Slot: kernel.SlotAdmitter, Name: "shedder",
		New: func() kernel.Part { return new(Shedder) },
	})
}

// Shedder is the part that admits.
type Shedder struct {
	logger     *slog.Logger
	capacity   quetzalroad.CapacityEstimator
	forecaster quetzalroad.Forecaster
	lateFactor float64
	minRetry   time.Duration
	maxRetry   time.Duration
}

// Declare implements kernel.Part.
func (s *Shedder) Declare(c *configurer.Section) {
	c.Float("late-factor", &s.lateFactor, 1, 0.01, 1000, "Forecast, as a multiple of the target, beyond which a request is refused.")
	c.Duration("min-retry", &s.minRetry, 300*time.Millisecond, 0, time.Minute, "Shortest time after which a refused caller is asked to come back.")
	c.Duration("max-retry", &s.maxRetry, 1500*time.Millisecond, 0, time.Minute, "Longest time after which a refused caller is asked to come back.")
}

// Build implements kernel.Part.
func (s *Shedder) Build(n *kernel.Node) error {
	if n.Forecaster == nil {
		return errors.New("the shedder needs a balancer that forecasts")
	}
	s.logger = n.Logger
	s.capacity = n.Capacity
	s.forecaster = n.Forecaster
	n.Admitter = s
	return nil
}

// Admit implements quetzalroad.Admitter.
func (s *Shedder) Admit(_ context.Context, r *quetzalroad.Request) (quetzalroad.Admission, error) {
	now := time.Now()
	expected, ok := s.forecaster.Forecast(now, r, s.capacity.Candidates(now, r.Service.Name, nil))
	if !ok {
		return new(admission), nil
	}
	bound := time.Duration(s.lateFactor*float64(r.Profile.FirstTokenTarget)) - now.Sub(r.Arrived)
	if expected <= bound {
		return new(admission), nil
	}
	after := min(max(expected-bound, s.minRetry), s.maxRetry)
	after += time.Duration(rand.Int64N(int64(after)/2 + 1))
	s.logger.Info("request shed", "request-id", string(r.ID), "service", string(r.Service.Name), "tier", int(r.Profile.Tier),
		"prompt-tokens", r.PromptTokens, "forecast", expected, "bound", bound, "retry-after", after)
	return nil, quetzalroad.Refuse(quetzalroad.ReasonOverloaded, "the first token would come too late", after)
}

// Queued implements quetzalroad.Admitter; nothing waits here.
func (*Shedder) Queued() [quetzalroad.MaxTiers]int { return [quetzalroad.MaxTiers]int{} }

// Demand implements quetzalroad.Admitter.
func (*Shedder) Demand() []quetzalroad.ServiceDemand { return nil }

// Peer implements quetzalroad.Admitter.
func (*Shedder) Peer(quetzalroad.NodeName, time.Time, []quetzalroad.ServiceDemand) {}

// Forget implements quetzalroad.Admitter.
func (*Shedder) Forget(quetzalroad.NodeName) {}

// Rooms implements quetzalroad.Admitter.
func (*Shedder) Rooms(time.Time) []quetzalroad.ServiceRoom { return nil }

// admission is a place that nobody takes back.
type admission struct{}

// Paused implements quetzalroad.Admission; it never happens.
func (*admission) Paused() <-chan struct{} { return nil }

// Resume implements quetzalroad.Admission.
func (*admission) Resume(context.Context) error { return nil }

// Done implements quetzalroad.Admission.
func (*admission) Done(int) {}
