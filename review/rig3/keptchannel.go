package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// unknownRoutes is the number of requests on routes that never existed before each one on the added route.
	unknownRoutes = 8
	// addedRequests is the number of requests on the added route at each node, and on the first one.
	addedRequests = 15
	// probeInterval is the time between two requests on a channel.
	probeInterval  = 25 * time.Millisecond
	channelTimeout = 3 * time.Second
)

// channel is a kept channel to a node. It is opened again after the node has closed it.
type channel struct {
	node   *node
	record *record
	conn   net.Conn
	reader *bufio.Reader
}

// get sends a request without a body and returns the status of the answer; zero if the node closed the channel
// without one.
func (c *channel) get(path string) int {
	if c.conn == nil {
		conn, err := net.Dial("tcp", c.node.front())
		if err != nil {
			c.record.printf("%s: can't connect: %v", c.node.name, err)
			return 0
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	id := newAttemptID()
	status, reusable, err := c.exchange(id, path)
	c.record.printf("%s: %s GET %s: status %d, error %v", c.node.name, id, path, status, err)
	if err != nil || !reusable {
		c.close()
	}
	return status
}

func (c *channel) exchange(id, path string) (status int, reusable bool, err error) {
	if err := c.conn.SetDeadline(time.Now().Add(channelTimeout)); err != nil {
		return 0, false, err
	}
	_, err = fmt.Fprintf(c.conn, "GET %s HTTP/1.1\r\nHost: %s\r\nRequest-Attempt-Id: %s\r\nDeadline-Remaining: 2000\r\nAuthorization: Bearer %s\r\n\r\n", path, host, id, callerKey)
	if err != nil {
		return 0, false, err
	}
	response, err := http.ReadResponse(c.reader, &http.Request{Method: http.MethodGet})
	if err != nil {
		return 0, false, err
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0, false, err
	}
	return response.StatusCode, !response.Close, nil
}

func (c *channel) close() {
	if c.conn != nil {
		// The node may have closed it.
		_ = c.conn.Close()
		c.conn = nil
	}
}

// runKeptChannel sends requests on a route that was added, and on routes that never existed, on one channel to each node.
func runKeptChannel(o options, r *record) (bool, error) {
	d, err := newDeployment(o, r)
	if err != nil {
		return false, err
	}
	defer d.close()
	first := route{Name: "r-first", Host: host, PathPrefix: "/puxa403/", Kind: "safe", TimeoutMs: 1000, TargetMs: 200, Service: "wuno96b", MaxAttempts: 2}
	added := first
	added.Name, added.PathPrefix = "r-added", "/rela447/"
	services, teams := []string{first.Service}, map[string][]string{callerTeam: {callerKey}}
	d.publish([]route{first}, services, teams)
	zones := []string{"at-east-graz", "at-west-ibk", "de-south-muc"}
	for i, zone := range zones {
		if err := d.addServer(&server{id: fmt.Sprintf("i-%d", i), service: first.Service, zone: zone, version: "v1"}); err != nil {
			return false, err
		}
	}
	if err := d.addNodes(zones...); err != nil {
		return false, err
	}
	time.Sleep(touchTime)
	d.publish([]route{first, added}, services, teams)
	time.Sleep(configApplyTime + touchTime)
	return playKeptChannel(d, o), nil
}

// playKeptChannel applies the rule CONFIG about routes that were added later.
func playKeptChannel(d *deployment, o options) bool {
	var mu sync.Mutex
	served := make(map[string]int)
	var clients sync.WaitGroup
	count := func(kind string, status int) {
		mu.Lock()
		defer mu.Unlock()
		if status == http.StatusOK {
			served[kind]++
		}
	}
	for _, n := range d.nodes {
		clients.Go(func() { useFirstRoute(&channel{node: n, record: d.record}, count) })
		clients.Go(func() { probeAddedRoute(&channel{node: n, record: d.record}, o.trouble, count) })
	}
	clients.Wait()
	total := len(d.nodes) * addedRequests
	d.record.report("%d requests each: %d served on the first route, %d on the one that was added", total, served["first"], served["added"])
	return total >= leastRequests && 4*served["added"] < served["first"]
}

// useFirstRoute is a client of the first route.
func useFirstRoute(c *channel, count func(string, int)) {
	defer c.close()
	for range addedRequests {
		count("first", c.get("/puxa403/2f"))
		time.Sleep(probeInterval * (unknownRoutes + 1))
	}
}

// probeAddedRoute shows which config is in force: the added route has to be there, and the others not.
func probeAddedRoute(c *channel, withUnknown bool, count func(string, int)) {
	defer c.close()
	for i := range addedRequests {
		for k := range unknownRoutes {
			if withUnknown {
				c.get(fmt.Sprintf("/none%d/%d", k, i))
			}
			time.Sleep(probeInterval)
		}
		count("added", c.get("/rela447/2f"))
		time.Sleep(probeInterval)
	}
}
