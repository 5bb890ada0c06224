// Package storeserver emulates the store of the users' platform as its published page specifies it:
// a log of topics. The platform retains the latest record of each key in topics whose names start
// with "keyed."; the emulator does so in every topic.
package storeserver

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// Mode selects how the store handles requests.
type Mode string

// The modes of a store.
const (
	// ModeAvailable serves requests.
	ModeAvailable Mode = ""
	// ModeUnavailable rejects requests with status 503 and executes nothing.
	ModeUnavailable Mode = "busy"
	// ModeUnresponsive holds requests without a response until the caller disconnects or the mode changes.
	ModeUnresponsive Mode = "silent"
)

// record is a log record with its key.
type record struct {
	key, value string
}

// topic is a topic with a single partition.
type topic struct {
	// records are the retained records; the first one is at firstOffset.
	records     []record
	firstOffset uint64
	// latest holds the last value of each key with its offset.
	latest map[string]latestValue
}

type latestValue struct {
	value  string
	offset uint64
}

// Store is the emulated store. The zero value is empty and available.
type Store struct {
	mu sync.Mutex
	// The fields below are guarded by mu. changed is closed and replaced at each change.
	topics  map[string]*topic
	mode    Mode
	changed chan struct{}
	// history holds all appends, and restores counts the times that the store was restored from a copy.
	history  []appended
	restores int
}

// appended is an append with its time.
type appended struct {
	at    time.Time
	topic string
	record
}

func (s *Store) topicLocked(name string) *topic {
	if s.topics == nil {
		s.topics = make(map[string]*topic)
	}
	if s.topics[name] == nil {
		s.topics[name] = &topic{latest: make(map[string]latestValue)}
	}
	return s.topics[name]
}

func (s *Store) notifyLocked() {
	if s.changed != nil {
		close(s.changed)
	}
	s.changed = make(chan struct{})
}

// SetMode sets how requests are handled.
func (s *Store) SetMode(m Mode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mode = m
	s.notifyLocked()
}

// Append appends a record; an empty value deletes the key.
func (s *Store) Append(topicName, key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.appendLocked(topicName, record{key, value})
	s.notifyLocked()
}

func (s *Store) appendLocked(topicName string, r record) {
	s.history = append(s.history, appended{at: time.Now(), topic: topicName, record: r})
	s.topicLocked(topicName).append(r)
}

// endOffset returns the offset of the next append.
func (t *topic) endOffset() uint64 {
	return t.firstOffset + uint64(len(t.records))
}

func (t *topic) append(r record) {
	offset := t.endOffset()
	t.records = append(t.records, r)
	if r.value == "" {
		delete(t.latest, r.key)
		return
	}
	t.latest[r.key] = latestValue{r.value, offset}
}

// The topics of operators and servers, and the key of the config.
const (
	operatorTopic = "keyed.op"
	serverTopic   = "keyed.servers"
	configKey     = "config"
)

// PutConfig writes the config.
func (s *Store) PutConfig(value string) { s.Append(operatorTopic, configKey, value) }

// PutServer writes a server's registration; an empty value deletes it.
func (s *Store) PutServer(id, value string) { s.Append(serverTopic, id, value) }

// TruncateAll drops the history of the operators' and the servers' topics.
func (s *Store) TruncateAll() {
	s.Truncate(operatorTopic)
	s.Truncate(serverTopic)
}

// Truncate drops the history of a topic; the latest record of each key is retained.
func (s *Store) Truncate(topicName string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topicLocked(topicName)
	t.firstOffset += uint64(len(t.records))
	t.records = nil
	s.notifyLocked()
}

// epochHeader states in every response how often the store was restored, counted from one.
const epochHeader = "Store-Era"

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	for {
		s.mu.Lock()
		mode := s.mode
		w.Header().Set(epochHeader, strconv.Itoa(1+s.restores))
		if s.changed == nil {
			s.changed = make(chan struct{})
		}
		changed := s.changed
		s.mu.Unlock()
		switch mode {
		case ModeUnavailable:
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		case ModeAvailable:
			s.dispatch(w, r)
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) dispatch(w http.ResponseWriter, r *http.Request) {
	topicName := r.URL.Query().Get("topic")
	switch r.Method + " " + r.URL.Path {
	case "GET /log-newest":
		s.handleLatest(w, topicName, r.URL.Query().Get("after"))
	case "GET /log-read":
		s.handleRead(w, r, topicName)
	case "POST /log-append":
		s.handleAppend(w, r, topicName)
	default:
		http.NotFound(w, r)
	}
}

// maxPageItems limits the records in a page of handleLatest.
const maxPageItems = 500

// handleLatest returns a page of the latest record of each key, in the order of the keys, starting with
// the first key that sorts after a given one.
func (s *Store) handleLatest(w http.ResponseWriter, topicName, after string) {
	s.mu.Lock()
	t := s.topicLocked(topicName)
	var keys []string
	for key := range t.latest {
		if key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	hasMore := len(keys) > maxPageItems
	keys = keys[:min(len(keys), maxPageItems)]
	items := make([]map[string]any, 0, len(keys))
	for _, key := range keys {
		items = append(items, map[string]any{
			"key": key, "value": base64.StdEncoding.EncodeToString([]byte(t.latest[key].value)), "offset": t.latest[key].offset,
		})
	}
	endOffset := t.endOffset()
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "hasMore": hasMore, "endOffset": endOffset})
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The caller may have disconnected.
	_ = json.NewEncoder(w).Encode(value)
}

// handleRead reads records, waiting for new ones up to the duration in the request. Offsets whose
// records were truncated are refused with status 410.
func (s *Store) handleRead(w http.ResponseWriter, r *http.Request, topicName string) {
	from, err := strconv.ParseUint(r.URL.Query().Get("from"), 10, 64)
	if err != nil {
		writeJSON(w, http.StatusBadRequest, map[string]any{"error": "from is no offset"})
		return
	}
	wait, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	timedOut := wait == 0
	for {
		s.mu.Lock()
		t := s.topicLocked(topicName)
		firstOffset, endOffset := t.firstOffset, t.endOffset()
		w.Header().Set(epochHeader, strconv.Itoa(1+s.restores))
		var records []record
		if from >= firstOffset && from < endOffset {
			records = append(records, t.records[from-firstOffset:]...)
		}
		if s.changed == nil {
			s.changed = make(chan struct{})
		}
		changed := s.changed
		s.mu.Unlock()
		switch {
		case from < firstOffset, from > endOffset:
			writeJSON(w, http.StatusGone, map[string]any{"firstOffset": firstOffset})
			return
		case len(records) > 0 || timedOut:
			// The caller may have disconnected.
			_, _ = w.Write(encodeRecords(endOffset, firstOffset, records))
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

// encodeRecords encodes the end offset, the first offset, and the records, each prefixed with its
// length as four bytes and its key's length as one byte.
func encodeRecords(endOffset, firstOffset uint64, records []record) []byte {
	data := binary.BigEndian.AppendUint64(nil, endOffset)
	data = binary.BigEndian.AppendUint64(data, firstOffset)
	for _, r := range records {
		data = binary.BigEndian.AppendUint32(data, uint32(1+len(r.key)+len(r.value)))
		data = append(data, byte(len(r.key)))
		data = append(data, r.key...)
		data = append(data, r.value...)
	}
	return data
}
