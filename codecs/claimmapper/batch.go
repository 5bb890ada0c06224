// Package claimmapper maps the records of the claims stream to and from JSON.
package claimmapper

import (
	"encoding/hex"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/quetzalroad/quetzalroad"
)

// FormatVersion is the version of the records this package writes.
const FormatVersion = 1

// MaxRecordBytes bounds a record; larger ones are set aside.
const MaxRecordBytes = 1 << 20

// EntryKind tells the entries of a batch apart.
type EntryKind string

// The steps.
const (
	// EntryClaim asks for the key.
	EntryClaim EntryKind = "claim"
	// EntryCompletion tells the outcome.
	EntryCompletion EntryKind = "done"
	// EntryRelease frees the key, as its request surely was not run.
	EntryRelease EntryKind = "release"
)

// Entry is one step of one key.
type Entry struct {
	Kind EntryKind
	Key  quetzalroad.KeyHash
	// RequestHash identifies what is asked for; set for claims.
	RequestHash quetzalroad.KeyHash
	ID          quetzalroad.RequestID
	// ClaimedAt is the claiming node's time; set for claims.
	ClaimedAt time.Time
	// Response is set where a done entry has one to keep.
	Response *quetzalroad.ServiceResponse
	// OutcomeUnknown tells that the outcome isn't known; set for done entries.
	OutcomeUnknown bool
}

// Batch is one record.
type Batch struct {
	Node    quetzalroad.NodeName
	Entries []Entry
}

type batchJSON struct {
	Format  int         `json:"format"`
	Node    string      `json:"node"`
	Entries []entryJSON `json:"entries"`
}

type entryJSON struct {
	Kind           string        `json:"step"`
	Key            string        `json:"key"`
	RequestHash    string        `json:"call,omitempty"`
	ID             string        `json:"id"`
	ClaimedAt      *time.Time    `json:"at,omitempty"`
	Response       *responseJSON `json:"answer,omitempty"`
	OutcomeUnknown bool          `json:"lost,omitempty"`
}

type responseJSON struct {
	Status int                 `json:"status"`
	Header map[string][]string `json:"header,omitempty"`
	Body   []byte              `json:"body,omitempty"`
}

// Encode gives the record of a batch.
func Encode(b Batch) ([]byte, error) {
	j := batchJSON{Format: FormatVersion, Node: string(b.Node), Entries: make([]entryJSON, len(b.Entries))}
	for i, e := range b.Entries {
		j.Entries[i] = encodeEntry(e)
	}
	return json.Marshal(j)
}

func encodeEntry(e Entry) entryJSON {
	j := entryJSON{Kind: string(e.Kind), Key: hex.EncodeToString(e.Key[:]), ID: string(e.ID), OutcomeUnknown: e.OutcomeUnknown}
	if e.Kind == EntryClaim {
		j.RequestHash = hex.EncodeToString(e.RequestHash[:])
		at := e.ClaimedAt.UTC()
		j.ClaimedAt = &at
	}
	if e.Response != nil {
		j.Response = &responseJSON{Status: e.Response.Status, Header: e.Response.Header, Body: e.Response.Body}
	}
	return j
}

// Decode reads a record. It depends on the data alone, so that all nodes set
// the same records aside.
func Decode(data []byte) (Batch, error) {
	if len(data) > MaxRecordBytes {
		return Batch{}, errors.Newf("record of %d bytes", len(data))
	}
	var j batchJSON
	if err := json.Unmarshal(data, &j); err != nil {
		return Batch{}, err
	}
	if j.Format != FormatVersion {
		return Batch{}, errors.Newf("format %d", j.Format)
	}
	b := Batch{Node: quetzalroad.NodeName(j.Node), Entries: make([]Entry, len(j.Entries))}
	for i, e := range j.Entries {
		entry, err := decodeEntry(e)
		if err != nil {
			return Batch{}, errors.Wrapf(err, "entry %d", i)
		}
		b.Entries[i] = entry
	}
	return b, nil
}

func decodeEntry(j entryJSON) (Entry, error) {
	e := Entry{Kind: EntryKind(j.Kind), ID: quetzalroad.RequestID(j.ID), OutcomeUnknown: j.OutcomeUnknown}
	if err := decodeHash(j.Key, &e.Key); err != nil {
		return Entry{}, err
	}
	switch e.Kind {
	case EntryClaim:
		if j.ClaimedAt == nil {
			return Entry{}, errors.New("claim without a time")
		}
		e.ClaimedAt = *j.ClaimedAt
		return e, decodeHash(j.RequestHash, &e.RequestHash)
	case EntryCompletion:
		if j.Response != nil {
			e.Response = &quetzalroad.ServiceResponse{Status: j.Response.Status, Header: j.Response.Header, Body: j.Response.Body}
		}
		return e, nil
	case EntryRelease:
		return e, nil
	}
	return Entry{}, errors.Newf("step %q", j.Kind)
}

func decodeHash(text string, h *quetzalroad.KeyHash) error {
	b, err := hex.DecodeString(text)
	if err != nil {
		return err
	}
	if len(b) != len(h) {
		return errors.Newf("hash of %d bytes", len(b))
	}
	copy(h[:], b)
	return nil
}
