// Package claimmapper maps the records of the claims stream to and from JSON.
package claimmapper

import (
	"encoding/hex"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/quetzalroad/quetzalroad"
)

// Format is the version of the records this package writes.
const Format = 1

// MaxRecordBytes bounds a record; larger ones are set aside.
const MaxRecordBytes = 1 << 20

// Step tells the entries of a batch apart.
type Step string

// The steps.
const (
	// StepClaim asks for the key.
	StepClaim Step = "claim"
	// StepDone tells the outcome.
	StepDone Step = "done"
	// StepRelease frees the key, as its request surely was not run.
	StepRelease Step = "release"
)

// Entry is one step of one key.
type Entry struct {
	Step Step
	Key  quetzalroad.KeyHash
	// Call identifies what is asked for; set for claims.
	Call quetzalroad.KeyHash
	ID   quetzalroad.RequestID
	// At is the claiming node's time; set for claims.
	At time.Time
	// Answer is set where a done entry has one to keep.
	Answer *quetzalroad.ServiceResponse
	// Lost tells that the outcome isn't known; set for done entries.
	Lost bool
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
	Step   string      `json:"step"`
	Key    string      `json:"key"`
	Call   string      `json:"call,omitempty"`
	ID     string      `json:"id"`
	At     *time.Time  `json:"at,omitempty"`
	Answer *answerJSON `json:"answer,omitempty"`
	Lost   bool        `json:"lost,omitempty"`
}

type answerJSON struct {
	Status int                 `json:"status"`
	Header map[string][]string `json:"header,omitempty"`
	Body   []byte              `json:"body,omitempty"`
}

// Encode gives the record of a batch.
func Encode(b Batch) ([]byte, error) {
	j := batchJSON{Format: Format, Node: string(b.Node), Entries: make([]entryJSON, len(b.Entries))}
	for i, e := range b.Entries {
		j.Entries[i] = encodeEntry(e)
	}
	return json.Marshal(j)
}

func encodeEntry(e Entry) entryJSON {
	j := entryJSON{Step: string(e.Step), Key: hex.EncodeToString(e.Key[:]), ID: string(e.ID), Lost: e.Lost}
	if e.Step == StepClaim {
		j.Call = hex.EncodeToString(e.Call[:])
		at := e.At.UTC()
		j.At = &at
	}
	if e.Answer != nil {
		j.Answer = &answerJSON{Status: e.Answer.Status, Header: e.Answer.Header, Body: e.Answer.Body}
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
	if j.Format != Format {
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
	e := Entry{Step: Step(j.Step), ID: quetzalroad.RequestID(j.ID), Lost: j.Lost}
	if err := decodeHash(j.Key, &e.Key); err != nil {
		return Entry{}, err
	}
	switch e.Step {
	case StepClaim:
		if j.At == nil {
			return Entry{}, errors.New("claim without a time")
		}
		e.At = *j.At
		return e, decodeHash(j.Call, &e.Call)
	case StepDone:
		if j.Answer != nil {
			e.Answer = &quetzalroad.ServiceResponse{Status: j.Answer.Status, Header: j.Answer.Header, Body: j.Answer.Body}
		}
		return e, nil
	case StepRelease:
		return e, nil
	}
	return Entry{}, errors.Newf("step %q", j.Step)
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
