package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// engineService is the service of the model servers, and draftPath and chatPath the prefixes of its routes.
	engineService = "list-llm"
	draftPath     = "/draft/"
	chatPath      = "/chat/"
	// deadlyPart is the id of the part that crashes servers, and commonPart one that all prompts begin with.
	deadlyPart = "dead0001"
	commonPart = "c0000001"
	// otherParts is the number of parts that sound prompts and deadly ones share.
	otherParts = 48
	// engineBack is how long a server that crashed is away.
	engineBack = 3 * time.Second
	// poisonInterval is the time between two deadly requests, which come for poisonFor.
	poisonInterval = 500 * time.Millisecond
	poisonFor      = 22 * time.Second
	// draftsFor is how long sound requests come, by soundClients clients.
	draftsFor    = 30 * time.Second
	soundClients = 24
	// crashesToLearn is the number of crashes from which the rule counts, and allowedDeadly how many requests it allows.
	crashesToLearn = 5
	allowedDeadly  = 3
)

// poison is how prompts crash servers.
type poison struct {
	what string
	// partsBefore is the number of parts before the deadly one.
	partsBefore int
	// cutsHead is set if the server gets no further than the middle of its answer's head.
	cutsHead bool
}

// poisons are the ways that the case tries, one after the other.
var poisons = []poison{
	{what: "servers crash in the middle of the head", partsBefore: 3, cutsHead: true},
	{what: "servers crash after the head, on the 17th part", partsBefore: 16},
}

// engine is a model server that crashes as it begins to write an answer to a deadly prompt.
type engine struct {
	lab     *lab
	fleet   *engineFleet
	address string

	mu sync.Mutex
	// The fields below are guarded by mu. listener is nil while the server is down.
	listener net.Listener
	conns    map[net.Conn]bool
	id       string
	born     time.Time
	sequence int
	starts   int
}

// engineFleet is all model servers and what they saw.
type engineFleet struct {
	lab     *lab
	store   *store
	poison  poison
	engines []*engine

	mu sync.Mutex
	// The fields below are guarded by mu.
	crashes []time.Time
	// deadly holds the times at which deadly requests reached servers, and begun the sound requests that began.
	deadly []time.Time
	begun  int
	// complete and cut count the sound requests that got a whole answer and those whose answer broke off.
	complete, cut int
}

// newFleet starts model servers.
func (l *lab) newFleet(s *store, p poison, count int) (*engineFleet, error) {
	f := &engineFleet{lab: l, store: s, poison: p}
	for i := range count {
		host := l.newHost()
		port, err := freePort(host)
		if err != nil {
			return nil, err
		}
		e := &engine{lab: l, fleet: f, address: host + ":" + strconv.Itoa(port), id: fmt.Sprintf("e-%d", i)}
		f.engines = append(f.engines, e)
		if err := e.start(); err != nil {
			return nil, err
		}
	}
	done := make(chan struct{})
	l.onClose(func() { close(done) })
	go func() {
		for {
			select {
			case <-time.After(1200 * time.Millisecond):
				for _, e := range f.engines {
					e.beat()
				}
			case <-done:
				return
			}
		}
	}()
	return f, nil
}

// start begins a lifetime of the server with a new id.
func (e *engine) start() error {
	listener, err := net.Listen("tcp", e.address)
	if err != nil {
		return err
	}
	e.mu.Lock()
	e.starts++
	e.listener, e.conns, e.born, e.sequence = listener, make(map[net.Conn]bool), time.Now(), 0
	base, _, _ := strings.Cut(e.id, ".")
	e.id = fmt.Sprintf("%s.%d", base, e.starts)
	e.mu.Unlock()
	go e.accept(listener)
	e.beat()
	return nil
}

func (e *engine) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		e.mu.Lock()
		e.conns[conn] = true
		e.mu.Unlock()
		go e.serve(conn)
	}
}

// beat writes the server's entry while it runs.
func (e *engine) beat() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.listener == nil {
		return
	}
	e.sequence++
	e.fleet.store.put("keyed.servers", e.id, fmt.Sprintf(`{"service":%q,"address":%q,"zone":"zone-1","version":"1","slots":64,"state":"ready","coldRemainingMs":0,"sequence":%d,"born":%d}`,
		engineService, e.address, e.sequence, e.born.UnixMilli()))
}

// crash ends the lifetime: the listener and all channels are closed. Its entry goes, and it is back later.
func (e *engine) crash() {
	e.mu.Lock()
	listener, conns, id := e.listener, e.conns, e.id
	e.listener = nil
	e.mu.Unlock()
	if listener == nil {
		return
	}
	_ = listener.Close()
	for conn := range conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
	e.fleet.mu.Lock()
	e.fleet.crashes = append(e.fleet.crashes, time.Now())
	n := len(e.fleet.crashes)
	e.fleet.mu.Unlock()
	e.lab.note("server %s crashes, crash %d", id, n)
	time.AfterFunc(engineBack, func() {
		e.fleet.store.put("keyed.servers", id, "")
		if err := e.start(); err != nil {
			e.lab.note("server %s: %v", id, err)
		}
	})
}

// serve answers the requests on one channel.
func (e *engine) serve(conn net.Conn) {
	defer conn.Close()
	requests := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(requests)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		if !e.answer(conn, request) {
			return
		}
	}
}

// answer answers one request and reports whether the channel stays open.
func (e *engine) answer(conn net.Conn, request *http.Request) bool {
	e.mu.Lock()
	id := e.id
	e.mu.Unlock()
	if expected := request.Header.Get("Expected-Instance"); expected != "" && expected != id {
		_, err := fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: %s\r\nRequest-Attempt-Id: %s\r\nContent-Length: 0\r\n\r\n", id, request.Header.Get("Request-Attempt-Id"))
		return err == nil
	}
	deadly := strings.Contains(request.Header.Get("Prompt-Prefix"), deadlyPart+":")
	e.fleet.arrived(deadly)
	time.Sleep(40 * time.Millisecond)
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Attempt-Id: %s\r\nResponse-Seal: seal-%s\r\nServer-Load: 1,0,64,100\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", request.Header.Get("Request-Attempt-Id"), id)
	if deadly && e.fleet.poison.cutsHead {
		head = head[:len(head)/2]
	}
	if _, err := io.WriteString(conn, head); err != nil {
		return false
	}
	if deadly {
		time.Sleep(5 * time.Millisecond)
		e.crash()
		return false
	}
	for i := 1; i <= 5; i++ {
		event := fmt.Sprintf("id: %d\ndata: piece %d\n\n", i, i)
		if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event), event); err != nil {
			return false
		}
		time.Sleep(20 * time.Millisecond)
	}
	_, err := io.WriteString(conn, "0\r\n\r\n")
	return err == nil
}

// arrived records a request that reached a server.
func (f *engineFleet) arrived(deadly bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if deadly {
		f.deadly = append(f.deadly, time.Now())
		return
	}
	f.begun++
}

// prompt returns the parts of a prompt: the common one, others that sound prompts and deadly ones share, the deadly one
// if it is asked for, and the request's own.
func (p poison) prompt(deadly bool) string {
	parts := []string{commonPart + ":800"}
	for _, i := range rand.Perm(otherParts)[:p.partsBefore-1] {
		parts = append(parts, fmt.Sprintf("%08x:40", 0xa0000000+i))
	}
	if deadly {
		parts = append(parts, deadlyPart+":40")
	}
	parts = append(parts, fmt.Sprintf("%08x:60", rand.Uint32()))
	return strings.Join(parts, ",")
}

// runPoison has prompts with a part that crashes servers come at any node, beside sound ones.
func runPoison(l *lab) error {
	for _, p := range poisons {
		l.note("variant: %s", p.what)
		if err := l.runPoisonVariant(p); err != nil {
			return err
		}
	}
	return nil
}

func (l *lab) runPoisonVariant(p poison) error {
	d, err := l.newDeployment()
	if err != nil {
		return err
	}
	l.publishEngines(d.store, 1, []tenant{{"huka270", []string{firstKey}}})
	f, err := l.newFleet(d.store, p, 10)
	if err != nil {
		return err
	}
	for i := range 3 {
		n, err := l.addNode(d, "front-zone-1-"+strconv.Itoa(i+1))
		if err != nil {
			return err
		}
		defer n.stop()
		if err := n.startReady(); err != nil {
			return err
		}
	}
	f.sendDrafts(d)
	f.check()
	return nil
}

// sendDrafts has clients send sound requests and, for a while, deadly ones.
func (f *engineFleet) sendDrafts(d *deployment) {
	l := f.lab
	until := time.Now().Add(draftsFor)
	var clients sync.WaitGroup
	for i := range soundClients {
		path := []string{draftPath, chatPath}[i%2]
		clients.Go(func() {
			for time.Now().Before(until) {
				status, err := l.draft(d.nodes[i%len(d.nodes)], path, f.poison.prompt(false))
				f.ended(status, err)
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	time.Sleep(3 * time.Second)
	for end := time.Now().Add(poisonFor); l.trouble && time.Now().Before(end); {
		n := d.nodes[rand.IntN(len(d.nodes))]
		status, err := l.draft(n, draftPath, f.poison.prompt(true))
		l.note("deadly request to %s: status %d, %v", n.name, status, err)
		time.Sleep(poisonInterval)
	}
	clients.Wait()
}

// draft sends a request with a prompt, and returns the status and why the answer is not whole.
func (l *lab) draft(n *node, path, parts string) (int, error) {
	request, err := http.NewRequest(http.MethodPost, "http://"+n.front+path+"1", strings.NewReader("draft"))
	if err != nil {
		return 0, err
	}
	// The client must not send a request again by itself.
	request.GetBody = nil
	request.Host = host
	request.Header.Set("Request-Attempt-Id", newAttemptID())
	request.Header.Set("Deadline-Remaining", "5000")
	request.Header.Set("Authorization", "Bearer "+firstKey)
	request.Header.Set("Model", "m")
	request.Header.Set("Token-Usage", "1460,80")
	request.Header.Set("Prompt-Prefix", parts)
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}, Timeout: 5 * time.Second}
	response, err := client.Do(request)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}

// ended records how a sound request ended.
func (f *engineFleet) ended(status int, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case status == http.StatusOK && err == nil:
		f.complete++
	case status == http.StatusOK, status == http.StatusBadGateway:
		f.cut++
	}
}

// check checks the rule.
func (f *engineFleet) check() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lab.note("%d crashes, %d deadly requests reached servers, %d sound ones began: %d got a whole answer, %d answers broke off or were lost", len(f.crashes), len(f.deadly), f.begun, f.complete, f.cut)
	if len(f.crashes) < crashesToLearn {
		return
	}
	from := f.crashes[crashesToLearn-1].Add(stableWindow)
	late := 0
	for _, at := range f.deadly {
		if at.After(from) {
			late++
		}
	}
	if late > allowedDeadly {
		f.lab.violate("%d requests with the part that crashes servers reached servers later than %.0f s after the fifth crash (BUDGET): %s", late, stableWindow.Seconds(), f.poison.what)
	}
}
