package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

const (
	// otherTeam holds the key after it has moved.
	otherTeam = "mavo118"
	// lookTime is how long requests are judged, from the time within which a key that was taken away stops working. The
	// partition lasts as long as both times together.
	lookTime = 3500 * time.Millisecond
)

// tenants notes the tenant with which each attempt ran.
type tenants struct {
	mu sync.Mutex
	by map[string]string
}

func (t *tenants) set(attempt, tenant string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.by[attempt] = tenant
}

func (t *tenants) get(attempt string) (string, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	tenant, ok := t.by[attempt]
	return tenant, ok
}

// runMovedKey partitions a node from the store and then moves the key of its callers from one tenant to another.
func runMovedKey(o options, r *record) (bool, error) {
	d, err := newDeployment(o, r)
	if err != nil {
		return false, err
	}
	defer d.close()
	routes := []route{{Name: "r-fetch", Host: host, PathPrefix: "/puxa403/", Kind: "safe", TimeoutMs: 1000, TargetMs: 200, Service: "wuno96b", MaxAttempts: 2, Anonymous: true}}
	services := []string{"wuno96b"}
	d.publish(routes, services, map[string][]string{callerTeam: {callerKey, "wsjnbanfqasnmgkcuyj8"}, otherTeam: {"p29dkw03ndkq8s7xma1z"}})
	ran := &tenants{by: make(map[string]string)}
	zones := []string{"at-east-graz", "at-west-ibk", "de-south-muc"}
	for i, zone := range zones {
		s := &server{id: fmt.Sprintf("i-%d", i), service: services[0], zone: zone, version: "v1", onRun: func(_ *server, r *http.Request) {
			ran.set(r.Header.Get("Request-Attempt-Id"), r.Header.Get("Tenant"))
		}}
		if err := d.addServer(s); err != nil {
			return false, err
		}
	}
	store := d.storeAt
	p, err := startProxy(fmt.Sprintf("%s.201:%d", d.network, storePort), store)
	if err != nil {
		return false, err
	}
	defer p.close()
	d.storeAt = p.listener.Addr().String()
	if err := d.addNodes(zones[0]); err != nil {
		return false, err
	}
	d.storeAt = store
	if err := d.addNodes(zones[1:]...); err != nil {
		return false, err
	}
	time.Sleep(touchTime)
	if o.trouble {
		p.cut.Store(true)
		r.printf("node %s is partitioned from the store", d.nodes[0].name)
	}
	movedAt := d.publish(routes, services, map[string][]string{callerTeam: {"wsjnbanfqasnmgkcuyj8"}, otherTeam: {"p29dkw03ndkq8s7xma1z", callerKey}})
	time.Sleep(revokeTime)
	return judgeMovedKey(d, ran, movedAt), nil
}

// judgeMovedKey sends requests and applies the rule UNASKED about the tenant.
func judgeMovedKey(d *deployment, ran *tenants, movedAt time.Time) bool {
	client := newClient(true)
	sent, served, wrong := 0, 0, 0
	for start := time.Now(); time.Since(start) < lookTime; time.Sleep(callInterval) {
		id := newAttemptID()
		sent++
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		after := time.Since(movedAt)
		response, err := send(ctx, client, d.nodes[0], id, request{method: http.MethodGet, path: "/puxa403/2f", key: callerKey, timeout: callTimeout})
		if err == nil {
			if response.StatusCode == http.StatusOK {
				served++
			}
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
		}
		cancel()
		tenant, ok := ran.get(id)
		d.record.printf("%s sent %.3f s after the acknowledgement, ran %v with tenant %q, error %v", id, after.Seconds(), ok, tenant, err)
		if ok && tenant != "" && tenant != otherTeam {
			wrong++
		}
	}
	d.record.report("%d requests sent later than %v after the key had moved, %d served, %d run as those of a tenant that no longer holds the key", sent, revokeTime, served, wrong)
	return wrong > 0
}
