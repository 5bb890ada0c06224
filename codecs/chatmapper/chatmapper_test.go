package chatmapper

import (
	"encoding/json"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/quetzalroad/quetzalroad"
)

func TestEncodeUpstreamRequest(t *testing.T) {
	const messages = `"messages":[{"role":"user","content":"hi"}]`
	const resumed = `"messages":[{"role":"user","content":"hi"},{"role":"assistant","content":"so far"}],"continue_final_message":true,"add_generation_prompt":false`
	resumePoint := &quetzalroad.ResumePoint{Text: "so far", Tokens: 4}
	tests := []struct {
		name      string
		body      string
		maxTokens int
		resume    *quetzalroad.ResumePoint
		want      string
	}{
		{"unbounded", `{"model":"m",` + messages + `}`, 0, nil, `{"model":"m",` + messages + `}`},
		{"unknown fields are passed through", `{"model":"m","seed":7,` + messages + `}`, 0, nil, `{"model":"m","seed":7,` + messages + `}`},
		{"profile's limit is set", `{"model":"m",` + messages + `}`, 50, nil, `{"model":"m","max_tokens":50,` + messages + `}`},
		{"limit keeps the caller's field", `{"model":"m","max_completion_tokens":90,` + messages + `}`, 50, nil, `{"model":"m","max_completion_tokens":50,` + messages + `}`},
		{"resumed without a limit stays unlimited", `{"model":"m",` + messages + `}`, 0, resumePoint, `{"model":"m",` + resumed + `}`},
		{"resumed limit subtracts the tokens already generated", `{"model":"m","max_tokens":10,` + messages + `}`, 10, resumePoint, `{"model":"m","max_tokens":6,` + resumed + `}`},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			data, err := EncodeUpstreamRequest([]byte(test.body), test.maxTokens, test.resume)
			if err != nil {
				t.Fatal(err)
			}
			want := unmarshalObject(t, test.want)
			want["stream"] = true
			want["stream_options"] = map[string]any{"include_usage": true}
			if diff := cmp.Diff(want, unmarshalObject(t, string(data))); diff != "" {
				t.Errorf("(-want +got):\n%s", diff)
			}
		})
	}
}

func unmarshalObject(t *testing.T, text string) map[string]any {
	t.Helper()
	var o map[string]any
	if err := json.Unmarshal([]byte(text), &o); err != nil {
		t.Fatal(err)
	}
	return o
}

func TestAggregatorCombinesContentToolCallsAndUsage(t *testing.T) {
	chunks := []string{
		`{"id":"a","created":5,"model":"m","choices":[{"index":0,"delta":{"role":"assistant","content":"Hel"}}]}`,
		`{"id":"a","created":5,"model":"m","choices":[{"index":0,"delta":{"content":"lo","tool_calls":[{"index":0,"id":"t","type":"function","function":{"name":"book","arguments":"{\"a\""}}]}}]}`,
		`{"id":"a","created":5,"model":"m","choices":[{"index":0,"delta":{"tool_calls":[{"index":0,"function":{"arguments":":1}"}}]},"finish_reason":"tool_calls"}]}`,
		`{"id":"a","created":5,"model":"m","choices":[],"usage":{"prompt_tokens":12,"completion_tokens":3,"total_tokens":15}}`,
	}
	var aggregator Aggregator
	var decoder ChunkDecoder
	for _, c := range chunks {
		event, err := decoder.Decode([]byte(c))
		if err != nil {
			t.Fatal(err)
		}
		if event.CompletionTokens > 0 {
			// Two tokens were generated before a resumption and count as prompt.
			event.CompletionTokens += 2
		}
		if err := aggregator.Add(event); err != nil {
			t.Fatal(err)
		}
	}
	data, err := aggregator.EncodeCompletion("chatcmpl-1")
	if err != nil {
		t.Fatal(err)
	}
	want := unmarshalObject(t, `{"id":"chatcmpl-1","object":"chat.completion","created":5,"model":"m","choices":[{"index":0,"finish_reason":"tool_calls","logprobs":null,
		"message":{"role":"assistant","content":"Hello","refusal":null,"tool_calls":[{"index":0,"id":"t","type":"function","function":{"name":"book","arguments":"{\"a\":1}"}}]}}],
		"usage":{"prompt_tokens":10,"completion_tokens":5,"total_tokens":15}}`)
	if diff := cmp.Diff(want, unmarshalObject(t, string(data))); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
}

func TestDecodeRequestRejectsInvalidBodies(t *testing.T) {
	for _, body := range []string{``, `[]`, `{}`, `{"model":"m"}`, `{"model":"m","messages":[]}`, `{"model":"m","messages":[{"role":"user"}],"max_tokens":-1}`} {
		if _, err := DecodeRequest([]byte(body)); err == nil {
			t.Errorf("%q was accepted", body)
		}
	}
}

func FuzzDecodeRequest(f *testing.F) {
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":"hi"}],"stream":true,"max_tokens":5}`))
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":[{"type":"text","text":"hi"}]}]}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		r, err := DecodeRequest(body)
		if err != nil {
			return
		}
		data, err := EncodeUpstreamRequest(body, r.MaxTokens, nil)
		if err != nil {
			return
		}
		again, err := DecodeRequest(data)
		if err != nil {
			t.Fatalf("the request for the engine can't be decoded: %v", err)
		}
		if again.Model != r.Model || again.MaxTokens != r.MaxTokens {
			t.Errorf("request changed from %+v to %+v", r, again)
		}
	})
}

func BenchmarkDecodeAndRewriteChunk(b *testing.B) {
	chunk := []byte(`{"id":"chatcmpl-8a1b","object":"chat.completion.chunk","created":1796368849,"model":"llm-orcamentos","choices":[{"index":0,"delta":{"content":"panels "},"finish_reason":null}]}`)
	rewriter := ChunkRewriter{ID: "chatcmpl-1d98a205-5fdd-4aa8-87d2-dae736115eef"}
	b.ReportAllocs()
	for b.Loop() {
		e, err := new(ChunkDecoder).Decode(chunk)
		if err != nil {
			b.Fatal(err)
		}
		if _, err := rewriter.Rewrite(e); err != nil {
			b.Fatal(err)
		}
	}
}

// An engine that breaks off may write the text of an error into its stream.
func TestTextOfAnErrorIsNoChunk(t *testing.T) {
	for _, data := range []string{
		`{"error": {"message": "overloaded"}}`, `{"error": "overloaded"}`, `{"message": "overloaded", "code": 503}`, `{"detail": [{"msg": "overloaded"}]}`, `{"choices": null}`,
		`"overloaded"`, `HTTP/1.1 500 Internal Server Error`, `null`, ``,
	} {
		if e, err := new(ChunkDecoder).Decode([]byte(data)); err == nil {
			t.Errorf("%s was decoded as %+v", data, e)
		}
	}
	if _, err := new(ChunkDecoder).Decode([]byte(`{"choices": [], "usage": {"completion_tokens": 3}}`)); err != nil {
		t.Errorf("the chunk with the usage: %v", err)
	}
}

// A response with several choices ended as complete with the first of them.
func TestResponseEndsWithTheLastOfItsChoices(t *testing.T) {
	decoder := NewChunkDecoder([]byte(`{"n":2}`))
	for _, c := range []struct{ chunk, reason string }{
		{`{"choices":[{"index":1,"delta":{"content":"a"}},{"index":0,"delta":{"content":"b"},"finish_reason":"stop"}]}`, ""},
		{`{"choices":[{"index":0,"delta":{},"finish_reason":"stop"}]}`, ""},
		{`{"choices":[{"index":1,"delta":{"refusal":"c"},"finish_reason":"length"}]}`, "length"},
		{`{"choices":[],"usage":{"completion_tokens":3}}`, ""},
	} {
		if e, err := decoder.Decode([]byte(c.chunk)); err != nil || e.FinishReason != c.reason {
			t.Errorf("%s: finish reason %q, error %v; want %q", c.chunk, e.FinishReason, err, c.reason)
		}
	}
	for _, chunk := range []string{`{"choices":[{"index":0,"delta":{"content":"more"}}]}`, `{"choices":[{"index":2,"delta":{}}]}`} {
		if e, err := decoder.Decode([]byte(chunk)); err == nil {
			t.Errorf("%s was decoded as %+v", chunk, e)
		}
	}
}
