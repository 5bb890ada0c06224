package adminserver

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/uptrace/bunrouter"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/codecs/objectmapper"
)

// kinds maps the plural in a path to the kind of object.
var kinds = map[string]quetzalroad.ObjectKind{
	"profiles":  quetzalroad.ObjectProfile,
	"teams":     quetzalroad.ObjectTeam,
	"services":  quetzalroad.ObjectService,
	"upstreams": quetzalroad.ObjectUpstream,
}

// pageSize is the number of objects in a page that asks for none.
const pageSize = 100

// maxPage bounds the number of objects in a page.
const maxPage = 1000

// named is an object with its name and revision.
type named struct {
	name     string
	revision quetzalroad.Revision
	object   quetzalroad.Object
}

func kindOf(r bunrouter.Request) (quetzalroad.ObjectKind, error) {
	kind, ok := kinds[r.Param("kind")]
	if !ok {
		return "", failure(http.StatusNotFound, "not-found", "there are no %q; known are profiles, teams, services and upstreams", r.Param("kind"))
	}
	return kind, nil
}

// all lists the objects of a kind in order of name.
func (s *Server) all(kind quetzalroad.ObjectKind) []named {
	var list []named
	d := s.node.Directory
	switch kind {
	case quetzalroad.ObjectProfile:
		for _, p := range d.Profiles() {
			list = append(list, named{string(p.Name), p.Revision, quetzalroad.Object{Profile: &p}})
		}
	case quetzalroad.ObjectTeam:
		for _, t := range d.Teams() {
			list = append(list, named{string(t.Name), t.Revision, quetzalroad.Object{Team: &t}})
		}
	case quetzalroad.ObjectService:
		for _, v := range d.Services() {
			list = append(list, named{string(v.Name), v.Revision, quetzalroad.Object{Service: &v}})
		}
	case quetzalroad.ObjectUpstream:
		for _, u := range d.Upstreams() {
			list = append(list, named{string(u.Name), u.Revision, quetzalroad.Object{Upstream: &u}})
		}
	}
	return list
}

func (s *Server) find(kind quetzalroad.ObjectKind, name string) (named, bool) {
	d := s.node.Directory
	switch kind {
	case quetzalroad.ObjectProfile:
		p, ok := d.Profile(quetzalroad.ProfileName(name))
		return named{name, p.Revision, quetzalroad.Object{Profile: &p}}, ok
	case quetzalroad.ObjectTeam:
		t, ok := d.Team(quetzalroad.TeamName(name))
		return named{name, t.Revision, quetzalroad.Object{Team: &t}}, ok
	case quetzalroad.ObjectService:
		v, ok := d.Service(quetzalroad.ServiceName(name))
		return named{name, v.Revision, quetzalroad.Object{Service: &v}}, ok
	case quetzalroad.ObjectUpstream:
		u, ok := d.Upstream(quetzalroad.UpstreamName(name))
		return named{name, u.Revision, quetzalroad.Object{Upstream: &u}}, ok
	}
	return named{}, false
}

type pageJSON struct {
	Items []json.RawMessage `json:"items"`
	// Next is the name to give as "after" for the next page; empty on the
	// last one.
	Next string `json:"next,omitempty"`
}

func (s *Server) list(w http.ResponseWriter, r bunrouter.Request) error {
	kind, err := kindOf(r)
	if err != nil {
		return err
	}
	limit := pageSize
	if text := r.URL.Query().Get("limit"); text != "" {
		limit, err = strconv.Atoi(text)
		if err != nil || limit < 1 || limit > maxPage {
			return failure(http.StatusBadRequest, "malformed", "limit %q is not between 1 and %d", text, maxPage)
		}
	}
	all := s.all(kind)
	after := r.URL.Query().Get("after")
	start := sort.Search(len(all), func(i int) bool { return all[i].name > after })
	page := pageJSON{Items: []json.RawMessage{}}
	for i := start; i < len(all); i++ {
		if len(page.Items) == limit {
			page.Next = all[i-1].name
			break
		}
		data, err := objectmapper.Encode(all[i].object)
		if err != nil {
			return err
		}
		page.Items = append(page.Items, data)
	}
	answer(w, http.StatusOK, page)
	return nil
}

func tag(r quetzalroad.Revision) string {
	return `"` + strconv.FormatInt(int64(r), 10) + `"`
}

func (s *Server) get(w http.ResponseWriter, r bunrouter.Request) error {
	kind, err := kindOf(r)
	if err != nil {
		return err
	}
	return s.show(w, kind, r.Param("name"))
}

func (s *Server) show(w http.ResponseWriter, kind quetzalroad.ObjectKind, name string) error {
	o, ok := s.find(kind, name)
	if !ok {
		return failure(http.StatusNotFound, "not-found", "there is no %s %q", kind, name)
	}
	data, err := objectmapper.Encode(o.object)
	if err != nil {
		return err
	}
	w.Header().Set("ETag", tag(o.revision))
	answer(w, http.StatusOK, json.RawMessage(data))
	return nil
}

// author names the operator for the record.
func author(r *http.Request) string {
	if name := r.Header.Get("Quetzalroad-Author"); name != "" {
		return name[:min(len(name), 100)]
	}
	return "admin-api"
}

func (s *Server) put(w http.ResponseWriter, r bunrouter.Request) error {
	kind, err := kindOf(r)
	if err != nil {
		return err
	}
	base, err := revision(r.Request)
	if err != nil {
		return err
	}
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		return failure(http.StatusBadRequest, "malformed", "the body can't be read: %v", err)
	}
	object, err := decodeBody(kind, data)
	if err != nil {
		return err
	}
	if err := checkName(object, r.Param("name")); err != nil {
		return err
	}
	return s.publish(w, r.Request, quetzalroad.Change{Kind: kind, Name: r.Param("name"), BaseRevision: base, Object: object})
}

func decodeBody(kind quetzalroad.ObjectKind, data []byte) (quetzalroad.Object, error) {
	if len(bytes.TrimSpace(data)) == 0 || bytes.Equal(bytes.TrimSpace(data), []byte("null")) {
		return quetzalroad.Object{}, failure(http.StatusBadRequest, "malformed", "the body is empty")
	}
	object, err := objectmapper.Decode(kind, data)
	var invalid *quetzalroad.InvalidError
	if err == nil || errors.As(err, &invalid) {
		return object, err
	}
	return quetzalroad.Object{}, failure(http.StatusBadRequest, "malformed", "the body is not a %s: %v", kind, err)
}

func checkName(o quetzalroad.Object, name string) error {
	got := ""
	switch {
	case o.Profile != nil:
		got = string(o.Profile.Name)
	case o.Team != nil:
		got = string(o.Team.Name)
	case o.Service != nil:
		got = string(o.Service.Name)
	case o.Upstream != nil:
		got = string(o.Upstream.Name)
	}
	if got != name {
		return &quetzalroad.InvalidError{Problems: []quetzalroad.Problem{{Path: "name", Message: "is " + strconv.Quote(got) + ", and the path says " + strconv.Quote(name)}}}
	}
	return nil
}

func (s *Server) remove(w http.ResponseWriter, r bunrouter.Request) error {
	kind, err := kindOf(r)
	if err != nil {
		return err
	}
	base, err := revision(r.Request)
	if err != nil {
		return err
	}
	if base == 0 {
		return failure(http.StatusBadRequest, "malformed", "what does not exist can't be deleted")
	}
	return s.publish(w, r.Request, quetzalroad.Change{Kind: kind, Name: r.Param("name"), BaseRevision: base})
}

type acceptedJSON struct {
	ChangeID string `json:"change-id"`
	Offset   int64  `json:"offset"`
	Revision int64  `json:"revision"`
}

func (s *Server) publish(w http.ResponseWriter, r *http.Request, c quetzalroad.Change) error {
	c.ID = quetzalroad.ChangeID(uuid.NewString())
	c.Author = author(r)
	v, err := s.node.Publisher.Publish(r.Context(), c)
	if err != nil {
		return err
	}
	s.logger.Info("change published", "kind", string(c.Kind), "name", c.Name, "author", c.Author, "offset", int64(v.Offset))
	w.Header().Set("ETag", tag(v.Revision))
	answer(w, http.StatusOK, acceptedJSON{ChangeID: string(c.ID), Offset: int64(v.Offset), Revision: int64(v.Revision)})
	return nil
}

func (s *Server) drain(w http.ResponseWriter, r bunrouter.Request) error {
	v, err := s.node.Drainer.Drain(r.Context(), quetzalroad.UpstreamName(r.Param("name")), author(r.Request))
	return s.drained(w, v, err)
}

func (s *Server) undrain(w http.ResponseWriter, r bunrouter.Request) error {
	v, err := s.node.Drainer.Undrain(r.Context(), quetzalroad.UpstreamName(r.Param("name")), author(r.Request))
	return s.drained(w, v, err)
}

type drainJSON struct {
	Revision int64 `json:"revision"`
	// Published tells that the log has it; without it the drain is in force
	// on the nodes that can be reached and is published when the log is back.
	Published bool `json:"published"`
}

func (s *Server) drained(w http.ResponseWriter, v quetzalroad.ChangeResult, err error) error {
	var unconfirmed *quetzalroad.UnconfirmedError
	if errors.As(err, &unconfirmed) {
		answer(w, http.StatusAccepted, drainJSON{})
		return nil
	}
	if err != nil {
		return err
	}
	answer(w, http.StatusOK, drainJSON{Revision: int64(v.Revision), Published: true})
	return nil
}
