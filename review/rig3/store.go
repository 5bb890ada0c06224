package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	operatorTopic = "keyed.op"
	serverTopic   = "keyed.servers"
	// storeDelay is how long the store takes for an answer.
	storeDelay = 4 * time.Millisecond
	// lengthBytes is the size of the length before a record.
	lengthBytes = 4
)

// keyedRecord is a record of a keyed topic. A nil value drops the key.
type keyedRecord struct {
	key   string
	value []byte
}

// store is a stand-in for the platform's store that keeps everything. The zero value is empty.
type store struct {
	mu sync.Mutex
	// topics and changed are guarded by mu. changed is closed with the next append.
	topics  map[string][]keyedRecord
	changed chan struct{}
}

// put appends a record and returns its offset.
func (s *store) put(topic, key string, value []byte) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.topics == nil {
		s.topics = make(map[string][]keyedRecord)
	}
	s.topics[topic] = append(s.topics[topic], keyedRecord{key, value})
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
	return len(s.topics[topic]) - 1
}

// get returns the records of a topic, and a channel that is closed with the next append.
func (s *store) get(topic string) ([]keyedRecord, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	return s.topics[topic], s.changed
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	w.Header().Set("Store-Era", "1")
	switch r.Method + " " + r.URL.Path {
	case "POST /log-append":
		s.serveAppend(w, r)
	case "GET /log-read":
		s.serveRead(w, r)
	case "GET /log-newest":
		s.serveNewest(w, r)
	default:
		http.NotFound(w, r)
	}
}

func (s *store) serveAppend(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(r.Body)
	topic := r.URL.Query().Get("topic")
	if err != nil || len(data) < lengthBytes+1 {
		http.Error(w, "no record", http.StatusBadRequest)
		return
	}
	if topic == operatorTopic || topic == serverTopic {
		http.Error(w, "not the system's to write", http.StatusForbidden)
		return
	}
	data = data[lengthBytes:]
	keyEnd := 1 + int(data[0])
	var value []byte
	if len(data) > keyEnd {
		value = data[keyEnd:]
	}
	offset := s.put(topic, string(data[1:keyEnd]), value)
	writeJSON(w, map[string]int{"offset": offset, "endOffset": offset + 1})
}

func (s *store) serveRead(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, err := strconv.Atoi(query.Get("from"))
	if err != nil {
		http.Error(w, "no offset", http.StatusBadRequest)
		return
	}
	wait, _ := strconv.Atoi(query.Get("waitMs"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		records, changed := s.get(query.Get("topic"))
		if from > len(records) {
			w.WriteHeader(http.StatusGone)
			writeJSON(w, map[string]int{"firstOffset": 0})
			return
		}
		if from < len(records) || wait == 0 {
			writeRecords(w, records, from)
			return
		}
		select {
		case <-changed:
		case <-deadline:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

func writeRecords(w http.ResponseWriter, records []keyedRecord, from int) {
	data := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
	data = binary.BigEndian.AppendUint64(data, 0)
	for _, r := range records[from:] {
		data = binary.BigEndian.AppendUint32(data, uint32(1+len(r.key)+len(r.value)))
		data = append(data, byte(len(r.key)))
		data = append(data, r.key...)
		data = append(data, r.value...)
	}
	// The node may have closed the connection.
	_, _ = w.Write(data)
}

func (s *store) serveNewest(w http.ResponseWriter, r *http.Request) {
	records, _ := s.get(r.URL.Query().Get("topic"))
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int    `json:"offset"`
	}
	newest := make(map[string]item)
	for i, record := range records {
		delete(newest, record.key)
		if record.value != nil {
			newest[record.key] = item{record.key, base64.StdEncoding.EncodeToString(record.value), i}
		}
	}
	items := make([]item, 0, len(newest))
	for _, i := range newest {
		items = append(items, i)
	}
	slices.SortFunc(items, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	writeJSON(w, map[string]any{"items": items, "hasMore": false, "endOffset": len(records)})
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	// The caller may have closed the connection.
	_ = json.NewEncoder(w).Encode(v)
}
