// Package recordmapper maps the records of the state stream to and from JSON.
package recordmapper

import (
	"encoding/json"

	"github.com/cockroachdb/errors"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/codecs/objectmapper"
)

// FormatVersion is the format version of the records that this package encodes.
const FormatVersion = 1

// MaxRecordBytes limits a record; larger records are skipped.
const MaxRecordBytes = 256 << 10

// The record kinds.
const (
	kindChange   = "change"
	kindSnapshot = "snapshot"
)

// ErrInvalidRecord marks errors of records that this version can't apply and skips.
var ErrInvalidRecord = errors.New("invalid record")

// SnapshotPart is one record of a snapshot.
type SnapshotPart struct {
	// ID is the same in all parts of a snapshot.
	ID string
	// LastIncludedOffset is the offset of the last record that the snapshot includes.
	LastIncludedOffset quetzalroad.Offset
	// Index is the part's position, from 0 to Count-1.
	Index int
	Count int
	Data  []byte
}

// Entry is a decoded record. Exactly one pointer is set.
type Entry struct {
	Change   *quetzalroad.Change
	Snapshot *SnapshotPart
}

type entryJSON struct {
	Format   int           `json:"format"`
	Kind     string        `json:"kind"`
	Change   *changeJSON   `json:"change,omitempty"`
	Snapshot *snapshotJSON `json:"snapshot,omitempty"`
}

type changeJSON struct {
	ID     string          `json:"id"`
	Author string          `json:"author"`
	Kind   string          `json:"kind"`
	Name   string          `json:"name"`
	Base   int64           `json:"base"`
	Object json.RawMessage `json:"object"`
}

type snapshotJSON struct {
	ID     string `json:"id"`
	Covers int64  `json:"covers"`
	Part   int    `json:"part"`
	Parts  int    `json:"parts"`
	Data   []byte `json:"data"`
}

// EncodeChange encodes a change as a record.
func EncodeChange(c quetzalroad.Change) ([]byte, error) {
	object, err := objectmapper.Encode(c.Object)
	if err != nil {
		return nil, err
	}
	data, err := json.Marshal(entryJSON{Format: FormatVersion, Kind: kindChange, Change: &changeJSON{
		ID: string(c.ID), Author: c.Author, Kind: string(c.Kind), Name: c.Name, Base: int64(c.BaseRevision), Object: object,
	}})
	if err == nil && len(data) > MaxRecordBytes {
		return nil, errors.Newf("a change of %d bytes is over the bound of %d", len(data), MaxRecordBytes)
	}
	return data, err
}

// EncodeSnapshot encodes a part of a snapshot as a record.
func EncodeSnapshot(p SnapshotPart) ([]byte, error) {
	return json.Marshal(entryJSON{Format: FormatVersion, Kind: kindSnapshot, Snapshot: &snapshotJSON{
		ID: p.ID, Covers: int64(p.LastIncludedOffset), Part: p.Index, Parts: p.Count, Data: p.Data,
	}})
}

// Decode decodes a record. The error is marked with ErrInvalidRecord if the record
// is malformed, too large or of a newer format. The result depends on the data
// alone, so that all nodes skip the same records.
func Decode(data []byte) (Entry, error) {
	if len(data) > MaxRecordBytes {
		return Entry{}, errors.Mark(errors.Newf("record of %d bytes is too large", len(data)), ErrInvalidRecord)
	}
	var j entryJSON
	if err := json.Unmarshal(data, &j); err != nil {
		return Entry{}, errors.Mark(err, ErrInvalidRecord)
	}
	if j.Format != FormatVersion {
		return Entry{}, errors.Mark(errors.Newf("unknown record format %d", j.Format), ErrInvalidRecord)
	}
	switch {
	case j.Kind == kindChange && j.Change != nil:
		return decodeChange(j.Change)
	case j.Kind == kindSnapshot && j.Snapshot != nil:
		return decodeSnapshot(j.Snapshot)
	}
	return Entry{}, errors.Mark(errors.Newf("unknown record kind %q", j.Kind), ErrInvalidRecord)
}

func decodeChange(j *changeJSON) (Entry, error) {
	kind := quetzalroad.ObjectKind(j.Kind)
	object, err := objectmapper.Decode(kind, j.Object)
	if err != nil {
		return Entry{}, errors.Mark(err, ErrInvalidRecord)
	}
	c := &quetzalroad.Change{
		ID: quetzalroad.ChangeID(j.ID), Author: j.Author, Kind: kind, Name: j.Name,
		BaseRevision: quetzalroad.Revision(j.Base), Object: object,
	}
	if c.ID == "" || c.Name == "" {
		return Entry{}, errors.Mark(errors.New("change has no id or no name"), ErrInvalidRecord)
	}
	return Entry{Change: c}, nil
}

func decodeSnapshot(j *snapshotJSON) (Entry, error) {
	if j.Parts <= 0 || j.Part < 0 || j.Part >= j.Parts {
		return Entry{}, errors.Mark(errors.Newf("invalid snapshot part index %d for %d parts", j.Part, j.Parts), ErrInvalidRecord)
	}
	return Entry{Snapshot: &SnapshotPart{
		ID: j.ID, LastIncludedOffset: quetzalroad.Offset(j.Covers), Index: j.Part, Count: j.Parts, Data: j.Data,
	}}, nil
}
