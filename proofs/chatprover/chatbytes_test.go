// Package chatprover tests chats over real sockets, from the caller to the bytes that an engine sends. It is apart from
// prover, whose nodes run in virtual time and must not listen.
package chatprover

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/kernel"
	"github.com/quetzalroad/quetzalroad/proofs/faker"
	_ "github.com/quetzalroad/quetzalroad/servers/callerserver"
	_ "github.com/quetzalroad/quetzalroad/upstreams/engineconnector"
)

// completionLength is the number of chunks with text in each completion.
const completionLength = 4

func completionText(from, to int) string {
	var b strings.Builder
	for i := from; i < to; i++ {
		fmt.Fprintf(&b, "piece-%d ", i)
	}
	return b.String()
}

// completionChunks returns the chunks with text from one to before another. The last one has the finish reason.
func completionChunks(from, to int) string {
	var b strings.Builder
	for i := from; i < to; i++ {
		reason := "null"
		if i == completionLength-1 {
			reason = `"stop"`
		}
		fmt.Fprintf(&b, `data: {"id":"c","object":"chat.completion.chunk","created":5,"model":"llm","choices":[{"index":0,"delta":{"content":"piece-%d "},"finish_reason":%s}]}`+"\n\n", i, reason)
	}
	return b.String()
}

const (
	usageChunk = `data: {"id":"c","object":"chat.completion.chunk","created":5,"model":"llm","choices":[],"usage":{"prompt_tokens":9,"completion_tokens":4,"total_tokens":13}}` + "\n\n"
	doneEvent  = "data: [DONE]\n\n"
)

// framing is how the end of a body is marked.
type framing string

const (
	framingLength   framing = "length"
	framingChunks   framing = "chunks"
	framingUnframed framing = "unframed"
)

var framings = []framing{framingLength, framingChunks, framingUnframed}

// encodeResponse returns a response of an engine.
func encodeResponse(contentType string, f framing, body string) string {
	head := "HTTP/1.1 200 OK\r\nConnection: close\r\n"
	if contentType != "" {
		head += "Content-Type: " + contentType + "\r\n"
	}
	switch f {
	case framingLength:
		return head + "Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
	case framingChunks:
		head += "Transfer-Encoding: chunked\r\n\r\n"
		if body != "" {
			head += fmt.Sprintf("%x\r\n%s\r\n", len(body), body)
		}
		return head + "0\r\n\r\n"
	}
	return head + "\r\n" + body
}

// chatBytesFixture is a node before engines on loopback that send whatever bytes a script returns.
type chatBytesFixture struct {
	faker.Deployment
	node     *kernel.Node
	address  string
	received atomic.Int32
	// respond returns the bytes of a response, from the number of requests before it and the number of pieces that
	// the caller has. It is set before each request.
	respond func(before, resumeAt int) string
}

func newChatBytesFixture(t *testing.T) *chatBytesFixture {
	t.Helper()
	x := &chatBytesFixture{Deployment: faker.Deployment{UseChatAPI: true}}
	t.Cleanup(x.stop)
	profile := &quetzalroad.Profile{Name: "chat", Class: "chat", Tier: 1, FirstTokenTarget: time.Second, Timeout: 5 * time.Second, Idempotent: true, Interactive: true}
	objects := []quetzalroad.Object{
		{Profile: profile},
		{Team: &quetzalroad.Team{Name: "team", DefaultProfile: "chat", KeyHashes: []quetzalroad.KeyHash{quetzalroad.HashKey("secret")}}},
		{Service: &quetzalroad.Service{Name: "llm", Kind: quetzalroad.ServiceKindEngine, Models: []quetzalroad.ModelName{"llm"}}},
	}
	for i := range 3 {
		objects = append(objects, quetzalroad.Object{Upstream: &quetzalroad.Upstream{
			Name: quetzalroad.UpstreamName(fmt.Sprintf("engine-%d", i)), Service: "llm", DataCentre: "east", Region: "east", MaxConcurrency: 8, Address: x.startEngine(t),
		}})
	}
	if err := x.Publish(objects...); err != nil {
		t.Fatal(err)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	x.address = listener.Addr().String()
	if err := listener.Close(); err != nil {
		t.Fatal(err)
	}
	x.node, err = x.AddNode("node-1", "east", "east", `"callers": {"plugin": "http", "address": "`+x.address+`"}, "load": {"report-interval": "0s"},
		"retry": {"share": 1, "reserve": 100000, "initial": 100000, "attempts": 3, "backoff": "0s", "hedge-after": 0}`)
	if err != nil {
		t.Fatal(err)
	}
	for x.node.Ready() != nil {
		time.Sleep(time.Millisecond)
	}
	return x
}

// stop stops the node as planned, because one that is killed keeps its listener until the process ends.
func (x *chatBytesFixture) stop() {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	for _, n := range x.Nodes {
		n.Stop(ctx)
	}
	x.Close()
}

func (x *chatBytesFixture) startEngine(t *testing.T) netip.AddrPort {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go x.serve(c)
		}
	}()
	return netip.MustParseAddrPort(listener.Addr().String())
}

func (x *chatBytesFixture) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	request, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	body, err := io.ReadAll(request.Body)
	if err != nil || request.Method != http.MethodPost {
		return
	}
	// The node may have closed the connection.
	_, _ = io.WriteString(c, x.respond(int(x.received.Add(1))-1, strings.Count(string(body), "piece-")))
}

// chat sends a chat and returns the text that the caller got, and whether the response ended as complete.
func (x *chatBytesFixture) chat(t *testing.T, streamed, resumable bool) (string, bool) {
	t.Helper()
	x.received.Store(0)
	body := fmt.Sprintf(`{"model":"llm","stream":%v,"logprobs":%v,"messages":[{"role":"user","content":"hi"}]}`, streamed, !resumable)
	request, err := http.NewRequest(http.MethodPost, "http://"+x.address+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer secret")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	got, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	if response.StatusCode != http.StatusOK {
		return "", false
	}
	if !streamed {
		return decodeChatChoices(got), true
	}
	text, complete := "", false
	for _, event := range strings.Split(string(got), "\n\n") {
		data, isData := strings.CutPrefix(strings.ReplaceAll(event, "\ndata: ", "\n"), "data: ")
		switch {
		case data == "[DONE]":
			complete = true
		case isData:
			text += decodeChatChoices([]byte(data))
		}
	}
	return text, complete
}

// decodeChatChoices returns the text of a completion or chunk, or what the caller can't decode.
func decodeChatChoices(data []byte) string {
	type part struct {
		Content string `json:"content"`
	}
	var c struct {
		Choices []struct {
			Delta, Message part
		} `json:"choices"`
	}
	if err := json.Unmarshal(data, &c); err != nil {
		return string(data)
	}
	text := ""
	for _, choice := range c.Choices {
		text += choice.Delta.Content + choice.Message.Content
	}
	return text
}

// noChunks are bytes that are no part of any completion.
var noChunks = map[string]string{
	"text":                      "service unavailable\n\n",
	"text without an end":       "service unavailable",
	"lines":                     "panic: runtime error\ngoroutine 1 [running]:\n\n",
	"markup":                    "<html><body>Bad Gateway</body></html>\r\n\r\n",
	"JSON":                      `{"error": {"message": "overloaded"}}` + "\n\n",
	"a completion":              `{"choices":[{"index":0,"message":{"content":"x"},"finish_reason":"stop"}]}` + "\n\n",
	"another response":          "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n" + strings.ReplaceAll(completionChunks(0, completionLength), "piece", "other"),
	"binary":                    "\x16\x03\x01\x00*\x02\x00\x00\n\n",
	"bytes that are no UTF-8":   "\xff\xfe\xfd\n\n",
	"a garbled field name":      `dat4: {"choices":[{"index":0,"delta":{"content":"x"}}]}` + "\n\n",
	"a field name alone":        "dat\n\n",
	"data that is no UTF-8":     `data: {"choices":[{"index":0,"delta":{"content":"` + "\xff" + `"}}]}` + "\n\n",
	"empty data":                "data:\n\n",
	"data alone":                "data\n\n",
	"an event without data":     "event: chunk\n\n",
	"an id without data":        "id: 7\n\n",
	"an error event":            "event: error\ndata: {\"choices\":[]}\n\n",
	"a retry that is no number": "retry: soon\n\n",
	"the end marker":            doneEvent,
	"a cut chunk":               `data: {"choices":[{"index":0,"delta":{"con` + "\n\n",
}

// noChunkData are the data of events which are JSON and no chunk of the completion.
var noChunkData = []string{
	`{"error":"overloaded"}`, `{}`, `[]`, `"x"`, `7`, `{"choices":{}}`, `{"choices":"x"}`,
	`{"choices":[7]}`, `{"choices":["x"]}`, `{"choices":[null]}`, `{"choices":[[]]}`, `{"choices":[{}]}`,
	`{"choices":[{"index":0,"delta":"x"}]}`, `{"choices":[{"index":0,"delta":7}]}`, `{"choices":[{"index":0,"delta":["x"]}]}`, `{"choices":[{"index":0,"delta":null}]}`,
	`{"choices":[{"index":0,"text":"x"}]}`, `{"choices":[{"index":0,"message":{"content":"x"},"finish_reason":"stop"}]}`,
	`{"choices":[{"index":0,"delta":{"content":7}}]}`, `{"choices":[{"index":0,"delta":{"content":["x"]}}]}`, `{"choices":[{"index":0,"delta":{"content":{"text":"x"}}}]}`, `{"choices":[{"index":0,"delta":{"content":false}}]}`,
	`{"choices":[{"index":0,"delta":{"refusal":7}}]}`, `{"choices":[{"index":0,"delta":{"role":7}}]}`,
	`{"choices":[{"index":0,"delta":{"tool_calls":"x"}}]}`, `{"choices":[{"index":0,"delta":{"tool_calls":[7]}}]}`, `{"choices":[{"index":0,"delta":{"tool_calls":[{"index":"x"}]}}]}`,
	`{"choices":[{"index":0,"delta":{"tool_calls":[{"index":0,"function":"x"}]}}]}`, `{"choices":[{"index":0,"delta":{"tool_calls":[{"index":0,"function":{"arguments":{}}}]}}]}`,
	`{"choices":[{"index":"0","delta":{"content":"x"}}]}`, `{"choices":[{"index":-1,"delta":{"content":"x"}}]}`, `{"choices":[{"index":0.5,"delta":{"content":"x"}}]}`, `{"choices":[{"index":1,"delta":{"content":"x"}}]}`,
	`{"choices":[{"index":0,"delta":{},"finish_reason":7}]}`, `{"choices":[{"index":0,"delta":{},"finish_reason":{}}]}`, `{"choices":[{"index":0,"delta":{},"finish_reason":true}]}`,
	`{"choices":[{"index":0,"delta":{},"logprobs":"x"}]}`,
	`{"choices":[],"usage":"x"}`, `{"choices":[],"usage":7}`, `{"choices":[],"usage":{"completion_tokens":"x"}}`, `{"choices":[],"usage":{"completion_tokens":-4}}`, `{"choices":[],"usage":{"prompt_tokens":1.5}}`,
	`{"choices":[],"created":"x"}`, `{"choices":[],"id":7}`, `{"choices":[],"model":[]}`,
	`{"choices":[{"index":0,"delta":{"content":""}}],"choices":[{"index":0,"delta":{"content":"x"}}]}`,
	`{"choices":[{"index":0,"delta":{"content":"","content":"x"}}]}`,
}

// chatPlaces are the bodies with garbage at each place, from the number of pieces that the caller has.
var chatPlaces = map[string]func(garbage string, from int) string{
	"in place of all events": func(garbage string, _ int) string { return garbage },
	"in place of all chunks": func(garbage string, _ int) string { return garbage + doneEvent },
	"before the first chunk": func(garbage string, from int) string {
		return garbage + completionChunks(from, completionLength) + usageChunk + doneEvent
	},
	"between two chunks": func(garbage string, from int) string {
		return completionChunks(from, 2) + garbage + completionChunks(2, completionLength) + usageChunk + doneEvent
	},
	"in place of a chunk": func(garbage string, from int) string {
		return completionChunks(from, 2) + garbage + completionChunks(3, completionLength) + usageChunk + doneEvent
	},
	"in place of the last chunk": func(garbage string, from int) string {
		return completionChunks(from, completionLength-1) + garbage + usageChunk + doneEvent
	},
	"in place of the end marker": func(garbage string, from int) string {
		return completionChunks(from, completionLength) + garbage
	},
	"after the last chunk": func(garbage string, from int) string {
		return completionChunks(from, completionLength) + garbage + usageChunk + doneEvent
	},
	"after the end marker": func(garbage string, from int) string {
		return completionChunks(from, completionLength) + usageChunk + doneEvent + garbage
	},
}

// chatCase is one faulty response and the caller to which it is sent.
type chatCase struct {
	Name, Place, ContentType string
	Framing                  framing
	// Resumed has the faulty response resume one that was cut.
	Resumed, Resumable, Streamed bool
}

func (c chatCase) respond(garbage string) func(before, resumeAt int) string {
	return func(before, resumeAt int) string {
		switch {
		case c.Resumed && before == 0:
			return encodeResponse("text/event-stream", framingUnframed, completionChunks(0, 1))
		case before == 0 || (c.Resumed && before == 1):
			return encodeResponse(c.ContentType, c.Framing, chatPlaces[c.Place](garbage, resumeAt))
		}
		return encodeResponse("text/event-stream", framingChunks, completionChunks(resumeAt, completionLength)+usageChunk+doneEvent)
	}
}

// check sends the chat and returns what is wrong with the response to the caller.
func (c chatCase) check(t *testing.T, x *chatBytesFixture, garbage string) string {
	t.Helper()
	x.respond = c.respond(garbage)
	got, complete := x.chat(t, c.Streamed, c.Resumable)
	whole := completionText(0, completionLength)
	switch {
	case !strings.HasPrefix(whole, got):
		return fmt.Sprintf("the caller got %q", got)
	case complete && got != whole:
		return fmt.Sprintf("the response ended as complete after %q", got)
	case !complete && c.Resumable:
		return fmt.Sprintf("refused after %q though other engines are sound", got)
	}
	return ""
}

// chatCases returns the cases of a place. The type and the framing make no difference to data that are JSON.
func chatCases(place string) map[chatCase]string {
	cases := make(map[chatCase]string)
	for _, caller := range []chatCase{{Resumable: true, Streamed: true}, {Streamed: true}, {Resumed: true, Resumable: true, Streamed: true}, {Resumable: true}} {
		caller.Place = place
		for _, data := range noChunkData {
			c := caller
			c.Name, c.ContentType, c.Framing = data, "text/event-stream", framingChunks
			cases[c] = "data: " + data + "\n\n"
		}
		for name, text := range noChunks {
			for _, contentType := range []string{"text/event-stream", "text/html", ""} {
				for _, f := range framings {
					c := caller
					c.Name, c.ContentType, c.Framing = name, contentType, f
					cases[c] = text
				}
			}
		}
	}
	return cases
}

// An engine that sent bytes which are no chunk left a hole in the text, or made the response look complete.
func TestBytesThatAreNoChunkReachNoCaller(t *testing.T) {
	for place := range chatPlaces {
		t.Run(place, func(t *testing.T) {
			t.Parallel()
			x := newChatBytesFixture(t)
			cases, failed := chatCases(place), 0
			for c, text := range cases {
				if problem := c.check(t, x, text); problem != "" {
					failed++
					t.Errorf("%+v: %s", c, problem)
				}
			}
			t.Logf("%d of %d failed", failed, len(cases))
		})
	}
}

// soundCompletions are completions of every form that the formats allow.
var soundCompletions = func() map[string]string {
	const bom = "\ufeff"
	whole := completionChunks(0, completionLength) + usageChunk + doneEvent
	finish := `data: {"choices":[{"index":0,"delta":{},"finish_reason":"stop"}]}` + "\n\n"
	return map[string]string{
		"line feeds":         whole,
		"carriage returns":   strings.ReplaceAll(whole, "\n", "\r"),
		"both":               strings.ReplaceAll(whole, "\n", "\r\n"),
		"no space":           strings.ReplaceAll(whole, "data: ", "data:"),
		"a byte order mark":  bom + whole,
		"comments":           ": begin\n\n" + strings.ReplaceAll(whole, "data:", ":\n\n: more\n:\ndata:") + ": end\n\n",
		"other fields":       "retry: 100\n\n" + strings.ReplaceAll(whole, "data:", "event: chunk\nid: 3\nretry: 100\ndata:"),
		"empty lines":        "\n\n" + strings.ReplaceAll(whole, "\n\n", "\n\n\n\n"),
		"several data lines": strings.ReplaceAll(whole, `"object"`, "\ndata: \"object\""),
		"null fields": strings.ReplaceAll(strings.ReplaceAll(whole, `"delta":{`, `"logprobs":null,"delta":{"role":null,"refusal":null,"tool_calls":null,"function_call":null,`),
			`"choices":[{`, `"usage":null,"error":null,"system_fingerprint":null,"choices":[{`),
		"unknown fields":       strings.ReplaceAll(whole, `"index":0`, `"index":0,"stop_reason":7,"token_ids":[1]`),
		"log probabilities":    strings.ReplaceAll(whole, `"index":0`, `"index":0,"logprobs":{"content":[{"token":"a","logprob":-1.5}]}`),
		"a role first":         `data: {"created":5,"choices":[{"index":0,"delta":{"role":"assistant","content":""},"finish_reason":null}]}` + "\n\n" + whole,
		"the reason apart":     strings.ReplaceAll(completionChunks(0, completionLength), `"stop"`, "null") + finish + usageChunk + doneEvent,
		"no usage":             completionChunks(0, completionLength) + doneEvent,
		"usage in each chunk":  strings.ReplaceAll(whole, `"choices":[{`, `"usage":{"prompt_tokens":9,"completion_tokens":1,"total_tokens":10},"choices":[{`),
		"empty choices first":  `data: {"created":5,"choices":[],"prompt_filter_results":[]}` + "\n\n" + whole,
		"an empty tool list":   strings.ReplaceAll(whole, `"content"`, `"tool_calls":[],"content"`),
		"large comment blocks": strings.Repeat(": "+strings.Repeat("x", 1000)+"\n", 2000) + whole,
	}
}()

func TestSoundCompletionsOfEveryFormAreRelayed(t *testing.T) {
	x := newChatBytesFixture(t)
	for name, body := range soundCompletions {
		for _, contentType := range []string{"text/event-stream", "Text/Event-Stream; charset=utf-8", "text/plain", ""} {
			for _, f := range framings {
				for _, streamed := range []bool{true, false} {
					x.respond = func(int, int) string { return encodeResponse(contentType, f, body) }
					got, complete := x.chat(t, streamed, false)
					if want := completionText(0, completionLength); got != want || !complete || x.received.Load() != 1 {
						t.Errorf("%s, type %q, %s, streamed %v: %q, complete %v, %d attempts", name, contentType, f, streamed, got, complete, x.received.Load())
					}
				}
			}
		}
	}
}

// Failures of a chat that was not retried, and those after its finish reason, were neither counted nor logged.
func TestEachMalformedCompletionIsCounted(t *testing.T) {
	x := newChatBytesFixture(t)
	for i, c := range []chatCase{
		{Place: "between two chunks", Resumable: true},
		{Place: "between two chunks", Streamed: true},
		{Place: "in place of the end marker", Resumable: true},
		{Place: "in place of all chunks", Name: "the end marker", Resumable: true},
	} {
		if c.Name == "" {
			c.Name = "text"
		}
		c.ContentType, c.Framing = "text/event-stream", framingChunks
		if problem := c.check(t, x, noChunks[c.Name]); problem != "" {
			t.Errorf("%+v: %s", c, problem)
		}
		want := fmt.Sprintf(`{"%s": %d}`, quetzalroad.RetryMalformedResponse, i+1)
		if diff := cmp.Diff(want, x.node.Vars.Get("failed-attempts").String()); diff != "" {
			t.Fatalf("%+v (-want +got):\n%s", c, diff)
		}
	}
}
