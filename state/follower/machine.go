package follower

import (
	"encoding/json"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/codecs/objectmapper"
	"github.com/quetzalroad/quetzalroad/codecs/recordmapper"
	"github.com/quetzalroad/quetzalroad/state/storer"
)

// rememberedChanges is the number of changes whose verdicts are kept, so that
// a repeated append of a change is recognised.
const rememberedChanges = 4096

// decided is a remembered verdict.
type decided struct {
	id      quetzalroad.ChangeID
	verdict quetzalroad.ChangeResult
}

// machine applies records to the store. What it does depends on the records
// and their offsets alone, so that all nodes reach the same state. It is not
// safe for concurrent use; the store it writes is.
type machine struct {
	store storer.Store
	// recent holds the last verdicts, oldest first, at most
	// rememberedChanges; byID leads to them and has the same members.
	recent []decided
	byID   map[quetzalroad.ChangeID]quetzalroad.ChangeResult
}

// applyChange decides on a change. A change seen before gets its first
// verdict again and changes nothing.
func (m *machine) applyChange(offset quetzalroad.Offset, c *quetzalroad.Change) quetzalroad.ChangeResult {
	if v, seen := m.byID[c.ID]; seen {
		return v
	}
	v := m.decide(offset, c)
	m.remember(c.ID, v)
	return v
}

func (m *machine) decide(offset quetzalroad.Offset, c *quetzalroad.Change) quetzalroad.ChangeResult {
	current := m.store.RevisionOf(c.Kind, c.Name)
	if current != c.BaseRevision {
		return quetzalroad.ChangeResult{Offset: offset, Revision: current, RejectReason: "another change came first"}
	}
	revision := quetzalroad.RevisionAt(offset)
	o := stamp(c.Object, revision)
	m.store.Put(c.Kind, c.Name, o)
	if o == (quetzalroad.Object{}) {
		revision = 0
	}
	return quetzalroad.ChangeResult{Offset: offset, Accepted: true, Revision: revision}
}

// stamp gives a copy of an object with its revision set.
func stamp(o quetzalroad.Object, r quetzalroad.Revision) quetzalroad.Object {
	switch {
	case o.Profile != nil:
		p := *o.Profile
		p.Revision = r
		return quetzalroad.Object{Profile: &p}
	case o.Team != nil:
		t := *o.Team
		t.Revision = r
		return quetzalroad.Object{Team: &t}
	case o.Service != nil:
		s := *o.Service
		s.Revision = r
		return quetzalroad.Object{Service: &s}
	case o.Upstream != nil:
		u := *o.Upstream
		u.Revision = r
		return quetzalroad.Object{Upstream: &u}
	}
	return o
}

func (m *machine) remember(id quetzalroad.ChangeID, v quetzalroad.ChangeResult) {
	if m.byID == nil {
		m.byID = make(map[quetzalroad.ChangeID]quetzalroad.ChangeResult)
	}
	m.byID[id] = v
	m.recent = append(m.recent, decided{id: id, verdict: v})
	if len(m.recent) <= rememberedChanges {
		return
	}
	delete(m.byID, m.recent[0].id)
	m.recent = slices.Clone(m.recent[1:])
}

type snapshotJSON struct {
	Covers  int64         `json:"covers"`
	Objects []objectJSON  `json:"objects"`
	Recent  []decidedJSON `json:"recent"`
}

type objectJSON struct {
	Kind   string          `json:"kind"`
	Object json.RawMessage `json:"object"`
}

type decidedJSON struct {
	ID       string `json:"id"`
	Offset   int64  `json:"offset"`
	Accepted bool   `json:"accepted"`
	Revision int64  `json:"revision"`
	Problem  string `json:"problem,omitempty"`
}

// snapshot gives the whole state as of the last record applied.
func (m *machine) snapshot() ([]byte, error) {
	j := snapshotJSON{Covers: int64(m.store.AppliedOffset())}
	for _, o := range m.objects() {
		data, err := objectmapper.Encode(o.object)
		if err != nil {
			return nil, err
		}
		j.Objects = append(j.Objects, objectJSON{Kind: string(o.kind), Object: data})
	}
	for _, d := range m.recent {
		j.Recent = append(j.Recent, decidedJSON{
			ID: string(d.id), Offset: int64(d.verdict.Offset), Accepted: d.verdict.Accepted,
			Revision: int64(d.verdict.Revision), Problem: d.verdict.RejectReason,
		})
	}
	return json.Marshal(j)
}

// kinded is an object with its kind.
type kinded struct {
	kind   quetzalroad.ObjectKind
	object quetzalroad.Object
}

// objects lists the whole state in an order that depends on it alone.
func (m *machine) objects() []kinded {
	var all []kinded
	for _, p := range m.store.Profiles() {
		all = append(all, kinded{quetzalroad.ObjectProfile, quetzalroad.Object{Profile: &p}})
	}
	for _, t := range m.store.Teams() {
		all = append(all, kinded{quetzalroad.ObjectTeam, quetzalroad.Object{Team: &t}})
	}
	for _, s := range m.store.Services() {
		all = append(all, kinded{quetzalroad.ObjectService, quetzalroad.Object{Service: &s}})
	}
	for _, u := range m.store.Upstreams() {
		all = append(all, kinded{quetzalroad.ObjectUpstream, quetzalroad.Object{Upstream: &u}})
	}
	return all
}

// errOlder refuses a snapshot that would take the state back.
var errOlder = errors.New("snapshot is older than the state")

// restore replaces the state by a snapshot that covers more than it.
func (m *machine) restore(data []byte) error {
	var j snapshotJSON
	if err := json.Unmarshal(data, &j); err != nil {
		return errors.Wrap(err, "decode snapshot")
	}
	covers := quetzalroad.Offset(j.Covers)
	if covers <= m.store.AppliedOffset() {
		return errOlder
	}
	objects := make([]kinded, len(j.Objects))
	for i, o := range j.Objects {
		kind := quetzalroad.ObjectKind(o.Kind)
		object, err := objectmapper.Decode(kind, o.Object)
		if err != nil {
			return errors.Wrapf(err, "decode object %d of snapshot", i)
		}
		objects[i] = kinded{kind, object}
	}
	m.fill(objects, j.Recent)
	m.store.SetAppliedOffset(covers)
	return nil
}

func (m *machine) fill(objects []kinded, recent []decidedJSON) {
	m.store.Clear()
	for _, o := range objects {
		m.store.Put(o.kind, nameOf(o.object), o.object)
	}
	m.recent = nil
	m.byID = nil
	for _, d := range recent {
		m.remember(quetzalroad.ChangeID(d.ID), quetzalroad.ChangeResult{
			Offset: quetzalroad.Offset(d.Offset), Accepted: d.Accepted,
			Revision: quetzalroad.Revision(d.Revision), RejectReason: d.Problem,
		})
	}
}

func nameOf(o quetzalroad.Object) string {
	switch {
	case o.Profile != nil:
		return string(o.Profile.Name)
	case o.Team != nil:
		return string(o.Team.Name)
	case o.Service != nil:
		return string(o.Service.Name)
	case o.Upstream != nil:
		return string(o.Upstream.Name)
	}
	return ""
}

// apply takes one record of the log. Records that are not the next one are
// left out; it tells whether the record was taken.
func (m *machine) apply(r quetzalroad.Record) (entry recordmapper.Entry, verdict quetzalroad.ChangeResult, err error) {
	entry, err = recordmapper.Decode(r.Data)
	if err == nil && entry.Change != nil {
		verdict = m.applyChange(r.Offset, entry.Change)
	}
	m.store.SetAppliedOffset(r.Offset)
	return entry, verdict, err
}
