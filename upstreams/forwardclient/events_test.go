package forwardclient

import (
	"io"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/google/go-cmp/cmp"

	"github.com/quetzalroad/quetzalroad/platform/upstreammapper"
)

// readBlocks returns the blocks of a stream, and the error at its end.
func readBlocks(src io.Reader) (blocks []string, err error) {
	r := eventReader{src: src, codec: new(upstreammapper.Mapper), strict: true}
	for {
		chunk, err := r.next()
		if err != nil {
			return blocks, err
		}
		blocks = append(blocks, string(chunk.Data))
	}
}

// randomStream returns lines with random ends.
func randomStream(random *rand.Rand) string {
	lines := []string{"", "id: 1", ":c", "data"}
	ends := []string{"\n", "\r", "\r\n"}
	var b strings.Builder
	for range random.IntN(12) {
		b.WriteString(lines[random.IntN(len(lines))] + ends[random.IntN(len(ends))])
	}
	return b.String()
}

func TestEventsAreTheSameHoweverTheyArrive(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for range 20000 {
		stream := randomStream(random)
		want, wantErr := readBlocks(strings.NewReader(stream))
		got, err := readBlocks(iotest.OneByteReader(strings.NewReader(stream)))
		if diff := cmp.Diff(want, got); diff != "" || err.Error() != wantErr.Error() {
			t.Fatalf("%q byte by byte: error %v, want %v (-want +got):\n%s", stream, err, wantErr, diff)
		}
	}
}

func BenchmarkEventReader(b *testing.B) {
	for name, text := range map[string]string{"70 bytes": strings.Repeat("x", 54), "400 bytes": strings.Repeat("x", 384), "4000 bytes": strings.Repeat("x", 3984), "4000 bytes beyond ASCII": strings.Repeat("ä", 1992)} {
		const events = 1000
		stream := strings.Repeat("id: 123\ndata: "+text+"\n\n", events)
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				r := eventReader{src: strings.NewReader(stream), codec: new(upstreammapper.Mapper), strict: true}
				for range events {
					if _, err := r.next(); err != nil {
						b.Fatal(err)
					}
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*events), "ns/event")
		})
	}
}

func FuzzEventReader(f *testing.F) {
	f.Add([]byte("id:1\n\nid:2\r\n\r\n"), 3)
	f.Add([]byte("id:1\n\r\n\n\n"), 1)
	f.Fuzz(func(t *testing.T, data []byte, step int) {
		r := eventReader{src: &stepReader{data: data, step: max(1, step%16)}, codec: fakeCodec{}}
		var all []byte
		for {
			event, err := r.next()
			if err != nil {
				break
			}
			if len(event.Data) == 0 {
				t.Fatal("an empty event")
			}
			all = append(all, event.Data...)
		}
		if !strings.HasPrefix(string(data), string(all)) {
			t.Errorf("%q is not the beginning of %q", all, data)
		}
	})
}

// stepReader returns at most step bytes a read.
type stepReader struct {
	data []byte
	step int
}

// Read implements io.Reader.
func (r *stepReader) Read(p []byte) (int, error) {
	if len(r.data) == 0 {
		return 0, io.EOF
	}
	n := copy(p[:min(len(p), r.step)], r.data)
	r.data = r.data[n:]
	return n, nil
}
