package forwardclient

import (
	"net"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
)

// idleConns puts connections to an upstream into a shard, and returns their other ends.
func idleConns(shard *poolShard, count, maxShard int) []net.Conn {
	var others []net.Conn
	for range count {
		conn, other := net.Pipe()
		shard.put("u", newPersistConn(conn), time.Hour, count, maxShard)
		others = append(others, other)
	}
	return others
}

// A lack of descriptors counted as a fault of the upstream, while idle connections held them.
func TestDialIsRetriedWhileDescriptorsAreShort(t *testing.T) {
	for name, c := range map[string]struct {
		err      error
		failures int
		want     bool
		dials    int
	}{
		"short for a while":   {syscall.EMFILE, 2, true, 3},
		"short for too long":  {syscall.ENFILE, 1000, false, 6},
		"a fault of the peer": {syscall.ECONNREFUSED, 1, false, 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				client := &Client{dialTimeout: 300 * time.Millisecond}
				idleConns(&client.shards[0], 3, 10)
				dials := 0
				_, err := client.retryShortage(t.Context(), func() (net.Conn, error) {
					dials++
					if dials <= c.failures {
						return nil, errors.Wrap(c.err, "dial")
					}
					return nil, nil
				})
				if (err == nil) != c.want || dials != c.dials {
					t.Errorf("%d dials, error %v; want %d", dials, err, c.dials)
				}
				if closed := client.shards[0].len() == 0; closed != (c.err != syscall.ECONNREFUSED) {
					t.Errorf("idle connections closed: %v", closed)
				}
			})
		})
	}
}

// Idle connections to many upstreams used up the descriptors of a node.
func TestIdleConnectionsOfAShardAreBounded(t *testing.T) {
	const limit = 4
	shard := new(poolShard)
	others := idleConns(shard, 3*limit, limit)
	if got := shard.len(); got != limit {
		t.Errorf("%d idle connections, want %d", got, limit)
	}
	if _, err := others[len(others)-1].Write([]byte("x")); err == nil {
		t.Error("a connection beyond the limit is open")
	}
}
