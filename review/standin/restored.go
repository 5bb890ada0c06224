package main

import (
	"context"
	"sync"
	"time"
)

func init() { cases["restored"] = runRestored }

const (
	withdrawnKey = "key-that-is-withdrawn"
	// revokeTime is revokeMs of the deployment.
	revokeTime = 5 * time.Second
	// copyAge is the age of the copy from which the store comes back.
	copyAge = 7 * time.Second
	// awayTime is how long the store is away before it comes back.
	awayTime = 300 * time.Millisecond
	// rewriteDelay is how long after the store's return the operator writes again what was lost.
	rewriteDelay = 1500 * time.Millisecond
)

// runRestored takes a key away, has the store come back from a copy that still has it, and adds a node before the
// operator has written the config again.
func runRestored(ctx context.Context, w *world, trouble bool) error {
	before := map[string][]string{"tenant-1": {apiKey, withdrawnKey}}
	after := map[string][]string{"tenant-1": {apiKey}}
	w.publish(1, before)
	for _, id := range []string{"i-1", "i-2"} {
		if err := w.startServer(&server{id: id, service: applicationService, version: "v1"}); err != nil {
			return err
		}
	}
	nodes, err := w.startNodes(w.storeAddress, w.storeAddress)
	if err != nil {
		return err
	}
	if err := w.awaitReady(ctx, nodes...); err != nil {
		return err
	}
	if err := pause(ctx, 2*time.Second); err != nil {
		return err
	}
	w.publish(4, after)
	withdrawnAt := time.Now()
	// More than revokeTime passes, and less than copyAge.
	if err := pause(ctx, revokeTime+time.Second); err != nil {
		return err
	}
	if trouble {
		w.store.setAway(true)
		if err := pause(ctx, awayTime); err != nil {
			return err
		}
		w.store.restore(copyAge)
		w.store.setAway(false)
		w.recordf("the store comes back from a copy that is %v old", copyAge)
	}
	added, err := w.newNode(nodeOptions{name: "node-3", storeAddress: w.storeAddress})
	if err != nil {
		return err
	}
	if err := w.startNode(added); err != nil {
		return err
	}
	var group sync.WaitGroup
	defer group.Wait()
	group.Go(func() {
		if pause(ctx, rewriteDelay) == nil && trouble {
			w.publish(4, after)
		}
	})
	if err := w.awaitReady(ctx, added); err != nil {
		return err
	}
	return w.useWithdrawnKey(ctx, append(nodes, added), withdrawnAt)
}

// useWithdrawnKey sends requests with the key that was taken away, and checks that none runs.
func (w *world) useWithdrawnKey(ctx context.Context, nodes []*node, withdrawnAt time.Time) error {
	const (
		rounds   = 30
		interval = 100 * time.Millisecond
	)
	sentAt := make(map[string]time.Time)
	for range rounds {
		for _, n := range nodes {
			id := newAttemptID()
			sentAt[id] = time.Now()
			w.send(ctx, n.front, clientRequest{method: "GET", path: fetchPath, id: id, key: withdrawnKey, timeout: 2 * time.Second})
		}
		if err := pause(ctx, interval); err != nil {
			return err
		}
	}
	ran := 0
	for _, e := range w.events("runs") {
		at, ok := sentAt[e.Request]
		if !ok || at.Sub(withdrawnAt) <= revokeTime {
			continue
		}
		ran++
		w.recordf("server %s ran %s for tenant %q, sent %v after its key was taken away", e.Server, e.Request, e.Tenant, at.Sub(withdrawnAt).Round(time.Millisecond))
	}
	w.recordf("%d of %d requests with the key that was taken away ran", ran, len(sentAt))
	if ran > 0 {
		return errBroken
	}
	return nil
}
