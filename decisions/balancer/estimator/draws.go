package estimator

import (
	"math/rand/v2"
	"sync"
)

// draws gives the random choices. The zero value draws from the runtime's
// source.
type draws struct {
	mu sync.Mutex
	// random is guarded by mu; nil stands for the runtime's source.
	random *rand.Rand
}

// fix makes the draws follow from a seed, unless it is zero.
func (d *draws) fix(seed int) {
	if seed != 0 {
		d.random = rand.New(rand.NewPCG(uint64(seed), 0))
	}
}

// below draws a number from zero to below n.
func (d *draws) below(n int) int {
	if d.random == nil {
		return rand.IntN(n)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.random.IntN(n)
}
