package bufferer

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/quetzalroad/quetzalroad"
)

func TestBlockReaderReservesTheLongestBlock(t *testing.T) {
	const budgetBytes = 64 << 10
	line := strings.Repeat("x", 1000)
	for name, c := range map[string]struct {
		text string
		held int
		want error
	}{
		"small blocks":            {strings.Repeat("a\n\n", 10000), 0, nil},
		"with carriage returns":   {strings.Repeat("a\r\n\r\n", 10000), 0, nil},
		"empty lines":             {strings.Repeat("\n", 100000), 0, nil},
		"a large block":           {"a\n\n" + strings.Repeat(line+"\n", 10) + "\na\n\n", 2*10010 - FreeBytes, nil},
		"a block without end":     {strings.Repeat(line+"\n", 1000), 0, quetzalroad.ErrBuffersFull},
		"a line without an end":   {strings.Repeat(line, 1000), 0, quetzalroad.ErrBuffersFull},
		"with returns alone":      {strings.Repeat("a\r\r", 10000), 0, nil},
		"lines with a lone space": {strings.Repeat(" \n", 1000000), 0, quetzalroad.ErrBuffersFull},
	} {
		budget := &fakeBudget{left: budgetBytes}
		reader := &BlockReader{Src: iotest.HalfReader(strings.NewReader(c.text)), Copies: 2, Reservation: Reservation{Budget: budget}}
		n, err := io.Copy(io.Discard, reader)
		if !errors.Is(err, c.want) || (err == nil && n != int64(len(c.text))) {
			t.Errorf("%s: %d bytes, error %v, want %d and %v", name, n, err, len(c.text), c.want)
		}
		if held := budgetBytes - budget.left; c.want == nil && held != c.held {
			t.Errorf("%s: holds %d bytes of the budget, want %d", name, held, c.held)
		}
		reader.Reservation.Release()
		if budget.left != budgetBytes {
			t.Errorf("%s: %d bytes of the budget are left, want %d", name, budget.left, budgetBytes)
		}
	}
}
