package main

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// slots is the number of requests that a server runs at once.
const slots = 64

// heartbeatInterval is how often a server writes its registration.
const heartbeatInterval = 1200 * time.Millisecond

// serverProcess is a server stand-in. SIGUSR1 has it leave: it registers as draining and says so in its answers.
type serverProcess struct {
	id, service, address, version, store string
	eventInterval, workTime              time.Duration
	events                               int
	unframed                             bool

	born     int64
	sequence atomic.Int64
	leaving  atomic.Bool
	running  atomic.Int64
	out      sync.Mutex
}

// serverMain runs a server stand-in until it is killed.
func serverMain(args []string) int {
	s := &serverProcess{born: time.Now().UnixMilli()}
	f := flag.NewFlagSet("server", flag.ExitOnError)
	f.StringVar(&s.id, "id", "", "instance id")
	f.StringVar(&s.service, "service", "", "service")
	f.StringVar(&s.address, "address", "", "address to listen on")
	f.StringVar(&s.version, "version", "v1", "version of the software")
	f.StringVar(&s.store, "store", "", "address of the store")
	f.DurationVar(&s.eventInterval, "event-interval", 100*time.Millisecond, "pause between two events")
	f.DurationVar(&s.workTime, "work", 15*time.Millisecond, "time that a plain request takes")
	f.IntVar(&s.events, "events", 40, "events of a stream")
	f.BoolVar(&s.unframed, "unframed", false, "answers have neither a length nor chunks")
	// The flag set exits on an error.
	_ = f.Parse(args)
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		fmt.Println(err)
		return 1
	}
	if err := s.register(); err != nil {
		fmt.Println(err)
		return 1
	}
	leave := make(chan os.Signal, 1)
	signal.Notify(leave, syscall.SIGUSR1)
	go s.heartbeat(leave)
	server := &http.Server{Handler: s, ReadHeaderTimeout: time.Minute}
	fmt.Println(server.Serve(listener))
	return 1
}

// heartbeat writes the registration regularly, and once the server leaves.
func (s *serverProcess) heartbeat(leave <-chan os.Signal) {
	ticker := time.NewTicker(heartbeatInterval)
	for {
		select {
		case <-leave:
			s.leaving.Store(true)
		case <-ticker.C:
		}
		if err := s.register(); err != nil {
			fmt.Println("registration failed:", err)
		} else if s.leaving.Load() {
			s.report(serverEvent{What: "draining"})
		}
	}
}

// register writes the server's entry.
func (s *serverProcess) register() error {
	state := "ready"
	if s.leaving.Load() {
		state = "draining"
	}
	value, err := json.Marshal(map[string]any{
		"service": s.service, "address": s.address, "zone": "zone-1", "version": s.version, "slots": slots, "state": state,
		"coldRemainingMs": 0, "sequence": s.sequence.Add(1), "born": s.born,
	})
	if err != nil {
		return err
	}
	record := binary.BigEndian.AppendUint32(nil, uint32(1+len(s.id)+len(value)))
	record = append(record, byte(len(s.id)))
	record = append(append(record, s.id...), value...)
	response, err := http.Post("http://"+s.store+"/log-append?topic=keyed.servers&part=0", "application/octet-stream", bytes.NewReader(record))
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	return err
}

// report tells the case of an event.
func (s *serverProcess) report(e serverEvent) {
	e.Server, e.Service, e.Version = s.id, s.service, s.version
	line, err := json.Marshal(e)
	if err != nil {
		return
	}
	s.out.Lock()
	defer s.out.Unlock()
	fmt.Println(string(line))
}

// ServeHTTP implements http.Handler.
func (s *serverProcess) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Attempt-Id")
	h := w.Header()
	if expected := r.Header.Get("Expected-Instance"); expected != "" && expected != s.id {
		h.Set("Instance-Id", s.id)
		h.Set("Request-Attempt-Id", id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	s.running.Add(1)
	defer s.running.Add(-1)
	s.report(serverEvent{What: "runs", Request: id, Tenant: r.Header.Get("Tenant"), After: after, Body: string(body)})
	if r.Header.Get("Model") != "" {
		s.stream(w, r, id, after)
		return
	}
	time.Sleep(s.workTime)
	s.writeHead(w, id, "application/json")
	// The caller may have disconnected.
	_, _ = io.WriteString(w, s.version+" ran "+id+"\n")
}

func (s *serverProcess) writeHead(w http.ResponseWriter, id, contentType string) {
	h := w.Header()
	h.Set("Content-Type", contentType)
	h.Set("Request-Attempt-Id", id)
	h.Set("Response-Seal", "seal-"+s.id+"-"+id)
	h.Set("Server-Load", fmt.Sprintf("%d,0,%d,100", s.running.Load(), slots))
	if s.leaving.Load() {
		h.Set("Server-Leaving", "1")
		h.Set("Connection", "close")
	}
}

// stream writes the events of a stream after the one that the caller has.
func (s *serverProcess) stream(w http.ResponseWriter, r *http.Request, id string, after int) {
	s.writeHead(w, id, "text/event-stream")
	write := func(text string) error {
		if _, err := io.WriteString(w, text); err != nil {
			return err
		}
		return http.NewResponseController(w).Flush()
	}
	if s.unframed {
		conn, err := s.hijack(w)
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		write = func(text string) error {
			_, err := io.WriteString(conn, text)
			return err
		}
	}
	for i := after + 1; i <= s.events; i++ {
		if i > after+1 {
			time.Sleep(s.eventInterval)
		}
		if r.Context().Err() != nil || write(fmt.Sprintf("id: %d\ndata: %s %s %d/%d\n\n", i, s.version, s.id, i, s.events)) != nil {
			s.report(serverEvent{What: "broke off", Request: id, After: i - 1})
			return
		}
	}
	s.report(serverEvent{What: "completed", Request: id, After: s.events})
}

// hijack writes the head of an answer with neither a length nor chunks, and returns its connection.
func (s *serverProcess) hijack(w http.ResponseWriter) (net.Conn, error) {
	header := w.Header().Clone()
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return nil, err
	}
	header.Set("Connection", "close")
	var head bytes.Buffer
	head.WriteString("HTTP/1.1 200 OK\r\n")
	// Writing to a buffer never fails.
	_ = header.Write(&head)
	head.WriteString("\r\n")
	_, err = conn.Write(head.Bytes())
	return conn, err
}
