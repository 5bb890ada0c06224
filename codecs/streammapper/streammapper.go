// Package streammapper maps the records about streams and software versions in the platform's log to and from JSON.
package streammapper

import (
	"encoding/json"

	"github.com/cockroachdb/errors"

	"github.com/quetzalroad/quetzalroad"
)

// versionJSON is a software version that a service has in use.
type versionJSON struct {
	Service   string `json:"service"`
	Version   string `json:"version"`
	Announced bool   `json:"announced,omitempty"`
	Epoch     uint64 `json:"epoch,omitempty"`
}

// streamsJSON lists the streams that began at a software version of a service.
type streamsJSON struct {
	Service string   `json:"service"`
	Version string   `json:"version"`
	IDs     []string `json:"streams"`
	// Acknowledged is the offset of the version's announcement; nil if the process had not read one.
	Acknowledged *int64 `json:"acknowledged,omitempty"`
}

// EncodeVersion encodes a software version that a service has in use.
func EncodeVersion(r quetzalroad.VersionRecord) ([]byte, error) {
	data, err := json.Marshal(versionJSON{
		Service: string(r.Origin.Service), Version: string(r.Origin.Version), Announced: r.Announced, Epoch: uint64(r.Epoch),
	})
	return data, errors.Wrap(err, "encode software version")
}

// DecodeVersion decodes a software version that a service has in use. A record without a service is an error.
func DecodeVersion(data []byte) (quetzalroad.VersionRecord, error) {
	var j versionJSON
	if err := json.Unmarshal(data, &j); err != nil {
		return quetzalroad.VersionRecord{}, errors.Wrap(err, "decode software version")
	}
	if j.Service == "" {
		return quetzalroad.VersionRecord{}, errors.New("software version without a service")
	}
	origin := quetzalroad.StreamOrigin{Service: quetzalroad.ServiceName(j.Service), Version: quetzalroad.SoftwareVersion(j.Version)}
	return quetzalroad.VersionRecord{Origin: origin, Announced: j.Announced, Epoch: quetzalroad.Epoch(j.Epoch)}, nil
}

// EncodeStreams encodes the streams of a process.
func EncodeStreams(r quetzalroad.StreamRecord) ([]byte, error) {
	byOrigin := make(map[quetzalroad.StreamOrigin]*streamsJSON)
	entryOf := func(o quetzalroad.StreamOrigin) *streamsJSON {
		if byOrigin[o] == nil {
			byOrigin[o] = &streamsJSON{Service: string(o.Service), Version: string(o.Version)}
		}
		return byOrigin[o]
	}
	for id, o := range r.Origins {
		entry := entryOf(o)
		entry.IDs = append(entry.IDs, string(id))
	}
	for o, offset := range r.Acknowledged {
		acknowledged := int64(offset)
		entryOf(o).Acknowledged = &acknowledged
	}
	list := make([]*streamsJSON, 0, len(byOrigin))
	for _, entry := range byOrigin {
		list = append(list, entry)
	}
	data, err := json.Marshal(list)
	return data, errors.Wrap(err, "encode streams")
}

// DecodeStreams decodes the streams of a process. A record that lists a stream twice, two acknowledgements of a
// version, or streams without a service, is an error as a whole.
func DecodeStreams(data []byte) (quetzalroad.StreamRecord, error) {
	var list []streamsJSON
	if err := json.Unmarshal(data, &list); err != nil {
		return quetzalroad.StreamRecord{}, errors.Wrap(err, "decode streams")
	}
	r := quetzalroad.StreamRecord{
		Origins:      make(map[quetzalroad.RequestID]quetzalroad.StreamOrigin),
		Acknowledged: make(map[quetzalroad.StreamOrigin]quetzalroad.Offset),
	}
	for _, j := range list {
		if err := addEntry(r, j); err != nil {
			return quetzalroad.StreamRecord{}, err
		}
	}
	return r, nil
}

// addEntry adds what an entry of a record states.
func addEntry(r quetzalroad.StreamRecord, j streamsJSON) error {
	if j.Service == "" {
		return errors.New("streams without a service")
	}
	o := quetzalroad.StreamOrigin{Service: quetzalroad.ServiceName(j.Service), Version: quetzalroad.SoftwareVersion(j.Version)}
	for _, id := range j.IDs {
		if _, listed := r.Origins[quetzalroad.RequestID(id)]; listed || id == "" {
			return errors.Newf("stream %q is listed twice, or has no id", id)
		}
		r.Origins[quetzalroad.RequestID(id)] = o
	}
	if j.Acknowledged == nil {
		return nil
	}
	if _, listed := r.Acknowledged[o]; listed {
		return errors.Newf("version %q of service %q is acknowledged twice", o.Version, o.Service)
	}
	r.Acknowledged[o] = quetzalroad.Offset(*j.Acknowledged)
	return nil
}
