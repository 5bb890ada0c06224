package storeserver

import (
	"encoding/binary"
	"io"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"
)

// maxAppendBytes limits the total size of the records in one append request.
const maxAppendBytes = 2 << 20

var errTruncatedRecord = errors.New("a record is cut")

// handleAppend appends length-prefixed records. It rejects appends to the topics that only
// operators and servers write, and those on condition of another end offset than the topic's.
func (s *Store) handleAppend(w http.ResponseWriter, r *http.Request, topicName string) {
	if topicName == operatorTopic || topicName == serverTopic {
		writeJSON(w, http.StatusForbidden, map[string]any{"error": "the topic is not the system's"})
		return
	}
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxAppendBytes))
	if err != nil {
		writeJSON(w, http.StatusBadRequest, map[string]any{"error": err.Error()})
		return
	}
	records, err := decodeRecords(data)
	if err != nil {
		writeJSON(w, http.StatusBadRequest, map[string]any{"error": err.Error()})
		return
	}
	condition := r.URL.Query().Get("at")
	if _, err := strconv.ParseUint(condition, 10, 64); condition != "" && err != nil {
		writeJSON(w, http.StatusBadRequest, map[string]any{"error": "at is no offset"})
		return
	}
	endOffset, appended := s.appendAt(topicName, records, condition)
	if !appended {
		writeJSON(w, http.StatusPreconditionFailed, map[string]any{"endOffset": endOffset})
		return
	}
	writeJSON(w, http.StatusOK, map[string]any{"offset": endOffset - 1, "endOffset": endOffset})
}

// decodeRecords decodes length-prefixed records, each of a length-prefixed key and a value.
func decodeRecords(data []byte) ([]record, error) {
	var records []record
	for len(data) >= 4 {
		length := binary.BigEndian.Uint32(data)
		rest := data[4:]
		if length == 0 || uint64(length) > uint64(len(rest)) || int(rest[0]) >= int(length) {
			return nil, errTruncatedRecord
		}
		keyEnd := 1 + int(rest[0])
		records = append(records, record{key: string(rest[1:keyEnd]), value: string(rest[keyEnd:length])})
		data = rest[length:]
	}
	return records, nil
}

// appendAt appends records unless there is a condition and the topic doesn't end at its offset. It returns the
// topic's end, and whether the records were appended.
func (s *Store) appendAt(topicName string, records []record, condition string) (uint64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if condition != "" && condition != strconv.FormatUint(s.topicLocked(topicName).endOffset(), 10) {
		return s.topicLocked(topicName).endOffset(), false
	}
	for _, r := range records {
		s.appendLocked(topicName, r)
	}
	s.notifyLocked()
	return s.topicLocked(topicName).endOffset(), true
}
