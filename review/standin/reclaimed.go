package main

import (
	"context"
	"strconv"
	"sync"
	"syscall"
	"time"
)

func init() { cases["reclaimed"] = runReclaimed }

const (
	// noticeTime is how long after its notice a spot server is gone.
	noticeTime = 2 * time.Second
	// reclaimedStreams is the number of streams that run meanwhile.
	reclaimedStreams = 12
)

// runReclaimed has a server leave whose answers end with their connection, and takes it away while it still answers.
func runReclaimed(ctx context.Context, w *world, trouble bool) error {
	w.publish(1, map[string][]string{"tenant-1": {apiKey}})
	var servers []*server
	for i := range 4 {
		s := &server{id: "i-" + strconv.Itoa(i+1), service: engineService, version: "v1", options: []string{"-unframed", "-events", strconv.Itoa(eventsOfChat)}}
		if err := w.startServer(s); err != nil {
			return err
		}
		servers = append(servers, s)
	}
	nodes, err := w.startNodes(w.storeAddress, w.storeAddress)
	if err != nil {
		return err
	}
	if err := w.awaitReady(ctx, nodes...); err != nil {
		return err
	}
	var group sync.WaitGroup
	results := make([]clientResult, reclaimedStreams)
	for i := range results {
		group.Go(func() {
			results[i] = w.send(ctx, nodes[i%len(nodes)].front, clientRequest{method: "POST", path: chatPath, id: newAttemptID(), key: apiKey, stream: true, timeout: 15 * time.Second})
		})
	}
	if err := pause(ctx, time.Second); err != nil {
		return err
	}
	leaving := w.busiest(servers)
	leaving.signal(syscall.SIGUSR1)
	w.recordf("%s gets notice to leave", leaving.id)
	if err := pause(ctx, noticeTime); err != nil {
		return err
	}
	if trouble {
		w.kill(leaving.process)
	}
	group.Wait()
	return w.checkWhole(results)
}

// checkWhole checks that a success that ended like a whole one holds all events, each once and in order.
func (w *world) checkWhole(results []clientResult) error {
	short := 0
	for _, r := range results {
		if r.status != 200 || r.err != nil {
			continue
		}
		for i, e := range r.events {
			if e.number != i+1 {
				w.recordf("event %d follows event %d", e.number, i)
				short++
			}
		}
		if len(r.events) != eventsOfChat {
			w.recordf("a success with seal %q looks complete and has %d of %d events", r.seal, len(r.events), eventsOfChat)
			short++
		}
	}
	if short > 0 {
		return errBroken
	}
	return nil
}
