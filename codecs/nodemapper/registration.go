// Package nodemapper maps the nodes' registrations in the platform's log, and
// the messages of the reads that nodes make for each other.
package nodemapper

import (
	"encoding/json"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/peers/peerwire"
)

// registrationJSON is a node's registration.
type registrationJSON struct {
	DataCentre   string         `json:"data-centre"`
	Address      netip.AddrPort `json:"address"`
	ReadCapacity float64        `json:"capacity"`
	WrittenAt    time.Time      `json:"written"`
	// Evidence is a peerwire.LossEvidence message.
	Evidence []byte `json:"evidence,omitempty"`
}

// EncodeRegistration encodes a node's registration as the value of the record
// whose key is the node's name.
func EncodeRegistration(r quetzalroad.NodeRegistration) ([]byte, error) {
	j := registrationJSON{DataCentre: string(r.DataCentre), Address: r.Address, ReadCapacity: r.ReadCapacity, WrittenAt: r.WrittenAt}
	if r.Evidence != nil {
		evidence, err := proto.Marshal(encodeEvidence(r.Evidence))
		if err != nil {
			return nil, errors.Wrap(err, "encode evidence")
		}
		j.Evidence = evidence
	}
	return json.Marshal(j)
}

// DecodeRegistration decodes a node's registration.
func DecodeRegistration(r quetzalroad.KeyedRecord) (quetzalroad.NodeRegistration, error) {
	var j registrationJSON
	if err := json.Unmarshal(r.Value, &j); err != nil {
		return quetzalroad.NodeRegistration{}, errors.Wrap(err, "decode node registration")
	}
	if r.Key == "" || j.DataCentre == "" || !j.Address.IsValid() || j.ReadCapacity < 0 {
		return quetzalroad.NodeRegistration{}, errors.New("node registration: name, data-centre or address is missing, or capacity is negative")
	}
	if j.Address.Port() == 0 && !j.Address.Addr().IsUnspecified() {
		return quetzalroad.NodeRegistration{}, errors.Newf("node registration: no node can listen at %s", j.Address)
	}
	registration := quetzalroad.NodeRegistration{
		Name: quetzalroad.NodeName(r.Key), DataCentre: quetzalroad.DataCentre(j.DataCentre),
		Address: j.Address, ReadCapacity: j.ReadCapacity, WrittenAt: j.WrittenAt,
	}
	if len(j.Evidence) > 0 {
		message := new(peerwire.LossEvidence)
		if err := proto.Unmarshal(j.Evidence, message); err != nil {
			return quetzalroad.NodeRegistration{}, errors.Wrap(err, "decode evidence")
		}
		registration.Evidence = decodeEvidence(message)
	}
	return registration, nil
}
