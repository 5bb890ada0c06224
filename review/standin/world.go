package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/quetzalroad/quetzalroad/support/renderer"
)

// The paths of the programs and of the settings' template, from the root of the repository.
const (
	nodeProgram      = "target/quetzalroad"
	settingsTemplate = "deploy/node.hujson"
)

// world is what a case has started, and its record.
type world struct {
	begun     time.Time
	temporary string
	store     *store
	// storeAddress is the address at which servers and the operator reach the store.
	storeAddress string

	mu sync.Mutex
	// The fields below are guarded by mu. runs are the requests that servers began to run.
	record    *os.File
	processes []*process
	addresses int
	runs      []serverEvent
	network   int
}

// serverEvent is a line that a server stand-in reports.
type serverEvent struct {
	What    string `json:"what"`
	Server  string `json:"server"`
	Service string `json:"service"`
	Version string `json:"version"`
	Request string `json:"request"`
	Tenant  string `json:"tenant"`
	After   int    `json:"after"`
	Body    string `json:"body"`
	at      time.Time
}

// process is a process that the case started.
type process struct {
	command *exec.Cmd
	name    string
	done    chan struct{}
}

func newWorld(directory string) (*world, error) {
	record, err := os.Create(filepath.Join(directory, "record.txt"))
	if err != nil {
		return nil, err
	}
	temporary, err := os.MkdirTemp("", "standin-")
	if err != nil {
		return nil, err
	}
	w := &world{begun: time.Now(), temporary: temporary, record: record, network: 20 + os.Getpid()%200}
	w.store = newStore()
	listener, err := w.listen()
	if err != nil {
		return nil, err
	}
	w.storeAddress = listener.Addr().String()
	go w.store.serve(listener)
	return w, nil
}

// recordf writes a line to the record.
func (w *world) recordf(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	// A record that can't be written shows in the file.
	_, _ = fmt.Fprintf(w.record, "%8.3f  %s\n", time.Since(w.begun).Seconds(), fmt.Sprintf(format, args...))
}

// close ends all processes and removes the temporary folder.
func (w *world) close() {
	w.mu.Lock()
	processes := w.processes
	w.mu.Unlock()
	for _, p := range processes {
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGKILL)
		<-p.done
	}
	if os.Getenv("KEEP") != "" {
		return
	}
	// What is left behind is in the system's temporary folder.
	_ = os.RemoveAll(w.temporary)
	_ = w.record.Close()
}

// nextIP returns a loopback address that the case has not used yet.
func (w *world) nextIP() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.addresses++
	return fmt.Sprintf("127.%d.%d.%d", w.network, os.Getpid()/200%250+1, w.addresses)
}

// listen listens on a free port of a new loopback address.
func (w *world) listen() (net.Listener, error) {
	return net.Listen("tcp", w.nextIP()+":0")
}

// freeAddress returns an address with a port that is free.
func freeAddress(ip string) (string, error) {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String(), nil
}

// start starts a process whose output goes to out.
func (w *world) start(name string, environment []string, out io.Writer, program string, args ...string) (*process, error) {
	command := exec.Command(program, args...)
	command.Env = append([]string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}, environment...)
	command.Stdout, command.Stderr = out, out
	if err := command.Start(); err != nil {
		return nil, err
	}
	p := &process{command: command, name: name, done: make(chan struct{})}
	go func() {
		// The state of a killed process is no error of the case.
		_ = command.Wait()
		close(p.done)
	}()
	w.mu.Lock()
	w.processes = append(w.processes, p)
	w.mu.Unlock()
	w.recordf("started %s, process %d", name, command.Process.Pid)
	return p, nil
}

// signal sends a signal to the process, which may have ended.
func (p *process) signal(s syscall.Signal) {
	_ = p.command.Process.Signal(s)
}

// kill ends the process at once and waits for its end.
func (w *world) kill(p *process) {
	p.signal(syscall.SIGKILL)
	<-p.done
	w.recordf("killed %s", p.name)
}

// node is a node of the system.
type node struct {
	*process
	name, front, ready string
	settings, log      string
}

// nodeOptions are what differs between the nodes of a case.
type nodeOptions struct {
	name         string
	storeAddress string
}

// newNode writes the settings of a node as the platform does.
func (w *world) newNode(o nodeOptions) (*node, error) {
	ip := w.nextIP()
	n := &node{name: o.name, settings: filepath.Join(w.temporary, o.name+".hujson"), log: filepath.Join(w.temporary, o.name+".log")}
	var ports []int
	for range 3 {
		address, err := freeAddress(ip)
		if err != nil {
			return nil, err
		}
		_, port, _ := net.SplitHostPort(address)
		var number int
		if _, err := fmt.Sscan(port, &number); err != nil {
			return nil, err
		}
		ports = append(ports, number)
	}
	n.front, n.ready = fmt.Sprintf("%s:%d", ip, ports[0]), fmt.Sprintf("%s:%d", ip, ports[1])
	template, err := os.ReadFile(settingsTemplate)
	if err != nil {
		return nil, err
	}
	settings, err := renderer.Render(string(template), map[string]any{
		"node": o.name, "zone": "zone-1", "region": "region-1", "ipAddress": ip,
		"zones":  map[string]any{"zone-1": "region-1"},
		"listen": map[string]any{"front": n.front, "ready": n.ready},
		"bounds": map[string]any{
			"enforceRevocation": true, "revokeMs": 5000.0, "drainMs": 3000.0, "retryBudgetRatio": 0.2,
		},
		"platform": map[string]any{"address": o.storeAddress}, "internalPortRange": []any{float64(ports[2]), float64(ports[2])},
		"limits": map[string]any{"linkMbps": 1000.0, "memoryMb": 284.0, "fileDescriptors": 4100.0},
	})
	if err != nil {
		return nil, err
	}
	return n, os.WriteFile(n.settings, []byte(settings), 0o600)
}

// startNode starts a node's process.
func (w *world) startNode(n *node) error {
	log, err := os.OpenFile(n.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	// The process has its own descriptor.
	defer func() { _ = log.Close() }()
	n.process, err = w.start(n.name, []string{"QUETZALROAD_BOOT=" + n.settings}, log, nodeProgram, "serve")
	return err
}

// startNodes starts nodes that reach the store at the given addresses.
func (w *world) startNodes(storeAddresses ...string) ([]*node, error) {
	var nodes []*node
	for i, address := range storeAddresses {
		n, err := w.newNode(nodeOptions{name: fmt.Sprintf("node-%d", i+1), storeAddress: address})
		if err != nil {
			return nil, err
		}
		if err := w.startNode(n); err != nil {
			return nil, err
		}
		nodes = append(nodes, n)
	}
	return nodes, nil
}

// server is a server stand-in.
type server struct {
	*process
	id, service, address, version string
	options                       []string
}

// startServer starts the process of a server stand-in, which registers itself.
func (w *world) startServer(s *server) error {
	if s.address == "" {
		address, err := freeAddress(w.nextIP())
		if err != nil {
			return err
		}
		s.address = address
	}
	program, err := os.Executable()
	if err != nil {
		return err
	}
	reader, writer, err := os.Pipe()
	if err != nil {
		return err
	}
	args := append([]string{"server", "-id", s.id, "-service", s.service, "-address", s.address, "-version", s.version, "-store", w.storeAddress}, s.options...)
	s.process, err = w.start(s.id+" "+s.version, nil, writer, program, args...)
	// The process has its own descriptor.
	_ = writer.Close()
	if err != nil {
		return err
	}
	go w.readServerEvents(reader)
	return nil
}

// readServerEvents records what a server reports.
func (w *world) readServerEvents(r io.ReadCloser) {
	defer func() { _ = r.Close() }()
	for lines := bufio.NewScanner(r); lines.Scan(); {
		var e serverEvent
		if err := json.Unmarshal(lines.Bytes(), &e); err != nil {
			w.recordf("server says: %s", lines.Text())
			continue
		}
		e.at = time.Now()
		w.recordf("server %s (%s %s): %s request %s tenant %q after event %d", e.Server, e.Service, e.Version, e.What, e.Request, e.Tenant, e.After)
		w.mu.Lock()
		w.runs = append(w.runs, e)
		w.mu.Unlock()
	}
}

// events returns what the servers have reported of a kind.
func (w *world) events(what string) []serverEvent {
	w.mu.Lock()
	defer w.mu.Unlock()
	var list []serverEvent
	for _, e := range w.runs {
		if e.What == what {
			list = append(list, e)
		}
	}
	return list
}

// busiest returns the server that has begun the most requests.
func (w *world) busiest(servers []*server) *server {
	begun := make(map[string]int)
	for _, e := range w.events("runs") {
		begun[e.Server]++
	}
	best := servers[0]
	for _, s := range servers {
		if begun[s.id] > begun[best.id] {
			best = s
		}
	}
	return best
}
