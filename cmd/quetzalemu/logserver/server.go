// Package logserver stands in for the platform's append-only log: streams of
// records with offsets, reads with a long poll, and bounded retention.
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
	// maxRecordBytes bounds a record.
	maxRecordBytes = 4 << 20
	// maxWait bounds a long poll.
	maxWait = time.Minute
	// defaultLimit is the number of records in a read that names none.
	defaultLimit = 500
)

// record is one entry of a stream.
type record struct {
	at   time.Time
	data []byte
}

// stream is one stream.
type stream struct {
	mu sync.Mutex
	// records are those kept; the first has the offset earliest. Guarded by
	// mu, as is grown, which is closed and replaced at each append.
	records  []record
	earliest int64
	grown    chan struct{}
}

// Keeper is the log. The zero value is empty and keeps records for good.
type Keeper struct {
	// Host brings faults about.
	Host faultinjector.Host
	// Retention is how long records are kept; zero for good.
	Retention time.Duration
	// AppendTime is how long an append takes.
	AppendTime time.Duration

	mu sync.Mutex
	// streams, appends and lost are guarded by mu.
	streams map[string]*stream
	appends int
	lost    int
}

func (k *Keeper) stream(name string) *stream {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.streams == nil {
		k.streams = make(map[string]*stream)
	}
	s := k.streams[name]
	if s == nil {
		s = &stream{grown: make(chan struct{})}
		k.streams[name] = s
	}
	return s
}

// Handler gives the log's HTTP face.
func (k *Keeper) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/streams/{stream}/records", k.append)
	mux.HandleFunc("GET /v1/streams/{stream}/records", k.read)
	mux.HandleFunc("GET /stats", k.stats)
	return mux
}

type appendJSON struct {
	Offset int64 `json:"offset"`
}

type readJSON struct {
	Earliest int64        `json:"earliest"`
	Next     int64        `json:"next"`
	Records  []recordJSON `json:"records"`
}

type recordJSON struct {
	Offset int64  `json:"offset"`
	Data   []byte `json:"data"`
}

type statsJSON struct {
	Appends     int              `json:"appends"`
	LostAnswers int              `json:"lost-answers"`
	Next        map[string]int64 `json:"next"`
}

func (k *Keeper) append(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRecordBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	timer := time.NewTimer(k.Host.Slowed(k.AppendTime))
	defer timer.Stop()
	<-timer.C
	offset := k.stream(r.PathValue("stream")).append(time.Now(), data)
	lose := k.Host.LosesAnswer()
	k.mu.Lock()
	k.appends++
	if lose {
		k.lost++
	}
	k.mu.Unlock()
	if lose {
		faultinjector.CutOff(w)
		return
	}
	faultinjector.Answer(w, appendJSON{Offset: offset})
}

// Put appends a record without any fault.
func (k *Keeper) Put(name string, data []byte) int64 {
	return k.stream(name).append(time.Now(), data)
}

func (s *stream) append(now time.Time, data []byte) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.records = append(s.records, record{at: now, data: data})
	close(s.grown)
	s.grown = make(chan struct{})
	return s.earliest + int64(len(s.records)) - 1
}

func (k *Keeper) read(w http.ResponseWriter, r *http.Request) {
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
	s := k.stream(r.PathValue("stream"))
	timer := time.NewTimer(min(max(wait, 0), maxWait))
	defer timer.Stop()
	for {
		answer, grown := s.read(time.Now(), from, limit, k.Retention)
		if len(answer.Records) > 0 || wait <= 0 || answer.Next < from {
			faultinjector.Answer(w, answer)
			return
		}
		select {
		case <-grown:
		case <-timer.C:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

// read gives records from an offset on, after dropping those past retention.
func (s *stream) read(now time.Time, from int64, limit int, retention time.Duration) (readJSON, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if retention > 0 {
		for len(s.records) > 0 && now.Sub(s.records[0].at) > retention {
			s.records = s.records[1:]
			s.earliest++
		}
	}
	answer := readJSON{Earliest: s.earliest, Next: s.earliest + int64(len(s.records)), Records: []recordJSON{}}
	for offset := max(from, s.earliest); offset < answer.Next && len(answer.Records) < limit; offset++ {
		answer.Records = append(answer.Records, recordJSON{Offset: offset, Data: s.records[offset-s.earliest].data})
	}
	return answer, s.grown
}

func (k *Keeper) stats(w http.ResponseWriter, _ *http.Request) {
	k.mu.Lock()
	j := statsJSON{Appends: k.appends, LostAnswers: k.lost, Next: make(map[string]int64)}
	streams := make(map[string]*stream, len(k.streams))
	for name, s := range k.streams {
		streams[name] = s
	}
	k.mu.Unlock()
	for name, s := range streams {
		s.mu.Lock()
		j.Next[name] = s.earliest + int64(len(s.records))
		s.mu.Unlock()
	}
	faultinjector.Answer(w, j)
}
