package demorunner

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"
)

// response is an HTTP response with the outcome that the router reports.
type response struct {
	status  int
	outcome string
	body    string
}

// send sends a request and reads the complete response.
func send(ctx context.Context, method, url, key string, header map[string]string, body []byte) (response, error) {
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return response{}, err
	}
	request.Header.Set("Authorization", "Bearer "+key)
	for name, value := range header {
		request.Header.Set(name, value)
	}
	httpResponse, err := http.DefaultClient.Do(request)
	if err != nil {
		return response{}, err
	}
	defer httpResponse.Body.Close()
	data, err := io.ReadAll(httpResponse.Body)
	if err != nil {
		return response{}, err
	}
	outcome := httpResponse.Header.Get("Quetzalroad-Outcome")
	if trailer := httpResponse.Trailer.Get("Quetzalroad-Outcome"); trailer != "" {
		outcome = trailer
	}
	return response{status: httpResponse.StatusCode, outcome: outcome, body: string(data)}, nil
}

// callAdminAPI sends a request to a node's admin API. It creates objects but replaces none.
func (d *deployment) callAdminAPI(ctx context.Context, method string, p process, path string, body []byte) ([]byte, error) {
	url := "http://" + p.adminAddress.String() + "/admin/v1/" + path
	r, err := send(ctx, method, url, adminKey, map[string]string{"If-None-Match": "*"}, body)
	if err != nil {
		return nil, err
	}
	if r.status/100 != 2 {
		return nil, errors.Newf("%s %s: status %d: %s", method, path, r.status, r.body)
	}
	return []byte(r.body), nil
}

type addressesJSON struct {
	Nodes    []nodeJSON    `json:"nodes"`
	Engines  []engineJSON  `json:"engines"`
	Services []serviceJSON `json:"services"`
	Log      string        `json:"log"`
	VMList   string        `json:"vm-list"`
	TeamKey  string        `json:"team-key"`
	AdminKey string        `json:"admin-key"`
}

type nodeJSON struct {
	Name         string `json:"name"`
	DataCentre   string `json:"data-centre"`
	Address      string `json:"address"`
	AdminAddress string `json:"admin-address"`
}

type engineJSON struct {
	Name       string `json:"name"`
	DataCentre string `json:"data-centre"`
	Address    string `json:"address"`
}

type serviceJSON struct {
	Name     string `json:"name"`
	Upstream string `json:"upstream"`
	Address  string `json:"address"`
}

// writeAddresses writes the addresses of the deployment as JSON. It renames a temporary file, so
// that readers never see a partial one.
func (d *deployment) writeAddresses(file string) error {
	j := addressesJSON{Log: d.logAddress.String(), VMList: d.vmListAddress.String(), TeamKey: teamKey, AdminKey: adminKey}
	for _, p := range d.nodes {
		j.Nodes = append(j.Nodes, nodeJSON{Name: p.name, DataCentre: p.dataCentre, Address: p.address.String(), AdminAddress: p.adminAddress.String()})
	}
	for _, p := range d.engines {
		j.Engines = append(j.Engines, engineJSON{Name: p.name, DataCentre: p.dataCentre, Address: p.address.String()})
	}
	for _, p := range d.services {
		j.Services = append(j.Services, serviceJSON{Name: serviceName, Upstream: p.name, Address: p.address.String()})
	}
	data, err := json.MarshalIndent(j, "", "  ")
	if err != nil {
		return err
	}
	temporary, err := os.CreateTemp(filepath.Dir(file), filepath.Base(file)+".*")
	if err != nil {
		return err
	}
	_, err = temporary.Write(append(data, '\n'))
	if err = errors.CombineErrors(err, temporary.Close()); err != nil {
		return err
	}
	if err := os.Chmod(temporary.Name(), 0o644); err != nil {
		return err
	}
	return os.Rename(temporary.Name(), file)
}

// fetchStats fetches the statistics of an emulator.
func fetchStats(ctx context.Context, address netip.AddrPort, target any) error {
	r, err := send(ctx, http.MethodGet, "http://"+address.String()+"/stats", "", nil, nil)
	if err != nil {
		return err
	}
	return json.Unmarshal([]byte(r.body), target)
}
