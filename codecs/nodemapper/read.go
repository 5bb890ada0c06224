package nodemapper

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/peers/peerwire"
	"github.com/quetzalroad/quetzalroad/support/boottimer"
)

// EncodeReadRequest encodes the request of a shared read.
func EncodeReadRequest(r quetzalroad.SharedReadRequest) *peerwire.ReadRequest {
	return &peerwire.ReadRequest{Stream: string(r.Stream), Epoch: uint64(r.From.Epoch), From: int64(r.From.Offset), Node: string(r.Node), Observations: encodeObservations(r.Observations)}
}

// DecodeReadRequest decodes the request of a shared read.
func DecodeReadRequest(message *peerwire.ReadRequest) quetzalroad.SharedReadRequest {
	return quetzalroad.SharedReadRequest{
		Stream: quetzalroad.LogStream(message.GetStream()),
		From:   quetzalroad.Position{Epoch: quetzalroad.Epoch(message.GetEpoch()), Offset: quetzalroad.Offset(message.GetFrom())},
		Node:   quetzalroad.NodeName(message.GetNode()), Observations: decodeObservations(message.GetObservations()),
	}
}

// EncodeReadResponse encodes the response to a shared read. The age is rounded up,
// so that the records never appear fresher than they are.
func EncodeReadResponse(response quetzalroad.SharedReadResponse) *peerwire.ReadAnswer {
	message := &peerwire.ReadAnswer{
		State: peerwire.ReadAnswer_State(response.Status), Epoch: uint64(response.Epoch), Through: int64(response.NextRead), InheritedEnd: int64(response.InheritedEnd),
		AgeUs: response.Age.Microseconds() + 1, Observations: encodeObservations(response.Observations),
	}
	for _, r := range response.Records {
		message.Records = append(message.Records, &peerwire.KeyedRecord{Key: r.Key, Offset: int64(r.Offset), Value: r.Value})
	}
	return message
}

// decodeAge decodes an age in microseconds.
func decodeAge(us int64) time.Duration {
	if us > boottimer.Never.Microseconds() {
		return boottimer.Never
	}
	return time.Duration(us) * time.Microsecond
}

// DecodeReadResponse decodes the response to a shared read. Records always come with their age, which is positive.
func DecodeReadResponse(message *peerwire.ReadAnswer) (quetzalroad.SharedReadResponse, error) {
	if message.GetAgeUs() < 0 || message.GetThrough() < 0 || message.GetInheritedEnd() < 0 || message.GetState() < 0 || message.GetState() > peerwire.ReadAnswer_TRIMMED {
		return quetzalroad.SharedReadResponse{}, errors.Newf("invalid shared read response: state %d, age %d µs, through %d", message.GetState(), message.GetAgeUs(), message.GetThrough())
	}
	if message.GetState() == peerwire.ReadAnswer_GIVEN && message.GetAgeUs() == 0 {
		return quetzalroad.SharedReadResponse{}, errors.New("shared read response without an age")
	}
	response := quetzalroad.SharedReadResponse{
		Status: quetzalroad.SharedReadStatus(message.GetState()), Epoch: quetzalroad.Epoch(message.GetEpoch()),
		NextRead: quetzalroad.Offset(message.GetThrough()), InheritedEnd: quetzalroad.Offset(message.GetInheritedEnd()),
		Age: decodeAge(message.GetAgeUs()), Observations: decodeObservations(message.GetObservations()),
	}
	for _, r := range message.GetRecords() {
		response.Records = append(response.Records, quetzalroad.KeyedRecord{Key: r.GetKey(), Offset: quetzalroad.Offset(r.GetOffset()), Value: r.Value})
	}
	return response, nil
}
