package main

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// streamCount is the number of streams that are open at the node that is killed.
	streamCount   = 24
	streamEvents  = 58
	eventInterval = 100 * time.Millisecond
	streamTimeout = 15 * time.Second
	// openTime is the time from the first stream to the start of the release.
	openTime = 2500 * time.Millisecond
	// killDelay is the time from the first entry of the new software version to the kill.
	killDelay = 300 * time.Millisecond
	// maxTries is the number of attempts of a client.
	maxTries = 5
	// leastStreams is the number of streams from which on the rule judges.
	leastStreams = 12
)

// stream is one stream of a client over all its attempts.
type stream struct {
	name string
	// firstID is the id of the attempt that brought the first event, and last the id of the last event.
	firstID string
	last    int
	// versions are the software versions of the servers that wrote the events.
	versions map[string]bool
	// takenUp is set once the client asks for the rest, and wentOn once an event came after that.
	takenUp, wentOn bool
	complete        bool
	began           bool
}

// runStreamsOfAKilledNode kills a node right after the first server of a new software version has registered. Its
// clients take their streams up again at other nodes.
func runStreamsOfAKilledNode(o options, r *record) (bool, error) {
	d, err := newDeployment(o, r)
	if err != nil {
		return false, err
	}
	defer d.close()
	routes := []route{{Name: "r-list", Host: host, PathPrefix: "/lohu930/", Kind: "streaming", TimeoutMs: 15000, TargetMs: 600, Service: "huvo11a", MaxAttempts: 2, Sticky: true, Resume: true, GapTargetMs: 400}}
	d.publish(routes, []string{"huvo11a"}, map[string][]string{callerTeam: {callerKey}})
	zones := []string{"at-east-graz", "at-west-ibk", "de-south-muc"}
	for i, zone := range zones {
		if err := d.addServer(newModelServer(fmt.Sprintf("i-old-%d", i), zone, "v1")); err != nil {
			return false, err
		}
	}
	if err := d.addNodes(zones[0], zones[0], zones[0], zones[1], zones[1], zones[2], zones[2]); err != nil {
		return false, err
	}
	time.Sleep(touchTime)
	return playKilledNode(d, o)
}

func newModelServer(id, zone, version string) *server {
	return &server{id: id, service: "huvo11a", zone: zone, version: version, events: streamEvents, eventInterval: eventInterval}
}

func playKilledNode(d *deployment, o options) (bool, error) {
	victim, others := d.nodes[0], d.nodes[1:]
	var clients sync.WaitGroup
	streams := make([]*stream, streamCount)
	for i := range streams {
		streams[i] = &stream{name: fmt.Sprintf("s%d", i), versions: make(map[string]bool)}
		clients.Go(func() { streams[i].play(d.record, victim, others[i%len(others)]) })
		time.Sleep(openTime / streamCount)
	}
	if err := d.addServer(newModelServer("i-new-0", "at-east-graz", "v2")); err != nil {
		return false, err
	}
	time.Sleep(killDelay)
	if o.trouble {
		victim.kill()
	}
	fresh := make([]*stream, streamCount)
	for i := range fresh {
		fresh[i] = &stream{name: fmt.Sprintf("n%d", i), versions: make(map[string]bool)}
		clients.Go(func() { fresh[i].play(d.record, others[i%len(others)], others[(i+1)%len(others)]) })
		time.Sleep(openTime / streamCount)
	}
	clients.Wait()
	return judgeKilledNode(d.record, streams, fresh), nil
}

// judgeKilledNode applies the rule LOST about streams that clients take up again.
func judgeKilledNode(r *record, streams, fresh []*stream) bool {
	takenUp, wentOn, began := 0, 0, 0
	for _, s := range append(append([]*stream{}, streams...), fresh...) {
		if s.takenUp {
			takenUp++
		}
		if s.wentOn {
			wentOn++
		}
	}
	for _, s := range fresh {
		if s.began {
			began++
		}
	}
	r.report("%d streams taken up again, of which %d went on; %d new streams, of which %d began", takenUp, wentOn, len(fresh), began)
	if takenUp < leastStreams {
		return false
	}
	return float64(wentOn)/float64(takenUp) < float64(began)/float64(len(fresh))/2
}

// play asks for a stream at one node and, if it breaks off, for its rest at another.
func (s *stream) play(r *record, first, then *node) {
	ctx, cancel := context.WithTimeout(context.Background(), streamTimeout)
	defer cancel()
	n := first
	for try := 0; try < maxTries && ctx.Err() == nil && !s.complete; try++ {
		wait := s.try(ctx, r, n)
		n = then
		if s.complete {
			break
		}
		select {
		case <-time.After(wait):
		case <-ctx.Done():
		}
	}
}

// try sends one attempt and returns how long to wait until the next one.
func (s *stream) try(ctx context.Context, r *record, n *node) time.Duration {
	const pause = 100 * time.Millisecond
	id := newAttemptID()
	deadline, _ := ctx.Deadline()
	q := request{method: http.MethodPost, path: "/lohu930/2f", body: "prompt of " + s.name, key: callerKey, timeout: time.Until(deadline), header: map[string]string{
		"Model": "m", "Token-Usage": "1460,290", "Prompt-Prefix": "5c1e07a2:800," + fmt.Sprintf("%x", s.name) + ":660",
	}}
	if s.last > 0 {
		q.header["Last-Event-Id"], q.header["Resumes"] = strconv.Itoa(s.last), s.firstID
		s.takenUp = true
	}
	r.printf("%s: attempt %s at %s after event %d", s.name, id, n.name, s.last)
	response, err := send(ctx, newClient(false), n, id, q)
	if err != nil {
		r.printf("%s: attempt %s: no answer: %v", s.name, id, err)
		return pause
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		retryAfter, _ := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
		r.printf("%s: attempt %s: status %d, Retry-After %q", s.name, id, response.StatusCode, response.Header.Get("Retry-After"))
		return max(pause, time.Duration(retryAfter*float64(time.Second)))
	}
	err = readEvents(response.Body, func(e event) { s.take(id, e) })
	s.complete = err == nil && s.last == streamEvents
	r.printf("%s: attempt %s: up to event %d, versions %v, complete %v", s.name, id, s.last, s.versions, s.complete)
	return pause
}

// take notes an event.
func (s *stream) take(id string, e event) {
	if s.last == 0 {
		s.firstID, s.began = id, true
	}
	s.wentOn = s.wentOn || s.takenUp
	s.last = e.id
	version, _, _ := strings.Cut(e.data, " ")
	s.versions[version] = true
}
