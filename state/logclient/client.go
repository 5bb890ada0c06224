// Package logclient speaks the HTTP protocol of the platform's log.
//
//	POST /v1/streams/{stream}/records            the record as body
//	  → 200 {"offset":7}
//	GET  /v1/streams/{stream}/records?from=7&wait=10s&limit=500
//	  → 200 {"earliest":0,"next":9,"records":[{"offset":7,"data":"base64"}]}
package logclient

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/kernel"
	"github.com/quetzalroad/quetzalroad/support/configloader"
)

func init() {
	kernel.Register(kernel.Plugin{
		Slot: kernel.SlotLog, Name: "http", Default: true,
		New: func() kernel.Component { return new(Client) },
	})
}

const (
	// readLimit is the number of records asked for in one read.
	readLimit = 500
	// maxAnswerBytes bounds what is read of one answer.
	maxAnswerBytes = 64 << 20
	// readSlack is how much longer than its wait a read may take.
	readSlack = time.Second
)

// Client is the log as seen over HTTP.
type Client struct {
	address     netip.AddrPort
	dialTimeout time.Duration
	recorder    quetzalroad.Recorder
	http        http.Client
	transport   *http.Transport
}

// Declare implements kernel.Component.
func (c *Client) Declare(s *configloader.Section) {
	s.Address("address", &c.address, "", "Where the platform's log listens.")
	s.Duration("dial-timeout", &c.dialTimeout, time.Second, 10*time.Millisecond, time.Minute, "How long a connection to the log may take.")
}

// Build implements kernel.Component.
func (c *Client) Build(n *kernel.Node) error {
	c.recorder = n.Recorder
	dialer := &net.Dialer{Timeout: c.dialTimeout}
	c.transport = &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 8, IdleConnTimeout: time.Minute}
	c.http.Transport = c.transport
	n.Log = c
	return nil
}

type appendAnswer struct {
	Offset int64 `json:"offset"`
}

type readAnswer struct {
	Earliest int64        `json:"earliest"`
	Next     int64        `json:"next"`
	Records  []recordJSON `json:"records"`
}

type recordJSON struct {
	Offset int64  `json:"offset"`
	Data   []byte `json:"data"`
}

func (c *Client) url(s quetzalroad.LogStream, query string) string {
	return fmt.Sprintf("http://%s/v1/streams/%s/records%s", c.address, url.PathEscape(string(s)), query)
}

// Append implements quetzalroad.Log.
func (c *Client) Append(ctx context.Context, s quetzalroad.LogStream, data []byte) (quetzalroad.Offset, error) {
	var answer appendAnswer
	if err := c.do(ctx, http.MethodPost, c.url(s, ""), data, &answer); err != nil {
		return quetzalroad.NoOffset, err
	}
	return quetzalroad.Offset(answer.Offset), nil
}

// Read implements quetzalroad.Log.
func (c *Client) Read(ctx context.Context, s quetzalroad.LogStream, from quetzalroad.Offset, wait time.Duration) ([]quetzalroad.Record, quetzalroad.StreamBounds, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+readSlack)
	defer cancel()
	query := "?from=" + strconv.FormatInt(int64(from), 10) + "&wait=" + wait.String() + "&limit=" + strconv.Itoa(readLimit)
	var answer readAnswer
	if err := c.do(ctx, http.MethodGet, c.url(s, query), nil, &answer); err != nil {
		return nil, quetzalroad.StreamBounds{}, err
	}
	records := make([]quetzalroad.Record, len(answer.Records))
	for i, r := range answer.Records {
		records[i] = quetzalroad.Record{Offset: quetzalroad.Offset(r.Offset), Data: r.Data}
	}
	bounds := quetzalroad.StreamBounds{Earliest: quetzalroad.Offset(answer.Earliest), End: quetzalroad.Offset(answer.Next)}
	return records, bounds, nil
}

func (c *Client) do(ctx context.Context, method, url string, body []byte, target any) error {
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	c.recorder.CountSent(quetzalroad.ControlLog, len(url)+len(body))
	answer, err := c.http.Do(request)
	if err != nil {
		// A connection that went silent is seldom alone: the kept ones are
		// dropped, so that the next call makes a new one.
		c.transport.CloseIdleConnections()
		return err
	}
	defer answer.Body.Close()
	data, err := io.ReadAll(io.LimitReader(answer.Body, maxAnswerBytes))
	if err != nil {
		return err
	}
	c.recorder.CountReceived(quetzalroad.ControlLog, len(data))
	if answer.StatusCode != http.StatusOK {
		return errors.Newf("log answered %s", answer.Status)
	}
	return json.Unmarshal(data, target)
}
