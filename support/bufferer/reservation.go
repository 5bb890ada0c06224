// Package bufferer keeps the buffers of responses within a quetzalroad.BufferBudget.
package bufferer

import (
	"io"
	"math"

	"github.com/cockroachdb/errors"

	"github.com/quetzalroad/quetzalroad"
)

const (
	// FreeBytes is the size up to which a buffer takes nothing from the budget, so that small responses need none.
	FreeBytes = 8 << 10
	// minBufferBytes is the smallest size of a buffer that grows.
	minBufferBytes = 1 << 10
)

// ErrTooLong reports that a response exceeds its own bound.
var ErrTooLong = errors.New("the response exceeds the size limit")

// Reservation is what the buffers of one response hold of the budget. It must not be used concurrently.
type Reservation struct {
	// Budget is that of the node. A nil one has no bound.
	Budget quetzalroad.BufferBudget
	// Free is the size up to which nothing is taken from the budget; zero means FreeBytes.
	Free int
	// held is what was acquired: the size of the buffers beyond Free.
	held int
}

// Resize sets the size of the buffers and reports whether the budget allows it. If not, the size stays.
func (r *Reservation) Resize(bytes int) bool {
	free := r.Free
	if free == 0 {
		free = FreeBytes
	}
	held := max(0, bytes-free)
	switch {
	case r.Budget == nil || held == r.held:
		return true
	case held < r.held:
		r.Budget.Release(r.held - held)
	case !r.Budget.Acquire(held - r.held):
		return false
	}
	r.held = held
	return true
}

// Release returns what is held.
func (r *Reservation) Release() {
	r.Resize(0)
}

// Append appends data to the response's only buffer, unless the budget doesn't allow the buffer to grow.
func (r *Reservation) Append(buffer, data []byte) ([]byte, bool) {
	return r.appendWithin(buffer, data, math.MaxInt)
}

// appendWithin is Append with a bound on the size to which the buffer grows ahead of its need.
func (r *Reservation) appendWithin(buffer, data []byte, maxBytes int) ([]byte, bool) {
	needed := len(buffer) + len(data)
	if needed <= cap(buffer) {
		return append(buffer, data...), true
	}
	size := max(needed, min(2*cap(buffer), maxBytes), minBufferBytes)
	if !r.Resize(size) {
		return buffer, false
	}
	grown := make([]byte, len(buffer), size)
	copy(grown, buffer)
	return append(grown, data...), true
}

// readBytes is how much ReadAll reads at once.
const readBytes = 4 << 10

// ReadAll reads src to its end into the response's only buffer. It returns ErrTooLong beyond maxBytes, and
// quetzalroad.ErrBuffersFull if the budget is used up.
func (r *Reservation) ReadAll(src io.Reader, maxBytes int) ([]byte, error) {
	var buffer []byte
	chunk := make([]byte, readBytes)
	for {
		n, err := src.Read(chunk)
		if len(buffer)+n > maxBytes {
			return nil, ErrTooLong
		}
		grown, ok := r.appendWithin(buffer, chunk[:n], maxBytes)
		if !ok {
			return nil, quetzalroad.ErrBuffersFull
		}
		buffer = grown
		if errors.Is(err, io.EOF) {
			return buffer, nil
		}
		if err != nil {
			return nil, err
		}
	}
}
