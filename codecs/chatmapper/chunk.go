package chatmapper

import (
	"strconv"

	"github.com/cockroachdb/errors"
	"github.com/tidwall/gjson"

	"github.com/quetzalroad/quetzalroad"
)

// maxChunkDepth limits the nesting of a chunk. Its validation is recursive, and a stack that grows too
// large ends the process.
const maxChunkDepth = 128

// fields maps the names of an object's known fields to the checks of their values. A field may be absent or null,
// unless its check refuses null.
type fields map[string]func(gjson.Result) error

// The known fields of a chunk and of the objects in it. Others are passed through unread.
var (
	chunkFields = fields{
		"id": checkString, "object": checkString, "created": checkCount, "model": checkString, "system_fingerprint": checkString,
		"choices": checkArray, "usage": checkObject(usageFields),
	}
	usageFields    = fields{"prompt_tokens": checkCount, "completion_tokens": checkCount, "total_tokens": checkCount}
	choiceFields   = fields{"index": checkCount, "delta": checkObject(deltaFields), "logprobs": checkObject(nil), "finish_reason": checkString}
	deltaFields    = fields{"role": checkString, "content": checkString, "refusal": checkString, "tool_calls": checkToolCalls}
	toolCallFields = fields{"index": checkCount, "id": checkString, "type": checkString, "function": checkObject(functionFields)}
	functionFields = fields{"name": checkString, "arguments": checkString}
)

// ChunkDecoder decodes the chunks of one completion. The zero value is ready for a completion with one choice.
type ChunkDecoder struct {
	// Choices is the number of choices that were requested; zero means one.
	Choices int
	// finished holds the indices of the choices that have a finish reason.
	finished map[int64]bool
}

// NewChunkDecoder returns a decoder of the completion that a request asks for.
func NewChunkDecoder(request []byte) *ChunkDecoder {
	return &ChunkDecoder{Choices: int(gjson.GetBytes(request, "n").Int())}
}

// Decode decodes one chunk of an engine's streamed response. It returns an error for any value that the router
// can't read, because chunks aren't numbered: what can't be read may have been a part of the response. The event has
// a finish reason once all choices have one.
func (d *ChunkDecoder) Decode(data []byte) (quetzalroad.ChatEvent, error) {
	root, err := parseChunk(data)
	if err != nil {
		return quetzalroad.ChatEvent{}, err
	}
	e := quetzalroad.ChatEvent{Chunk: data, CompletionTokens: int(root.Get("usage.completion_tokens").Int())}
	finishReason := ""
	var choiceErr error
	root.Get("choices").ForEach(func(_, choice gjson.Result) bool {
		var reason string
		reason, choiceErr = d.decodeChoice(choice, &e)
		finishReason += reason
		return choiceErr == nil
	})
	if len(d.finished) >= max(1, d.Choices) {
		e.FinishReason = finishReason
	}
	return e, choiceErr
}

// parseChunk parses a chunk and checks the fields outside its choices.
func parseChunk(data []byte) (gjson.Result, error) {
	if isNestedDeeperThan(data, maxChunkDepth) {
		return gjson.Result{}, errors.Newf("chunk nested deeper than %d levels", maxChunkDepth)
	}
	if !gjson.ValidBytes(data) {
		return gjson.Result{}, errors.New("malformed chunk")
	}
	root := gjson.ParseBytes(data)
	if !root.IsObject() {
		return gjson.Result{}, errors.New("malformed chunk")
	}
	if engineError := root.Get("error"); engineError.Exists() && engineError.Type != gjson.Null {
		return gjson.Result{}, errors.Newf("the engine reports an error: %s", engineError.Raw)
	}
	if !root.Get("choices").IsArray() {
		return gjson.Result{}, errors.New("chunk without choices")
	}
	return root, chunkFields.check(root)
}

// decodeChoice adds a choice of a chunk to the event, and returns its finish reason.
func (d *ChunkDecoder) decodeChoice(choice gjson.Result, e *quetzalroad.ChatEvent) (string, error) {
	if !choice.IsObject() {
		return "", errors.New("a choice is no object")
	}
	if err := choiceFields.check(choice); err != nil {
		return "", err
	}
	index, delta := choice.Get("index").Int(), choice.Get("delta")
	switch {
	case index >= int64(max(1, d.Choices)):
		return "", errors.Newf("choice %d was not requested", index)
	case !delta.IsObject():
		return "", errors.New("a choice has no delta")
	}
	text := delta.Get("content").String()
	if text != "" || delta.Get("refusal").String() != "" || len(delta.Get("tool_calls").Array()) > 0 {
		if d.finished[index] {
			return "", errors.Newf("choice %d goes on after its finish reason", index)
		}
		e.Text += text
		e.Tokens++
	}
	reason := choice.Get("finish_reason").String()
	if reason != "" {
		d.finish(index)
	}
	return reason, nil
}

func (d *ChunkDecoder) finish(index int64) {
	if d.finished == nil {
		d.finished = make(map[int64]bool)
	}
	d.finished[index] = true
}

// check returns an error if a known field of an object has a wrong type or stands there twice.
func (f fields) check(object gjson.Result) error {
	var err error
	// seen is small, so that a search is faster than a map.
	var buffer [8]string
	seen := buffer[:0]
	object.ForEach(func(key, value gjson.Result) bool {
		checkValue, known := f[key.String()]
		if !known {
			return true
		}
		for _, name := range seen {
			if name == key.String() {
				err = errors.Newf("the field %s stands there twice", name)
				return false
			}
		}
		seen = append(seen, key.String())
		if value.Type != gjson.Null {
			err = errors.Wrap(checkValue(value), key.String())
		}
		return err == nil
	})
	return err
}

func checkString(value gjson.Result) error {
	if value.Type != gjson.String {
		return errors.New("no string")
	}
	return nil
}

// checkCount checks an integer that can't be negative.
func checkCount(value gjson.Result) error {
	if n, err := strconv.ParseInt(value.Raw, 10, 64); err != nil || n < 0 {
		return errors.New("no count")
	}
	return nil
}

func checkArray(value gjson.Result) error {
	if !value.IsArray() {
		return errors.New("no array")
	}
	return nil
}

func checkObject(known fields) func(gjson.Result) error {
	return func(value gjson.Result) error {
		if !value.IsObject() {
			return errors.New("no object")
		}
		return known.check(value)
	}
}

func checkToolCalls(value gjson.Result) error {
	if !value.IsArray() {
		return errors.New("no array")
	}
	for _, call := range value.Array() {
		if err := checkObject(toolCallFields)(call); err != nil {
			return err
		}
	}
	return nil
}
