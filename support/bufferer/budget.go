package bufferer

import "sync"

// Budget implements quetzalroad.BufferBudget for the few connections of one component, apart from the budget for
// responses to requests. The zero value has no bytes to give.
type Budget struct {
	// MaxBytes must be set before first use.
	MaxBytes int

	mu sync.Mutex
	// held is guarded by mu and between zero and MaxBytes.
	held int
}

// Acquire implements quetzalroad.BufferBudget.
func (b *Budget) Acquire(bytes int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if bytes > b.MaxBytes-b.held {
		return false
	}
	b.held += bytes
	return true
}

// Release implements quetzalroad.BufferBudget.
func (b *Budget) Release(bytes int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.held -= bytes
}
