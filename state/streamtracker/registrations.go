package streamtracker

import (
	"log/slog"
	"sync"
	"time"

	"github.com/quetzalroad/quetzalroad"
)

// maxRegistrationGap is the time after which the latest registrations of upstreams are fewer bytes than those that
// followed the ones that were read before.
const maxRegistrationGap = 2 * time.Second

// registrations holds the software versions of the registered upstreams as of the last read. The published state, which
// is read regularly, may lack a version at which another node has begun streams since.
type registrations struct {
	logReader
	codec  quetzalroad.StateCodec
	logger *slog.Logger

	contentMu sync.Mutex
	// origins holds the services and versions of the upstreams by key, and is guarded by contentMu.
	origins map[string]quetzalroad.StreamOrigin
}

func (r *registrations) open(log quetzalroad.KeyedLog, codec quetzalroad.StateCodec, logger *slog.Logger) {
	r.codec, r.logger = codec, logger
	r.stream, r.maxGap, r.apply = quetzalroad.LogStreamUpstreams, maxRegistrationGap, r.applyAll
	r.logReader.open(log)
}

func (r *registrations) applyAll(list []quetzalroad.KeyedRecord, complete bool) {
	r.contentMu.Lock()
	defer r.contentMu.Unlock()
	if complete {
		r.origins = make(map[string]quetzalroad.StreamOrigin)
	}
	for _, record := range list {
		if record.Value == nil {
			delete(r.origins, record.Key)
			continue
		}
		decoded, err := r.codec.DecodeRegistration(record)
		if err != nil {
			// It names no upstream to use.
			r.logger.Debug("ignoring undecodable upstream registration", "key", record.Key, "offset", int64(record.Offset), "error", err)
			continue
		}
		r.origins[record.Key] = quetzalroad.StreamOrigin{Service: decoded.Upstream.Service, Version: decoded.Upstream.Version}
	}
}

// addTo adds the versions of the registered upstreams.
func (r *registrations) addTo(versions versionSets) {
	r.contentMu.Lock()
	defer r.contentMu.Unlock()
	for _, o := range r.origins {
		versions.add(o)
	}
}
