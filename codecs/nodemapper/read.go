package nodemapper

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/peers/peerwire"
)

// EncodeRead gives a shared read as it goes over the wire.
func EncodeRead(q quetzalroad.SharedRead) *peerwire.ReadRequest {
	return &peerwire.ReadRequest{Stream: string(q.Stream), From: int64(q.From)}
}

// DecodeRead reads a shared read.
func DecodeRead(w *peerwire.ReadRequest) quetzalroad.SharedRead {
	return quetzalroad.SharedRead{Stream: quetzalroad.Stream(w.GetStream()), From: quetzalroad.Offset(w.GetFrom())}
}

// EncodeRecords gives the answer to a shared read as it goes over the wire.
func EncodeRecords(s quetzalroad.SharedRecords) *peerwire.ReadAnswer {
	w := &peerwire.ReadAnswer{State: peerwire.ReadAnswer_State(s.State), Through: int64(s.Through), AgeUs: s.Age.Microseconds() + 1}
	for _, r := range s.Records {
		w.Records = append(w.Records, &peerwire.KeyedRecord{Key: r.Key, Offset: int64(r.Offset), Value: r.Value})
	}
	return w
}

// DecodeRecords reads the answer to a shared read.
func DecodeRecords(w *peerwire.ReadAnswer) (quetzalroad.SharedRecords, error) {
	if w.GetAgeUs() < 0 || w.GetThrough() < 0 || w.GetState() < 0 || w.GetState() > peerwire.ReadAnswer_TRIMMED {
		return quetzalroad.SharedRecords{}, errors.Newf("shared read: state %d, age %d µs, through %d", w.GetState(), w.GetAgeUs(), w.GetThrough())
	}
	s := quetzalroad.SharedRecords{
		State: quetzalroad.SharedState(w.GetState()), Through: quetzalroad.Offset(w.GetThrough()),
		Age: time.Duration(w.GetAgeUs()) * time.Microsecond,
	}
	for _, r := range w.GetRecords() {
		s.Records = append(s.Records, quetzalroad.KeyedRecord{Key: r.GetKey(), Offset: quetzalroad.Offset(r.GetOffset()), Value: r.Value})
	}
	return s, nil
}
