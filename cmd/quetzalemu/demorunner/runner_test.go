package demorunner

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"

	"github.com/quetzalroad/quetzalroad/cmd/quetzalemu/engineserver"
	"github.com/quetzalroad/quetzalroad/support/commander"
)

func TestRunOnceSucceeds(t *testing.T) {
	d := startDeployment(t)
	var out bytes.Buffer
	if err := d.runOnce(t.Context(), commander.IOStreams{Out: &out, ErrOut: &out}); err != nil {
		t.Fatalf("%v\n%s", err, out.String())
	}
	if !strings.HasSuffix(out.String(), "all checks passed\n") {
		t.Errorf("the demo ends with %q", out.String()[max(0, out.Len()-100):])
	}
}

func TestWriteAddressesListsAllProcesses(t *testing.T) {
	d, err := newDeployment(nil)
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(t.TempDir(), "addresses.json")
	if err := d.writeAddresses(file); err != nil {
		t.Fatal(err)
	}
	data, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	var j addressesJSON
	if err := json.Unmarshal(data, &j); err != nil {
		t.Fatal(err)
	}
	got := []int{len(j.Nodes), len(j.Engines), len(j.Services)}
	if diff := cmp.Diff([]int{3, 4, 2}, got); diff != "" {
		t.Errorf("processes by kind (-want +got):\n%s", diff)
	}
}

// newClient returns the published OpenAI client, configured with nothing but a base URL and an API
// key.
func newClient(p process) openai.Client {
	return openai.NewClient(option.WithBaseURL("http://"+p.address.String()+"/v1"), option.WithAPIKey(teamKey), option.WithMaxRetries(0))
}

func chatParams(text string) openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{
		Model:     modelName,
		MaxTokens: openai.Int(10),
		Messages:  []openai.ChatCompletionMessageParamUnion{openai.UserMessage(text)},
	}
}

func TestOpenAIClient(t *testing.T) {
	d := startDeployment(t)
	c := newClient(d.nodes[0])
	completion, err := c.Chat.Completions.New(t.Context(), chatParams("What do panels cost?"))
	if err != nil {
		t.Fatal(err)
	}
	if len(completion.Choices) != 1 || completion.Choices[0].FinishReason == "" || completion.Usage.CompletionTokens == 0 {
		t.Fatalf("complete response: %+v", completion)
	}
	stream := c.Chat.Completions.NewStreaming(t.Context(), chatParams("What do panels cost?"))
	text := ""
	for stream.Next() {
		for _, choice := range stream.Current().Choices {
			text += choice.Delta.Content
		}
	}
	if err := stream.Err(); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(completion.Choices[0].Message.Content, text); diff != "" {
		t.Errorf("complete and streamed responses differ (-complete +streamed):\n%s", diff)
	}
	models, err := c.Models.List(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	if len(models.Data) != 1 || models.Data[0].ID != modelName {
		t.Errorf("models: %+v", models.Data)
	}
}

func TestOpenAIClientReceivesRefusalAsError(t *testing.T) {
	d := startDeployment(t)
	unauthorized := openai.NewClient(option.WithBaseURL("http://"+d.nodes[0].address.String()+"/v1"), option.WithAPIKey("wrong"), option.WithMaxRetries(0))
	_, err := unauthorized.Chat.Completions.New(t.Context(), chatParams("x"))
	if err == nil || !strings.Contains(err.Error(), "401") {
		t.Errorf("got %v for a wrong key, want status 401", err)
	}
	for _, p := range d.engines {
		var stats engineStats
		if err := fetchStats(t.Context(), p.address, &stats); err != nil {
			t.Fatal(err)
		}
		if stats.Runs != 0 {
			t.Errorf("%s received a request with a wrong key", p.name)
		}
	}
}

// streamedChat is a streamed chat as one caller received it.
type streamedChat struct {
	body       []byte
	status     int
	text       string
	complete   bool
	errorEvent bool
	outcome    string
}

// parseStream parses a streamed response as a client does.
func parseStream(body string) (text string, complete, errorEvent bool) {
	for line := range strings.Lines(body) {
		line = strings.TrimSuffix(line, "\n")
		switch {
		case line == "data: [DONE]":
			complete = true
		case line == "event: error":
			errorEvent = true
		case strings.HasPrefix(line, "data: ") && !complete:
			var chunk struct {
				Choices []struct {
					Delta struct {
						Content string `json:"content"`
					} `json:"delta"`
				} `json:"choices"`
			}
			if json.Unmarshal([]byte(strings.TrimPrefix(line, "data: ")), &chunk) == nil {
				for _, c := range chunk.Choices {
					text += c.Delta.Content
				}
			}
		}
	}
	return text, complete, errorEvent
}

// sendStreamedChats sends streamed chats to all nodes concurrently.
func (d *deployment) sendStreamedChats(ctx context.Context, t *testing.T, count int) []streamedChat {
	t.Helper()
	all := make([]streamedChat, count)
	var group sync.WaitGroup
	for i := range count {
		group.Go(func() {
			body := fmt.Appendf(nil, `{"model":%q,"stream":true,"messages":[{"role":"user","content":"Question %d"}]}`, modelName, i)
			r, err := d.sendChat(ctx, d.nodes[i%len(d.nodes)], body)
			if err != nil {
				t.Errorf("chat %d: %v", i, err)
				return
			}
			chat := streamedChat{body: body, status: r.status, outcome: r.outcome}
			chat.text, chat.complete, chat.errorEvent = parseStream(r.body)
			all[i] = chat
		})
	}
	group.Wait()
	return all
}

// verify checks that the caller received its own complete response or an explicit error, and
// reports whether it was completed.
func (s streamedChat) verify(t *testing.T, i int) bool {
	t.Helper()
	if s.status != http.StatusOK {
		if s.outcome != "not-run" && s.outcome != "unknown" {
			t.Errorf("chat %d: status %d with outcome %q", i, s.status, s.outcome)
		}
		return false
	}
	if s.errorEvent == s.complete {
		t.Errorf("chat %d: error event %t, complete %t", i, s.errorEvent, s.complete)
	}
	if !s.complete {
		return false
	}
	want, err := engineserver.ExpectedCompletion(s.body)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want, s.text); diff != "" {
		t.Errorf("chat %d did not receive its own complete response (-want +got):\n%s", i, diff)
	}
	return s.outcome == "completed"
}

func TestFiveHundredChatsWithCrashingEngine(t *testing.T) {
	const count = 500
	d := startDeployment(t)
	setFaults(t, d.engines[0], map[string]any{"crash-after-tokens": 1000})
	completed := 0
	for i, s := range d.sendStreamedChats(t.Context(), t, count) {
		if s.verify(t, i) {
			completed++
		}
	}
	t.Logf("%d of %d completed", completed, count)
	var crashed engineStats
	if err := fetchStats(t.Context(), d.engines[0].address, &crashed); err != nil {
		t.Fatal(err)
	}
	if crashed.TokensWasted == 0 {
		t.Error("the engine did not crash with requests running, so the test is inconclusive")
	}
	if completed < count/2 {
		t.Errorf("only %d of %d chats were completed", completed, count)
	}
}

func TestBookingsRunOnceWhenResponsesAreLost(t *testing.T) {
	const keys = 60
	d := startDeployment(t)
	for _, p := range d.services {
		setFaults(t, p, map[string]any{"lose-answer-share": 0.3})
	}
	setFaults(t, process{address: d.logAddress}, map[string]any{"lose-answer-share": 0.3})
	var mu sync.Mutex
	outcomes := make(map[string][]string)
	var group sync.WaitGroup
	for k := range keys {
		key := fmt.Sprintf("visit-%d", k)
		for _, p := range d.nodes {
			group.Go(func() {
				r, err := send(t.Context(), http.MethodPost, "http://"+p.address.String()+"/services/"+serviceName+"/bookings", teamKey,
					map[string]string{"Idempotency-Key": key}, []byte(key))
				if err != nil {
					t.Error(err)
					return
				}
				mu.Lock()
				defer mu.Unlock()
				outcomes[key] = append(outcomes[key], r.outcome)
			})
		}
	}
	group.Wait()
	runs := make(map[string]int)
	for _, p := range d.services {
		var stats serviceStats
		if err := fetchStats(t.Context(), p.address, &stats); err != nil {
			t.Fatal(err)
		}
		for key, n := range stats.RunsByKey {
			runs[key] += n
		}
	}
	for key, reported := range outcomes {
		all := strings.Join(reported, " ")
		if runs[key] > 1 {
			t.Errorf("%s ran %d times", key, runs[key])
		}
		if runs[key] == 1 && !strings.Contains(all, "completed") && !strings.Contains(all, "unknown") {
			t.Errorf("%s ran but callers received outcomes %s", key, all)
		}
		if runs[key] == 0 && strings.Contains(all, "completed") {
			t.Errorf("%s did not run but callers received outcomes %s", key, all)
		}
	}
}

func TestChatsCompleteWhenOpenConnectionsStall(t *testing.T) {
	d := startDeployment(t)
	// The first chats leave idle connections in the nodes' pools.
	d.sendStreamedChats(t.Context(), t, 30)
	for _, p := range d.engines {
		setFaults(t, p, map[string]any{"silent-open-connections": true})
	}
	for i, s := range d.sendStreamedChats(t.Context(), t, 30) {
		if !s.verify(t, i) {
			t.Errorf("chat %d was not completed: status %d, outcome %s", i, s.status, s.outcome)
		}
	}
}

func TestLogOutageRefusesOnlyKeyedBookings(t *testing.T) {
	d := startDeployment(t)
	setFaults(t, process{address: d.logAddress}, map[string]any{"down-for": "60s"})
	for i, s := range d.sendStreamedChats(t.Context(), t, 12) {
		if !s.verify(t, i) {
			t.Errorf("chat %d was not completed: status %d, outcome %s", i, s.status, s.outcome)
		}
	}
	r, err := send(t.Context(), http.MethodPost, "http://"+d.nodes[0].address.String()+"/services/"+serviceName+"/bookings", teamKey,
		map[string]string{"Idempotency-Key": "visit"}, []byte("{}"))
	if err != nil {
		t.Fatal(err)
	}
	if r.outcome != "not-run" || !strings.Contains(r.body, `"code":"claim-unavailable"`) {
		t.Errorf("a keyed booking during a log outage: status %d, outcome %s: %s", r.status, r.outcome, r.body)
	}
	setFaults(t, process{address: d.logAddress}, map[string]any{})
	eventually(t, "a keyed booking runs again", func() bool {
		r, err := send(t.Context(), http.MethodPost, "http://"+d.nodes[0].address.String()+"/services/"+serviceName+"/bookings", teamKey,
			map[string]string{"Idempotency-Key": "visit"}, []byte("{}"))
		return err == nil && r.outcome == "completed"
	})
}

func TestCallerDisconnectCancelsEngineRequest(t *testing.T) {
	d := startDeployment(t)
	for _, p := range d.engines {
		setFaults(t, p, map[string]any{"slow-factor": 20})
	}
	ctx, disconnect := context.WithCancel(t.Context())
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+d.nodes[0].address.String()+"/v1/chat/completions",
		strings.NewReader(`{"model":"`+modelName+`","stream":true,"messages":[{"role":"user","content":"Tell me all"}]}`))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer "+teamKey)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	if _, err := response.Body.Read(make([]byte, 64)); err != nil {
		t.Fatal(err)
	}
	disconnect()
	eventually(t, "the engine cancels the request", func() bool {
		cancelled, active := 0, 0
		for _, p := range d.engines {
			var stats engineStats
			if err := fetchStats(t.Context(), p.address, &stats); err != nil {
				t.Fatal(err)
			}
			cancelled += stats.Cancelled
			active += stats.Active
		}
		return cancelled == 1 && active == 0
	})
	eventually(t, "the node counts wasted tokens", func() bool {
		return d.runningNodes[0].Vars.Get("tokens-wasted").String() != "0"
	})
}

func TestServiceRequestForwardsMethodPathQueryAndBody(t *testing.T) {
	d := startDeployment(t)
	for _, method := range []string{http.MethodGet, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete, "PURGE"} {
		r, err := send(t.Context(), method, "http://"+d.nodes[1].address.String()+"/services/"+serviceName+"/a/b%20c?x=1&y=2", teamKey, nil, []byte("body"))
		if err != nil {
			t.Fatal(err)
		}
		var got struct{ Method, Path, Query, Echo string }
		if err := json.Unmarshal([]byte(r.body), &got); err != nil {
			t.Fatalf("%s: %s: %v", method, r.body, err)
		}
		want := struct{ Method, Path, Query, Echo string }{method, "/a/b c", "x=1&y=2", "body"}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("%s (-want +got):\n%s", method, diff)
		}
	}
}

func TestRefusalStatusAndCode(t *testing.T) {
	d := startDeployment(t)
	node := "http://" + d.nodes[0].address.String()
	tests := []struct {
		name   string
		method string
		path   string
		key    string
		header map[string]string
		body   string
		status int
		code   string
	}{
		{"no key", http.MethodPost, "/v1/chat/completions", "", nil, "{}", 401, "unauthorized"},
		{"not a chat", http.MethodPost, "/v1/chat/completions", teamKey, nil, "[", 400, "malformed-request"},
		{"unknown model", http.MethodPost, "/v1/chat/completions", teamKey, nil, `{"model":"x","messages":[{"role":"user","content":"y"}]}`, 404, "unknown-model"},
		{"unknown profile", http.MethodPost, "/v1/chat/completions", teamKey, map[string]string{"Quetzalroad-Profile": "x"}, string(encodeChatRequest("y", false)), 400, "unknown-profile"},
		{"unknown service", http.MethodPost, "/services/x/y", teamKey, nil, "", 404, "unknown-service"},
		{"unknown path", http.MethodGet, "/v2", teamKey, nil, "", 404, "not-found"},
		{"wrong method", http.MethodDelete, "/v1/models", teamKey, nil, "", 405, "not-found"},
		{"body too large", http.MethodPost, "/services/portal-obras/x", teamKey, nil, strings.Repeat("x", 5<<20), 413, "body-too-large"},
		{"key too long", http.MethodPost, "/services/portal-obras/x", teamKey, map[string]string{"Idempotency-Key": strings.Repeat("k", 300)}, "", 400, "malformed-request"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r, err := send(t.Context(), test.method, node+test.path, test.key, test.header, []byte(test.body))
			if err != nil {
				t.Fatal(err)
			}
			var got struct {
				Code      string `json:"code"`
				RequestID string `json:"request-id"`
			}
			if err := json.Unmarshal([]byte(r.body), &got); err != nil {
				t.Fatalf("%s: %v", r.body, err)
			}
			if r.status != test.status || got.Code != test.code || r.outcome != "not-run" || got.RequestID == "" {
				t.Errorf("status %d, outcome %s, body %s", r.status, r.outcome, r.body)
			}
		})
	}
}

func TestStalledLogConnectionsAreReplaced(t *testing.T) {
	d := startDeployment(t)
	setFaults(t, process{address: d.logAddress}, map[string]any{"silent-open-connections": true})
	eventually(t, "a keyed booking runs", func() bool {
		r, err := send(t.Context(), http.MethodPost, "http://"+d.nodes[0].address.String()+"/services/"+serviceName+"/bookings", teamKey,
			map[string]string{"Idempotency-Key": "visit"}, []byte("{}"))
		return err == nil && r.outcome == "completed"
	})
	runs := 0
	for _, p := range d.services {
		var stats serviceStats
		if err := fetchStats(t.Context(), p.address, &stats); err != nil {
			t.Fatal(err)
		}
		runs += stats.RunsByKey["visit"]
	}
	if runs != 1 {
		t.Errorf("the booking ran %d times", runs)
	}
}

func TestPlannedStopReportsNotReadyAndCompletesOpenStream(t *testing.T) {
	d := startDeployment(t)
	for _, p := range d.engines {
		setFaults(t, p, map[string]any{"slow-factor": 10})
	}
	body := []byte(`{"model":"` + modelName + `","stream":true,"max_tokens":30,"messages":[{"role":"user","content":"Tell me all"}]}`)
	result := make(chan streamedChat, 1)
	go func() {
		r, err := d.sendChat(context.Background(), d.nodes[0], body)
		if err != nil {
			t.Error(err)
		}
		chat := streamedChat{body: body, status: r.status, outcome: r.outcome}
		chat.text, chat.complete, chat.errorEvent = parseStream(r.body)
		result <- chat
	}()
	node := d.runningNodes[0]
	eventually(t, "the chat is in flight", func() bool { return node.InFlight() == 1 })
	stopped := make(chan error, 1)
	go func() {
		go node.Stop(context.Background())
		stopped <- node.Wait()
	}()
	eventually(t, "the node reports not ready", func() bool {
		r, err := send(t.Context(), http.MethodGet, "http://"+d.nodes[0].adminAddress.String()+"/readyz", "", nil, nil)
		return err == nil && r.status == http.StatusServiceUnavailable
	})
	if err := <-stopped; err != nil {
		t.Errorf("stopping the node: %v", err)
	}
	if chat := <-result; !chat.verify(t, 0) {
		t.Errorf("the stream was interrupted: outcome %s", chat.outcome)
	}
}
