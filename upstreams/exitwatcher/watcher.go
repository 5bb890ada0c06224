// Package exitwatcher tells whether the process of an upstream outlived a response that it sent.
//
// Nothing but the end of its connection ends a response without a length and chunks, and the connections of a process
// that exits end like one that the process closes. So a second connection, on which nothing is sent, is kept open
// while such a response arrives: it stays open if the process closes the other one, and ends with it if the process
// exits. Neither the registration of the upstream nor what it states about itself matters.
package exitwatcher

import (
	"context"
	"net"
	"net/netip"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/quetzalroad/quetzalroad"
)

// DialFunc opens a connection to an upstream.
type DialFunc func(ctx context.Context, u quetzalroad.Upstream) (net.Conn, error)

// shardCount is the number of shards of the watched processes.
const shardCount = 16

// Watcher watches the processes of upstreams. Responses of one process share a connection. The zero value is ready for
// use once Dial is set.
type Watcher struct {
	// Dial opens a connection to an upstream, within a timeout of its own. An error of a refused connection is
	// syscall.ECONNREFUSED.
	Dial   DialFunc
	shards [shardCount]shard
}

// shard holds the processes whose upstreams' names hash to it.
type shard struct {
	mu sync.Mutex
	// processes is guarded by mu and allocated on first use.
	processes map[processKey]*process
}

// processKey identifies a process as far as its upstream's registration does.
type processKey struct {
	name    quetzalroad.UpstreamName
	address netip.AddrPort
}

// Watch watches the process of an upstream during a response, from its head on. The caller must call Stop.
func (w *Watcher) Watch(u quetzalroad.Upstream) *Watch {
	key := processKey{name: u.Name, address: u.Address}
	sh := &w.shards[xxhash.Sum64String(string(u.Name))%shardCount]
	sh.mu.Lock()
	defer sh.mu.Unlock()
	p := sh.processes[key]
	if p == nil {
		p = startProcess(w.Dial, u)
		if sh.processes == nil {
			sh.processes = make(map[processKey]*process)
		}
		sh.processes[key] = p
	}
	p.watches++
	return &Watch{process: p, shard: sh, key: key}
}

// Watch is the watch of a process during one response.
type Watch struct {
	process *process
	shard   *shard
	key     processKey
}

// OutlivedResponse reports whether the process is known to have run on after the response, which has ended. conn is
// the connection on which the response arrived; nil if unknown. It is false if the process exited then, and also if
// that can't be told within a second or two, for example because the network is cut.
func (w *Watch) OutlivedResponse(ctx context.Context, conn net.Conn) bool {
	return w.process.outlived(ctx, dataAge(conn))
}

// Stop ends the watch. It must be called once.
func (w *Watch) Stop() {
	w.shard.mu.Lock()
	defer w.shard.mu.Unlock()
	w.process.watches--
	if w.process.watches == 0 {
		delete(w.shard.processes, w.key)
		w.process.stop()
	}
}
