package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// tokensPerEvent is the step of the ids of servers that number events by the tokens so far.
	tokensPerEvent = 5
	shortEvents    = 10
	shortInterval  = 20 * time.Millisecond
	// requestsPerRoute is the number of streams on each route.
	requestsPerRoute = 40
	requestInterval  = 100 * time.Millisecond
	configApplyTime  = 3 * time.Second
	// leastRequests is the number of requests on added routes from which on the rule judges.
	leastRequests = 20
)

// runAddedRoute adds a route to a service whose servers number the events of a stream by the tokens so far.
func runAddedRoute(o options, r *record) (bool, error) {
	d, err := newDeployment(o, r)
	if err != nil {
		return false, err
	}
	defer d.close()
	first := route{Name: "r-first", Host: host, PathPrefix: "/lohu930/", Kind: "streaming", TimeoutMs: 5000, TargetMs: 600, Service: "huvo11a", MaxAttempts: 2, Sticky: true, Resume: true, GapTargetMs: 400}
	added := first
	added.Name, added.PathPrefix, added.Service = "r-added", "/rela447/", "qizo62c"
	teams := map[string][]string{callerTeam: {callerKey}}
	d.publish([]route{first}, []string{first.Service}, teams)
	zones := []string{"at-east-graz", "at-west-ibk", "de-south-muc"}
	for i, zone := range zones {
		old := &server{id: fmt.Sprintf("i-old-%d", i), service: first.Service, zone: zone, version: "v1", events: shortEvents, eventInterval: shortInterval}
		other := &server{id: fmt.Sprintf("i-other-%d", i), service: added.Service, zone: zone, version: "v1", events: shortEvents, eventInterval: shortInterval}
		if o.trouble {
			other.idStep = tokensPerEvent
		}
		for _, s := range []*server{old, other} {
			if err := d.addServer(s); err != nil {
				return false, err
			}
		}
	}
	if err := d.addNodes(zones...); err != nil {
		return false, err
	}
	time.Sleep(touchTime)
	d.publish([]route{first, added}, []string{first.Service, added.Service}, teams)
	time.Sleep(configApplyTime + touchTime)
	return playAddedRoute(d, first, added), nil
}

// playAddedRoute sends requests on both routes and applies the rule CONFIG about routes that were added later.
func playAddedRoute(d *deployment, first, added route) bool {
	var mu sync.Mutex
	served := make(map[string]int)
	var clients sync.WaitGroup
	for i := range requestsPerRoute {
		for _, q := range []route{first, added} {
			clients.Go(func() {
				if askStream(d.record, d.nodes[i%len(d.nodes)], q) {
					mu.Lock()
					served[q.Name]++
					mu.Unlock()
				}
			})
		}
		time.Sleep(requestInterval)
	}
	clients.Wait()
	d.record.report("%d requests on each route: %d served on the first one, %d on the one that was added", requestsPerRoute, served[first.Name], served[added.Name])
	return requestsPerRoute >= leastRequests && 4*served[added.Name] < served[first.Name]
}

// askStream asks for a stream and reports whether it came whole.
func askStream(r *record, n *node, q route) bool {
	id := newAttemptID()
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(q.TimeoutMs)*time.Millisecond)
	defer cancel()
	response, err := send(ctx, newClient(false), n, id, request{method: http.MethodPost, path: q.PathPrefix + "2f", body: "prompt " + id, key: callerKey, timeout: time.Duration(q.TimeoutMs) * time.Millisecond, header: map[string]string{
		"Model": "m", "Token-Usage": "1460,50", "Prompt-Prefix": "5c1e07a2:800," + id[:8] + ":660",
	}})
	if err != nil {
		r.printf("%s on %s: no answer: %v", id, q.Name, err)
		return false
	}
	defer response.Body.Close()
	var ids []string
	err = readEvents(response.Body, func(e event) { ids = append(ids, fmt.Sprint(e.id)) })
	r.printf("%s on %s: status %d, events %s, error %v", id, q.Name, response.StatusCode, strings.Join(ids, " "), err)
	return response.StatusCode == http.StatusOK && err == nil && len(ids) == shortEvents
}
