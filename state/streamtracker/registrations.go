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
	// byKey holds the registered upstreams, and is guarded by contentMu.
	byKey map[string]registeredUpstream
}

// registeredUpstream is what the registration of an upstream states.
type registeredUpstream struct {
	name   quetzalroad.UpstreamName
	origin quetzalroad.StreamOrigin
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
		r.byKey = make(map[string]registeredUpstream)
	}
	for _, record := range list {
		if record.Value == nil {
			delete(r.byKey, record.Key)
			continue
		}
		decoded, err := r.codec.DecodeRegistration(record)
		if err != nil {
			// It names no upstream to use.
			r.logger.Debug("ignoring undecodable upstream registration", "key", record.Key, "offset", int64(record.Offset), "error", err)
			continue
		}
		r.byKey[record.Key] = registeredUpstream{
			name:   quetzalroad.IncarnationName(record.Key, decoded.StartedAt),
			origin: quetzalroad.StreamOrigin{Service: decoded.Upstream.Service, Version: decoded.Upstream.Version},
		}
	}
}

// addTo adds the versions of the registered upstreams.
func (r *registrations) addTo(versions versionSets) {
	r.contentMu.Lock()
	defer r.contentMu.Unlock()
	for _, u := range r.byKey {
		versions.add(u.origin)
	}
}

// isReplaced reports whether another incarnation of an upstream is registered, as of a recent read. The published state
// may be older or newer than an earlier one.
func (r *registrations) isReplaced(u quetzalroad.UpstreamName) bool {
	if readAt, _, _ := r.position(); readAt.Age() > maxRegistrationGap {
		return false
	}
	r.contentMu.Lock()
	defer r.contentMu.Unlock()
	registered, ok := r.byKey[u.Key()]
	return ok && registered.name != u
}
