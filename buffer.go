package quetzalroad

import "errors"

// BufferBudget bounds the memory that the buffers of all responses in flight take together.
type BufferBudget interface {
	// Acquire takes a number of bytes and reports whether that many were left. If not, it takes none.
	Acquire(bytes int) bool
	// Release returns bytes that were acquired.
	Release(bytes int)
}

// ErrBuffersFull reports that a response would need more of the BufferBudget than is left.
var ErrBuffersFull = errors.New("the budget for the buffers of responses is used up")
