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

// maxRecentResults is the number of changes whose results are kept to recognise
// repeated appends of a change.
const maxRecentResults = 4096

// recentResult is the result of a recent change.
type recentResult struct {
	id     quetzalroad.ChangeID
	result quetzalroad.ChangeResult
}

// stateMachine applies records to the store. It is deterministic: the state depends
// only on the records and their offsets, so that all nodes reach the same one. It
// is not safe for concurrent use; its store is.
type stateMachine struct {
	store storer.Store
	// recent holds at most maxRecentResults results, oldest first; resultByID
	// holds the same ones by change.
	recent     []recentResult
	resultByID map[quetzalroad.ChangeID]quetzalroad.ChangeResult
}

// applyChange applies a change and returns its result. A repeated change returns
// its first result and has no effect.
func (m *stateMachine) applyChange(offset quetzalroad.Offset, c *quetzalroad.Change) quetzalroad.ChangeResult {
	if result, seen := m.resultByID[c.ID]; seen {
		return result
	}
	result := m.compareAndSet(offset, c)
	m.addResult(c.ID, result)
	return result
}

// compareAndSet applies a change if the object is still at the change's base revision.
func (m *stateMachine) compareAndSet(offset quetzalroad.Offset, c *quetzalroad.Change) quetzalroad.ChangeResult {
	current := m.store.RevisionOf(c.Kind, c.Name)
	if current != c.BaseRevision {
		return quetzalroad.ChangeResult{Offset: offset, Revision: current, RejectReason: "another change came first"}
	}
	revision := quetzalroad.RevisionAt(offset)
	o := withRevision(c.Object, revision)
	m.store.Put(c.Kind, c.Name, o)
	if o == (quetzalroad.Object{}) {
		revision = 0
	}
	return quetzalroad.ChangeResult{Offset: offset, Accepted: true, Revision: revision}
}

// withRevision returns a copy of an object with its revision set.
func withRevision(o quetzalroad.Object, r quetzalroad.Revision) quetzalroad.Object {
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

func (m *stateMachine) addResult(id quetzalroad.ChangeID, result quetzalroad.ChangeResult) {
	if m.resultByID == nil {
		m.resultByID = make(map[quetzalroad.ChangeID]quetzalroad.ChangeResult)
	}
	m.resultByID[id] = result
	m.recent = append(m.recent, recentResult{id: id, result: result})
	if len(m.recent) <= maxRecentResults {
		return
	}
	delete(m.resultByID, m.recent[0].id)
	m.recent = slices.Clone(m.recent[1:])
}

type snapshotJSON struct {
	Covers int64 `json:"covers"`
	// Objects is nil if the field is missing or null.
	Objects []objectJSON       `json:"objects"`
	Recent  []changeResultJSON `json:"recent"`
}

type objectJSON struct {
	Kind   string          `json:"kind"`
	Object json.RawMessage `json:"object"`
}

type changeResultJSON struct {
	ID       string `json:"id"`
	Offset   int64  `json:"offset"`
	Accepted bool   `json:"accepted"`
	Revision int64  `json:"revision"`
	Problem  string `json:"problem,omitempty"`
}

// snapshot encodes the whole state as of the last applied record.
func (m *stateMachine) snapshot() ([]byte, error) {
	j := snapshotJSON{Covers: int64(m.store.AppliedOffset()), Objects: []objectJSON{}}
	for _, o := range m.objects() {
		data, err := objectmapper.Encode(o.object)
		if err != nil {
			return nil, err
		}
		j.Objects = append(j.Objects, objectJSON{Kind: string(o.kind), Object: data})
	}
	for _, r := range m.recent {
		j.Recent = append(j.Recent, changeResultJSON{
			ID: string(r.id), Offset: int64(r.result.Offset), Accepted: r.result.Accepted,
			Revision: int64(r.result.Revision), Problem: r.result.RejectReason,
		})
	}
	return json.Marshal(j)
}

// stateObject is an object with its kind.
type stateObject struct {
	kind   quetzalroad.ObjectKind
	object quetzalroad.Object
}

// objects lists all objects in an order that depends only on the state.
func (m *stateMachine) objects() []stateObject {
	var all []stateObject
	for _, p := range m.store.Profiles() {
		all = append(all, stateObject{quetzalroad.ObjectProfile, quetzalroad.Object{Profile: &p}})
	}
	for _, t := range m.store.Teams() {
		all = append(all, stateObject{quetzalroad.ObjectTeam, quetzalroad.Object{Team: &t}})
	}
	for _, s := range m.store.Services() {
		all = append(all, stateObject{quetzalroad.ObjectService, quetzalroad.Object{Service: &s}})
	}
	for _, u := range m.store.Upstreams() {
		all = append(all, stateObject{quetzalroad.ObjectUpstream, quetzalroad.Object{Upstream: &u}})
	}
	return all
}

// errSnapshotNotNewer rejects a snapshot that would set the state back or repeat it.
var errSnapshotNotNewer = errors.New("snapshot is not newer than the current state")

// restore replaces the state by a snapshot that covers more records.
func (m *stateMachine) restore(data []byte) error {
	var j snapshotJSON
	if err := json.Unmarshal(data, &j); err != nil {
		return errors.Wrap(err, "decode snapshot")
	}
	covers := quetzalroad.Offset(j.Covers)
	if covers <= m.store.AppliedOffset() {
		return errSnapshotNotNewer
	}
	if j.Objects == nil {
		return errors.New("decode snapshot: no list of objects")
	}
	objects := make([]stateObject, len(j.Objects))
	for i, o := range j.Objects {
		kind := quetzalroad.ObjectKind(o.Kind)
		object, err := objectmapper.Decode(kind, o.Object)
		if err != nil {
			return errors.Wrapf(err, "decode object %d of snapshot", i)
		}
		if object == (quetzalroad.Object{}) {
			return errors.Newf("decode object %d of snapshot: it is empty", i)
		}
		objects[i] = stateObject{kind, object}
	}
	m.replaceContents(objects, j.Recent)
	m.store.SetAppliedOffset(covers)
	return nil
}

func (m *stateMachine) replaceContents(objects []stateObject, recent []changeResultJSON) {
	m.store.Clear()
	for _, o := range objects {
		m.store.Put(o.kind, objectName(o.object), o.object)
	}
	m.recent = nil
	m.resultByID = nil
	for _, j := range recent {
		m.addResult(quetzalroad.ChangeID(j.ID), quetzalroad.ChangeResult{
			Offset: quetzalroad.Offset(j.Offset), Accepted: j.Accepted,
			Revision: quetzalroad.Revision(j.Revision), RejectReason: j.Problem,
		})
	}
}

func objectName(o quetzalroad.Object) string {
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

// apply applies one record, which has to be the next one. An invalid record only
// advances the offset.
func (m *stateMachine) apply(r quetzalroad.Record) (entry recordmapper.Entry, result quetzalroad.ChangeResult, err error) {
	entry, err = recordmapper.Decode(r.Data)
	if err == nil && entry.Change != nil {
		result = m.applyChange(r.Offset, entry.Change)
	}
	m.store.SetAppliedOffset(r.Offset)
	return entry, result, err
}
