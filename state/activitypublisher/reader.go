package activitypublisher

import (
	"cmp"
	"context"
	"log/slog"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/codecs/activitymapper"
	"github.com/quetzalroad/quetzalroad/support/boottimer"
	"github.com/quetzalroad/quetzalroad/support/stalltimer"
)

// reader follows the reports of all nodes, one read at a time.
type reader struct {
	log         quetzalroad.KeyedLog
	logger      *slog.Logger
	interval    time.Duration
	callTimeout time.Duration
	// loadTimeout is the timeout of a whole read.
	loadTimeout time.Duration
	// idle holds the state while no read is in progress.
	idle chan readState
}

// readState is what was read.
type readState struct {
	// reports are the latest ones; nil before the first read.
	reports map[quetzalroad.NodeName]quetzalroad.ActivityReport
	next    quetzalroad.Position
	readAt  boottimer.Instant
}

func (r *reader) open(log quetzalroad.KeyedLog, callTimeout time.Duration, logger *slog.Logger) {
	r.log, r.callTimeout, r.logger = log, callTimeout, logger
	r.idle = make(chan readState, 1)
	r.idle <- readState{}
}

// refresh returns the latest report of each publisher, sorted by name. Calls within the interval share a read.
func (r *reader) refresh(ctx context.Context) ([]quetzalroad.ActivityReport, error) {
	ctx, cancel := context.WithTimeout(ctx, r.loadTimeout)
	defer cancel()
	ctx, stopTimer := stalltimer.WithTimeout(ctx, r.callTimeout, r.callTimeout)
	defer stopTimer()
	var state readState
	select {
	case state = <-r.idle:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	defer func() { r.idle <- state }()
	if state.reports == nil || state.readAt.Age() >= r.interval {
		updated, err := r.read(ctx, state)
		if err != nil {
			return nil, err
		}
		state = updated
	}
	reports := make([]quetzalroad.ActivityReport, 0, len(state.reports))
	for _, report := range state.reports {
		reports = append(reports, report)
	}
	slices.SortFunc(reports, func(a, b quetzalroad.ActivityReport) int { return cmp.Compare(a.Node, b.Node) })
	return reports, nil
}

// maxHistory is the age of the last read up to which the changes since are read. Beyond it, reading the latest report
// of each publisher transfers less.
const maxHistory = 10 * time.Second

// read reads what was written since a state was read.
func (r *reader) read(ctx context.Context, s readState) (readState, error) {
	sentAt := boottimer.Now()
	var records []quetzalroad.KeyedRecord
	var bounds quetzalroad.StreamBounds
	err := quetzalroad.ErrTrimmed
	if s.reports != nil && s.readAt.Age() < maxHistory {
		records, bounds, err = r.log.ReadKeyed(ctx, quetzalroad.LogStreamActivity, s.next, 0)
	}
	var epochChanged *quetzalroad.EpochChangedError
	if errors.Is(err, quetzalroad.ErrTrimmed) || errors.As(err, &epochChanged) {
		s.reports = make(map[quetzalroad.NodeName]quetzalroad.ActivityReport)
		records, bounds, err = r.log.ReadLatest(ctx, quetzalroad.LogStreamActivity)
	}
	if err != nil {
		return s, errors.Wrap(err, "read activity reports")
	}
	for i, record := range records {
		isLast := !slices.ContainsFunc(records[i+1:], func(later quetzalroad.KeyedRecord) bool { return later.Key == record.Key })
		if isLast {
			r.apply(s.reports, record)
		}
	}
	s.next, s.readAt = bounds.Next(), sentAt
	return s, nil
}

func (r *reader) apply(reports map[quetzalroad.NodeName]quetzalroad.ActivityReport, record quetzalroad.KeyedRecord) {
	if record.Value == nil {
		delete(reports, quetzalroad.NodeName(record.Key))
		return
	}
	report, err := activitymapper.DecodeReport(record)
	if err != nil {
		r.logger.Warn("ignoring an activity report", "node", record.Key, "offset", int64(record.Offset), "error", err)
		return
	}
	reports[report.Node] = report
}
