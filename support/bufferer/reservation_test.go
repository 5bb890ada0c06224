package bufferer

import (
	"bytes"
	"errors"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/quetzalroad/quetzalroad"
)

// fakeBudget is a budget with a number of bytes left.
type fakeBudget struct{ left int }

func (b *fakeBudget) Acquire(n int) bool {
	if n > b.left {
		return false
	}
	b.left -= n
	return true
}

func (b *fakeBudget) Release(n int) { b.left += n }

func TestReadAllIsBoundedAndReturnsWhatItTook(t *testing.T) {
	const budgetBytes = 64 << 10
	failed := errors.New("failed")
	for name, c := range map[string]struct {
		size, maxBytes int
		readErr, want  error
	}{
		"empty":                 {0, 1, nil, nil},
		"small":                 {FreeBytes, budgetBytes, nil, nil},
		"large":                 {budgetBytes, budgetBytes, nil, nil},
		"too long":              {budgetBytes + 1, budgetBytes, nil, ErrTooLong},
		"beyond the budget":     {1 << 20, 2 << 20, nil, quetzalroad.ErrBuffersFull},
		"error after some data": {100, budgetBytes, failed, failed},
	} {
		budget := &fakeBudget{left: budgetBytes}
		reservation := Reservation{Budget: budget}
		var src bytes.Buffer
		src.WriteString(strings.Repeat("x", c.size))
		reader := iotest.DataErrReader(&src)
		if c.readErr != nil {
			reader = iotest.TimeoutReader(iotest.OneByteReader(&src))
			c.want = iotest.ErrTimeout
		}
		data, err := reservation.ReadAll(reader, c.maxBytes)
		if !errors.Is(err, c.want) || (err == nil && len(data) != c.size) {
			t.Errorf("%s: %d bytes, error %v, want %d and %v", name, len(data), err, c.size, c.want)
		}
		if c.size <= FreeBytes && budget.left != budgetBytes {
			t.Errorf("%s: a small response took %d bytes of the budget", name, budgetBytes-budget.left)
		}
		reservation.Release()
		if budget.left != budgetBytes {
			t.Errorf("%s: %d bytes of the budget are left, want %d", name, budget.left, budgetBytes)
		}
	}
}
