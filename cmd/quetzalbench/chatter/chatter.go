// Package chatter sends one request of the chat API and times its answer.
package chatter

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

// Ask is one request.
type Ask struct {
	To      netip.AddrPort
	Key     string
	Profile string
	Model   string
	Text    string
	// MaxTokens bounds the answer; zero for none.
	MaxTokens int
}

// Answer is what became of a request.
type Answer struct {
	// First is the time to the first token; zero where there was none.
	First time.Duration
	// Gaps are the times between two tokens.
	Gaps []time.Duration
	// Tokens counts the tokens.
	Tokens int
	// Whole tells that the answer ended as a whole one does.
	Whole bool
	// Code is the reason of a refusal or of a cut, empty for none.
	Code string
	// Took is the time to the end.
	Took time.Duration
}

type bodyJSON struct {
	Model     string        `json:"model"`
	Stream    bool          `json:"stream"`
	MaxTokens int           `json:"max_tokens,omitempty"`
	Messages  []messageJSON `json:"messages"`
}

type messageJSON struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type refusalJSON struct {
	Code string `json:"code"`
}

// Send sends a request and follows its answer.
func Send(ctx context.Context, client *http.Client, a Ask) (Answer, error) {
	body, err := json.Marshal(bodyJSON{Model: a.Model, Stream: true, MaxTokens: a.MaxTokens, Messages: []messageJSON{{Role: "user", Content: a.Text}}})
	if err != nil {
		return Answer{}, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+a.To.String()+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return Answer{}, err
	}
	request.Header.Set("Authorization", "Bearer "+a.Key)
	if a.Profile != "" {
		request.Header.Set("Quetzalroad-Profile", a.Profile)
	}
	began := time.Now()
	response, err := client.Do(request)
	if err != nil {
		return Answer{Took: time.Since(began)}, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		var refusal refusalJSON
		if json.NewDecoder(response.Body).Decode(&refusal) != nil || refusal.Code == "" {
			refusal.Code = fmt.Sprintf("status-%d", response.StatusCode)
		}
		return Answer{Code: refusal.Code, Took: time.Since(began)}, nil
	}
	return follow(response, began)
}

func follow(response *http.Response, began time.Time) (Answer, error) {
	var answer Answer
	last := began
	for event, err := range sse.Read(response.Body, &sse.ReadConfig{MaxEventSize: maxEventBytes}) {
		now := time.Now()
		answer.Took = now.Sub(began)
		if err != nil {
			return answer, errors.Wrap(err, "stream")
		}
		switch {
		case event.Data == "[DONE]":
			answer.Whole = true
			return answer, nil
		case event.Type == "error":
			var refusal refusalJSON
			if json.Unmarshal([]byte(event.Data), &refusal) == nil {
				answer.Code = refusal.Code
			}
			return answer, nil
		case answer.Tokens == 0:
			answer.First = now.Sub(began)
		default:
			answer.Gaps = append(answer.Gaps, now.Sub(last))
		}
		answer.Tokens++
		last = now
	}
	return answer, nil
}
