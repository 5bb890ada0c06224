package forwardclient

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/quetzalroad/quetzalroad"
)

// maxInlineWriteBytes is the size up to which a request is written before reading. A larger
// one is written concurrently, as the upstream may respond before it has received all of it.
const maxInlineWriteBytes = 8 << 10

// send writes the request. It sets the timeout and calls BeforeSend only now
// that the connection is open, as opening it may have taken a while.
func (x *exchange) send(ctx context.Context) error {
	a := x.attempt
	if deadline, ok := ctx.Deadline(); ok {
		a.Timeout = time.Until(deadline)
	}
	if a.BeforeSend != nil {
		if err := a.BeforeSend(); err != nil {
			return x.attemptError(ctx, quetzalroad.RetryNotRun, err)
		}
	}
	data, size := x.encode()
	if size > maxInlineWriteBytes {
		x.written.Store(true)
		x.writeEnded = make(chan struct{})
		go x.writeInBackground(data)
		return nil
	}
	// Data of this size is in one part.
	n, err := x.conn.Conn.Write(data[0])
	x.written.Store(n > 0)
	if err != nil {
		return x.attemptError(ctx, quetzalroad.RetryConnectionLost, err)
	}
	x.sent.Store(true)
	return nil
}

func (x *exchange) writeInBackground(data net.Buffers) {
	defer close(x.writeEnded)
	if _, err := data.WriteTo(x.conn.Conn); err == nil {
		x.sent.Store(true)
	}
	// A write error isn't returned: the concurrent read on the same connection fails too, or finds its end.
}

// checkEnd returns an error if a response may have broken off although it ends like a whole one. A reset of the
// connection is reported once: if the write of the request has seen it, the read finds an ordinary end, which is
// all that ends an unframed response.
func (x *exchange) checkEnd() error {
	if !x.isUnframed() || x.writeEnded == nil {
		return nil
	}
	// What the upstream has not received by now, it won't. If this fails, the connection is closed, and the write
	// ends.
	_ = x.conn.SetWriteDeadline(time.Now())
	<-x.writeEnded
	if x.sent.Load() {
		return nil
	}
	return errors.Wrap(io.ErrUnexpectedEOF, "the connection ended before the request was sent")
}

// encode returns the request in its HTTP/1.1 wire format, and its size. A body that is written in the background
// isn't copied.
func (x *exchange) encode() (net.Buffers, int) {
	request := x.attempt.Request
	header := request.Header.Clone()
	x.client.codec.Encode(header, x.attempt)
	var b bytes.Buffer
	bodyBytes := request.Body.Len()
	inline := bodyBytes <= maxInlineWriteBytes
	b.Grow(encodedHeadBytes + min(bodyBytes, maxInlineWriteBytes))
	b.WriteString(request.Method + " " + request.RequestTarget + " HTTP/1.1\r\nHost: " + request.Host + "\r\n")
	if bodyBytes > 0 || (request.Method != http.MethodGet && request.Method != http.MethodHead) {
		b.WriteString("Content-Length: " + strconv.Itoa(bodyBytes) + "\r\n")
	}
	// Writing to a bytes.Buffer never fails.
	_ = header.Write(&b)
	b.WriteString("\r\n")
	if !inline {
		return append(net.Buffers{b.Bytes()}, request.Body...), b.Len() + bodyBytes
	}
	for _, part := range request.Body {
		b.Write(part)
	}
	return net.Buffers{b.Bytes()}, b.Len()
}

// encodedHeadBytes is the usual size of an encoded head.
const encodedHeadBytes = 1 << 10
