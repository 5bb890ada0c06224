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

// kindsByPlural maps the path segment of a collection to its object kind.
var kindsByPlural = map[string]quetzalroad.ObjectKind{
	"profiles":  quetzalroad.ObjectProfile,
	"teams":     quetzalroad.ObjectTeam,
	"services":  quetzalroad.ObjectService,
	"upstreams": quetzalroad.ObjectUpstream,
}

// defaultPageSize is the page size if the request sets no limit.
const defaultPageSize = 100

// maxPageSize is the largest limit that a request may set.
const maxPageSize = 1000

// namedObject is an object with its name and revision.
type namedObject struct {
	name     string
	revision quetzalroad.Revision
	object   quetzalroad.Object
}

func kindParam(r bunrouter.Request) (quetzalroad.ObjectKind, error) {
	kind, ok := kindsByPlural[r.Param("kind")]
	if !ok {
		return "", newStatusError(http.StatusNotFound, "not-found", "there are no %q; known are profiles, teams, services and upstreams", r.Param("kind"))
	}
	return kind, nil
}

// listObjects returns the objects of a kind, sorted by name.
func (s *Server) listObjects(kind quetzalroad.ObjectKind) []namedObject {
	var objects []namedObject
	directory := s.node.Directory
	switch kind {
	case quetzalroad.ObjectProfile:
		for _, profile := range directory.Profiles() {
			objects = append(objects, namedObject{string(profile.Name), profile.Revision, quetzalroad.Object{Profile: &profile}})
		}
	case quetzalroad.ObjectTeam:
		for _, team := range directory.Teams() {
			objects = append(objects, namedObject{string(team.Name), team.Revision, quetzalroad.Object{Team: &team}})
		}
	case quetzalroad.ObjectService:
		for _, service := range directory.Services() {
			objects = append(objects, namedObject{string(service.Name), service.Revision, quetzalroad.Object{Service: &service}})
		}
	case quetzalroad.ObjectUpstream:
		for _, upstream := range directory.Upstreams() {
			objects = append(objects, namedObject{string(upstream.Name), upstream.Revision, quetzalroad.Object{Upstream: &upstream}})
		}
	}
	return objects
}

func (s *Server) findObject(kind quetzalroad.ObjectKind, name string) (namedObject, bool) {
	directory := s.node.Directory
	switch kind {
	case quetzalroad.ObjectProfile:
		profile, ok := directory.Profile(quetzalroad.ProfileName(name))
		return namedObject{name, profile.Revision, quetzalroad.Object{Profile: &profile}}, ok
	case quetzalroad.ObjectTeam:
		team, ok := directory.Team(quetzalroad.TeamName(name))
		return namedObject{name, team.Revision, quetzalroad.Object{Team: &team}}, ok
	case quetzalroad.ObjectService:
		service, ok := directory.Service(quetzalroad.ServiceName(name))
		return namedObject{name, service.Revision, quetzalroad.Object{Service: &service}}, ok
	case quetzalroad.ObjectUpstream:
		upstream, ok := directory.Upstream(quetzalroad.UpstreamName(name))
		return namedObject{name, upstream.Revision, quetzalroad.Object{Upstream: &upstream}}, ok
	}
	return namedObject{}, false
}

type pageJSON struct {
	Items []json.RawMessage `json:"items"`
	// Next is the value of the "after" parameter for the next page; empty on the last one.
	Next string `json:"next,omitempty"`
}

func (s *Server) handleList(w http.ResponseWriter, r bunrouter.Request) error {
	kind, err := kindParam(r)
	if err != nil {
		return err
	}
	limit := defaultPageSize
	if limitParam := r.URL.Query().Get("limit"); limitParam != "" {
		limit, err = strconv.Atoi(limitParam)
		if err != nil || limit < 1 || limit > maxPageSize {
			return newStatusError(http.StatusBadRequest, "malformed", "limit %q is not between 1 and %d", limitParam, maxPageSize)
		}
	}
	objects := s.listObjects(kind)
	after := r.URL.Query().Get("after")
	first := sort.Search(len(objects), func(i int) bool { return objects[i].name > after })
	page := pageJSON{Items: []json.RawMessage{}}
	for i := first; i < len(objects); i++ {
		if len(page.Items) == limit {
			page.Next = objects[i-1].name
			break
		}
		data, err := objectmapper.Encode(objects[i].object)
		if err != nil {
			return err
		}
		page.Items = append(page.Items, data)
	}
	writeJSON(w, http.StatusOK, page)
	return nil
}

func etag(revision quetzalroad.Revision) string {
	return `"` + strconv.FormatInt(int64(revision), 10) + `"`
}

func (s *Server) handleGet(w http.ResponseWriter, r bunrouter.Request) error {
	kind, err := kindParam(r)
	if err != nil {
		return err
	}
	return s.writeObject(w, kind, r.Param("name"))
}

func (s *Server) writeObject(w http.ResponseWriter, kind quetzalroad.ObjectKind, name string) error {
	object, ok := s.findObject(kind, name)
	if !ok {
		return newStatusError(http.StatusNotFound, "not-found", "there is no %s %q", kind, name)
	}
	data, err := objectmapper.Encode(object.object)
	if err != nil {
		return err
	}
	w.Header().Set("ETag", etag(object.revision))
	writeJSON(w, http.StatusOK, json.RawMessage(data))
	return nil
}

// requestAuthor returns the operator's name from the header, or a default. It is recorded with a change.
func requestAuthor(r *http.Request) string {
	if name := r.Header.Get("Quetzalroad-Author"); name != "" {
		return name[:min(len(name), 100)]
	}
	return "admin-api"
}

func (s *Server) handlePut(w http.ResponseWriter, r bunrouter.Request) error {
	kind, err := kindParam(r)
	if err != nil {
		return err
	}
	baseRevision, err := parseBaseRevision(r.Request)
	if err != nil {
		return err
	}
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		return newStatusError(http.StatusBadRequest, "malformed", "the body can't be read: %v", err)
	}
	object, err := decodeBody(kind, data)
	if err != nil {
		return err
	}
	if err := checkName(object, r.Param("name")); err != nil {
		return err
	}
	return s.publishChange(w, r.Request, quetzalroad.Change{Kind: kind, Name: r.Param("name"), BaseRevision: baseRevision, Object: object})
}

func decodeBody(kind quetzalroad.ObjectKind, data []byte) (quetzalroad.Object, error) {
	if len(bytes.TrimSpace(data)) == 0 || bytes.Equal(bytes.TrimSpace(data), []byte("null")) {
		return quetzalroad.Object{}, newStatusError(http.StatusBadRequest, "malformed", "the body is empty")
	}
	object, err := objectmapper.Decode(kind, data)
	var invalid *quetzalroad.InvalidError
	if err == nil || errors.As(err, &invalid) {
		return object, err
	}
	return quetzalroad.Object{}, newStatusError(http.StatusBadRequest, "malformed", "the body is not a %s: %v", kind, err)
}

func checkName(object quetzalroad.Object, pathName string) error {
	objectName := ""
	switch {
	case object.Profile != nil:
		objectName = string(object.Profile.Name)
	case object.Team != nil:
		objectName = string(object.Team.Name)
	case object.Service != nil:
		objectName = string(object.Service.Name)
	case object.Upstream != nil:
		objectName = string(object.Upstream.Name)
	}
	if objectName != pathName {
		return &quetzalroad.InvalidError{Problems: []quetzalroad.Problem{{Path: "name", Message: "is " + strconv.Quote(objectName) + ", and the path says " + strconv.Quote(pathName)}}}
	}
	return nil
}

func (s *Server) handleDelete(w http.ResponseWriter, r bunrouter.Request) error {
	kind, err := kindParam(r)
	if err != nil {
		return err
	}
	baseRevision, err := parseBaseRevision(r.Request)
	if err != nil {
		return err
	}
	if baseRevision == 0 {
		return newStatusError(http.StatusBadRequest, "malformed", "what does not exist can't be deleted")
	}
	return s.publishChange(w, r.Request, quetzalroad.Change{Kind: kind, Name: r.Param("name"), BaseRevision: baseRevision})
}

type changeResultJSON struct {
	ChangeID string `json:"change-id"`
	Offset   int64  `json:"offset"`
	Revision int64  `json:"revision"`
}

func (s *Server) publishChange(w http.ResponseWriter, r *http.Request, change quetzalroad.Change) error {
	change.ID = quetzalroad.ChangeID(uuid.NewString())
	change.Author = requestAuthor(r)
	result, err := s.node.Publisher.Publish(r.Context(), change)
	if err != nil {
		return err
	}
	s.logger.Info("change published", "kind", string(change.Kind), "name", change.Name, "author", change.Author, "offset", int64(result.Offset))
	w.Header().Set("ETag", etag(result.Revision))
	writeJSON(w, http.StatusOK, changeResultJSON{ChangeID: string(change.ID), Offset: int64(result.Offset), Revision: int64(result.Revision)})
	return nil
}

func (s *Server) handleDrain(w http.ResponseWriter, r bunrouter.Request) error {
	result, err := s.node.Drainer.Drain(r.Context(), quetzalroad.UpstreamName(r.Param("name")), requestAuthor(r.Request))
	return s.writeDrainResult(w, result, err)
}

func (s *Server) handleUndrain(w http.ResponseWriter, r bunrouter.Request) error {
	result, err := s.node.Drainer.Undrain(r.Context(), quetzalroad.UpstreamName(r.Param("name")), requestAuthor(r.Request))
	return s.writeDrainResult(w, result, err)
}

type drainJSON struct {
	Revision int64 `json:"revision"`
	// Published is true if the change is in the log. If false, it is in force on
	// the reachable nodes and is published once the log is available again.
	Published bool `json:"published"`
}

func (s *Server) writeDrainResult(w http.ResponseWriter, result quetzalroad.ChangeResult, err error) error {
	var unconfirmed *quetzalroad.UnconfirmedError
	if errors.As(err, &unconfirmed) {
		writeJSON(w, http.StatusAccepted, drainJSON{})
		return nil
	}
	if err != nil {
		return err
	}
	writeJSON(w, http.StatusOK, drainJSON{Revision: int64(result.Revision), Published: true})
	return nil
}
