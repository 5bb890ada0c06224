package ordermapper

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/quetzalroad/quetzalroad"
)

// The next holder continues from what the last one saved; orders that are read wrongly would give up upstreams.
func TestOrdersSurviveEncoding(t *testing.T) {
	want := []quetzalroad.OrderInForce{
		{UpstreamOrder: quetzalroad.UpstreamOrder{Service: "s", DataCentre: "a", Count: 6, Spot: true}, Confirmed: true},
		{UpstreamOrder: quetzalroad.UpstreamOrder{Service: "s", DataCentre: "b"}},
	}
	data, err := Encode(want)
	if err != nil {
		t.Fatal(err)
	}
	got, err := Decode(data)
	if diff := cmp.Diff(want, got); diff != "" || err != nil {
		t.Errorf("%v (-want +got):\n%s", err, diff)
	}
	for _, data := range []string{``, `{"orders":1}`, `{"orders":[{"service":"s","count":1}]}`, `{"orders":[{"service":"s","data-centre":"a","count":-1}]}`} {
		if orders, err := Decode([]byte(data)); err == nil {
			t.Errorf("%s was decoded as %+v", data, orders)
		}
	}
}
