// Package claimmapper maps the records of the claims stream to and from JSON.
package claimmapper

import (
	"encoding/hex"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/quetzalroad/quetzalroad"
)

// FormatVersion is the format version of the records that this package encodes.
const FormatVersion = 1

// MaxRecordBytes limits a record; larger records are skipped.
const MaxRecordBytes = 1 << 20

// EntryKind is the kind of an entry of a batch.
type EntryKind string

// The entry kinds.
const (
	// EntryClaim claims the key.
	EntryClaim EntryKind = "claim"
	// EntryRestatement repeats a claim that was granted before the log was restored from an older copy. It
	// takes precedence over claims made since.
	EntryRestatement EntryKind = "restate"
	// EntryCompletion records the outcome of the request.
	EntryCompletion EntryKind = "done"
	// EntryRelease releases the key, as its request was certainly not run.
	EntryRelease EntryKind = "release"
)

// IsClaim reports whether an entry of the kind holds a claim.
func (k EntryKind) IsClaim() bool {
	return k == EntryClaim || k == EntryRestatement
}

// Entry is a claim, restatement, completion or release of one key.
type Entry struct {
	Kind EntryKind
	Key  quetzalroad.KeyHash
	// RequestHash identifies the content of the request; set for claims.
	RequestHash quetzalroad.KeyHash
	ID          quetzalroad.RequestID
	// ClaimedAt is the time on the claiming node's clock; set for claims.
	ClaimedAt time.Time
	// Response is the response to retain, if any; set for completions.
	Response *quetzalroad.ServiceResponse
	// OutcomeUnknown is set for completions whose outcome is not known.
	OutcomeUnknown bool
}

// Batch is the content of one record.
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

// Encode encodes a batch as a record.
func Encode(b Batch) ([]byte, error) {
	j := batchJSON{Format: FormatVersion, Node: string(b.Node), Entries: make([]entryJSON, len(b.Entries))}
	for i, e := range b.Entries {
		j.Entries[i] = encodeEntry(e)
	}
	return json.Marshal(j)
}

func encodeEntry(e Entry) entryJSON {
	j := entryJSON{Kind: string(e.Kind), Key: hex.EncodeToString(e.Key[:]), ID: string(e.ID), OutcomeUnknown: e.OutcomeUnknown}
	if e.Kind.IsClaim() {
		j.RequestHash = hex.EncodeToString(e.RequestHash[:])
		claimedAt := e.ClaimedAt.UTC()
		j.ClaimedAt = &claimedAt
	}
	if e.Response != nil {
		j.Response = &responseJSON{Status: e.Response.Status, Header: e.Response.Header, Body: e.Response.Body}
	}
	return j
}

// Decode decodes a record. The result depends on the data alone, so that all
// nodes skip the same records.
func Decode(data []byte) (Batch, error) {
	if len(data) > MaxRecordBytes {
		return Batch{}, errors.Newf("record of %d bytes is too large", len(data))
	}
	var j batchJSON
	if err := json.Unmarshal(data, &j); err != nil {
		return Batch{}, err
	}
	if j.Format != FormatVersion {
		return Batch{}, errors.Newf("unknown record format %d", j.Format)
	}
	b := Batch{Node: quetzalroad.NodeName(j.Node), Entries: make([]Entry, len(j.Entries))}
	for i, e := range j.Entries {
		entry, err := decodeEntry(e)
		if err != nil {
			return Batch{}, errors.Wrapf(err, "decode entry %d", i)
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
	case EntryClaim, EntryRestatement:
		if j.ClaimedAt == nil {
			return Entry{}, errors.New("claim has no time")
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
	return Entry{}, errors.Newf("unknown step %q", j.Kind)
}

func decodeHash(encoded string, hash *quetzalroad.KeyHash) error {
	decoded, err := hex.DecodeString(encoded)
	if err != nil {
		return err
	}
	if len(decoded) != len(hash) {
		return errors.Newf("hash has invalid length of %d bytes", len(decoded))
	}
	copy(hash[:], decoded)
	return nil
}
