package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// descriptorLimit is the fileDescriptors of the users' machines.
	descriptorLimit = 4100
	// usualUsers is the number of users that keep a channel to one node, and burstFactor and burstLength are the
	// burst.
	usualUsers  = 2500
	burstFactor = 2.56
	burstLength = 9 * time.Second
	// thinkTime is the time between two requests of a user, below four fifths of idleTimeoutMs.
	thinkTime = 10 * time.Second
	// warmUp and coolDown are the times of usual load before and after the burst.
	warmUp   = 13 * time.Second
	coolDown = 4 * time.Second
	// usualArrival and burstArrival are the times over which users arrive at the start and in the burst.
	usualArrival = 10 * time.Second
	burstArrival = 2 * time.Second
	// joinAfter is when, from the start of the burst, one more node starts.
	joinAfter = 5 * time.Second
	// clientProcesses is the number of client processes for one node.
	clientProcesses = 10
)

// runClients is a client process with a part of the users of a node, and more of them during the burst.
func runClients(address, factorText string) int {
	factor, err := strconv.ParseFloat(factorText, 64)
	if err != nil {
		return exitNotRun
	}
	started := time.Now()
	burstAt := started.Add(warmUp)
	usual := usualUsers / clientProcesses
	more := int(float64(usual) * (factor - 1))
	var users sync.WaitGroup
	for i := range usual {
		arrival := started.Add(usualArrival * time.Duration(i) / time.Duration(usual))
		users.Go(func() { visit(address, arrival, burstAt.Add(burstLength+coolDown)) })
	}
	for i := range more {
		arrival := burstAt.Add(burstArrival * time.Duration(i) / time.Duration(more))
		users.Go(func() { visit(address, arrival, burstAt.Add(burstLength)) })
	}
	users.Wait()
	return exitHeld
}

// visit is one user, who keeps a channel open and sends requests on it. A user whose channel ends opens another one.
func visit(address string, from, until time.Time) {
	time.Sleep(time.Until(from))
	for time.Now().Before(until) {
		browse(address, until)
		time.Sleep(time.Second)
	}
}

// browse sends requests on one channel until the user leaves or the channel ends.
func browse(address string, until time.Time) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return
	}
	defer conn.Close()
	answers := bufio.NewReaderSize(conn, 1024)
	for time.Now().Before(until) {
		_ = conn.SetDeadline(time.Now().Add(timeLimit))
		_, err = fmt.Fprintf(conn, "GET %s1 HTTP/1.1\r\nHost: %s\r\nRequest-Attempt-Id: %s\r\nDeadline-Remaining: %d\r\n\r\n", publicPath, host, newAttemptID(), timeLimit.Milliseconds())
		if err != nil {
			return
		}
		response, err := http.ReadResponse(answers, nil)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil || response.Close {
			return
		}
		time.Sleep(min(thinkTime, time.Until(until)))
	}
}

// runDescriptors has many clients come at once while a node joins, waits until they have left, moves all routes to
// another service, and checks that no node sends requests to the old one.
func runDescriptors(l *lab) error {
	d, joining, err := l.deployFive()
	if err != nil {
		return err
	}
	factor := 1.0
	if l.trouble {
		factor = burstFactor
	}
	if err := l.startClients(d.nodes, factor); err != nil {
		return err
	}
	burstAt := time.Now().Add(warmUp)
	time.Sleep(time.Until(burstAt.Add(joinAfter)))
	l.noteProcesses(d)
	if err := joining.start(); err != nil {
		return err
	}
	d.nodes = append(d.nodes, joining)
	time.Sleep(time.Until(burstAt.Add(burstLength)))
	l.noteProcesses(d)
	time.Sleep(coolDown + timeLimit + stableWindow)
	l.note("all users have left more than %.0f s ago", stableWindow.Seconds())
	l.noteProcesses(d)
	l.checkMove(d)
	return nil
}

// deployFive starts four nodes and prepares a fifth one, which reads the store through another node.
func (l *lab) deployFive() (*deployment, *node, error) {
	d, err := l.deploy(0, 2, []tenant{{"huka270", []string{firstKey}}})
	if err != nil {
		return nil, nil, err
	}
	v, err := l.newServer("i-other", otherService, d.store, 15*time.Millisecond)
	if err != nil {
		return nil, nil, err
	}
	d.servers = append(d.servers, v)
	for _, i := range []int{1, 2, 3, 5, 4} {
		n, err := l.addNode(d, "front-zone-1-"+strconv.Itoa(i))
		if err != nil {
			return nil, nil, err
		}
		n.descriptorLimit = descriptorLimit
	}
	joining := d.nodes[4]
	d.nodes = d.nodes[:4]
	for _, n := range d.nodes {
		if err := n.startReady(); err != nil {
			return nil, nil, err
		}
	}
	return d, joining, nil
}

// startClients starts the client processes of each node.
func (l *lab) startClients(nodes []*node, factor float64) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	l.note("users: %d at each node, %.2f times as many for %.0f s in %.0f s", usualUsers, factor, burstLength.Seconds(), warmUp.Seconds())
	for _, n := range nodes {
		for range clientProcesses {
			command := exec.Command(self, "clients", n.front, strconv.FormatFloat(factor, 'f', -1, 64))
			if err := command.Start(); err != nil {
				return err
			}
			l.onClose(func() {
				_ = command.Process.Kill()
				_ = command.Wait()
			})
		}
	}
	return nil
}

// noteProcesses records the open descriptors, the memory and the readiness of each node.
func (l *lab) noteProcesses(d *deployment) {
	for _, n := range d.nodes {
		if !n.isRunning() {
			l.note("%s: not running", n.name)
			continue
		}
		descriptors, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", n.command.Process.Pid))
		l.note("%s: running, ready %v, %d descriptors, peak memory %s", n.name, n.isReady(), len(descriptors), n.status("VmHWM:"))
	}
}

// checkMove moves all routes to the other service, and sends requests once the move has to be in force.
func (l *lab) checkMove(d *deployment) {
	moved := l.publishMove(d.store, 2, []tenant{{"huka270", []string{firstKey}}})
	time.Sleep(time.Until(moved.Add(applyWithin + 500*time.Millisecond)))
	for range 5 {
		for _, n := range d.nodes {
			a := send(n, call{method: http.MethodGet, path: publicPath + "1", timeLimit: timeLimit})
			for _, run := range runsAt(d.servers, a.id) {
				l.note("%s: %s: %s, run by %s", n.name, publicPath, a, run.server)
				if run.server != "i-other" {
					l.violate("%s: a request sent %.1f s after the acknowledgement of version 2 was run by the old service (CONFIG)", n.name, a.sentAt.Sub(moved).Seconds())
				}
			}
			keyed := send(n, call{method: http.MethodPost, path: orderPath + "1", key: firstKey, timeLimit: timeLimit})
			l.note("%s: %s with a key in force: %s, %d runs", n.name, orderPath, keyed, len(runsAt(d.servers, keyed.id)))
		}
		time.Sleep(time.Second)
	}
	for _, n := range d.nodes {
		n.noteFailedTasks()
	}
}

// noteFailedTasks records the tasks that the node's log says have failed.
func (n *node) noteFailedTasks() {
	text, err := os.ReadFile(n.logFile())
	if err != nil {
		return
	}
	for line := range strings.Lines(string(text)) {
		if strings.Contains(line, `"task failed"`) {
			n.lab.note("%s: its log says: %s", n.name, strings.TrimSpace(line))
		}
	}
}
