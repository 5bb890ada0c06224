package distributor

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/support/stalltimer"
)

// isReload reports whether an error of a read means that the latest record of every key has to be read.
func isReload(err error) bool {
	var epochChanged *quetzalroad.EpochChangedError
	return errors.Is(err, quetzalroad.ErrTrimmed) || errors.As(err, &epochChanged)
}

// readThroughReaders reads from the first reader whose view is recent, else from the log. While the
// log fails, it is asked less often than the readers, which learn of its return.
func (d *Distributor) readThroughReaders(ctx context.Context, readers []quetzalroad.NodeRegistration, q quetzalroad.SharedReadRequest) ([]quetzalroad.KeyedRecord, quetzalroad.StreamBounds, error) {
	var outdated []quetzalroad.NodeName
	var lastErr error
	for _, reader := range readers[:min(len(readers), maxReaderTries)] {
		records, bounds, err := d.readShared(ctx, reader, d.withObservations(reader.Name, q))
		if err == nil || isReload(err) {
			d.avoidOutdated(q.Stream, outdated)
			return records, bounds, err
		}
		if errors.Is(err, errTooOld) || errors.Is(err, quetzalroad.ErrOutdatedEpoch) {
			outdated = append(outdated, reader.Name)
		}
		lastErr = err
	}
	if len(outdated) > 0 && (d.members.sinceFallbackFailure() < d.fallbackRetryDelay || d.readerFollowsSoon(q.Stream, lastErr)) {
		return nil, quetzalroad.StreamBounds{}, lastErr
	}
	// Don't wait for a change: the view's age grows until a read confirms it.
	records, bounds, err := d.readLog(ctx, q.Stream, q.From, 0, d.callTimeout)
	if err != nil && !isReload(err) {
		d.members.recordFallbackFailure()
		return nil, bounds, err
	}
	d.avoidOutdated(q.Stream, outdated)
	bounds.Hops = 1
	return records, bounds, err
}

// readerFollowsSoon reports whether a shared read failed only because the reader has not read the stream
// since the log was restored, a moment ago. The nodes behind it don't turn to the log meanwhile. Readers
// read the published state all the time: one that has not done so is cut off from the log.
func (d *Distributor) readerFollowsSoon(s quetzalroad.LogStream, err error) bool {
	return s != quetzalroad.LogStreamOperators && errors.Is(err, quetzalroad.ErrOutdatedEpoch) && d.epochs.Age() < d.maxAge
}

// maxReaderTries is the number of readers that are tried before the log.
const maxReaderTries = 2

// avoidOutdated avoids readers whose view turned out to be older than that of another reader or of the
// log. Only the published state tells, as readers read it all the time.
func (d *Distributor) avoidOutdated(s quetzalroad.LogStream, readers []quetzalroad.NodeName) {
	if s != quetzalroad.LogStreamOperators {
		return
	}
	for _, n := range readers {
		d.members.avoid(n, time.Now().Add(d.avoidDuration))
	}
}

var (
	errRefused = errors.New("the node does not read the log for others")
	errTooOld  = errors.New("the reader's view is too old")
)

// readShared reads from the cache of a reader.
func (d *Distributor) readShared(ctx context.Context, reader quetzalroad.NodeRegistration, q quetzalroad.SharedReadRequest) ([]quetzalroad.KeyedRecord, quetzalroad.StreamBounds, error) {
	first, whole := d.readTimeout, d.transferTimeout
	complete := q.From.Offset == quetzalroad.NoOffset
	if complete {
		first, whole = d.loadTimeout, d.loadTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, whole)
	defer cancel()
	ctx, stopTimer := stalltimer.WithTimeout(ctx, first, d.readTimeout)
	defer stopTimer()
	response, err := d.transport.RequestRead(ctx, reader.Address, q)
	if err != nil && ctx.Err() != nil {
		err = context.Cause(ctx)
	}
	if err != nil {
		d.members.recordFailure(reader.Name, time.Now(), d.avoidDuration, d.registrationTTL)
	} else {
		d.members.recordResponse(reader.Name)
		err = d.checkResponse(q, response)
	}
	switch {
	case err != nil && isReload(err):
		return nil, quetzalroad.StreamBounds{}, err
	case err != nil:
		d.logger.Info("shared read failed", "reader", string(reader.Name), "stream", string(q.Stream), "epoch", uint64(q.From.Epoch), "from", int64(q.From.Offset),
			"reader-epoch", uint64(response.Epoch), "age", response.Age, "error", err)
		return nil, quetzalroad.StreamBounds{}, err
	}
	if response.Observations != nil {
		d.applyObservations(*response.Observations)
	}
	if q.Observations != nil {
		d.usage.confirm(reader.Name, q.Observations.Usage)
	}
	bounds := quetzalroad.StreamBounds{
		Epoch: response.Epoch, End: response.NextRead, NextRead: response.NextRead, InheritedEnd: response.InheritedEnd, Age: response.Age, Hops: sharedReadHops,
	}
	if !complete {
		bounds.NextRead = max(q.From.Offset, response.NextRead)
	}
	return response.Records, bounds, nil
}

// checkResponse returns why the response to a shared read can't be used; nil if it can.
func (d *Distributor) checkResponse(q quetzalroad.SharedReadRequest, r quetzalroad.SharedReadResponse) error {
	if r.Status == quetzalroad.SharedReadRefused {
		return errRefused
	}
	if err := d.epochs.ObservePeer(r.Epoch); err != nil {
		return err
	}
	complete := q.From.Offset == quetzalroad.NoOffset
	switch {
	case !complete && r.Epoch != q.From.Epoch:
		return &quetzalroad.EpochChangedError{From: q.From.Epoch, To: r.Epoch}
	case r.Status == quetzalroad.SharedReadTrimmed:
		return quetzalroad.ErrTrimmed
	case r.Age > d.maxAgeOf(q.Stream):
		return errTooOld
	}
	return nil
}

// maxAgeOf returns the maximum age of a reader's view of a stream. Readers read the list of nodes
// seldom.
func (d *Distributor) maxAgeOf(s quetzalroad.LogStream) time.Duration {
	if s == quetzalroad.LogStreamNodes {
		return d.refreshInterval + d.maxAge
	}
	return d.maxAge
}

// HandleRead implements quetzalroad.ReadHandler.
func (d *Distributor) HandleRead(q quetzalroad.SharedReadRequest) quetzalroad.SharedReadResponse {
	cache := d.caches[q.Stream]
	if cache == nil {
		return quetzalroad.SharedReadResponse{}
	}
	if !d.ownRole().readsLog {
		d.members.promote(time.Now().Add(d.avoidDuration))
		// The nodes behind this one get its list of nodes, which it seldom read so far.
		d.requestRefresh()
		return quetzalroad.SharedReadResponse{}
	}
	response := cache.read(q.From)
	if q.Observations != nil {
		response.Observations = d.exchangeObservations(q.Node, *q.Observations)
	}
	return response
}
