// Package randomizer generates the random numbers of decisions, reproducibly if it has a seed.
package randomizer

import (
	"math/rand/v2"
	"sync"
)

// Randomizer generates random numbers. The zero value uses the runtime's source.
type Randomizer struct {
	mu sync.Mutex
	// rng is guarded by mu; nil means the runtime's source.
	rng *rand.Rand
	// fixed is what Float64 returns if isFixed is set.
	fixed   float64
	isFixed bool
}

// Fix makes Float64 return the same value each time. It must be called before the first number is generated.
func (r *Randomizer) Fix(value float64) {
	r.fixed, r.isFixed = value, true
}

// SetSeed makes the numbers reproducible, unless the seed is zero. It must be called before the first
// number is generated.
func (r *Randomizer) SetSeed(seed int) {
	if seed != 0 {
		r.rng = rand.New(rand.NewPCG(uint64(seed), 0))
	}
}

// IntN returns a random number in [0, n).
func (r *Randomizer) IntN(n int) int {
	if r.rng == nil {
		return rand.IntN(n)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rng.IntN(n)
}

// Float64 returns a random number in [0, 1).
func (r *Randomizer) Float64() float64 {
	if r.isFixed {
		return r.fixed
	}
	if r.rng == nil {
		return rand.Float64()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rng.Float64()
}
