// Package vmlistserver stands in for the platform's list of VMs, which lags.
package vmlistserver

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"sort"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/cmd/quetzalemu/faultinjector"
)

// maxBytes bounds the body of a change.
const maxBytes = 4 << 10

// version is a VM as it was from a moment on; nil once it is gone.
type version struct {
	since time.Time
	vm    *quetzalroad.VM
}

// Server is the list. The zero value is empty and does not lag.
type Server struct {
	// Injector brings faults about.
	Injector faultinjector.Injector
	// Lag is how late the list shows changes.
	Lag time.Duration

	mu sync.Mutex
	// versions holds the versions of each VM in order of time and is guarded
	// by mu.
	versions map[string][]version
}

// Put adds or changes a VM.
func (s *Server) Put(now time.Time, v quetzalroad.VM) {
	s.addVersion(v.Name, version{since: now, vm: &v})
}

func (s *Server) addVersion(name string, v version) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.versions == nil {
		s.versions = make(map[string][]version)
	}
	s.versions[name] = append(s.versions[name], v)
}

// visible lists the VMs as they were before the lag.
func (s *Server) visible(now time.Time) []quetzalroad.VM {
	s.mu.Lock()
	defer s.mu.Unlock()
	asOf := now.Add(-s.Lag)
	var list []quetzalroad.VM
	for _, versions := range s.versions {
		var vm *quetzalroad.VM
		for i, v := range versions {
			// The first version shows at once, as the list is older than the
			// stand-in.
			if i == 0 || !v.since.After(asOf) {
				vm = v.vm
			}
		}
		if vm != nil {
			list = append(list, *vm)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	return list
}

// Handler gives the list's HTTP face. PUT and DELETE on a VM are for tests.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/vms", s.handleList)
	mux.HandleFunc("PUT /v1/vms/{name}", s.handlePut)
	mux.HandleFunc("DELETE /v1/vms/{name}", s.handleDelete)
	mux.HandleFunc("GET /stats", s.handleList)
	return mux
}

type listJSON struct {
	VMs []vmJSON `json:"vms"`
}

type vmJSON struct {
	Name       string `json:"name"`
	Role       string `json:"role"`
	Address    string `json:"address"`
	DataCentre string `json:"data-centre"`
	State      string `json:"state"`
}

// handleList answers with the list, or without a body where the caller has it.
func (s *Server) handleList(w http.ResponseWriter, r *http.Request) {
	j := listJSON{VMs: []vmJSON{}}
	for _, v := range s.visible(time.Now()) {
		j.VMs = append(j.VMs, vmJSON{
			Name: v.Name, Role: v.Role, Address: v.Address.String(), DataCentre: string(v.DataCentre), State: string(v.State),
		})
	}
	data, err := json.Marshal(j)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	etag := fmt.Sprintf(`"%x"`, xxhash.Sum64(data))
	w.Header().Set("ETag", etag)
	if r.Header.Get("If-None-Match") == etag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	// A client that is gone doesn't miss the answer.
	_, _ = w.Write(data)
}

// put changes a VM; what the body leaves out stays as it was.
func (s *Server) handlePut(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	var j vmJSON
	if err := json.Unmarshal(data, &j); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	v, _ := s.latest(r.PathValue("name"))
	v.Name = r.PathValue("name")
	if j.Role != "" {
		v.Role = j.Role
	}
	if j.DataCentre != "" {
		v.DataCentre = quetzalroad.DataCentre(j.DataCentre)
	}
	if j.State != "" {
		v.State = quetzalroad.VMState(j.State)
	}
	if j.Address != "" {
		v.Address, err = netip.ParseAddrPort(j.Address)
	}
	if err != nil || !v.Address.IsValid() || v.Role == "" || v.State == "" {
		http.Error(w, "a VM needs a role, an address and a state", http.StatusBadRequest)
		return
	}
	s.Put(time.Now(), v)
}

func (s *Server) latest(name string) (quetzalroad.VM, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	versions := s.versions[name]
	if len(versions) == 0 || versions[len(versions)-1].vm == nil {
		return quetzalroad.VM{}, false
	}
	return *versions[len(versions)-1].vm, true
}

func (s *Server) handleDelete(_ http.ResponseWriter, r *http.Request) {
	s.addVersion(r.PathValue("name"), version{since: time.Now()})
}
