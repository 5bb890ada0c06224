package main

import "time"

// deployment is a store, servers and nodes of one zone.
type deployment struct {
	store   *store
	address string
	servers []*server
	nodes   []*node
}

// newDeployment starts a store.
func (l *lab) newDeployment() (*deployment, error) {
	d := &deployment{store: newStore()}
	address, err := l.serveHTTP(l.newHost()+":0", d.store)
	d.address = address
	return d, err
}

// deploy starts a store with a first config, servers and nodes, and waits until the nodes are ready.
func (l *lab) deploy(nodes, servers int, tenants []tenant) (*deployment, error) {
	d, err := l.newDeployment()
	if err != nil {
		return nil, err
	}
	l.publish(d.store, 1, tenants)
	for i := range servers {
		v, err := l.newServer("i-"+string(rune('a'+i)), service, d.store, 15*time.Millisecond)
		if err != nil {
			return nil, err
		}
		d.servers = append(d.servers, v)
	}
	for i := range nodes {
		n, err := l.addNode(d, "front-zone-1-"+string(rune('1'+i)))
		if err != nil {
			return nil, err
		}
		if err := n.startReady(); err != nil {
			return nil, err
		}
	}
	return d, nil
}

// addNode prepares a node.
func (l *lab) addNode(d *deployment, name string) (*node, error) {
	n, err := l.newNode(name, "zone-1", d.address)
	if err != nil {
		return nil, err
	}
	d.nodes = append(d.nodes, n)
	return n, nil
}
