package main

import (
	"context"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { cases["unseen"] = runUnseen }

const (
	// unseenStreams is the number of streams that begin while a second version serves.
	unseenStreams = 48
	// streamInterval is the time between the begins of two streams.
	streamInterval = 40 * time.Millisecond
	// clientDeadline is the time limit of a chat, and clientRetryAfter the time after which a client comes back.
	clientDeadline   = 15 * time.Second
	clientRetryAfter = 100 * time.Millisecond
)

// runUnseen has a release add servers of a second software version while the store doesn't answer one of the nodes.
// Another node is killed, and its clients take their streams up at the two that are left.
func runUnseen(ctx context.Context, w *world, trouble bool) error {
	w.publish(1, map[string][]string{"tenant-1": {apiKey}})
	for i := range 2 {
		if err := w.startServer(newEngine(i+1, "v1")); err != nil {
			return err
		}
	}
	storeProxy, err := w.startProxy(w.storeAddress)
	if err != nil {
		return err
	}
	nodes, err := w.startNodes(w.storeAddress, storeProxy.address, w.storeAddress)
	if err != nil {
		return err
	}
	if err := w.awaitReady(ctx, nodes...); err != nil {
		return err
	}
	if err := pause(ctx, 6*time.Second); err != nil {
		return err
	}
	if trouble {
		storeProxy.cut(true)
		defer storeProxy.cut(false)
		w.recordf("the store no longer answers %s", nodes[1].name)
	}
	for i := range 2 {
		if err := w.startServer(newEngine(i+3, "v2")); err != nil {
			return err
		}
	}
	var group sync.WaitGroup
	results := make([][]event, unseenStreams)
	for i := range results {
		group.Go(func() { results[i] = w.streamWithResume(ctx, nodes[0], nodes[1+i%2], clientRetryAfter) })
		if err := pause(ctx, streamInterval); err != nil {
			return err
		}
	}
	if trouble {
		w.kill(nodes[0].process)
	}
	group.Wait()
	return w.checkVersions(results)
}

// newEngine returns a model server.
func newEngine(number int, version string) *server {
	return &server{id: "i-" + strconv.Itoa(number), service: engineService, version: version, options: []string{"-events", strconv.Itoa(eventsOfChat)}}
}

// streamWithResume sends a chat to the first node and, if it breaks off, takes it up at the other one.
func (w *world) streamWithResume(ctx context.Context, begin, resume *node, retryDelay time.Duration) []event {
	first := newAttemptID()
	q := clientRequest{method: "POST", path: chatPath, id: first, key: apiKey, stream: true, timeout: clientDeadline}
	r := w.send(ctx, begin.front, q)
	events := r.events
	if r.err == nil && r.status == 200 || len(events) == 0 || pause(ctx, retryDelay) != nil {
		return events
	}
	q.id, q.after, q.resumes = newAttemptID(), events[len(events)-1].number, first
	return append(events, w.send(ctx, resume.front, q).events...)
}

// maxMixedStreams is how many streams may hold events of two versions.
const maxMixedStreams = 2

// checkVersions checks how many streams hold events of servers of two software versions.
func (w *world) checkVersions(results [][]event) error {
	mixed := 0
	for _, events := range results {
		versions := make(map[string]bool)
		for _, e := range events {
			version, _, _ := strings.Cut(e.data, " ")
			versions[version] = true
		}
		if len(versions) > 1 {
			mixed++
		}
	}
	w.recordf("%d of %d streams hold events of two software versions", mixed, len(results))
	if mixed > maxMixedStreams {
		return errBroken
	}
	return nil
}
