package engineserver

import (
	"encoding/json"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/quetzalroad/quetzalroad/codecs/chatmapper"
	"github.com/quetzalroad/quetzalroad/proofs/faker"
)

// ExpectedCompletion returns the complete text that the engine generates for a chat request, so
// that tests can compare it with what a caller received.
func ExpectedCompletion(body []byte) (string, error) {
	request, err := decodeChatRequest(body)
	if err != nil {
		return "", err
	}
	var text strings.Builder
	for i := range request.totalWords {
		text.WriteString(request.prompt.ResponseToken(i, request.totalWords).Text)
	}
	return text.String(), nil
}

// chatRequest is a decoded chat request.
type chatRequest struct {
	model  string
	prompt faker.Prompt
	// firstWord is the index of the first word to generate, which is above zero if the request
	// resumes a completion. totalWords is the number of words of the whole completion.
	firstWord    int
	totalWords   int
	stream       bool
	includeUsage bool
}

type chatRequestJSON struct {
	Messages []struct {
		Role    string          `json:"role"`
		Content json.RawMessage `json:"content"`
	} `json:"messages"`
	Continue bool `json:"continue_final_message"`
}

func decodeChatRequest(body []byte) (chatRequest, error) {
	decoded, err := chatmapper.DecodeRequest(body)
	if err != nil {
		return chatRequest{}, err
	}
	var j chatRequestJSON
	if err := json.Unmarshal(body, &j); err != nil {
		return chatRequest{}, err
	}
	request := chatRequest{model: string(decoded.Model), stream: decoded.Stream, includeUsage: decoded.IncludeUsage}
	if j.Continue {
		last := j.Messages[len(j.Messages)-1]
		j.Messages = j.Messages[:len(j.Messages)-1]
		var text string
		if json.Unmarshal(last.Content, &text) != nil || last.Role != "assistant" {
			return chatRequest{}, errors.New("the message to continue must be the assistant's text")
		}
		request.firstWord = len(strings.Fields(text))
	}
	digest := xxhash.New()
	for _, m := range j.Messages {
		// Writing to a hash never fails.
		_, _ = digest.WriteString(m.Role)
		_, _ = digest.Write(m.Content)
	}
	request.prompt = faker.Prompt{Seed: digest.Sum64(), PrefixHash: decoded.PrefixHash, TokenCount: decoded.PromptTokens}
	request.totalWords = request.prompt.ResponseLength()
	if decoded.MaxTokens > 0 {
		request.totalWords = min(request.totalWords, request.firstWord+decoded.MaxTokens)
	}
	if request.firstWord >= request.totalWords {
		request.totalWords = request.firstWord + 1
	}
	return request, nil
}
