package chatmapper

import (
	"runtime"
	"strings"
	"testing"
)

func TestDeeplyNestedChunkIsRefusedWithoutALargeStack(t *testing.T) {
	const (
		// depth is that of a chunk of the maximum size of an event.
		depth = 1 << 20
		// mostStackBytes is a small part of the memory of the smallest VM.
		mostStackBytes = 4 << 20
	)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	if _, err := new(ChunkDecoder).Decode([]byte(strings.Repeat("[", depth))); err == nil {
		t.Error("decoded without an error")
	}
	runtime.ReadMemStats(&after)
	if grown := int64(after.StackInuse) - int64(before.StackInuse); grown > mostStackBytes {
		t.Errorf("the stack grew by %d bytes", grown)
	}
}

func TestBracketsInTextAreNoNesting(t *testing.T) {
	text := strings.Repeat(`[{\"`, 1000)
	event, err := new(ChunkDecoder).Decode([]byte(`{"choices": [{"delta": {"content": "` + text + `"}}]}`))
	if err != nil || len(event.Text) != 3000 {
		t.Errorf("%d bytes of text, error %v", len(event.Text), err)
	}
}
