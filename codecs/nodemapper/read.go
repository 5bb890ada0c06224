package nodemapper

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/peers/peerwire"
)

// EncodeRead gives a shared read as it goes over the wire.
func EncodeRead(q quetzalroad.SharedReadRequest) *peerwire.ReadRequest {
	return &peerwire.ReadRequest{Stream: string(q.Stream), From: int64(q.From)}
}

// DecodeRead reads a shared read.
func DecodeRead(w *peerwire.ReadRequest) quetzalroad.SharedReadRequest {
	return quetzalroad.SharedReadRequest{Stream: quetzalroad.LogStream(w.GetStream()), From: quetzalroad.Offset(w.GetFrom())}
}

// EncodeRecords gives the answer to a shared read as it goes over the wire.
func EncodeRecords(s quetzalroad.SharedReadResponse) *peerwire.ReadAnswer {
	w := &peerwire.ReadAnswer{State: peerwire.ReadAnswer_State(s.Status), Through: int64(s.NextRead), AgeUs: s.Age.Microseconds() + 1}
	for _, r := range s.Records {
		w.Records = append(w.Records, &peerwire.KeyedRecord{Key: r.Key, Offset: int64(r.Offset), Value: r.Value})
	}
	return w
}

// DecodeRecords reads the answer to a shared read.
func DecodeRecords(w *peerwire.ReadAnswer) (quetzalroad.SharedReadResponse, error) {
	if w.GetAgeUs() < 0 || w.GetThrough() < 0 || w.GetState() < 0 || w.GetState() > peerwire.ReadAnswer_TRIMMED {
		return quetzalroad.SharedReadResponse{}, errors.Newf("shared read: state %d, age %d µs, through %d", w.GetState(), w.GetAgeUs(), w.GetThrough())
	}
	s := quetzalroad.SharedReadResponse{
		Status: quetzalroad.SharedReadStatus(w.GetState()), NextRead: quetzalroad.Offset(w.GetThrough()),
		Age: time.Duration(w.GetAgeUs()) * time.Microsecond,
	}
	for _, r := range w.GetRecords() {
		s.Records = append(s.Records, quetzalroad.KeyedRecord{Key: r.GetKey(), Offset: quetzalroad.Offset(r.GetOffset()), Value: r.Value})
	}
	return s, nil
}
