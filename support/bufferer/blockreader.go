package bufferer

import (
	"io"

	"github.com/quetzalroad/quetzalroad"
)

// BlockReader reads a stream of blocks, each of which ends with an empty line, for a parser that buffers whole
// blocks. It reserves what the longest block takes there, until its reservation is released.
type BlockReader struct {
	// Src is what is read.
	Src io.Reader
	// Copies is how often the parser may hold a block.
	Copies int
	// Reservation is for the copies.
	Reservation Reservation
	// blockBytes is the length of the current block so far, and longest that of the longest one.
	blockBytes, longest int
	// lineIsEmpty is set while the current line has no bytes.
	lineIsEmpty bool
	// last is the last byte that was read.
	last byte
}

// Read implements io.Reader. The error is quetzalroad.ErrBuffersFull if the budget is used up.
func (r *BlockReader) Read(p []byte) (int, error) {
	n, err := r.Src.Read(p)
	r.measure(p[:n])
	if !r.Reservation.Resize(r.Copies * r.longest) {
		return n, quetzalroad.ErrBuffersFull
	}
	return n, err
}

// measure adds the bytes that were read to the length of the blocks. Lines end with a line feed, a carriage return or
// both.
func (r *BlockReader) measure(data []byte) {
	for _, c := range data {
		r.blockBytes++
		switch {
		case c == '\n' && r.last == '\r':
		case c != '\n' && c != '\r':
			r.lineIsEmpty = false
		case r.lineIsEmpty:
			r.blockBytes = 0
		default:
			r.lineIsEmpty = true
		}
		r.longest, r.last = max(r.longest, r.blockBytes), c
	}
}
