package backendserver

import (
	"bufio"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/quetzalroad/quetzalroad/cmd/quetzalemu/requester"
)

// draws is the number of garbled responses that are drawn in each test.
const draws = 5000

// streamEvents is the number of events of a sound stream, and plain the body of a sound plain response.
const (
	streamEvents = 4
	plain        = "ran GET /list/ "
)

func soundEvents() []string {
	var events []string
	for id := 1; id <= streamEvents; id++ {
		events = append(events, requester.EncodeEvent(id))
	}
	return events
}

func newGarbledExchange(seed, number uint64) garbledExchange {
	return garbledExchange{fields: "Request-Attempt-Id: r\r\n", random: rand.New(rand.NewPCG(seed, number))}
}

// readResponse returns the body of the first response among some bytes, or an error if they hold no whole one.
func readResponse(text string) (string, error) {
	response, err := http.ReadResponse(bufio.NewReader(strings.NewReader(text)), nil)
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return string(body), err
}

func TestGarbledResponsesRepeatBySeed(t *testing.T) {
	for number := range uint64(100) {
		first, second := newGarbledExchange(1, number), newGarbledExchange(1, number)
		if diff := cmp.Diff(first.streamResponse(soundEvents()), second.streamResponse(soundEvents())); diff != "" {
			t.Error(diff)
		}
		if diff := cmp.Diff(first.plainResponse(plain), second.plainResponse(plain)); diff != "" {
			t.Error(diff)
		}
	}
}

// A garbled stream holds all events and nothing else but comments, or what it holds shows that it is garbled.
func TestGarbledStreamsShowIt(t *testing.T) {
	seen := make(map[string]bool)
	for number := range uint64(draws) {
		text := strings.Join(newGarbledExchange(1, number).streamResponse(soundEvents()), "")
		for _, garbage := range append(noEvents, keepAliveComment) {
			seen[garbage] = seen[garbage] || strings.Contains(text, garbage)
		}
		body, err := readResponse(text)
		if err != nil {
			seen["no response"] = true
			continue
		}
		ids, rest, err := requester.EventIDs(body)
		isSound := err == nil && rest == "" && cmp.Equal(ids, []int{1, 2, 3, 4})
		if isSound != strings.Contains(body, keepAliveComment) {
			t.Errorf("sound: %v, %q", isSound, body)
		}
	}
	for _, garbage := range append(noEvents, keepAliveComment, "no response") {
		if !seen[garbage] {
			t.Errorf("no stream has %q", garbage)
		}
	}
}

// A garbled plain response is none in HTTP, or whole with more bytes after it.
func TestGarbledPlainResponsesShowIt(t *testing.T) {
	followed := 0
	for number := range uint64(draws) {
		parts := newGarbledExchange(1, number).plainResponse(plain)
		body, err := readResponse(strings.Join(parts, ""))
		if err != nil {
			continue
		}
		followed++
		if body != plain || len(parts) < 2 || parts[1] == "" {
			t.Errorf("got the body %q of %q", body, parts)
		}
	}
	if followed == 0 || followed > draws/2 {
		t.Errorf("%d of %d responses are followed by more bytes", followed, draws)
	}
}

func TestGarbageStandsAtEachPlace(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	events := soundEvents()
	whole := strings.Join(events, "")
	for _, place := range places {
		before, after := split(random, events, place)
		var isRight bool
		switch place {
		case placeOfAll:
			isRight = before == "" && after == ""
		case beforeFirst:
			isRight = before == "" && after == whole
		case between:
			isRight = before != "" && after != "" && before+after == whole
		case placeOfLast:
			isRight = before+events[streamEvents-1] == whole && after == ""
		case afterLast:
			isRight = before == whole && after == ""
		}
		if !isRight {
			t.Errorf("%s: %q and %q", place, before, after)
		}
	}
	for _, few := range [][]string{nil, events[:1]} {
		for _, place := range addingPlaces {
			if before, after := split(random, few, place); before+after != strings.Join(few, "") {
				t.Errorf("%s, %d events: %q and %q", place, len(few), before, after)
			}
		}
	}
}
