// Package streammapper maps the records about streams and software versions in the platform's log to and from JSON.
package streammapper

import (
	"encoding/json"

	"github.com/cockroachdb/errors"

	"github.com/quetzalroad/quetzalroad"
)

// versionJSON is a software version that a service has in use.
type versionJSON struct {
	Service string `json:"service"`
	Version string `json:"version"`
}

// streamsJSON lists the streams that began at a software version of a service.
type streamsJSON struct {
	Service string   `json:"service"`
	Version string   `json:"version"`
	IDs     []string `json:"streams"`
}

// EncodeVersion encodes a software version that a service has in use.
func EncodeVersion(o quetzalroad.StreamOrigin) ([]byte, error) {
	data, err := json.Marshal(versionJSON{Service: string(o.Service), Version: string(o.Version)})
	return data, errors.Wrap(err, "encode software version")
}

// DecodeVersion decodes a software version that a service has in use. A record without a service is an error.
func DecodeVersion(data []byte) (quetzalroad.StreamOrigin, error) {
	var j versionJSON
	if err := json.Unmarshal(data, &j); err != nil {
		return quetzalroad.StreamOrigin{}, errors.Wrap(err, "decode software version")
	}
	if j.Service == "" {
		return quetzalroad.StreamOrigin{}, errors.New("software version without a service")
	}
	return quetzalroad.StreamOrigin{Service: quetzalroad.ServiceName(j.Service), Version: quetzalroad.SoftwareVersion(j.Version)}, nil
}

// EncodeStreams encodes where streams began.
func EncodeStreams(origins map[quetzalroad.RequestID]quetzalroad.StreamOrigin) ([]byte, error) {
	byOrigin := make(map[quetzalroad.StreamOrigin][]string)
	for id, o := range origins {
		byOrigin[o] = append(byOrigin[o], string(id))
	}
	list := make([]streamsJSON, 0, len(byOrigin))
	for o, ids := range byOrigin {
		list = append(list, streamsJSON{Service: string(o.Service), Version: string(o.Version), IDs: ids})
	}
	data, err := json.Marshal(list)
	return data, errors.Wrap(err, "encode streams")
}

// DecodeStreams decodes where streams began. A record that lists a stream twice, or streams without a service, is
// an error as a whole.
func DecodeStreams(data []byte) (map[quetzalroad.RequestID]quetzalroad.StreamOrigin, error) {
	var list []streamsJSON
	if err := json.Unmarshal(data, &list); err != nil {
		return nil, errors.Wrap(err, "decode streams")
	}
	origins := make(map[quetzalroad.RequestID]quetzalroad.StreamOrigin)
	for _, j := range list {
		if j.Service == "" {
			return nil, errors.New("streams without a service")
		}
		o := quetzalroad.StreamOrigin{Service: quetzalroad.ServiceName(j.Service), Version: quetzalroad.SoftwareVersion(j.Version)}
		for _, id := range j.IDs {
			if _, listed := origins[quetzalroad.RequestID(id)]; listed || id == "" {
				return nil, errors.Newf("stream %q is listed twice, or has no id", id)
			}
			origins[quetzalroad.RequestID(id)] = o
		}
	}
	return origins, nil
}
