package backendserver

import (
	"fmt"
	"math/rand/v2"
	"strings"
)

// noEvents are bytes that are no event of any stream, whatever stands before and after them.
var noEvents = []string{
	"service unavailable\n\n",
	"service unavailable",
	"panic: runtime error\ngoroutine 1 [running]:\n\n",
	"<html><body>Bad Gateway</body></html>\r\n\r\n",
	`{"error": {"message": "overloaded"}}` + "\n\n",
	"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 2\r\n\r\nno",
	"HTTP/1.1 200 OK\r\nRequest-Attempt-Id: another\r\nContent-Length: 2\r\n\r\nok",
	"\x16\x03\x01\x00\x2a\x02\x00\x00\x26\x03\x03\n\n",
	"\x00\x00\x00\x00",
	"\xff\xfe\xfd\n\n",
	"data: \xff\xfe\xfd\n\n",
	"data: piece of another stream\n\n",
	"event: error\ndata: overloaded\n\n",
	"weight-versions: 3\n\n",
	"id:\ndata: x\n\n",
	"id\ndata: x\n\n",
	"id: abc\ndata: x\n\n",
	"id: 0\ndata: x\n\n",
	"id: -1\ndata: x\n\n",
	"id: +1\ndata: x\n\n",
	"id: 1.5\ndata: x\n\n",
	"id: 99999999999999999999999\ndata: x\n\n",
	"id: 4000\ndata: x\n\n",
	"id: 1\nid: 2\ndata: x\n\n",
	"id: 1\nda\nid: 2\ndata: x\n\n",
	"id: 1",
	garbledChunkHeader,
	garbledChunkHeader + "\r\n",
}

// keepAliveComment is what sound servers may send between events, too.
const keepAliveComment = ": keep-alive\n\n"

// commentShare is the share of the garbled streams that have a comment in place of bytes that are no event.
const commentShare = 0.05

// garblePlace is where garbage stands in a stream.
type garblePlace string

const (
	placeOfAll  garblePlace = "in place of all events"
	beforeFirst garblePlace = "before the first event"
	between     garblePlace = "between two events"
	placeOfLast garblePlace = "in place of the last event"
	afterLast   garblePlace = "after the last event"
)

var (
	places = []garblePlace{placeOfAll, beforeFirst, between, placeOfLast, afterLast}
	// addingPlaces replace no event.
	addingPlaces = []garblePlace{beforeFirst, between, afterLast}
	framings     = []framing{framingLength, framingChunks, framingUnframed}
	contentTypes = []string{"Content-Type: text/event-stream\r\n", "Content-Type: text/html\r\n", ""}
)

// garbledStream is a stream with garbage among its events. The garbage isn't marked in any way.
type garbledStream struct {
	before, garbage, after string
	framing                framing
}

// streamResponse returns the parts of a garbled stream of some events.
func (x garbledExchange) streamResponse(events []string) []string {
	if x.random.Float64() < spoiltStreamHeads {
		return []string{x.spoilHead(strings.Join(events, ""))}
	}
	g := garbledStream{garbage: noEvents[x.random.IntN(len(noEvents))], framing: framings[x.random.IntN(len(framings))]}
	place := places[x.random.IntN(len(places))]
	contentType := contentTypes[x.random.IntN(len(contentTypes))]
	if x.random.Float64() < commentShare {
		g.garbage, place = keepAliveComment, addingPlaces[x.random.IntN(len(addingPlaces))]
	}
	g.before, g.after = split(x.random, events, place)
	return g.encode(x.head(contentType + "Connection: close\r\n" + g.framingField()))
}

// split returns the events before and after garbage at a place.
func split(random *rand.Rand, events []string, place garblePlace) (before, after string) {
	end, begin := 0, len(events)
	switch place {
	case beforeFirst:
		begin = 0
	case between:
		end = min(len(events), 1+random.IntN(max(1, len(events)-1)))
		begin = end
	case placeOfLast:
		end = max(0, len(events)-1)
	case afterLast:
		end = len(events)
	}
	return strings.Join(events[:end], ""), strings.Join(events[begin:], "")
}

// framingField returns the header line that states the framing.
func (g garbledStream) framingField() string {
	switch g.framing {
	case framingLength:
		return fmt.Sprintf("Content-Length: %d\r\n", len(g.before)+len(g.garbage)+len(g.after))
	case framingChunks:
		return "Transfer-Encoding: chunked\r\n"
	}
	return ""
}

// encode returns the parts of the response that begins with a head.
func (g garbledStream) encode(head string) []string {
	if g.framing != framingChunks {
		return []string{head + g.before, g.garbage, g.after}
	}
	parts := []string{head}
	for _, part := range []string{g.before, g.garbage, g.after} {
		switch part {
		case "":
		case garbledChunkHeader:
			parts = append(parts, part)
		default:
			parts = append(parts, encodeChunk(part))
		}
	}
	return append(parts, "0\r\n\r\n")
}
