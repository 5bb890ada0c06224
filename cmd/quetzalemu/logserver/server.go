// Package logserver emulates the platform's append-only log: streams of records with offsets, reads
// by long polling, and limited retention.
package logserver

import (
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/quetzalroad/quetzalroad/cmd/quetzalemu/faultinjector"
)

const (
	// maxRecordBytes limits the size of a record.
	maxRecordBytes = 4 << 20
	// maxWait limits the duration of a long poll.
	maxWait = time.Minute
	// defaultLimit is the default and the maximum number of records that a read returns.
	defaultLimit = 500
)

// firstEpoch is the epoch of a log that was never restored from an older copy.
const firstEpoch = 1

// record is one record of a stream.
type record struct {
	appendedAt time.Time
	data       []byte
}

// stream is one stream of the log.
type stream struct {
	mu sync.Mutex
	// records are the retained records; the first one is at offset earliest. mu guards them and
	// appended, which is closed and replaced at each append.
	records  []record
	earliest int64
	appended chan struct{}
}

// Server is the emulated log. The zero value is empty and retains records without limit.
type Server struct {
	// Injector injects faults.
	Injector faultinjector.Injector
	// Retention is how long records are retained; zero means without limit.
	Retention time.Duration
	// AppendLatency is how long an append takes.
	AppendLatency time.Duration

	mu sync.Mutex
	// streams, appends and lostResponses are guarded by mu.
	streams       map[string]*stream
	appends       int
	lostResponses int
}

func (srv *Server) stream(name string) *stream {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	if srv.streams == nil {
		srv.streams = make(map[string]*stream)
	}
	s := srv.streams[name]
	if s == nil {
		s = &stream{appended: make(chan struct{})}
		srv.streams[name] = s
	}
	return s
}

// Handler returns the HTTP handler of the log API.
func (srv *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/streams/{stream}/records", srv.handleAppend)
	mux.HandleFunc("GET /v1/streams/{stream}/records", srv.handleRead)
	mux.HandleFunc("GET /stats", srv.handleStats)
	return mux
}

type appendJSON struct {
	Offset int64 `json:"offset"`
}

type readJSON struct {
	Earliest int64        `json:"earliest"`
	Next     int64        `json:"next"`
	Epoch    uint64       `json:"epoch"`
	Records  []recordJSON `json:"records"`
}

type recordJSON struct {
	Offset int64  `json:"offset"`
	Data   []byte `json:"data"`
}

type statsJSON struct {
	Appends       int              `json:"appends"`
	LostResponses int              `json:"lost-answers"`
	Next          map[string]int64 `json:"next"`
}

func (srv *Server) handleAppend(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRecordBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	timer := time.NewTimer(srv.Injector.SlowDown(srv.AppendLatency))
	defer timer.Stop()
	<-timer.C
	offset := srv.stream(r.PathValue("stream")).append(time.Now(), data)
	lose := srv.Injector.ShouldLoseResponse()
	srv.mu.Lock()
	srv.appends++
	if lose {
		srv.lostResponses++
	}
	srv.mu.Unlock()
	if lose {
		faultinjector.AbortConnection(w)
		return
	}
	faultinjector.WriteJSON(w, appendJSON{Offset: offset})
}

// Append appends a record without injecting faults and returns its offset.
func (srv *Server) Append(streamName string, data []byte) int64 {
	return srv.stream(streamName).append(time.Now(), data)
}

func (s *stream) append(now time.Time, data []byte) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.records = append(s.records, record{appendedAt: now, data: data})
	close(s.appended)
	s.appended = make(chan struct{})
	return s.earliest + int64(len(s.records)) - 1
}

func (srv *Server) handleRead(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, err := strconv.ParseInt(query.Get("from"), 10, 64)
	if err != nil || from < 0 {
		http.Error(w, "from must be an offset", http.StatusBadRequest)
		return
	}
	limit := defaultLimit
	if n, err := strconv.Atoi(query.Get("limit")); err == nil && n > 0 {
		limit = min(n, defaultLimit)
	}
	wait, err := time.ParseDuration(query.Get("wait"))
	if err != nil {
		wait = 0
	}
	s := srv.stream(r.PathValue("stream"))
	timer := time.NewTimer(min(max(wait, 0), maxWait))
	defer timer.Stop()
	for {
		response, appended := s.read(time.Now(), from, limit, srv.Retention)
		if len(response.Records) > 0 || wait <= 0 || response.Next < from {
			faultinjector.WriteJSON(w, response)
			return
		}
		select {
		case <-appended:
		case <-timer.C:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

// read drops records older than the retention, and returns records starting at an offset and a channel
// that is closed at the next append.
func (s *stream) read(now time.Time, from int64, limit int, retention time.Duration) (readJSON, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if retention > 0 {
		for len(s.records) > 0 && now.Sub(s.records[0].appendedAt) > retention {
			s.records = s.records[1:]
			s.earliest++
		}
	}
	response := readJSON{Epoch: firstEpoch, Earliest: s.earliest, Next: s.earliest + int64(len(s.records)), Records: []recordJSON{}}
	for offset := max(from, s.earliest); offset < response.Next && len(response.Records) < limit; offset++ {
		response.Records = append(response.Records, recordJSON{Offset: offset, Data: s.records[offset-s.earliest].data})
	}
	return response, s.appended
}

func (srv *Server) handleStats(w http.ResponseWriter, _ *http.Request) {
	srv.mu.Lock()
	j := statsJSON{Appends: srv.appends, LostResponses: srv.lostResponses, Next: make(map[string]int64)}
	streams := make(map[string]*stream, len(srv.streams))
	for name, s := range srv.streams {
		streams[name] = s
	}
	srv.mu.Unlock()
	for name, s := range streams {
		s.mu.Lock()
		j.Next[name] = s.earliest + int64(len(s.records))
		s.mu.Unlock()
	}
	faultinjector.WriteJSON(w, j)
}
