package distributor_test

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/kernel"
	"github.com/quetzalroad/quetzalroad/proofs/faker"
)

// link is a connection of limited bandwidth, which transfers share chunk by chunk.
type link struct {
	bytesPerSecond float64
	mu             sync.Mutex
	// busyUntil is guarded by mu, and so is sent, the number of bytes.
	busyUntil time.Time
	sent      int
}

const linkChunk = 8 << 10

func (l *link) transfer(ctx context.Context, size int) error {
	for ; size > 0; size -= linkChunk {
		chunk := min(size, linkChunk)
		l.mu.Lock()
		start := time.Now()
		if l.busyUntil.After(start) {
			start = l.busyUntil
		}
		l.busyUntil = start.Add(time.Duration(float64(chunk) / l.bytesPerSecond * float64(time.Second)))
		l.sent += chunk
		delay := time.Until(l.busyUntil)
		l.mu.Unlock()
		select {
		case <-time.After(delay):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

func (l *link) total() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.sent
}

// busyStore is a log that limits its calls, takes time for them and fails some.
type busyStore struct {
	faker.KeyedLog
	readsPerSecond, writesPerSecond float64
	// failures is the share of calls that fail until troubledUntil; half of them get no response.
	failures      float64
	troubledUntil time.Time
	// configBytes is the size of the published state.
	configBytes int
	link        link
	mu          sync.Mutex
	// The fields below are guarded by mu: when the next call of each kind is admitted, when the last append
	// ends, as they are made one at a time, and the counts.
	nextRead, nextWrite time.Time
	lastAppend          time.Time
	random              *rand.Rand
	calls, rejected     int
}

// lostAfter is when a node's client gives a response up that has not begun.
const lostAfter = time.Second

// admit counts a call and returns an error if it exceeds the limit, which allows a tenth of a second in advance.
func (s *busyStore) admit(ctx context.Context, next *time.Time, perSecond float64) error {
	s.mu.Lock()
	now := time.Now()
	s.calls++
	if next.Before(now) {
		*next = now
	}
	rejected := next.Sub(now) > 100*time.Millisecond
	if rejected {
		s.rejected++
	} else {
		*next = next.Add(time.Duration(float64(time.Second) / perSecond))
	}
	chance := s.random.Float64()
	if now.After(s.troubledUntil) {
		chance = 1
	}
	s.mu.Unlock()
	switch {
	case rejected || chance < s.failures/2:
		return faker.ErrUnavailable
	case chance < s.failures:
		select {
		case <-time.After(lostAfter):
			return faker.ErrUnavailable
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	time.Sleep(4 * time.Millisecond)
	return nil
}

// responseBytes returns the size of a response.
func (s *busyStore) responseBytes(stream quetzalroad.LogStream, records []quetzalroad.KeyedRecord) int {
	size := 200
	for _, r := range records {
		switch stream {
		case quetzalroad.LogStreamOperators:
			size += s.configBytes
		case quetzalroad.LogStreamUpstreams:
			size += 350
		default:
			size += 60 + len(r.Key) + len(r.Value)*4/3
		}
	}
	return size
}

// storeClient is a node's client of a busyStore.
type storeClient struct {
	*busyStore
	link *link
}

// Build implements kernel.Component.
func (c *storeClient) Build(n *kernel.Node) error {
	n.KeyedLog, n.KeyedWriter, n.StateCodec = c, c, &c.KeyedLog
	return nil
}

func (c *storeClient) receive(ctx context.Context, stream quetzalroad.LogStream, records []quetzalroad.KeyedRecord) error {
	size := c.responseBytes(stream, records)
	if err := c.busyStore.link.transfer(ctx, size); err != nil {
		return err
	}
	return c.link.transfer(ctx, size)
}

func (c *storeClient) PutKeyed(ctx context.Context, stream quetzalroad.LogStream, key string, value []byte) (quetzalroad.Epoch, error) {
	if err := c.admit(ctx, &c.nextWrite, c.writesPerSecond); err != nil {
		return 0, err
	}
	c.mu.Lock()
	if now := time.Now(); c.lastAppend.Before(now) {
		c.lastAppend = now
	}
	c.lastAppend = c.lastAppend.Add(3 * time.Millisecond)
	delay := time.Until(c.lastAppend)
	c.mu.Unlock()
	time.Sleep(delay)
	epoch, err := c.KeyedLog.PutKeyed(context.WithoutCancel(ctx), stream, key, value)
	if ctx.Err() != nil {
		return 0, ctx.Err()
	}
	return epoch, err
}

func (c *storeClient) ReadLatest(ctx context.Context, stream quetzalroad.LogStream) ([]quetzalroad.KeyedRecord, quetzalroad.StreamBounds, error) {
	if err := c.admit(ctx, &c.nextRead, c.readsPerSecond); err != nil {
		return nil, quetzalroad.StreamBounds{}, err
	}
	records, bounds, err := c.KeyedLog.ReadLatest(ctx, stream)
	if err != nil {
		return nil, bounds, err
	}
	return records, bounds, c.receive(ctx, stream, records)
}

func (c *storeClient) ReadKeyed(ctx context.Context, stream quetzalroad.LogStream, from quetzalroad.Position, wait time.Duration) ([]quetzalroad.KeyedRecord, quetzalroad.StreamBounds, error) {
	if err := c.admit(ctx, &c.nextRead, c.readsPerSecond); err != nil {
		return nil, quetzalroad.StreamBounds{}, err
	}
	records, bounds, err := c.KeyedLog.ReadKeyed(ctx, stream, from, wait)
	if err != nil {
		return nil, bounds, err
	}
	return records, bounds, c.receive(ctx, stream, records)
}

// linkedTransport is a read transport over the nodes' links.
type linkedTransport struct {
	faker.ReadTransport
	store *busyStore
	links map[netip.AddrPort]*link
}

// Build implements kernel.Component.
func (t *linkedTransport) Build(n *kernel.Node) error {
	n.ReadTransport = t
	return nil
}

func (t *linkedTransport) RequestRead(ctx context.Context, to netip.AddrPort, q quetzalroad.SharedReadRequest) (quetzalroad.SharedReadResponse, error) {
	response, err := t.ReadTransport.RequestRead(ctx, to, q)
	if err != nil {
		time.Sleep(200 * time.Millisecond)
		return response, err
	}
	size := t.store.responseBytes(q.Stream, response.Records) * 3 / 4
	if err := t.links[to].transfer(ctx, size); err != nil {
		return quetzalroad.SharedReadResponse{}, err
	}
	return response, t.links[t.Address].transfer(ctx, size)
}
