package estimator

import (
	"math/rand/v2"
	"sync"
)

// randomSource gives the random choices. The zero value draws from the runtime's
// source.
type randomSource struct {
	mu sync.Mutex
	// rng is guarded by mu; nil stands for the runtime's source.
	rng *rand.Rand
}

// fix makes the draws follow from a seed, unless it is zero.
func (s *randomSource) setSeed(seed int) {
	if seed != 0 {
		s.rng = rand.New(rand.NewPCG(uint64(seed), 0))
	}
}

// intN draws a number from zero to below n.
func (s *randomSource) intN(n int) int {
	if s.rng == nil {
		return rand.IntN(n)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rng.IntN(n)
}
