package intakeconn

import (
	"context"
	"io"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/quetzalroad/quetzalroad"
)

const (
	// firstPartBytes is the size of the first part of a body of unknown length, and partBytes that of all others.
	firstPartBytes = 4 << 10
	partBytes      = 32 << 10
)

// freeParts holds parts of bodies that were refused. Those of others may still be written to an upstream after their
// request has ended.
var freeParts = sync.Pool{New: func() any { return new([partBytes]byte) }}

// newPart returns an empty part of a size.
func newPart(size int) []byte {
	if size == partBytes {
		return freeParts.Get().(*[partBytes]byte)[:0]
	}
	return make([]byte, 0, size)
}

// freeBody keeps the parts of a body that was refused for other bodies.
func freeBody(body quetzalroad.Body) {
	for _, part := range body {
		if cap(part) == partBytes {
			freeParts.Put((*[partBytes]byte)(part[:partBytes]))
		}
	}
}

// BodyReader reads a body in parts, each of which the account has to allow before it is allocated.
type BodyReader struct {
	// Account is nil if there is no bound.
	Account quetzalroad.IntakeAccount
	// HeadCost is what the head of the request takes.
	HeadCost int
	// Declared is the length that the caller stated; negative if it stated none.
	Declared int64
}

// Read reads the body to its end. The error is a *quetzalroad.Refusal if the body doesn't fit.
func (r *BodyReader) Read(ctx context.Context, src io.Reader) (quetzalroad.Body, error) {
	var body quetzalroad.Body
	held, size := r.HeadCost, r.firstPart()
	for {
		held += size
		if r.Account != nil {
			if err := r.Account.Hold(ctx, held); err != nil {
				freeBody(body)
				return nil, err
			}
		}
		part, err := readPart(src, size)
		if len(part) > 0 {
			body = append(body, part)
		}
		if errors.Is(err, io.EOF) {
			return body, nil
		}
		if err != nil {
			freeBody(body)
			return nil, err
		}
		size = partBytes
	}
}

// firstPart returns the size of the first part. One more byte than declared shows the end of the body.
func (r *BodyReader) firstPart() int {
	if r.Declared < 0 {
		return firstPartBytes
	}
	return int(min(r.Declared+1, partBytes))
}

// readPart reads until a part is full.
func readPart(src io.Reader, size int) ([]byte, error) {
	part := newPart(size)
	for len(part) < size {
		n, err := src.Read(part[len(part):size])
		part = part[:len(part)+n]
		if err != nil {
			return part, err
		}
	}
	return part, nil
}
