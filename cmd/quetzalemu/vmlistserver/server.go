// Package vmlistserver emulates the platform's VM list, which shows changes with a lag.
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

// maxBodyBytes limits the body of a change.
const maxBodyBytes = 4 << 10

// version is the state of a VM since a point in time; vm is nil once the VM is deleted.
type version struct {
	since time.Time
	vm    *quetzalroad.VM
}

// Server is the emulated VM list. The zero value is empty and has no lag.
type Server struct {
	// Injector injects faults.
	Injector faultinjector.Injector
	// Lag is the delay until a change to a listed VM is visible.
	Lag time.Duration

	mu sync.Mutex
	// versions holds the versions of each VM, oldest first, and is guarded by mu.
	versions map[string][]version
}

// Put creates or updates a VM.
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

// visible returns the VMs as they were Lag ago.
func (s *Server) visible(now time.Time) []quetzalroad.VM {
	s.mu.Lock()
	defer s.mu.Unlock()
	asOf := now.Add(-s.Lag)
	var list []quetzalroad.VM
	for _, versions := range s.versions {
		var vm *quetzalroad.VM
		for i, v := range versions {
			// The first version is visible at once, since the list that the server emulates existed
			// before the emulator started.
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

// Handler returns the HTTP handler of the VM list API. PUT and DELETE of a VM exist for tests only.
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

// handleList returns the list, or status 304 if the caller's ETag matches.
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
	// The client may have disconnected.
	_, _ = w.Write(data)
}

// handlePut creates or updates a VM; fields missing in the body keep their values.
func (s *Server) handlePut(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
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
