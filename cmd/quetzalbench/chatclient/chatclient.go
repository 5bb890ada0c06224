// Package chatclient sends a request to the chat API and times its response.
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

// maxEventBytes limits one event of a response stream.
const maxEventBytes = 1 << 20

// Request is a chat request.
type Request struct {
	// Node is the address that the request is sent to, a node's or an engine's.
	Node    netip.AddrPort
	APIKey  string
	Profile string
	Model   string
	Prompt  string
	// MaxTokens limits the response; zero means no limit.
	MaxTokens int
}

// Result is the outcome of a request.
type Result struct {
	// FirstTokenLatency is zero if no token was received. Each event of the stream counts as one token.
	FirstTokenLatency   time.Duration
	InterTokenLatencies []time.Duration
	Tokens              int
	// Complete reports whether the stream ended with [DONE].
	Complete bool
	// ErrorCode is the code of a refusal or of an interrupted stream, or empty.
	ErrorCode string
	// Duration is the time to the end of the response.
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

// Send sends a request and reads its response to the end.
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
			return result, errors.Wrap(err, "read event stream")
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
