// Package storeserver is a stand-in for the store of the users' platform,
// written from its published page: a log of topics, of which those named
// "keyed." keep the newest record of each key.
package storeserver

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// Mode is how the store treats calls.
type Mode string

// The modes.
const (
	// Sound answers.
	Sound Mode = ""
	// Busy answers 503 and does nothing.
	Busy Mode = "busy"
	// Silent answers nothing until the caller leaves.
	Silent Mode = "silent"
)

// record is one record with its key.
type record struct {
	key, value string
}

// topic is the only partition of a topic.
type topic struct {
	// records are those kept; the first has the offset first.
	records []record
	first   uint64
	// newest keeps each key's last record and its offset.
	newest map[string]kept
}

type kept struct {
	value  string
	offset uint64
}

// Store is the stand-in. The zero value is empty and sound.
type Store struct {
	mu sync.Mutex
	// The fields below are guarded by mu. changed is closed and replaced at
	// each change.
	topics  map[string]*topic
	mode    Mode
	changed chan struct{}
}

func (s *Store) topicLocked(name string) *topic {
	if s.topics == nil {
		s.topics = make(map[string]*topic)
	}
	if s.topics[name] == nil {
		s.topics[name] = &topic{newest: make(map[string]kept)}
	}
	return s.topics[name]
}

func (s *Store) changeLocked() {
	if s.changed != nil {
		close(s.changed)
	}
	s.changed = make(chan struct{})
}

// SetMode changes how calls are treated.
func (s *Store) SetMode(m Mode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mode = m
	s.changeLocked()
}

// Put appends a record; an empty value drops the key.
func (s *Store) Put(name, key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topicLocked(name)
	offset := t.first + uint64(len(t.records))
	t.records = append(t.records, record{key, value})
	if value == "" {
		delete(t.newest, key)
	} else {
		t.newest[key] = kept{value, offset}
	}
	s.changeLocked()
}

// The topics of operators and servers, and the key of the config.
const (
	operatorTopic = "keyed.op"
	serverTopic   = "keyed.servers"
	configKey     = "config"
)

// PutConfig writes the config.
func (s *Store) PutConfig(value string) { s.Put(operatorTopic, configKey, value) }

// PutServer writes a server's entry; an empty one takes it away.
func (s *Store) PutServer(id, value string) { s.Put(serverTopic, id, value) }

// ForgetAll drops the history of what operators and servers wrote.
func (s *Store) ForgetAll() {
	s.Forget(operatorTopic)
	s.Forget(serverTopic)
}

// Forget drops the history of a topic; the newest of each key stays.
func (s *Store) Forget(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topicLocked(name)
	t.first += uint64(len(t.records))
	t.records = nil
	s.changeLocked()
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	for {
		s.mu.Lock()
		mode := s.mode
		if s.changed == nil {
			s.changed = make(chan struct{})
		}
		changed := s.changed
		s.mu.Unlock()
		switch mode {
		case Busy:
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		case Sound:
			s.answer(w, r)
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) answer(w http.ResponseWriter, r *http.Request) {
	name := r.URL.Query().Get("topic")
	switch r.Method + " " + r.URL.Path {
	case "GET /log-newest":
		s.answerNewest(w, name, r.URL.Query().Get("after"))
	case "GET /log-read":
		s.answerRead(w, r, name)
	case "POST /log-append":
		s.answerAppend(w, r, name)
	default:
		http.NotFound(w, r)
	}
}

// maxCallBytes bounds the records of one call.
const maxCallBytes = 2 << 20

// answerAppend takes records, each with its length before it, unless they are
// in a topic of the operator's or the servers'.
func (s *Store) answerAppend(w http.ResponseWriter, r *http.Request, name string) {
	if name == operatorTopic || name == serverTopic {
		writeJSON(w, http.StatusForbidden, map[string]any{"error": "the topic is not the system's"})
		return
	}
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxCallBytes))
	if err != nil {
		writeJSON(w, http.StatusBadRequest, map[string]any{"error": err.Error()})
		return
	}
	for len(data) >= 4 {
		length := binary.BigEndian.Uint32(data)
		one := data[4:]
		if length == 0 || uint64(length) > uint64(len(one)) || int(one[0]) >= int(length) {
			writeJSON(w, http.StatusBadRequest, map[string]any{"error": "a record is cut"})
			return
		}
		key := 1 + int(one[0])
		s.Put(name, string(one[1:key]), string(one[key:length]))
		data = one[length:]
	}
	s.mu.Lock()
	end := s.topicLocked(name).first + uint64(len(s.topicLocked(name).records))
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, map[string]any{"offset": end - 1, "endOffset": end})
}

// pageItems bounds the records of a page.
const pageItems = 500

func (s *Store) answerNewest(w http.ResponseWriter, name, after string) {
	s.mu.Lock()
	t := s.topicLocked(name)
	var keys []string
	for key := range t.newest {
		if key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	more := len(keys) > pageItems
	keys = keys[:min(len(keys), pageItems)]
	items := make([]map[string]any, 0, len(keys))
	for _, key := range keys {
		items = append(items, map[string]any{
			"key": key, "value": base64.StdEncoding.EncodeToString([]byte(t.newest[key].value)), "offset": t.newest[key].offset,
		})
	}
	end := t.first + uint64(len(t.records))
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "hasMore": more, "endOffset": end})
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A caller that is gone doesn't miss the answer.
	_ = json.NewEncoder(w).Encode(value)
}

// answerRead waits for records as long as the call says.
func (s *Store) answerRead(w http.ResponseWriter, r *http.Request, name string) {
	from, err := strconv.ParseUint(r.URL.Query().Get("from"), 10, 64)
	if err != nil {
		writeJSON(w, http.StatusBadRequest, map[string]any{"error": "from is no offset"})
		return
	}
	wait, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	waited := wait == 0
	for {
		s.mu.Lock()
		t := s.topicLocked(name)
		first, end := t.first, t.first+uint64(len(t.records))
		var records []record
		if from >= first && from < end {
			records = append(records, t.records[from-first:]...)
		}
		if s.changed == nil {
			s.changed = make(chan struct{})
		}
		changed := s.changed
		s.mu.Unlock()
		switch {
		case from < first:
			writeJSON(w, http.StatusGone, map[string]any{"firstOffset": first})
			return
		case len(records) > 0 || waited:
			// A caller that is gone doesn't miss the answer.
			_, _ = w.Write(frames(end, first, records))
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			waited = true
		case <-r.Context().Done():
			return
		}
	}
}

// frames writes the end, the first offset, and the records, each with its
// length before it, and its key with one byte of length.
func frames(end, first uint64, records []record) []byte {
	data := binary.BigEndian.AppendUint64(nil, end)
	data = binary.BigEndian.AppendUint64(data, first)
	for _, r := range records {
		data = binary.BigEndian.AppendUint32(data, uint32(1+len(r.key)+len(r.value)))
		data = append(data, byte(len(r.key)))
		data = append(data, r.key...)
		data = append(data, r.value...)
	}
	return data
}
