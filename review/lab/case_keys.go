package main

import (
	"net/http"
	"time"
)

const (
	// timeLimit is how long clients wait.
	timeLimit = 2 * time.Second
	// probeInterval is the time between two requests of a client.
	probeInterval = 200 * time.Millisecond
)

// Keys of the tenants. unknownKey is one that no config ever held.
const (
	firstKey   = "xd9dnn2ctnfzs989anu6"
	secondKey  = "wsjnbanfqasnmgkcuyj8"
	unknownKey = "k0000000000000000000"
)

// probeKey sends an order with a key to a node, records what came of it, and reports whether a server ran it.
func (l *lab) probeKey(d *deployment, n *node, what, key string) (answer, bool) {
	a := send(n, call{method: http.MethodPost, path: orderPath + "1", key: key, timeLimit: timeLimit})
	runs := runsAt(d.servers, a.id)
	for _, run := range runs {
		l.note("%s: %s to %s: %s, run by %s for tenant %q", what, orderPath, n.name, a, run.server, run.tenant)
	}
	if len(runs) == 0 {
		l.note("%s: %s to %s: %s, not run", what, orderPath, n.name, a)
	}
	return a, len(runs) > 0
}

// runLastKeys takes the keys of all tenants away, one after the other, and sends requests with them.
func runLastKeys(l *lab) error {
	d, err := l.deploy(2, 2, []tenant{{"huka270", []string{firstKey}}, {"puhu251", []string{secondKey}}})
	if err != nil {
		return err
	}
	l.probeAll(d, "in force")
	time.Sleep(time.Second)
	if !l.trouble {
		time.Sleep(1500*time.Millisecond + revokeWithin)
		l.probeAll(d, "in force")
		return nil
	}
	l.publish(d.store, 2, []tenant{{"puhu251", []string{secondKey}}})
	firstTaken := time.Now()
	time.Sleep(1500 * time.Millisecond)
	l.publish(d.store, 3, []tenant{})
	lastTaken := time.Now()
	for time.Since(firstTaken) < revokeWithin {
		time.Sleep(probeInterval)
	}
	for time.Since(lastTaken) < revokeWithin+5*time.Second {
		for _, n := range d.nodes {
			l.probeTaken(d, n, firstKey, firstTaken)
			l.probeTaken(d, n, secondKey, lastTaken)
		}
		time.Sleep(probeInterval)
	}
	for _, n := range d.nodes {
		if _, ran := l.probeKey(d, n, "key that no config ever held", unknownKey); ran {
			l.violate("%s: a request whose key no config ever held ran (ROUTE)", n.name)
		}
	}
	return nil
}

// probeAll sends requests with each key to each node while both are in force.
func (l *lab) probeAll(d *deployment, what string) {
	for _, n := range d.nodes {
		l.probeKey(d, n, "first key "+what, firstKey)
		l.probeKey(d, n, "second key "+what, secondKey)
		if _, ran := l.probeKey(d, n, "key that no config ever held", unknownKey); ran {
			l.violate("%s: a request whose key no config ever held ran (ROUTE)", n.name)
		}
	}
}

// probeTaken sends a request with a key that was taken away, and checks the rule once its bound has passed.
func (l *lab) probeTaken(d *deployment, n *node, key string, taken time.Time) {
	a, ran := l.probeKey(d, n, "key taken away", key)
	if late := a.sentAt.Sub(taken); ran && late > revokeWithin {
		l.violate("%s: a request with a key that was taken away ran; it was sent %.1f s after the acknowledgement (CONFIG)", n.name, late.Seconds())
	}
}
