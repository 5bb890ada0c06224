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

// entryJSON is a node's entry.
type entryJSON struct {
	DataCentre string         `json:"data-centre"`
	Address    netip.AddrPort `json:"address"`
	Capacity   float64        `json:"capacity"`
	Written    time.Time      `json:"written"`
}

// EncodeEntry gives a node's entry as the value of its name.
func EncodeEntry(e quetzalroad.NodeRegistration) ([]byte, error) {
	return json.Marshal(entryJSON{DataCentre: string(e.DataCentre), Address: e.Address, Capacity: e.ReadCapacity, Written: e.WrittenAt})
}

// DecodeEntry reads a node's entry.
func DecodeEntry(r quetzalroad.KeyedRecord) (quetzalroad.NodeRegistration, error) {
	var j entryJSON
	if err := json.Unmarshal(r.Value, &j); err != nil {
		return quetzalroad.NodeRegistration{}, errors.Wrap(err, "node entry")
	}
	if r.Key == "" || j.DataCentre == "" || !j.Address.IsValid() || j.Capacity < 0 {
		return quetzalroad.NodeRegistration{}, errors.New("node entry: name, data-centre or address are missing, or capacity is negative")
	}
	return quetzalroad.NodeRegistration{
		Name: quetzalroad.NodeName(r.Key), DataCentre: quetzalroad.DataCentre(j.DataCentre),
		Address: j.Address, ReadCapacity: j.Capacity, WrittenAt: j.Written,
	}, nil
}
