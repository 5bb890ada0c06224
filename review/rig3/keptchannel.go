package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
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

// get sends a request without a body and returns the status of the answer; zero if the node closed the channel without
// one.
func (c *channel) get(path string) int {
	status, _ := c.ask(http.MethodGet, path, "", "")
	return status
}

// chat asks for a stream and reports whether it came whole.
func (c *channel) chat(path string) bool {
	const fields = "Model: m\r\nToken-Usage: 826,50\r\nPrompt-Prefix: 5c1e07a2:198,91bd3f06:628\r\n"
	status, body := c.ask(http.MethodPost, path, fields, "prompt")
	return status == http.StatusOK && strings.Count(body, "id: ") == shortEvents
}

// ask sends a request and returns the status and the body of the answer.
func (c *channel) ask(method, path, fields, body string) (int, string) {
	if c.conn == nil {
		conn, err := net.Dial("tcp", c.node.front())
		if err != nil {
			c.record.printf("%s: can't connect: %v", c.node.name, err)
			return 0, ""
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	id := newAttemptID()
	if body != "" {
		fields += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	status, answer, err := c.exchange(fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Attempt-Id: %s\r\nDeadline-Remaining: 2000\r\nAuthorization: Bearer %s\r\n%s\r\n%s",
		method, path, host, id, callerKey, fields, body), method)
	c.record.printf("%s: %s %s %s: status %d, %d events, error %v", c.node.name, id, method, path, status, strings.Count(answer, "id: "), err)
	if err != nil {
		c.close()
	}
	return status, answer
}

// errClosing reports that the node said that it closes the channel.
var errClosing = errors.New("the node closes the channel")

func (c *channel) exchange(text, method string) (status int, body string, err error) {
	if err := c.conn.SetDeadline(time.Now().Add(channelTimeout)); err != nil {
		return 0, "", err
	}
	if _, err := io.WriteString(c.conn, text); err != nil {
		return 0, "", err
	}
	response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err == nil && response.Close {
		err = errClosing
	}
	return response.StatusCode, string(data), err
}

func (c *channel) close() {
	if c.conn != nil {
		// The node may have closed it.
		_ = c.conn.Close()
		c.conn = nil
	}
}

// runKeptChannel asks for streams that may not be repeated on a route that was added, and for routes that never existed,
// on one channel to each node.
func runKeptChannel(o options, r *record) (bool, error) {
	d, err := newDeployment(o, r)
	if err != nil {
		return false, err
	}
	defer d.close()
	first := route{Name: "r-first", Host: host, PathPrefix: "/pufi791/", Kind: "streaming", TimeoutMs: 15000, TargetMs: 400, Service: "huvo11a", MaxAttempts: 1, Sticky: true, GapTargetMs: 250}
	added := first
	added.Name, added.PathPrefix = "r-added", "/rela447/"
	services, teams := []string{first.Service}, map[string][]string{callerTeam: {callerKey}}
	d.publish([]route{first}, services, teams)
	zones := []string{"at-east-graz", "at-west-ibk", "de-south-muc"}
	for i, zone := range zones {
		if err := d.addServer(&server{id: fmt.Sprintf("i-%d", i), service: first.Service, zone: zone, version: "v1", events: shortEvents, eventInterval: shortInterval}); err != nil {
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
	count := func(kind string, whole bool) {
		mu.Lock()
		defer mu.Unlock()
		if whole {
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
func useFirstRoute(c *channel, count func(string, bool)) {
	defer c.close()
	for range addedRequests {
		count("first", c.chat("/pufi791/2f"))
		time.Sleep(probeInterval * (unknownRoutes + 1))
	}
}

// probeAddedRoute shows which config is in force: the added route has to be there, and the others not.
func probeAddedRoute(c *channel, withUnknown bool, count func(string, bool)) {
	defer c.close()
	for i := range addedRequests {
		for k := range unknownRoutes {
			if withUnknown {
				c.get(fmt.Sprintf("/none%d/%d", k, i))
			}
			time.Sleep(probeInterval)
		}
		count("added", c.chat("/rela447/2f"))
		time.Sleep(probeInterval)
	}
}
