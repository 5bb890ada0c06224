package dispatcher_test

import (
	"context"
	"fmt"
	"strings"
	"testing"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/proofs/faker"
)

// numberedChunks returns events with ids.
func numberedChunks(ids []int64) []quetzalroad.BodyChunk {
	var chunks []quetzalroad.BodyChunk
	for _, id := range ids {
		chunks = append(chunks, quetzalroad.BodyChunk{Data: fmt.Appendf(nil, "%d ", id), EventID: id})
	}
	return chunks
}

// Guards against streams that are refused because their ids rise by more than one, and against holes that are
// taken for larger steps.
func TestForwardRelaysStreamsWhoseIDsRiseByAStep(t *testing.T) {
	for name, c := range map[string]struct {
		// has is the last event that the caller has.
		has  int64
		ids  []int64
		want string
		// whole reports whether the stream ends as a whole one.
		whole bool
	}{
		"by one":                                {ids: []int64{1, 2, 3}, want: "1 2 3", whole: true},
		"by five":                               {ids: []int64{5, 10, 15}, want: "5 10 15", whole: true},
		"by five, and less at the end":          {ids: []int64{5, 10, 15, 17}, want: "5 10 15 17", whole: true},
		"by five, and less before the end":      {ids: []int64{5, 10, 12, 17}, want: "5 10 12"},
		"by five, with a hole":                  {ids: []int64{5, 10, 20}, want: "5 10"},
		"by five, and back":                     {ids: []int64{5, 10, 5}, want: "5 10"},
		"by five, with an event twice":          {ids: []int64{5, 10, 10}, want: "5 10"},
		"by one, without the first events":      {ids: []int64{3, 4, 5}},
		"one event, which may not be the first": {ids: []int64{3}},
		"by one, with a hole":                   {ids: []int64{1, 3, 5}, want: "1"},
		"resumed, by five":                      {has: 10, ids: []int64{15, 20}, want: "15 20", whole: true},
		"resumed, by one, with a hole":          {has: 10, ids: []int64{15, 16}},
		"resumed, by five, with a hole":         {has: 10, ids: []int64{20, 25}},
		"from the beginning, by five":           {has: 10, ids: []int64{5, 10, 15, 20}, want: "15 20", whole: true},
		"from the beginning, by one":            {has: 2, ids: []int64{1, 2, 3, 4}, want: "3 4", whole: true},
		"from the beginning, with a hole":       {has: 4, ids: []int64{3, 4, 6}},
		"resumed, by one":                       {has: 10, ids: []int64{11, 12}, want: "11 12", whole: true},
	} {
		t.Run(name, func(t *testing.T) {
			runForwardTest(t, func(t *testing.T, x *forwardFixture) {
				x.Script = func(context.Context, *quetzalroad.Attempt) (*faker.ScriptedResponse, error) {
					return &faker.ScriptedResponse{EventStream: true, Chunks: numberedChunks(c.ids)}, nil
				}
				f := newForwardRequest("chat")
				f.LastEventID = c.has
				sink, refusal := x.forward(t.Context(), f)
				if got := strings.TrimSpace(string(sink.Body)); got != c.want || (refusal == nil) != c.whole {
					t.Errorf("events %q, refusal %v, want events %q, whole: %v", got, refusal, c.want, c.whole)
				}
			})
		})
	}
}

// Guards against a stream that another upstream goes on with at an event that the step doesn't lead to.
func TestForwardResumesStreamsWhoseIDsRiseByAStep(t *testing.T) {
	for name, c := range map[string]struct {
		rest []int64
		want string
	}{
		"at the next event":  {[]int64{15, 20}, "5 10 15 20"},
		"with a hole":        {[]int64{20, 25}, "5 10"},
		"from the beginning": {[]int64{5, 10, 15, 20}, "5 10 15 20"},
	} {
		t.Run(name, func(t *testing.T) {
			runForwardTest(t, func(t *testing.T, x *forwardFixture) {
				x.Script = func(_ context.Context, a *quetzalroad.Attempt) (*faker.ScriptedResponse, error) {
					if a.ResumeAfter == 0 {
						return &faker.ScriptedResponse{EventStream: true, Chunks: numberedChunks([]int64{5, 10}), Interrupted: true}, nil
					}
					return &faker.ScriptedResponse{EventStream: true, Chunks: numberedChunks(c.rest)}, nil
				}
				sink, _ := x.forward(t.Context(), newForwardRequest("stream"))
				if got := strings.TrimSpace(string(sink.Body)); got != c.want {
					t.Errorf("events %q, want %q", got, c.want)
				}
			})
		})
	}
}
