// Package leasemapper maps the record of the lease to and from JSON.
package leasemapper

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/quetzalroad/quetzalroad"
)

// formatVersion is the format version of the records that this package encodes.
const formatVersion = 1

// Record is the state of the lease as its last holder wrote it.
type Record struct {
	Holder quetzalroad.NodeName
	// Incarnation tells the processes of a node apart.
	Incarnation string
	Token       quetzalroad.FencingToken
	// Epoch is the one in which the holder wrote the record.
	Epoch quetzalroad.Epoch
	// Released reports whether the holder gave the lease up.
	Released bool
	// LostBefore is the time before which states may be missing; zero if none is.
	LostBefore time.Time
	// RecentHolders held the lease shortly before, the last one first.
	RecentHolders []quetzalroad.NodeName
	States        map[quetzalroad.DutyName][]byte
}

type recordJSON struct {
	Format        int               `json:"format"`
	Holder        string            `json:"holder"`
	Incarnation   string            `json:"incarnation"`
	Token         uint64            `json:"token"`
	Epoch         *uint64           `json:"epoch"`
	Released      bool              `json:"released,omitempty"`
	LostBefore    *time.Time        `json:"lost-before,omitempty"`
	RecentHolders []string          `json:"recent-holders,omitempty"`
	States        map[string][]byte `json:"states,omitempty"`
}

// Encode encodes a record.
func Encode(r Record) ([]byte, error) {
	epoch := uint64(r.Epoch)
	j := recordJSON{
		Format: formatVersion, Holder: string(r.Holder), Incarnation: r.Incarnation, Token: uint64(r.Token), Epoch: &epoch, Released: r.Released,
	}
	if !r.LostBefore.IsZero() {
		j.LostBefore = &r.LostBefore
	}
	for _, n := range r.RecentHolders {
		j.RecentHolders = append(j.RecentHolders, string(n))
	}
	for name, state := range r.States {
		if j.States == nil {
			j.States = make(map[string][]byte)
		}
		j.States[string(name)] = state
	}
	return json.Marshal(j)
}

// Decode decodes a record. A record that lacks what tells holders apart is an error.
func Decode(data []byte) (Record, error) {
	var j recordJSON
	if err := json.Unmarshal(data, &j); err != nil {
		return Record{}, errors.Wrap(err, "decode lease")
	}
	switch {
	case j.Format != formatVersion:
		return Record{}, errors.Newf("decode lease: format %d", j.Format)
	case j.Holder == "" || j.Incarnation == "" || j.Token == 0 || j.Epoch == nil:
		return Record{}, errors.New("decode lease: holder, incarnation, token or epoch is missing")
	}
	r := Record{
		Holder: quetzalroad.NodeName(j.Holder), Incarnation: j.Incarnation, Token: quetzalroad.FencingToken(j.Token), Epoch: quetzalroad.Epoch(*j.Epoch), Released: j.Released,
	}
	if j.LostBefore != nil {
		r.LostBefore = *j.LostBefore
	}
	for _, n := range j.RecentHolders {
		r.RecentHolders = append(r.RecentHolders, quetzalroad.NodeName(n))
	}
	for name, state := range j.States {
		if r.States == nil {
			r.States = make(map[quetzalroad.DutyName][]byte)
		}
		r.States[quetzalroad.DutyName(name)] = state
	}
	return r, nil
}
