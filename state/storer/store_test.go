package storer

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/quetzalroad/quetzalroad"
)

func upstreamNames(list []quetzalroad.Upstream) []quetzalroad.UpstreamName {
	var all []quetzalroad.UpstreamName
	for _, u := range list {
		all = append(all, u.Name)
	}
	return all
}

func TestUpstreamsOfStaysSortedAcrossChanges(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	var s Store
	upstreams := make(map[quetzalroad.UpstreamName]quetzalroad.Upstream)
	for i := range 2000 {
		name := quetzalroad.UpstreamName(fmt.Sprintf("u-%d", random.IntN(60)))
		service := quetzalroad.ServiceName([]string{"a", "b"}[random.IntN(2)])
		before := s.UpstreamsOf("a")
		copied := slices.Clone(before)
		if random.IntN(3) == 0 {
			delete(upstreams, name)
			s.Put(quetzalroad.ObjectUpstream, string(name), quetzalroad.Object{})
		} else {
			u := quetzalroad.Upstream{Name: name, Service: service, MaxConcurrency: i + 1}
			upstreams[name] = u
			s.Put(quetzalroad.ObjectUpstream, string(name), quetzalroad.Object{Upstream: &u})
		}
		if !slices.Equal(copied, before) {
			t.Fatalf("step %d modified a list that was returned earlier", i)
		}
		for _, service := range []quetzalroad.ServiceName{"a", "b"} {
			var want []quetzalroad.UpstreamName
			for name, u := range upstreams {
				if u.Service == service {
					want = append(want, name)
				}
			}
			slices.Sort(want)
			got := s.UpstreamsOf(service)
			if diff := cmp.Diff(want, upstreamNames(got)); diff != "" {
				t.Fatalf("step %d, service %s (-want +got):\n%s", i, service, diff)
			}
			for _, u := range got {
				if u != upstreams[u.Name] {
					t.Fatalf("step %d: %+v, want %+v", i, u, upstreams[u.Name])
				}
			}
		}
	}
}
