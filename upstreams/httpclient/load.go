package httpclient

import (
	"context"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/codecs/loadmapper"
)

// maxReportBytes limits the size of a load report.
const maxReportBytes = 4 << 10

// FetchLoadReport fetches the load report of an upstream with GET /v1/load.
func (c *Client) FetchLoadReport(ctx context.Context, recorder quetzalroad.Recorder, u quetzalroad.Upstream) (quetzalroad.LoadReport, error) {
	request, err := http.NewRequest(http.MethodGet, "http://"+u.Address.String()+"/v1/load", http.NoBody)
	if err != nil {
		return quetzalroad.LoadReport{}, err
	}
	exchange, err := c.Do(ctx, request, false)
	if err != nil {
		return quetzalroad.LoadReport{}, err
	}
	defer exchange.Close()
	if exchange.Response.StatusCode != http.StatusOK {
		return quetzalroad.LoadReport{}, errors.Newf("load report: status %s", exchange.Response.Status)
	}
	data, err := io.ReadAll(io.LimitReader(exchange.Response.Body, maxReportBytes))
	if err != nil {
		return quetzalroad.LoadReport{}, err
	}
	recorder.CountReceived(quetzalroad.ControlReports, len(data))
	return loadmapper.Decode(data)
}
