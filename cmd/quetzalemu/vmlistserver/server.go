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
	from time.Time
	vm   *quetzalroad.VM
}

// Lister is the list. The zero value is empty and does not lag.
type Lister struct {
	// Host brings faults about.
	Host faultinjector.Host
	// Lag is how late the list shows changes.
	Lag time.Duration

	mu sync.Mutex
	// versions holds the versions of each VM in order of time and is guarded
	// by mu.
	versions map[string][]version
}

// Put adds or changes a VM.
func (l *Lister) Put(now time.Time, v quetzalroad.VM) {
	l.add(v.Name, version{from: now, vm: &v})
}

func (l *Lister) add(name string, v version) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.versions == nil {
		l.versions = make(map[string][]version)
	}
	l.versions[name] = append(l.versions[name], v)
}

// shown lists the VMs as they were before the lag.
func (l *Lister) shown(now time.Time) []quetzalroad.VM {
	l.mu.Lock()
	defer l.mu.Unlock()
	at := now.Add(-l.Lag)
	var list []quetzalroad.VM
	for _, versions := range l.versions {
		var last *quetzalroad.VM
		for i, v := range versions {
			// The first version shows at once, as the list is older than the
			// stand-in.
			if i == 0 || !v.from.After(at) {
				last = v.vm
			}
		}
		if last != nil {
			list = append(list, *last)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	return list
}

// Handler gives the list's HTTP face. PUT and DELETE on a VM are for tests.
func (l *Lister) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/vms", l.list)
	mux.HandleFunc("PUT /v1/vms/{name}", l.put)
	mux.HandleFunc("DELETE /v1/vms/{name}", l.remove)
	mux.HandleFunc("GET /stats", l.list)
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

// list answers with the list, or without a body where the caller has it.
func (l *Lister) list(w http.ResponseWriter, r *http.Request) {
	j := listJSON{VMs: []vmJSON{}}
	for _, v := range l.shown(time.Now()) {
		j.VMs = append(j.VMs, vmJSON{
			Name: v.Name, Role: v.Role, Address: v.Address.String(), DataCentre: string(v.DataCentre), State: string(v.State),
		})
	}
	data, err := json.Marshal(j)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	version := fmt.Sprintf(`"%x"`, xxhash.Sum64(data))
	w.Header().Set("ETag", version)
	if r.Header.Get("If-None-Match") == version {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	// A client that is gone doesn't miss the answer.
	_, _ = w.Write(data)
}

// put changes a VM; what the body leaves out stays as it was.
func (l *Lister) put(w http.ResponseWriter, r *http.Request) {
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
	v, _ := l.latest(r.PathValue("name"))
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
	l.Put(time.Now(), v)
}

func (l *Lister) latest(name string) (quetzalroad.VM, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	versions := l.versions[name]
	if len(versions) == 0 || versions[len(versions)-1].vm == nil {
		return quetzalroad.VM{}, false
	}
	return *versions[len(versions)-1].vm, true
}

func (l *Lister) remove(_ http.ResponseWriter, r *http.Request) {
	l.add(r.PathValue("name"), version{from: time.Now()})
}
