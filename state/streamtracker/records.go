package streamtracker

import (
	"log/slog"
	"slices"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/codecs/streammapper"
)

// The keys of the records: one for each software version that a service has in use, and one for each process of the
// router that has recorded streams.
const (
	versionPrefix = "version/"
	nodePrefix    = "node/"
)

func versionKey(o quetzalroad.StreamOrigin) string {
	return versionPrefix + string(o.Service) + "/" + string(o.Version)
}

// records holds the records of all nodes, as of the last read.
type records struct {
	logReader
	logger *slog.Logger

	contentMu sync.Mutex
	// versions and streams hold what the records state, by key. They are guarded by contentMu.
	versions map[string]quetzalroad.StreamOrigin
	streams  map[string]nodeStreams
}

// nodeStreams is the record of the streams of a node.
type nodeStreams struct {
	offset  quetzalroad.Offset
	origins map[quetzalroad.RequestID]quetzalroad.StreamOrigin
}

func (r *records) open(log quetzalroad.KeyedLog, logger *slog.Logger) {
	r.logger = logger
	r.stream, r.apply = quetzalroad.LogStreamStreams, r.applyAll
	r.logReader.open(log)
}

func (r *records) applyAll(list []quetzalroad.KeyedRecord, complete bool) {
	r.contentMu.Lock()
	defer r.contentMu.Unlock()
	if complete {
		r.versions = make(map[string]quetzalroad.StreamOrigin)
		r.streams = make(map[string]nodeStreams)
	}
	for _, record := range list {
		r.applyLocked(record)
	}
}

// applyLocked applies a record. One that can't be decoded leaves what its key stated before. The caller holds contentMu.
func (r *records) applyLocked(record quetzalroad.KeyedRecord) {
	if record.Value == nil {
		delete(r.versions, record.Key)
		delete(r.streams, record.Key)
		return
	}
	var err error
	switch {
	case strings.HasPrefix(record.Key, versionPrefix):
		var o quetzalroad.StreamOrigin
		if o, err = streammapper.DecodeVersion(record.Value); err == nil {
			r.versions[record.Key] = o
		}
	case strings.HasPrefix(record.Key, nodePrefix):
		streams := nodeStreams{offset: record.Offset}
		if streams.origins, err = streammapper.DecodeStreams(record.Value); err == nil {
			r.streams[record.Key] = streams
		}
	default:
		err = errors.New("unknown key")
	}
	if err != nil {
		r.logger.Warn("ignoring a record about streams", "key", record.Key, "offset", int64(record.Offset), "error", err)
	}
}

// find returns where a stream began according to the records.
func (r *records) find(id quetzalroad.RequestID) (quetzalroad.StreamOrigin, bool) {
	r.contentMu.Lock()
	defer r.contentMu.Unlock()
	for _, streams := range r.streams {
		if o, ok := streams.origins[id]; ok {
			return o, true
		}
	}
	return quetzalroad.StreamOrigin{}, false
}

// has reports whether the records state that a version is in use.
func (r *records) has(o quetzalroad.StreamOrigin) bool {
	r.contentMu.Lock()
	defer r.contentMu.Unlock()
	_, ok := r.versions[versionKey(o)]
	return ok
}

// inUse returns the versions that the records state to be in use.
func (r *records) inUse() []quetzalroad.StreamOrigin {
	r.contentMu.Lock()
	defer r.contentMu.Unlock()
	list := make([]quetzalroad.StreamOrigin, 0, len(r.versions))
	for _, o := range r.versions {
		list = append(list, o)
	}
	return list
}

// versionsOf returns the versions of a service that the records state to be in use, in order.
func (r *records) versionsOf(s quetzalroad.ServiceName) []quetzalroad.SoftwareVersion {
	var list []quetzalroad.SoftwareVersion
	for _, o := range r.inUse() {
		if o.Service == s {
			list = append(list, o.Version)
		}
	}
	slices.Sort(list)
	return list
}

// recordOffsets returns the offsets of the records of the nodes' streams, by key.
func (r *records) recordOffsets() map[string]quetzalroad.Offset {
	r.contentMu.Lock()
	defer r.contentMu.Unlock()
	offsets := make(map[string]quetzalroad.Offset, len(r.streams))
	for key, streams := range r.streams {
		offsets[key] = streams.offset
	}
	return offsets
}
