package bufferlimiter

import (
	"math/rand/v2"
	"sync"
	"testing"

	"github.com/quetzalroad/quetzalroad/kernel"
	"github.com/quetzalroad/quetzalroad/support/configloader"
)

func newLimiter(t *testing.T, maxBytes int) *Limiter {
	t.Helper()
	l := new(Limiter)
	l.Declare(new(configloader.Section))
	l.maxBytes = maxBytes
	if err := l.Build(new(kernel.Node)); err != nil {
		t.Fatal(err)
	}
	return l
}

// The whole budget can be acquired, by one response or by many, and not a byte more.
func TestBudgetIsNeitherExceededNorLost(t *testing.T) {
	const maxBytes = 1 << 20
	l := newLimiter(t, maxBytes)
	var group sync.WaitGroup
	for range 8 {
		group.Go(func() {
			for range 1000 {
				if n := rand.IntN(maxBytes); l.Acquire(n) {
					l.Release(n)
				}
			}
		})
	}
	group.Wait()
	for range 3 {
		if !l.Acquire(maxBytes - 1) {
			t.Fatal("the budget can't be acquired")
		}
		if l.Acquire(2) || !l.Acquire(1) {
			t.Error("more or less than the last byte was left")
		}
		l.Release(maxBytes)
	}
}
