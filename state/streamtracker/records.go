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

// nodeOfKey returns the node of whose process a record is.
func nodeOfKey(key string) quetzalroad.NodeName {
	rest := strings.TrimPrefix(key, nodePrefix)
	return quetzalroad.NodeName(rest[:max(0, strings.LastIndex(rest, "/"))])
}

// records holds the records of all nodes, as of the last read.
type records struct {
	logReader
	logger *slog.Logger

	contentMu sync.Mutex
	// versions and streams hold what the records state, by key. They are guarded by contentMu.
	versions map[string]recordedVersion
	streams  map[string]nodeStreams
}

// recordedVersion is the record of a software version.
type recordedVersion struct {
	quetzalroad.VersionRecord
	offset quetzalroad.Offset
}

// nodeStreams is the record of the streams of a process.
type nodeStreams struct {
	quetzalroad.StreamRecord
	offset quetzalroad.Offset
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
		r.versions = make(map[string]recordedVersion)
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
		version := recordedVersion{offset: record.Offset}
		if version.VersionRecord, err = streammapper.DecodeVersion(record.Value); err == nil {
			r.versions[record.Key] = version
		}
	case strings.HasPrefix(record.Key, nodePrefix):
		streams := nodeStreams{offset: record.Offset}
		if streams.StreamRecord, err = streammapper.DecodeStreams(record.Value); err == nil {
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
		if o, ok := streams.Origins[id]; ok {
			return o, true
		}
	}
	return quetzalroad.StreamOrigin{}, false
}

// version returns the record of a software version.
func (r *records) version(o quetzalroad.StreamOrigin) (recordedVersion, bool) {
	r.contentMu.Lock()
	defer r.contentMu.Unlock()
	version, ok := r.versions[versionKey(o)]
	return version, ok
}

// inUse returns the records of all software versions in use, open and announced ones.
func (r *records) inUse() []recordedVersion {
	r.contentMu.Lock()
	defer r.contentMu.Unlock()
	list := make([]recordedVersion, 0, len(r.versions))
	for _, version := range r.versions {
		list = append(list, version)
	}
	return list
}

// addTo adds the software versions that the records state to be in use.
func (r *records) addTo(versions versionSets) {
	for _, version := range r.inUse() {
		versions.add(version.Origin)
	}
}

// versionsOf returns the records of the software versions of a service.
func (r *records) versionsOf(s quetzalroad.ServiceName) []recordedVersion {
	return slices.DeleteFunc(r.inUse(), func(v recordedVersion) bool { return v.Origin.Service != s })
}

// acknowledges reports whether the latest process of a node that has recorded streams has acknowledged the
// announcement of a version.
func (r *records) acknowledges(n quetzalroad.NodeName, announced recordedVersion) bool {
	r.contentMu.Lock()
	defer r.contentMu.Unlock()
	latest := nodeStreams{offset: -1}
	for key, streams := range r.streams {
		if nodeOfKey(key) == n && streams.offset > latest.offset {
			latest = streams
		}
	}
	offset, ok := latest.Acknowledged[announced.Origin]
	return ok && offset == announced.offset
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
