package main

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// Bounds of the users' site that the nodes are told and the cases check.
const (
	revokeWithin = 5 * time.Second
	drainWithin  = 4 * time.Second
	applyWithin  = 4 * time.Second
	stableWindow = 5 * time.Second
)

// node is one node: its machine's address, its settings file and its current process.
type node struct {
	lab      *lab
	name     string
	zone     string
	host     string
	front    string
	ready    string
	settings string
	// descriptorLimit is the process's limit of open files; zero for that of the lab.
	descriptorLimit int
	command         *exec.Cmd
	exited          chan struct{}
}

// newNode writes the settings of a node whose store has the given address.
func (l *lab) newNode(name, zone, storeAddress string) (*node, error) {
	host := l.newHost()
	n := &node{lab: l, name: name, zone: zone, host: host, settings: filepath.Join(l.directory, name+".hujson")}
	var ports [3]int
	for i := range ports {
		port, err := freePort(host)
		if err != nil {
			return nil, err
		}
		ports[i] = port
	}
	n.front, n.ready = host+":"+strconv.Itoa(ports[0]), host+":"+strconv.Itoa(ports[1])
	template, err := os.ReadFile(filepath.Join(l.root, "deploy", "node.hujson"))
	if err != nil {
		return nil, err
	}
	text, err := fillTemplate(string(template), n.settingsData(ports[2], storeAddress), nil, "", true)
	if err != nil {
		return nil, err
	}
	l.onClose(n.stop)
	return n, os.WriteFile(n.settings, []byte(text), 0o600)
}

// settingsData holds the platform's fields that the template uses.
func (n *node) settingsData(internalPort int, storeAddress string) map[string]any {
	return map[string]any{
		"node": n.name, "zone": n.zone, "region": "region-1", "ipAddress": n.host,
		"internalPortRange": []any{float64(internalPort), float64(internalPort)},
		"zones":             map[string]any{"zone-1": "region-1"},
		"listen":            map[string]any{"front": n.front, "ready": n.ready},
		"limits":            map[string]any{"linkMbps": 1000.0},
		"platform":          map[string]any{"address": storeAddress},
		"bounds": map[string]any{
			"enforceRevocation": true, "revokeMs": float64(revokeWithin.Milliseconds()),
			"drainMs": float64(drainWithin.Milliseconds()), "retryBudgetRatio": 0.2,
		},
	}
}

// start starts the node's process with the deploy file's command.
func (n *node) start() error {
	output, err := os.OpenFile(n.logFile(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer output.Close()
	run, err := deployCommand(n.lab.root)
	if err != nil {
		return err
	}
	command := exec.Command(run[0], run[1:]...)
	if n.descriptorLimit > 0 {
		command = exec.Command("/bin/sh", "-c", fmt.Sprintf("ulimit -n %d && exec %s", n.descriptorLimit, strings.Join(run, " ")))
	}
	command.Dir = n.lab.root
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "QUETZALROAD_BOOT=" + n.settings}
	command.Stdout, command.Stderr = output, output
	if err := command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	n.command, n.exited = command, exited
	n.lab.note("%s: process started", n.name)
	go func() {
		err := command.Wait()
		n.lab.note("%s: process ended: %v", n.name, err)
		close(exited)
	}()
	return nil
}

// deployCommand returns the program and the arguments of the deploy file's role.
func deployCommand(root string) ([]string, error) {
	text, err := os.ReadFile(filepath.Join(root, "deploy", "system.toml"))
	if err != nil {
		return nil, err
	}
	for line := range strings.Lines(string(text)) {
		if quoted, found := strings.CutPrefix(strings.TrimSpace(line), "run = "); found {
			run, err := strconv.Unquote(quoted)
			return strings.Fields(run), err
		}
	}
	return nil, errors.New("deploy/system.toml has no command")
}

// isRunning reports whether the process has not ended.
func (n *node) isRunning() bool {
	if n.command == nil {
		return false
	}
	select {
	case <-n.exited:
		return false
	default:
		return true
	}
}

// status returns a field of the status that the operating system states of the process; empty if it has ended.
func (n *node) status(field string) string {
	if !n.isRunning() {
		return ""
	}
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.command.Process.Pid))
	if err != nil {
		return ""
	}
	for line := range strings.Lines(string(text)) {
		if value, found := strings.CutPrefix(line, field); found {
			return strings.TrimSpace(value)
		}
	}
	return ""
}

// signal sends a signal to the process.
func (n *node) signal(s syscall.Signal) {
	if n.isRunning() {
		n.lab.note("%s: %v", n.name, s)
		// The process may have ended meanwhile.
		_ = n.command.Process.Signal(s)
	}
}

// stop kills the process and waits for its end.
func (n *node) stop() {
	if n.isRunning() {
		_ = n.command.Process.Kill()
		<-n.exited
	}
}

// isReady reports whether the node answers the readiness probe with 200.
func (n *node) isReady() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + n.ready + "/readiness")
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// startReady starts the process and waits until the node is ready.
func (n *node) startReady() error {
	if err := n.start(); err != nil {
		return err
	}
	if !waitUntil(10*time.Second, n.isReady) {
		return fmt.Errorf("%s is not ready", n.name)
	}
	n.lab.note("%s: ready", n.name)
	return nil
}

// logFile is the file with the process's output.
func (n *node) logFile() string {
	return filepath.Join(n.lab.directory, n.name+".log")
}
