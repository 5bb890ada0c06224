package main

import (
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// memoryLimit is the memoryMb of the machines; the platform kills a process that exceeds it.
	memoryLimit = 112 << 20
	// extraRoutes is the number of routes by which the config grows.
	extraRoutes = 1024
	// clientsPerNode is the number of clients that place orders at one node, one after the other.
	clientsPerNode = 24
	// orderWork is how long a server works on an order, and orderLimit how long clients wait.
	orderWork  = 60 * time.Millisecond
	orderLimit = 4 * time.Second
	// ordersFor is how long clients place orders after the config has grown.
	ordersFor = 60 * time.Second
	// restartDelay is the time after which the platform starts a process again.
	restartDelay = time.Second
	// allowedLosses is how many channels the rule allows to be closed without an answer.
	allowedLosses = 3
)

// orders counts what became of the orders.
type orders struct {
	answered, refused, failed, lost atomic.Int64
}

// runManyRoutes has the config grow by many routes, on which clients place orders on kept channels, and checks that
// each order that a server ran is answered.
func runManyRoutes(l *lab) error {
	tenants := []tenant{{"huka270", []string{firstKey}}}
	d, err := l.deploy(2, 0, tenants)
	if err != nil {
		return err
	}
	for _, id := range []string{"i-a", "i-b"} {
		v, err := l.newServer(id, service, d.store, orderWork)
		if err != nil {
			return err
		}
		d.servers = append(d.servers, v)
	}
	paths := []string{orderPath}
	if l.trouble {
		l.publishMany(d.store, 2, tenants, extraRoutes)
		for i := range extraRoutes {
			paths = append(paths, extraPath(i))
		}
	}
	time.Sleep(applyWithin)
	counts := l.placeAllOrders(d, paths)
	l.note("orders: %d answered, %d refused, %d failed, %d run and without an answer", counts.answered.Load(), counts.refused.Load(), counts.failed.Load(), counts.lost.Load())
	if lost := counts.lost.Load(); lost > allowedLosses {
		l.violate("%d orders from kept channels were run by sound servers, and their channels were closed without an answer (LOST)", lost)
	}
	return nil
}

// placeAllOrders runs all clients, while the platform watches the memory of the nodes.
func (l *lab) placeAllOrders(d *deployment, paths []string) *orders {
	counts := new(orders)
	done := make(chan struct{})
	var platform, clients sync.WaitGroup
	until := time.Now().Add(ordersFor)
	for _, n := range d.nodes {
		platform.Go(func() { l.enforceMemory(n, done) })
		for range clientsPerNode {
			clients.Go(func() { l.placeOrders(d, n, paths, until, counts) })
		}
	}
	clients.Wait()
	close(done)
	platform.Wait()
	return counts
}

// enforceMemory is the platform: it kills the process when it exceeds its memory, and starts it again.
func (l *lab) enforceMemory(n *node, done <-chan struct{}) {
	peak := int64(0)
	for {
		select {
		case <-done:
			l.note("%s: at most %d MB in use", n.name, peak>>20)
			return
		case <-time.After(20 * time.Millisecond):
		}
		used := n.memory()
		peak = max(peak, used)
		if used <= memoryLimit {
			continue
		}
		l.note("%s: %d MB in use, more than %d MB", n.name, used>>20, memoryLimit>>20)
		n.signal(syscall.SIGKILL)
		<-n.exited
		time.Sleep(restartDelay)
		if err := n.start(); err != nil {
			l.note("%s: %v", n.name, err)
			return
		}
	}
}

// memory returns the resident memory of the process in bytes; zero if it has ended.
func (n *node) memory() int64 {
	kilobytes, _ := strconv.ParseInt(strings.TrimSuffix(n.status("VmRSS:"), " kB"), 10, 64)
	return kilobytes << 10
}

// placeOrders is one client: it places orders one after the other on a kept channel, on routes drawn at random.
func (l *lab) placeOrders(d *deployment, n *node, paths []string, until time.Time, counts *orders) {
	transport := &http.Transport{DisableCompression: true, MaxConnsPerHost: 1}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport, Timeout: orderLimit}
	for kept := false; time.Now().Before(until); {
		id := newAttemptID()
		status, err := placeOrder(client, n, id, paths[rand.IntN(len(paths))])
		ran := len(runsAt(d.servers, id)) > 0
		switch {
		case err != nil && ran && kept && !os.IsTimeout(err):
			counts.lost.Add(1)
			l.note("%s: order %s was run and its channel closed without an answer: %v", n.name, id, err)
		case err != nil:
			counts.failed.Add(1)
		case status == http.StatusOK:
			counts.answered.Add(1)
		default:
			counts.refused.Add(1)
		}
		kept = err == nil
		if status != http.StatusOK {
			time.Sleep(probeInterval)
		}
	}
}

func placeOrder(client *http.Client, n *node, id, path string) (int, error) {
	request, err := http.NewRequest(http.MethodPost, "http://"+n.front+path+"1", strings.NewReader("order of "+id))
	if err != nil {
		return 0, err
	}
	// The client must not send an order again by itself.
	request.GetBody = nil
	request.Host = host
	request.Header.Set("Request-Attempt-Id", id)
	request.Header.Set("Deadline-Remaining", strconv.FormatInt(orderLimit.Milliseconds(), 10))
	request.Header.Set("Authorization", "Bearer "+firstKey)
	response, err := client.Do(request)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}
