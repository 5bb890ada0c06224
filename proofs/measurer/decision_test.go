package measurer

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/kernel"
	"github.com/quetzalroad/quetzalroad/proofs/faker"
)

const (
	// The required size of one data centre and of the published state.
	targetUpstreams = 68
	targetTeams     = 2600
	targetServices  = 37
)

// targetNode returns a node that has the state of one data centre of the required size.
func targetNode(b *testing.B) *kernel.Node {
	b.Helper()
	d := &faker.Deployment{}
	d.ChatClient.Engines = make(map[quetzalroad.UpstreamName]*faker.FaultyEngine)
	objects := []quetzalroad.Object{{Profile: &quetzalroad.Profile{
		Name: "chat", Class: "chat", Tier: 1, FirstTokenTarget: time.Second, Timeout: time.Minute, Idempotent: true, Interactive: true,
	}}}
	for i := range targetServices {
		name := fmt.Sprintf("model-%02d", i)
		objects = append(objects, quetzalroad.Object{Service: &quetzalroad.Service{
			Name: quetzalroad.ServiceName(name), Kind: quetzalroad.ServiceKindEngine, Models: []quetzalroad.ModelName{quetzalroad.ModelName(name)},
		}})
	}
	for i := range targetUpstreams {
		name := quetzalroad.UpstreamName(fmt.Sprintf("engine-%03d", i))
		d.ChatClient.Engines[name] = &faker.FaultyEngine{}
		objects = append(objects, quetzalroad.Object{Upstream: &quetzalroad.Upstream{
			Name: name, Service: quetzalroad.ServiceName(fmt.Sprintf("model-%02d", i%targetServices)),
			DataCentre: "here", Region: "here", MaxConcurrency: 1 << 20, Address: upstreamAddress,
		}})
	}
	for i := range targetTeams {
		objects = append(objects, quetzalroad.Object{Team: &quetzalroad.Team{
			Name: quetzalroad.TeamName(fmt.Sprintf("team-%04d", i)), DefaultProfile: "chat", MaxTokensPerSecond: 1 << 40, MaxConcurrency: 1 << 20,
		}})
	}
	if err := d.Publish(objects...); err != nil {
		b.Fatal(err)
	}
	n, err := d.AddNode("node", "here", "here", `"peers": {"interval": "1s"}`)
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(d.Close)
	for n.Ready() != nil {
		time.Sleep(time.Millisecond)
	}
	return n
}

// makeDecision makes all decisions for one request and releases what they acquired.
func makeDecision(b *testing.B, n *kernel.Node, r *quetzalroad.Request) {
	now := time.Now()
	permit, err := n.Limiter.Acquire(now, r)
	if err != nil {
		b.Error(err)
		return
	}
	admission, err := n.Admitter.Admit(context.Background(), r)
	if err != nil {
		b.Error(err)
		return
	}
	u := n.Balancer.Choose(now, r, n.CapacityEstimator.Candidates(now, r.Service.Name, nil))
	n.LoadTracker.BeginAttempt(u.Name, now)
	n.LoadTracker.EndAttempt(u.Name, now, false)
	admission.Release(100)
	permit.Release(now, 100)
}

func BenchmarkDecision(b *testing.B) {
	n := targetNode(b)
	profile, _ := n.Directory.Profile("chat")
	services := n.Directory.Services()
	teams := n.Directory.Teams()
	var next atomic.Int64
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		i := int(next.Add(1)) * 997
		for pb.Next() {
			i++
			makeDecision(b, n, &quetzalroad.Request{
				ID: "r", Team: teams[i%len(teams)], Profile: profile, Service: services[i%len(services)],
				Arrived: time.Now(), PromptTokens: 100, MaxTokens: 100, PrefixHash: uint64(i), Idempotent: true,
			})
		}
	})
}
