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
	// callInterval is the time between two calls of one client, and callers the number of clients.
	callInterval = 100 * time.Millisecond
	callers      = 9
	callTimeout  = 2 * time.Second
	// callWork is how long a plain server works on a call.
	callWork = 150 * time.Millisecond
	// servingTime is the time for which a server goes on to serve after it has written that it drains.
	servingTime = 9 * time.Second
)

// arrivals notes the requests that reach servers, by attempt.
type arrivals struct {
	mu sync.Mutex
	at map[string][]string
}

func (a *arrivals) add(attempt, server string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.at[attempt] = append(a.at[attempt], server)
}

func (a *arrivals) reached(attempt, server string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, s := range a.at[attempt] {
		if s == server {
			return true
		}
	}
	return false
}

// call is an attempt of a client and its result.
type call struct {
	id     string
	sentAt time.Time
	// status is the answer's, or zero if there was none.
	status int
}

// runForeignEntry has another writer write an entry that lacks fields under the id of a server, which leaves later.
func runForeignEntry(o options, r *record) (bool, error) {
	d, err := newDeployment(o, r)
	if err != nil {
		return false, err
	}
	defer d.close()
	routes := []route{{Name: "r-order", Host: host, PathPrefix: "/pule252/", Kind: "unsafe", TimeoutMs: 1000, TargetMs: 200, Service: "wuno96b", MaxAttempts: 1}}
	d.publish(routes, []string{"wuno96b"}, map[string][]string{callerTeam: {callerKey}})
	zones := []string{"at-east-graz", "at-west-ibk", "de-south-muc"}
	seen := &arrivals{at: make(map[string][]string)}
	for i, zone := range zones {
		s := &server{id: fmt.Sprintf("i-%d", i), service: "wuno96b", zone: zone, version: "v1", onRun: func(s *server, r *http.Request) {
			id := r.Header.Get("Request-Attempt-Id")
			seen.add(id, s.id)
			d.record.printf("server %s runs %s", s.id, id)
			time.Sleep(callWork)
		}}
		if err := d.addServer(s); err != nil {
			return false, err
		}
	}
	if err := d.addNodes(zones...); err != nil {
		return false, err
	}
	return playForeignEntry(d, o, seen), nil
}

func playForeignEntry(d *deployment, o options, seen *arrivals) bool {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var mu sync.Mutex
	var calls []call
	var clients sync.WaitGroup
	for i := range callers {
		clients.Go(func() {
			client := newClient(true)
			for ctx.Err() == nil {
				c := order(d.record, client, d.nodes[i%len(d.nodes)])
				mu.Lock()
				calls = append(calls, c)
				mu.Unlock()
				time.Sleep(callInterval)
			}
		})
	}
	leaver := d.servers[0]
	time.Sleep(touchTime)
	if o.trouble {
		d.writeForeignEntry(leaver, "version", "coldRemainingMs")
	}
	time.Sleep(2 * touchTime)
	leaver.drain()
	drainedAt := time.Now()
	time.Sleep(servingTime)
	d.store.put(serverTopic, leaver.id, nil)
	leaver.stop()
	d.record.printf("server %s is gone", leaver.id)
	time.Sleep(callTimeout)
	cancel()
	clients.Wait()
	return judgeForeignEntry(d.record, calls, seen, leaver.id, drainedAt)
}

// order sends an unsafe request on a kept channel.
func order(r *record, client *http.Client, n *node) call {
	c := call{id: newAttemptID(), sentAt: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	r.printf("%s sent to %s", c.id, n.name)
	response, err := send(ctx, client, n, c.id, request{method: http.MethodPost, path: "/pule252/2f", body: "order " + c.id, key: callerKey, timeout: callTimeout})
	if err != nil {
		r.printf("%s: no answer: %v", c.id, err)
		return c
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	c.status = response.StatusCode
	r.printf("%s: status %d", c.id, c.status)
	return c
}

// judgeForeignEntry applies the rule DRAIN.
func judgeForeignEntry(r *record, calls []call, seen *arrivals, leaver string, drainedAt time.Time) bool {
	late, lost, served := 0, 0, 0
	var latest time.Duration
	for _, c := range calls {
		if c.status == http.StatusOK {
			served++
		}
		after := c.sentAt.Sub(drainedAt)
		if after <= drainTime || !seen.reached(c.id, leaver) {
			continue
		}
		late++
		latest = max(latest, after)
		if c.status != http.StatusOK {
			lost++
			r.printf("%s was sent %.3f s after the acknowledgement, ran at %s, and has no answer of it (status %d)", c.id, after.Seconds(), leaver, c.status)
		}
	}
	r.report("%d requests, %d served; %d reached %s that were sent later than %v after it wrote that it drains, the last one %.1f s after; %d of these were lost", len(calls), served, late, leaver, drainTime, latest.Seconds(), lost)
	return late > 0
}

// writeForeignEntry writes a server's entry as another writer would, who doesn't know some fields and counts seconds.
func (d *deployment) writeForeignEntry(s *server, missing ...string) {
	s.mu.Lock()
	entry := s.entry()
	s.mu.Unlock()
	for _, field := range missing {
		delete(entry, field)
	}
	entry["sequence"] = time.Now().Unix()
	d.store.put(serverTopic, s.id, encode(entry))
	d.record.printf("another writer writes an entry without %v under the id %s", missing, s.id)
}
