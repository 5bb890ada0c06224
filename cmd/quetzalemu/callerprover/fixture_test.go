package callerprover

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"

	"github.com/quetzalroad/quetzalroad/cmd/quetzalemu/backendserver"
	"github.com/quetzalroad/quetzalroad/cmd/quetzalemu/faultinjector"
	"github.com/quetzalroad/quetzalroad/cmd/quetzalemu/storeserver"
)

const (
	// memoryMB is the memory of the smallest VM, and descriptorLimit a lowered limit of its descriptors.
	memoryMB        = 112
	descriptorLimit = 600
	// maxBodyBytes is a lowered limit of bodies, at which the clients of a test still send more than memoryMB.
	maxBodyBytes = 1 << 20
	maxHeadBytes = 16 << 10
	// firstPath is the path of the ordinary route, and changedPath that after a change of the config.
	firstPath   = "/order/"
	changedPath = "/changed/"
	// readyTimeout and answerTimeout are generous for slow machines.
	readyTimeout  = 20 * time.Second
	answerTimeout = 30 * time.Second
)

// program is the path of the router's program, built by TestMain.
var program string

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	directory, err := os.MkdirTemp("", "callerprover")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(directory) }()
	program = filepath.Join(directory, "quetzalroad")
	build := exec.Command("go", "build", "-o", program, "github.com/quetzalroad/quetzalroad/cmd/quetzalroad")
	if output, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build the program: %v\n%s", err, output)
		return 1
	}
	return m.Run()
}

// process is a running node, its store and its upstream.
type process struct {
	command *exec.Cmd
	exited  chan struct{}
	store   storeserver.Store
	// callers and readiness are the addresses of the node.
	callers, readiness netip.AddrPort
	logFile            string
}

// start starts the emulators and the program, and waits until the node is ready.
func start(t *testing.T) *process {
	t.Helper()
	p := &process{exited: make(chan struct{}), logFile: filepath.Join(t.TempDir(), "node.log")}
	store := httptest.NewServer(&p.store)
	t.Cleanup(func() {
		store.CloseClientConnections()
		store.Close()
	})
	p.startUpstream(t)
	p.store.PutConfig(configText(1, firstPath))
	addresses, err := faultinjector.FreeAddresses(3)
	if err != nil {
		t.Fatal(err)
	}
	p.callers, p.readiness = addresses[0], addresses[1]
	settings := filepath.Join(t.TempDir(), "node.hujson")
	if err := os.WriteFile(settings, []byte(settingsText(store.Listener.Addr().String(), addresses)), 0o600); err != nil {
		t.Fatal(err)
	}
	p.run(t, settings)
	awaitCondition(t, readyTimeout, "the node is ready", p.isReady)
	awaitCondition(t, readyTimeout, "the node answers", func() bool { return p.request(firstPath) == nil })
	return p
}

// startUpstream starts the only upstream, which registers itself twice a second.
func (p *process) startUpstream(t *testing.T) {
	t.Helper()
	upstream := &backendserver.Server{ID: "i-1", Service: "application", Zone: "zone-1", MaxConcurrency: 64}
	server := httptest.NewServer(upstream)
	upstream.Address = netip.MustParseAddrPort(server.Listener.Addr().String())
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan struct{})
	startedAt := time.Now()
	p.store.PutServer(upstream.ID, upstream.Registration("ready", 1, startedAt))
	go func() {
		defer close(stopped)
		for sequence := 2; ctx.Err() == nil; sequence++ {
			p.store.PutServer(upstream.ID, upstream.Registration("ready", sequence, startedAt))
			select {
			case <-ctx.Done():
			case <-time.After(500 * time.Millisecond):
			}
		}
	}()
	t.Cleanup(func() {
		cancel()
		<-stopped
		server.CloseClientConnections()
		server.Close()
	})
}

func (p *process) run(t *testing.T, settings string) {
	t.Helper()
	output, err := os.Create(p.logFile)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = output.Close() }()
	p.command = exec.Command("/bin/sh", "-c", fmt.Sprintf("ulimit -n %d && exec %s serve %s", descriptorLimit, program, settings))
	p.command.Stdout, p.command.Stderr = output, output
	if err := p.command.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		defer close(p.exited)
		// The tests check that the process lives; its status after the kill below doesn't matter.
		_ = p.command.Wait()
	}()
	t.Cleanup(func() {
		_ = p.command.Process.Kill()
		<-p.exited
	})
}

// configText returns a config whose ordinary route has a path.
func configText(version int, path string) string {
	return fmt.Sprintf(`{"version":%d,"routes":[
{"name":"order","host":"h.example","pathPrefix":%q,"kind":"unsafe","timeoutMs":20000,"targetLatencyMs":200,"priority":1,"service":"application","maxAttempts":1},
{"name":"batch","host":"h.example","pathPrefix":"/batch/","kind":"unsafe","timeoutMs":20000,"targetLatencyMs":200,"priority":4,"service":"application","maxAttempts":1}],
"services":[{"name":"application","connectionLimit":100}],
"limits":{"maxHeaderBytes":%d,"maxBodyBytes":%d,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"team","apiKeys":["key"],"priority":1}]}`, version, path, maxHeadBytes, maxBodyBytes)
}

func settingsText(store string, addresses []netip.AddrPort) string {
	return fmt.Sprintf(`{
  "node": {"name": "node-1", "data-centre": "zone-1", "region": "region-1", "balancer-lag": "100ms", "stop-timeout": "5s"},
  "process": {"memory-mb": "%d", "descriptors": "%d"},
  "log": {"plugin": "none"}, "vm-list": {"plugin": "none"}, "drains": {"plugin": "none"}, "claims": {"plugin": "none"},
  "engines": {"plugin": "none"}, "services": {"plugin": "none"}, "peer-transport": {"plugin": "none"}, "peers": {"plugin": "none"}, "admin": {"plugin": "none"},
  "keyed-log": {"plugin": "platform", "address": %q},
  "entries": {"plugin": "platform"},
  "read-transport": {"plugin": "drpc", "address": %q},
  "log-sharing": {"plugin": "distributor"},
  "state": {"plugin": "watcher", "revoke-within": "5s", "leave-within": "4s", "places": "zone-1=region-1"},
  "load": {"report-interval": "0s", "reach": "all"},
  "admitter": {"plugin": "passer"}, "balancer": {"plugin": "separator"}, "limiter": {"plugin": "passer"}, "spill": {"plugin": "stayer"},
  "retry": {"plugin": "budgeter", "share": 0.2, "reserve": 100, "initial": 100, "attempts": 3, "backoff": "0s", "hedge-after": 0},
  "upstream-fields": {"plugin": "platform"}, "forwards": {"plugin": "relayer"}, "caller-fields": {"plugin": "platform"},
  "callers": {"plugin": "forward", "address": %q, "ready-address": %q},
}`, memoryMB, descriptorLimit, store, addresses[2], addresses[0], addresses[1])
}

func awaitCondition(t *testing.T, timeout time.Duration, description string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(timeout); !condition(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s: not within %s", description, timeout)
		}
	}
}

func (p *process) isReady() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + p.readiness.String() + "/readiness")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// request sends an ordinary request on a new connection and returns why it wasn't answered.
func (p *process) request(path string) error {
	client := http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	body := strings.Repeat("x", 3000)
	request, err := http.NewRequest(http.MethodPost, "http://"+p.callers.String()+path+"1", strings.NewReader(body))
	if err != nil {
		return err
	}
	request.Host = "h.example"
	request.Header.Set("Authorization", "Bearer key")
	request.Header.Set("Request-Attempt-Id", uuid.NewString())
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	if err == nil && (response.StatusCode != http.StatusOK || !strings.HasSuffix(string(answer), body)) {
		return fmt.Errorf("status %d, %d bytes", response.StatusCode, len(answer))
	}
	return err
}

// statusKB returns a memory figure that the operating system states of the process; zero if it has ended.
func (p *process) statusKB(field string) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if value, found := strings.CutPrefix(line, field+":"); found {
			kilobytes, _ := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(value), " kB"))
			return kilobytes
		}
	}
	return 0
}

func (p *process) descriptors() int {
	entries, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.command.Process.Pid))
	return len(entries)
}

func (p *process) isRunning() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// dial connects to the node; it returns nil if the node doesn't accept the connection.
func (p *process) dial() net.Conn {
	conn, err := net.DialTimeout("tcp", p.callers.String(), time.Second)
	if err != nil {
		return nil
	}
	return conn
}
