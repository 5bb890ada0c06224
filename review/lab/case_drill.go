package main

import (
	"syscall"
	"time"
)

const (
	// copyAge is how old the copy is from which the store comes back.
	copyAge = 9 * time.Second
	// storeAway is how long the store is away in the drill.
	storeAway = 2 * time.Second
	// rewriteDelay is the time after which the operator has written again what was lost.
	rewriteDelay = time.Second
)

// runDrillRestart takes a key away, waits until it must not work any more, and has the store come back from an
// older copy while the process of one node is restarted. The operator writes the config again a second later.
func runDrillRestart(l *lab) error {
	tenants := []tenant{{"huka270", []string{firstKey, secondKey}}}
	d, err := l.deploy(2, 2, tenants)
	if err != nil {
		return err
	}
	l.probeAll(d, "in force")
	copied, copiedAt := d.store.copyAll(), time.Now()
	left := []tenant{{"huka270", []string{secondKey}}}
	taken := l.publish(d.store, 2, left)
	for time.Since(taken) < revokeWithin+500*time.Millisecond {
		time.Sleep(probeInterval)
	}
	for _, n := range d.nodes {
		l.probeTaken(d, n, firstKey, taken)
	}
	if !l.trouble {
		time.Sleep(copyAge)
		for _, n := range d.nodes {
			l.probeTaken(d, n, firstKey, taken)
		}
		return nil
	}
	time.Sleep(time.Until(copiedAt.Add(copyAge - storeAway)))
	l.note("store: away")
	d.store.leave()
	restarted := d.nodes[0]
	restarted.signal(syscall.SIGKILL)
	time.Sleep(storeAway)
	l.note("store: back, from a copy of %.1f s ago", time.Since(copiedAt).Seconds())
	d.store.comeBack(copied)
	for _, v := range d.servers {
		v.beat(d.store)
	}
	back := time.Now()
	if err := restarted.start(); err != nil {
		return err
	}
	rewritten := false
	for time.Since(back) < 4*time.Second {
		if !rewritten && time.Since(back) >= rewriteDelay {
			l.publish(d.store, 2, left)
			rewritten = true
		}
		for _, n := range d.nodes {
			l.probeTaken(d, n, firstKey, taken)
		}
		time.Sleep(50 * time.Millisecond)
	}
	return nil
}
