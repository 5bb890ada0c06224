package leaser

import (
	"context"
	"maps"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/codecs/leasemapper"
	"github.com/quetzalroad/quetzalroad/support/boottimer"
)

// keyPrefix begins the keys of the lease's records. Each epoch has a key of its own: a write that was sent before the
// log was restored may be stored after it, and must not replace what has been written since.
const keyPrefix = "duties-"

func recordKey(e quetzalroad.Epoch) string {
	return keyPrefix + strconv.FormatUint(uint64(e), 10)
}

// readResult is what a read of the lease returned.
type readResult struct {
	epoch quetzalroad.Epoch
	// end is the offset on which the next write is conditional.
	end quetzalroad.Offset
	// current is the record of the epoch, and earlier the last one of the epochs before; nil if there is none.
	current, earlier *leasemapper.Record
	// offset is that of current; NoOffset if there is none.
	offset quetzalroad.Offset
	// unchangedFor and epochKnownFor are those of view.
	unchangedFor, epochKnownFor time.Duration
}

// latest returns the record from which the next claim continues; nil if there is none.
func (s readResult) latest() *leasemapper.Record {
	if s.current != nil {
		return s.current
	}
	return s.earlier
}

var (
	// errEpochChanged reports that the log was restored during a call, or after the lease was granted.
	errEpochChanged = errors.New("the log has begun a new epoch")
	// errLate reports that a lease had ended when the log confirmed it.
	errLate     = errors.New("the log confirmed the lease too late")
	errBadEpoch = errors.New("the log states an epoch that tokens can't be made of")
	errTooLarge = errors.New("the states of the duties exceed the size limit")
)

// maxRecordBytes limits a record. The store takes up to 2 MiB in a write.
const maxRecordBytes = 1 << 20

// read reads the record of the lease.
func (l *Leaser) read(ctx context.Context) (readResult, error) {
	s := readResult{offset: quetzalroad.NoOffset, unchangedFor: l.firstReadAt.Age(), epochKnownFor: l.epochs.Age()}
	epochBefore := l.epochs.Epoch()
	ctx, cancel := context.WithTimeout(ctx, l.callTimeout)
	defer cancel()
	records, bounds, err := l.log.ReadLatest(ctx, quetzalroad.LogStreamLeases)
	if err != nil {
		return readResult{}, err
	}
	s.epoch, s.end = bounds.Epoch, bounds.End
	if s.epoch > maxEpoch {
		return readResult{}, errBadEpoch
	}
	if s.epoch != epochBefore || s.epochKnownFor == boottimer.Never {
		s.epochKnownFor = 0
	}
	if err := s.pick(records); err != nil {
		return readResult{}, err
	}
	l.note(&s)
	return s, nil
}

// pick finds the records of the current epoch and of the last one before it that has any.
func (s *readResult) pick(records []quetzalroad.KeyedRecord) error {
	for _, r := range records {
		if r.Value == nil {
			continue
		}
		decoded, err := leasemapper.Decode(r.Value)
		switch {
		case err != nil:
			return errors.Wrapf(err, "key %q at offset %d", r.Key, int64(r.Offset))
		case r.Key != recordKey(decoded.Epoch):
			continue
		case decoded.Epoch > s.epoch:
			// A claim in this epoch would issue a token below that of the record.
			return errors.Wrapf(errBadEpoch, "epoch %d after a lease in epoch %d", uint64(s.epoch), uint64(decoded.Epoch))
		case decoded.Epoch == s.epoch:
			s.current, s.offset = &decoded, r.Offset
		case s.earlier == nil || decoded.Epoch > s.earlier.Epoch:
			s.earlier = &decoded
		}
	}
	return nil
}

// note compares what was read with what this node knows, and updates it.
func (l *Leaser) note(s *readResult) {
	if s.epoch != l.lastRead.epoch || s.offset != l.lastRead.offset {
		l.firstReadAt, s.unchangedFor = boottimer.Now(), 0
	}
	before := l.lastRead.current
	if before != nil && s.epoch == l.lastRead.epoch && (s.current == nil || s.current.Token < before.Token) {
		l.recordViolation("lease-token-decreased", before.Token)
	}
	l.lastRead = *s
	l.noteHolder(s.current)
}

// write writes a record on condition that the log ends where the last read or write left it. It returns when the
// record was sent.
func (l *Leaser) write(ctx context.Context, r leasemapper.Record) (boottimer.Instant, error) {
	value, err := leasemapper.Encode(r)
	switch {
	case err != nil:
		return boottimer.Instant{}, err
	case len(value) > maxRecordBytes:
		return boottimer.Instant{}, errors.Wrapf(errTooLarge, "%d bytes", len(value))
	}
	ctx, cancel := context.WithTimeout(ctx, l.callTimeout)
	defer cancel()
	sentAt := boottimer.Now()
	position, err := l.writer.PutKeyedAt(ctx, quetzalroad.LogStreamLeases, recordKey(r.Epoch), value, l.lastRead.end)
	switch {
	case err != nil:
		return sentAt, err
	case position.Epoch != r.Epoch:
		return sentAt, errEpochChanged
	}
	if l.lastRead.current != nil && r.Token < l.lastRead.current.Token {
		l.recordViolation("lease-write-after-higher-token", r.Token)
	}
	l.note(&readResult{epoch: r.Epoch, end: position.Offset, offset: position.Offset - 1, current: &r})
	return sentAt, nil
}

// withState returns a record with the state of a duty.
func withState(r leasemapper.Record, d quetzalroad.DutyName, state []byte) leasemapper.Record {
	states := maps.Clone(r.States)
	if states == nil {
		states = make(map[quetzalroad.DutyName][]byte)
	}
	states[d] = state
	r.States = states
	return r
}
