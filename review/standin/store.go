package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// store is a stand-in for the platform's store: a log of topics with one partition, of whose records none expires.
type store struct {
	mu sync.Mutex
	// The fields below are guarded by mu. changed is closed and replaced at each append. A store that is away answers nothing but 503.
	topics  map[string][]storeRecord
	era     int
	away    bool
	changed chan struct{}
}

// storeRecord is a record with the time at which it was acknowledged.
type storeRecord struct {
	key, value string
	at         time.Time
}

func newStore() *store {
	return &store{topics: make(map[string][]storeRecord), era: 1, changed: make(chan struct{})}
}

func (s *store) serve(l net.Listener) {
	server := &http.Server{Handler: s, ReadHeaderTimeout: time.Minute}
	// It serves until the case ends.
	_ = server.Serve(l)
}

// put appends a record; an empty value deletes the key.
func (s *store) put(topic, key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.appendLocked(topic, key, value)
}

func (s *store) appendLocked(topic, key, value string) {
	s.topics[topic] = append(s.topics[topic], storeRecord{key: key, value: value, at: time.Now()})
	close(s.changed)
	s.changed = make(chan struct{})
}

// restore has the store come back from a copy of a given age. What was written since is gone.
func (s *store) restore(age time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	copiedAt := time.Now().Add(-age)
	for topic, records := range s.topics {
		s.topics[topic] = slices.DeleteFunc(slices.Clone(records), func(r storeRecord) bool { return r.at.After(copiedAt) })
	}
	s.era++
	close(s.changed)
	s.changed = make(chan struct{})
}

// setAway has the store refuse all calls, or serve them again.
func (s *store) setAway(away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = away
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	away := s.away
	s.mu.Unlock()
	if away {
		http.Error(w, "away", http.StatusServiceUnavailable)
		return
	}
	topic := r.URL.Query().Get("topic")
	switch r.Method + " " + r.URL.Path {
	case "GET /log-newest":
		s.handleNewest(w, topic)
	case "GET /log-read":
		s.handleRead(w, r, topic)
	case "POST /log-append":
		s.handleAppend(w, r, topic)
	default:
		http.NotFound(w, r)
	}
}

func (s *store) writeJSON(w http.ResponseWriter, era, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", strconv.Itoa(era))
	w.WriteHeader(status)
	// The caller may have disconnected.
	_ = json.NewEncoder(w).Encode(value)
}

// handleNewest returns the newest record of each key.
func (s *store) handleNewest(w http.ResponseWriter, topic string) {
	s.mu.Lock()
	newest := make(map[string]int)
	records := s.topics[topic]
	for i, r := range records {
		newest[r.key] = i
		if r.value == "" {
			delete(newest, r.key)
		}
	}
	items := []map[string]any{}
	for key, i := range newest {
		items = append(items, map[string]any{"key": key, "value": base64.StdEncoding.EncodeToString([]byte(records[i].value)), "offset": i})
	}
	end, era := len(records), s.era
	s.mu.Unlock()
	s.writeJSON(w, era, http.StatusOK, map[string]any{"items": items, "hasMore": false, "endOffset": end})
}

// handleRead returns records, and waits for one if asked to.
func (s *store) handleRead(w http.ResponseWriter, r *http.Request, topic string) {
	from, err := strconv.Atoi(r.URL.Query().Get("from"))
	if err != nil {
		http.Error(w, "from is no offset", http.StatusBadRequest)
		return
	}
	wait, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for timedOut := wait == 0; ; {
		s.mu.Lock()
		records, changed, era := s.topics[topic], s.changed, s.era
		s.mu.Unlock()
		if from > len(records) {
			s.writeJSON(w, era, http.StatusGone, map[string]any{"firstOffset": 0})
			return
		}
		if from < len(records) || timedOut {
			w.Header().Set("Store-Era", strconv.Itoa(era))
			// The caller may have disconnected.
			_, _ = w.Write(encodeRecords(records, from))
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			timedOut = true
		case <-r.Context().Done():
			return
		}
	}
}

// encodeRecords encodes the end offset, the first offset, and the records from an offset on.
func encodeRecords(records []storeRecord, from int) []byte {
	data := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
	data = binary.BigEndian.AppendUint64(data, 0)
	for _, r := range records[from:] {
		data = binary.BigEndian.AppendUint32(data, uint32(1+len(r.key)+len(r.value)))
		data = append(data, byte(len(r.key)))
		data = append(data, r.key...)
		data = append(data, r.value...)
	}
	return data
}

// handleAppend appends the records of a call.
func (s *store) handleAppend(w http.ResponseWriter, r *http.Request, topic string) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	offset, era := len(s.topics[topic]), s.era
	if at := r.URL.Query().Get("at"); at != "" && at != strconv.Itoa(offset) {
		s.mu.Unlock()
		s.writeJSON(w, era, http.StatusPreconditionFailed, map[string]any{"endOffset": offset})
		return
	}
	for len(body) > 4 {
		length := int(binary.BigEndian.Uint32(body))
		record := body[4 : 4+length]
		body = body[4+length:]
		keyEnd := 1 + int(record[0])
		s.appendLocked(topic, string(record[1:keyEnd]), string(record[keyEnd:]))
	}
	end := len(s.topics[topic])
	s.mu.Unlock()
	s.writeJSON(w, era, http.StatusOK, map[string]any{"offset": offset, "endOffset": end})
}
