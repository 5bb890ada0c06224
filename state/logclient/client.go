// Package logclient is a client for the HTTP API of the platform's log.
//
//	POST /v1/streams/{stream}/records            the record as body
//	  → 200 {"offset":7}
//	GET  /v1/streams/{stream}/records?from=7&wait=10s&limit=500
//	  → 200 {"earliest":0,"next":9,"epoch":1,"records":[{"offset":7,"data":"base64"}]}
//
// The epoch rises when the log was restored from an older copy; it may be missing.
package logclient

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/kernel"
	"github.com/quetzalroad/quetzalroad/support/bufferer"
	"github.com/quetzalroad/quetzalroad/support/configloader"
	"github.com/quetzalroad/quetzalroad/support/stalltimer"
	"github.com/quetzalroad/quetzalroad/upstreams/httpclient"
)

func init() {
	kernel.Register(kernel.Plugin{
		Slot: kernel.SlotLog, Name: "http", Default: true,
		New: func() kernel.Component { return new(Client) },
	})
}

const (
	// maxReadRecords is the maximum number of records requested by one read.
	maxReadRecords = 500
	// limitDivisor reduces the number of records after a read whose response was too long.
	limitDivisor = 8
	// maxResponseBytes limits the size of a response body, and maxBufferedBytes the memory of all that are being read.
	maxResponseBytes = 12 << 20
	maxBufferedBytes = 24 << 20
	// readTimeoutMargin is the timeout of the first part of a response in addition to the read's wait, and of each
	// further part. transferTimeout is that of the whole response.
	readTimeoutMargin = time.Second
	transferTimeout   = 30 * time.Second
)

// Client implements quetzalroad.Log over HTTP.
type Client struct {
	address     netip.AddrPort
	dialTimeout time.Duration
	recorder    quetzalroad.Recorder
	http        http.Client
	transport   *http.Transport
	budget      bufferer.Budget
}

// Declare implements kernel.Component.
func (c *Client) Declare(s *configloader.Section) {
	s.Address("address", &c.address, "", "Address of the platform's log.")
	s.Duration("dial-timeout", &c.dialTimeout, time.Second, 10*time.Millisecond, time.Minute, "Timeout for connecting to the log.")
}

// Build implements kernel.Component.
func (c *Client) Build(n *kernel.Node) error {
	c.recorder = n.Recorder
	dialer := &net.Dialer{Timeout: c.dialTimeout}
	c.transport = &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 8, IdleConnTimeout: time.Minute, MaxResponseHeaderBytes: httpclient.MaxResponseHeadBytes}
	c.http.Transport = c.transport
	c.budget.MaxBytes = maxBufferedBytes
	n.Log = c
	return nil
}

// appendResponse is the response to an append. Fields that are missing or null are nil, here and below.
type appendResponse struct {
	Offset *int64 `json:"offset"`
}

type readResponse struct {
	Earliest *int64       `json:"earliest"`
	Next     *int64       `json:"next"`
	Epoch    uint64       `json:"epoch"`
	Records  []recordJSON `json:"records"`
}

type recordJSON struct {
	Offset *int64 `json:"offset"`
	Data   []byte `json:"data"`
}

// decode returns the records and bounds. A log is empty, and a record too, only if the response says so.
func (r readResponse) decode() ([]quetzalroad.Record, quetzalroad.StreamBounds, error) {
	if !isOffset(r.Earliest) || !isOffset(r.Next) || *r.Earliest > *r.Next {
		return nil, quetzalroad.StreamBounds{}, errors.New("log: response to a read without valid offsets")
	}
	records := make([]quetzalroad.Record, len(r.Records))
	for i, record := range r.Records {
		if !isOffset(record.Offset) || record.Data == nil {
			return nil, quetzalroad.StreamBounds{}, errors.Newf("log: record %d of the response has no valid offset or no data", i)
		}
		records[i] = quetzalroad.Record{Offset: quetzalroad.Offset(*record.Offset), Data: record.Data}
	}
	bounds := quetzalroad.StreamBounds{Epoch: quetzalroad.Epoch(r.Epoch), Earliest: quetzalroad.Offset(*r.Earliest), End: quetzalroad.Offset(*r.Next)}
	return records, bounds, nil
}

func isOffset(n *int64) bool {
	return n != nil && *n >= 0
}

func (c *Client) url(s quetzalroad.LogStream, query string) string {
	return fmt.Sprintf("http://%s/v1/streams/%s/records%s", c.address, url.PathEscape(string(s)), query)
}

// Append implements quetzalroad.Log.
func (c *Client) Append(ctx context.Context, s quetzalroad.LogStream, data []byte) (quetzalroad.Offset, error) {
	var response appendResponse
	if err := c.do(ctx, http.MethodPost, c.url(s, ""), data, &response); err != nil {
		return quetzalroad.NoOffset, err
	}
	if !isOffset(response.Offset) {
		return quetzalroad.NoOffset, errors.New("log: response to an append without a valid offset")
	}
	return quetzalroad.Offset(*response.Offset), nil
}

// Read implements quetzalroad.Log. If the records don't fit into one response, it asks for fewer.
func (c *Client) Read(ctx context.Context, s quetzalroad.LogStream, from quetzalroad.Offset, wait time.Duration) ([]quetzalroad.Record, quetzalroad.StreamBounds, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+transferTimeout)
	defer cancel()
	ctx, stopTimer := stalltimer.WithTimeout(ctx, wait+readTimeoutMargin, readTimeoutMargin)
	defer stopTimer()
	var response readResponse
	for limit := maxReadRecords; ; limit = max(1, limit/limitDivisor) {
		query := "?from=" + strconv.FormatInt(int64(from), 10) + "&wait=" + wait.String() + "&limit=" + strconv.Itoa(limit)
		err := c.do(ctx, http.MethodGet, c.url(s, query), nil, &response)
		if err == nil {
			break
		}
		if !errors.Is(err, bufferer.ErrTooLong) || limit == 1 {
			return nil, quetzalroad.StreamBounds{}, err
		}
	}
	return response.decode()
}

func (c *Client) do(ctx context.Context, method, url string, body []byte, target any) error {
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	c.recorder.CountSent(quetzalroad.ControlLog, len(url)+len(body))
	response, err := c.http.Do(request)
	if err != nil {
		// If one connection stopped responding, the idle ones probably did too.
		// Close them so that the next call opens a new one.
		c.transport.CloseIdleConnections()
		return err
	}
	defer response.Body.Close()
	reservation := bufferer.Reservation{Budget: &c.budget}
	defer reservation.Release()
	data, err := reservation.ReadAll(&stalltimer.Reader{Context: ctx, Source: response.Body}, maxResponseBytes)
	if err != nil {
		return err
	}
	c.recorder.CountReceived(quetzalroad.ControlLog, len(data))
	if response.StatusCode != http.StatusOK {
		return errors.Newf("log answered %s", response.Status)
	}
	return json.Unmarshal(data, target)
}
