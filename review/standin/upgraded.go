package main

import (
	"context"
	"sync"
	"time"
)

func init() { cases["upgraded"] = runUpgraded }

const (
	// upgradedStreams is the number of streams that run when the server ends.
	upgradedStreams = 40
	// serverRestartDelay is the time between a server's end and its next start, and streamRetryDelay that between the
	// end of a stream and the client's retry.
	serverRestartDelay = 300 * time.Millisecond
	streamRetryDelay   = 400 * time.Millisecond
)

// runUpgraded has a server crash and start again under its id with the next version of its software. The clients whose
// streams broke off take them up at other nodes.
func runUpgraded(ctx context.Context, w *world, trouble bool) error {
	w.publish(1, map[string][]string{"tenant-1": {apiKey}})
	var servers []*server
	for i := range 4 {
		s := newEngine(i+1, "v1")
		if err := w.startServer(s); err != nil {
			return err
		}
		servers = append(servers, s)
	}
	nodes, err := w.startNodes(w.storeAddress, w.storeAddress, w.storeAddress)
	if err != nil {
		return err
	}
	if err := w.awaitReady(ctx, nodes...); err != nil {
		return err
	}
	w.serveStreams(ctx, nodes)
	var group sync.WaitGroup
	results := make([][]event, upgradedStreams)
	for i := range results {
		group.Go(func() { results[i] = w.streamWithResume(ctx, nodes[0], nodes[1+i%2], streamRetryDelay) })
		if err := pause(ctx, streamInterval); err != nil {
			return err
		}
	}
	if trouble {
		upgraded := w.busiest(servers)
		w.kill(upgraded.process)
		if err := pause(ctx, serverRestartDelay); err != nil {
			return err
		}
		upgraded.version = "v2"
		if err := w.startServer(upgraded); err != nil {
			return err
		}
	}
	group.Wait()
	return w.checkVersions(results)
}

// serveStreams has all nodes serve some streams to their end.
func (w *world) serveStreams(ctx context.Context, nodes []*node) {
	var group sync.WaitGroup
	defer group.Wait()
	for range 10 {
		for _, n := range nodes {
			group.Go(func() {
				w.send(ctx, n.front, clientRequest{method: "POST", path: chatPath, id: newAttemptID(), key: apiKey, stream: true, timeout: clientDeadline})
			})
		}
		if pause(ctx, streamInterval) != nil {
			return
		}
	}
}
