// Package chatclient sends one request of the chat API and times its answer.
package chatclient

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/tmaxmax/go-sse"
)

// maxEventBytes bounds one step of an answer.
const maxEventBytes = 1 << 20

// Request is one request.
type Request struct {
	Node    netip.AddrPort
	APIKey  string
	Profile string
	Model   string
	Prompt  string
	// MaxTokens bounds the answer; zero for none.
	MaxTokens int
}

// Result is what became of a request.
type Result struct {
	// FirstTokenLatency is the time to the first token; zero where there was none.
	FirstTokenLatency time.Duration
	// InterTokenLatencies are the times between two tokens.
	InterTokenLatencies []time.Duration
	// Tokens counts the tokens.
	Tokens int
	// Complete tells that the answer ended as a whole one does.
	Complete bool
	// ErrorCode is the reason of a refusal or of a cut, empty for none.
	ErrorCode string
	// Duration is the time to the end.
	Duration time.Duration
}

type requestJSON struct {
	Model     string        `json:"model"`
	Stream    bool          `json:"stream"`
	MaxTokens int           `json:"max_tokens,omitempty"`
	Messages  []messageJSON `json:"messages"`
}

type messageJSON struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type errorJSON struct {
	Code string `json:"code"`
}

// Send sends a request and follows its answer.
func Send(ctx context.Context, client *http.Client, r Request) (Result, error) {
	body, err := json.Marshal(requestJSON{Model: r.Model, Stream: true, MaxTokens: r.MaxTokens, Messages: []messageJSON{{Role: "user", Content: r.Prompt}}})
	if err != nil {
		return Result{}, err
	}
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+r.Node.String()+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return Result{}, err
	}
	httpRequest.Header.Set("Authorization", "Bearer "+r.APIKey)
	if r.Profile != "" {
		httpRequest.Header.Set("Quetzalroad-Profile", r.Profile)
	}
	startedAt := time.Now()
	response, err := client.Do(httpRequest)
	if err != nil {
		return Result{Duration: time.Since(startedAt)}, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		var refusal errorJSON
		if json.NewDecoder(response.Body).Decode(&refusal) != nil || refusal.Code == "" {
			refusal.Code = fmt.Sprintf("status-%d", response.StatusCode)
		}
		return Result{ErrorCode: refusal.Code, Duration: time.Since(startedAt)}, nil
	}
	return readStream(response, startedAt)
}

func readStream(response *http.Response, startedAt time.Time) (Result, error) {
	var result Result
	lastToken := startedAt
	for event, err := range sse.Read(response.Body, &sse.ReadConfig{MaxEventSize: maxEventBytes}) {
		now := time.Now()
		result.Duration = now.Sub(startedAt)
		if err != nil {
			return result, errors.Wrap(err, "stream")
		}
		switch {
		case event.Data == "[DONE]":
			result.Complete = true
			return result, nil
		case event.Type == "error":
			var refusal errorJSON
			if json.Unmarshal([]byte(event.Data), &refusal) == nil {
				result.ErrorCode = refusal.Code
			}
			return result, nil
		case result.Tokens == 0:
			result.FirstTokenLatency = now.Sub(startedAt)
		default:
			result.InterTokenLatencies = append(result.InterTokenLatencies, now.Sub(lastToken))
		}
		result.Tokens++
		lastToken = now
	}
	return result, nil
}
