// Package nodemapper maps what nodes tell each other over the platform's log,
// and the reads that they make for each other.
package nodemapper

import (
	"encoding/json"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/quetzalroad/quetzalroad"
)

// registrationJSON is a node's entry.
type registrationJSON struct {
	DataCentre   string         `json:"data-centre"`
	Address      netip.AddrPort `json:"address"`
	ReadCapacity float64        `json:"capacity"`
	WrittenAt    time.Time      `json:"written"`
}

// EncodeRegistration gives a node's entry as the value of its name.
func EncodeRegistration(r quetzalroad.NodeRegistration) ([]byte, error) {
	return json.Marshal(registrationJSON{DataCentre: string(r.DataCentre), Address: r.Address, ReadCapacity: r.ReadCapacity, WrittenAt: r.WrittenAt})
}

// DecodeRegistration reads a node's entry.
func DecodeRegistration(r quetzalroad.KeyedRecord) (quetzalroad.NodeRegistration, error) {
	var j registrationJSON
	if err := json.Unmarshal(r.Value, &j); err != nil {
		return quetzalroad.NodeRegistration{}, errors.Wrap(err, "node entry")
	}
	if r.Key == "" || j.DataCentre == "" || !j.Address.IsValid() || j.ReadCapacity < 0 {
		return quetzalroad.NodeRegistration{}, errors.New("node entry: name, data-centre or address are missing, or capacity is negative")
	}
	return quetzalroad.NodeRegistration{
		Name: quetzalroad.NodeName(r.Key), DataCentre: quetzalroad.DataCentre(j.DataCentre),
		Address: j.Address, ReadCapacity: j.ReadCapacity, WrittenAt: j.WrittenAt,
	}, nil
}
