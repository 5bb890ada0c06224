// Package ordermapper converts the orders for upstreams that are in force to and from the form in which the lease
// holds them.
package ordermapper

import (
	"encoding/json"

	"github.com/cockroachdb/errors"

	"github.com/quetzalroad/quetzalroad"
)

type stateJSON struct {
	Orders []orderJSON `json:"orders"`
}

type orderJSON struct {
	Service    string `json:"service"`
	DataCentre string `json:"data-centre"`
	Count      int    `json:"count"`
	Spot       bool   `json:"spot,omitempty"`
	Confirmed  bool   `json:"confirmed,omitempty"`
}

// Encode encodes the orders in force.
func Encode(orders []quetzalroad.OrderInForce) ([]byte, error) {
	s := stateJSON{Orders: make([]orderJSON, 0, len(orders))}
	for _, o := range orders {
		s.Orders = append(s.Orders, orderJSON{
			Service: string(o.Service), DataCentre: string(o.DataCentre), Count: o.Count, Spot: o.Spot, Confirmed: o.Confirmed,
		})
	}
	data, err := json.Marshal(s)
	return data, errors.Wrap(err, "encode orders in force")
}

// Decode decodes the orders in force.
func Decode(data []byte) ([]quetzalroad.OrderInForce, error) {
	var s stateJSON
	if err := json.Unmarshal(data, &s); err != nil {
		return nil, errors.Wrap(err, "decode orders in force")
	}
	var orders []quetzalroad.OrderInForce
	for _, j := range s.Orders {
		if j.Service == "" || j.DataCentre == "" || j.Count < 0 {
			return nil, errors.Newf("orders in force: %d upstreams of service %q in data centre %q", j.Count, j.Service, j.DataCentre)
		}
		orders = append(orders, quetzalroad.OrderInForce{
			UpstreamOrder: quetzalroad.UpstreamOrder{
				Service: quetzalroad.ServiceName(j.Service), DataCentre: quetzalroad.DataCentre(j.DataCentre), Count: j.Count, Spot: j.Spot,
			},
			Confirmed: j.Confirmed,
		})
	}
	return orders, nil
}
