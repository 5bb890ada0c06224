package estimator

import (
	"math/rand/v2"
	"sync"
)

// randomSource generates random numbers. The zero value uses the runtime's
// source.
type randomSource struct {
	mu sync.Mutex
	// rng is guarded by mu; nil means the runtime's source.
	rng *rand.Rand
}

// setSeed makes the numbers reproducible, unless the seed is zero.
func (s *randomSource) setSeed(seed int) {
	if seed != 0 {
		s.rng = rand.New(rand.NewPCG(uint64(seed), 0))
	}
}

// intN returns a random number in [0, n).
func (s *randomSource) intN(n int) int {
	if s.rng == nil {
		return rand.IntN(n)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rng.IntN(n)
}
