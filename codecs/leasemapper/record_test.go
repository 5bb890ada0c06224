package leasemapper

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/quetzalroad/quetzalroad"
)

func TestRecordRoundTrip(t *testing.T) {
	for name, want := range map[string]Record{
		"least":           {Holder: "n", Incarnation: "i", Token: 1, Epoch: 1},
		"no epoch stated": {Holder: "n", Incarnation: "i", Token: 1},
		"all fields": {
			Holder: "n", Incarnation: "i", Token: 1<<53 - 1, Epoch: 7, Released: true, LostBefore: time.Unix(5, 6).UTC(),
			RecentHolders: []quetzalroad.NodeName{"a", "b"}, States: map[quetzalroad.DutyName][]byte{"usage": []byte(`{"x":1}`)},
		},
	} {
		data, err := Encode(want)
		if err != nil {
			t.Fatal(err)
		}
		got, err := Decode(data)
		if diff := cmp.Diff(want, got); diff != "" || err != nil {
			t.Errorf("%s: error %v (-want +got):\n%s", name, err, diff)
		}
	}
}

// A node that reads such a record as that of no holder would claim a lease that is held.
func TestIncompleteRecordIsAnError(t *testing.T) {
	for _, data := range []string{
		"", "null", "{}", `{"format":2,"holder":"n","incarnation":"i","token":1,"epoch":1}`, `{"format":1,"incarnation":"i","token":1,"epoch":1}`,
		`{"format":1,"holder":"n","token":1,"epoch":1}`, `{"format":1,"holder":"n","incarnation":"i","epoch":1}`, `{"format":1,"holder":"n","incarnation":"i","token":1}`,
		`{"format":1,"holder":"n","incarnation":"i","token":-1,"epoch":1}`,
	} {
		if r, err := Decode([]byte(data)); err == nil {
			t.Errorf("%s was decoded as %+v", data, r)
		}
	}
}
