package main

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/quetzalroad/quetzalroad/support/renderer"
)

// The ports of a machine. Each machine has a loopback address of its own.
const (
	frontPort = 8740
	readyPort = 8749
	innerPort = 7200
	storePort = 8742
)

// node is a machine with one process of the router.
type node struct {
	name, zone, ip string
	settings       string
	log            *os.File
	program        string
	process        *exec.Cmd
	record         *record
}

func (n *node) front() string { return fmt.Sprintf("%s:%d", n.ip, frontPort) }
func (n *node) ready() string { return fmt.Sprintf("%s:%d", n.ip, readyPort) }

// fields returns the platform's fields of a machine, as on the page about deployment.
func (n *node) fields(zones map[string]any, storeAddress string) map[string]any {
	return map[string]any{
		"node": n.name, "role": "router", "machineClass": "front", "ipAddress": n.ip, "zone": n.zone, "region": zones[n.zone],
		"internalPortRange": []any{float64(innerPort), float64(innerPort + 15)},
		"zones":             zones,
		"listen":            map[string]any{"front": n.front(), "ready": n.ready()},
		"limits":            map[string]any{"memoryMb": float64(284), "fileDescriptors": float64(4100), "linkMbps": float64(1000)},
		"bounds": map[string]any{
			"drainMs": float64(drainTime.Milliseconds()), "enforceRevocation": true, "revokeMs": float64(revokeTime.Milliseconds()),
			"retryBudgetRatio": 0.2,
		},
		"platform": map[string]any{"address": storeAddress},
	}
}

// configure writes the settings file from the template of the deploy file.
func (n *node) configure(directory, template string, zones map[string]any, storeAddress string) error {
	data, err := os.ReadFile(template)
	if err != nil {
		return err
	}
	text, err := renderer.Render(string(data), n.fields(zones, storeAddress))
	if err != nil {
		return err
	}
	n.settings = filepath.Join(directory, n.name+".settings")
	if n.log, err = os.Create(filepath.Join(directory, n.name+".log")); err != nil {
		return err
	}
	return os.WriteFile(n.settings, []byte(text), 0o600)
}

// start starts the process by the command of the deploy file.
func (n *node) start() error {
	n.process = exec.Command(n.program, "serve")
	n.process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), "QUETZALROAD_BOOT=" + n.settings}
	n.process.Stdout, n.process.Stderr = n.log, n.log
	// The node ends with this program, whatever ends it.
	n.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := n.process.Start(); err != nil {
		return err
	}
	n.record.printf("node %s started, process %d", n.name, n.process.Process.Pid)
	return nil
}

// kill ends the process with SIGKILL.
func (n *node) kill() {
	if n.process == nil || n.process.Process.Signal(syscall.SIGKILL) != nil {
		return
	}
	// The process was killed, so that its status is an error.
	_ = n.process.Wait()
	n.record.printf("node %s killed", n.name)
	n.process = nil
}

var errNotReady = errors.New("a node did not get ready")

// awaitReady waits until the node says that it is ready.
func (n *node) awaitReady(timeout time.Duration) error {
	client := http.Client{Timeout: time.Second}
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		response, err := client.Get("http://" + n.ready() + "/readiness")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return errNotReady
}
