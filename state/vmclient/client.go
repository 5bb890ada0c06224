// Package vmclient is a client for the HTTP API of the platform's list of VMs.
//
//	GET /v1/vms
//	  → 200 {"vms":[{"name":"graz-1","role":"node","address":"10.0.0.1:7100",
//	         "data-centre":"at-east-graz","state":"live"}]}
//
// The list rarely changes and may be long, so requests are conditional: they send
// the ETag of the cached list (If-None-Match) and get 304 without a body if unchanged.
package vmclient

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/netip"
	"sync"
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
		Slot: kernel.SlotVMList, Name: "http", Default: true,
		New: func() kernel.Component { return new(Client) },
	})
}

// maxResponseBytes limits the size of a response body.
const maxResponseBytes = 4 << 20

// transferTimeout bounds the transfer of a list, which ends earlier if it stalls.
const transferTimeout = 30 * time.Second

// Client implements quetzalroad.VMList over HTTP. It polls the list and marks
// upstreams whose VMs the platform reports as leaving.
type Client struct {
	address  netip.AddrPort
	timeout  time.Duration
	interval time.Duration
	recorder quetzalroad.Recorder
	node     *kernel.Node
	http     http.Client
	mu       sync.Mutex
	// etag and cachedVMs are those of the last list read, and are guarded by mu.
	// The stored slice is never modified.
	etag      string
	cachedVMs []quetzalroad.VM
}

// Declare implements kernel.Component.
func (c *Client) Declare(s *configloader.Section) {
	s.Address("address", &c.address, "", "Address of the platform's list of VMs.")
	s.Duration("timeout", &c.timeout, 2*time.Second, 10*time.Millisecond, time.Minute, "Timeout of the first part of a list, and of each further part.")
	s.Duration("interval", &c.interval, time.Second, 50*time.Millisecond, time.Minute, "Interval at which the list is polled for leaving upstreams.")
}

// Build implements kernel.Component.
func (c *Client) Build(n *kernel.Node) error {
	c.recorder = n.Recorder
	c.node = n
	dialer := &net.Dialer{Timeout: c.timeout}
	c.http.Transport = &http.Transport{DialContext: dialer.DialContext, MaxResponseHeaderBytes: httpclient.MaxResponseHeadBytes}
	n.VMList = c
	n.AddTask("poll the list of VMs", c.pollVMs)
	return nil
}

type listJSON struct {
	// VMs is nil if the field is missing or null.
	VMs *[]vmJSON `json:"vms"`
}

type vmJSON struct {
	Name       string `json:"name"`
	Role       string `json:"role"`
	Address    string `json:"address"`
	DataCentre string `json:"data-centre"`
	State      string `json:"state"`
}

// ListVMs implements quetzalroad.VMList.
func (c *Client) ListVMs(ctx context.Context) ([]quetzalroad.VM, error) {
	vms, err := c.readVMs(ctx)
	if err != nil {
		c.node.Vars.Add("vm-list-failures", 1)
	}
	return vms, err
}

func (c *Client) readVMs(ctx context.Context) ([]quetzalroad.VM, error) {
	ctx, cancel := context.WithTimeout(ctx, transferTimeout)
	defer cancel()
	ctx, stopTimer := stalltimer.WithTimeout(ctx, c.timeout, c.timeout)
	defer stopTimer()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.address.String()+"/v1/vms", http.NoBody)
	if err != nil {
		return nil, err
	}
	etag, cachedVMs := c.cached()
	if etag != "" {
		request.Header.Set("If-None-Match", etag)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusNotModified {
		c.recorder.CountReceived(quetzalroad.ControlVMs, len(etag))
		return cachedVMs, nil
	}
	data, err := new(bufferer.Reservation).ReadAll(&stalltimer.Reader{Context: ctx, Source: response.Body}, maxResponseBytes)
	if err != nil {
		return nil, err
	}
	c.recorder.CountReceived(quetzalroad.ControlVMs, len(data))
	if response.StatusCode != http.StatusOK {
		return nil, errors.Newf("VM list responded with status %s", response.Status)
	}
	vms, err := decodeVMs(data)
	if err == nil {
		c.setCached(response.Header.Get("ETag"), vms)
	}
	return vms, err
}

func (c *Client) cached() (string, []quetzalroad.VM) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.etag, c.cachedVMs
}

func (c *Client) setCached(etag string, vms []quetzalroad.VM) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.etag, c.cachedVMs = etag, vms
}

func decodeVMs(data []byte) ([]quetzalroad.VM, error) {
	var list listJSON
	if err := json.Unmarshal(data, &list); err != nil {
		return nil, err
	}
	if list.VMs == nil {
		return nil, errors.New("VM list without vms")
	}
	vms := make([]quetzalroad.VM, 0, len(*list.VMs))
	for _, j := range *list.VMs {
		address, err := netip.ParseAddrPort(j.Address)
		if err != nil {
			return nil, errors.Wrapf(err, "VM %q", j.Name)
		}
		vms = append(vms, quetzalroad.VM{
			Name: j.Name, Role: j.Role, Address: address,
			DataCentre: quetzalroad.DataCentre(j.DataCentre), State: quetzalroad.VMState(j.State),
		})
	}
	return vms, nil
}

// pollVMs marks upstreams as leaving or not according to the list. The marks are kept
// while the list is unavailable, so that its outage removes no upstream.
func (c *Client) pollVMs(ctx context.Context) error {
	ticker := time.NewTicker(c.interval)
	defer ticker.Stop()
	for {
		if vms, err := c.ListVMs(ctx); err == nil {
			c.markLeaving(vms)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// markLeaving tells the load tracker which upstreams leave. A state that is unknown here changes nothing.
func (c *Client) markLeaving(vms []quetzalroad.VM) {
	for _, v := range vms {
		if v.Role == quetzalroad.RoleUpstream && (v.State == quetzalroad.VMLive || v.State == quetzalroad.VMLeaving) {
			c.node.LoadTracker.SetLeaving(quetzalroad.UpstreamName(v.Name), v.State == quetzalroad.VMLeaving)
		}
	}
}
