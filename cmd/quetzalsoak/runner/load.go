package runner

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/quetzalroad/quetzalroad/cmd/quetzalemu/requester"
	"github.com/quetzalroad/quetzalroad/cmd/quetzalsoak/deployer"
	"github.com/quetzalroad/quetzalroad/cmd/quetzalsoak/judge"
)

const (
	// callers is how many callers there are for each node.
	callers = 6
	// pause is the mean pause of a caller between two requests.
	pause = 60 * time.Millisecond
	// patienceBeyond is how much longer than the route's timeout a caller waits.
	patienceBeyond = 1500 * time.Millisecond
	// redialAfter lies between two tries to reach a node.
	redialAfter = 100 * time.Millisecond
	// readyEvery lies between two questions whether nodes are ready.
	readyEvery = 200 * time.Millisecond
)

// load is what callers do.
type load struct {
	*deployer.Deployment
	seed uint64
	// ready holds which nodes want callers.
	ready []atomic.Bool
	count atomic.Int64
}

// watch keeps which nodes want callers.
func (l *load) watch(ctx context.Context, number int) {
	for ctx.Err() == nil {
		l.ready[number].Store(l.Nodes[number].Ready(ctx))
		select {
		case <-time.After(readyEvery):
		case <-ctx.Done():
		}
	}
}

// call lets one caller send requests until the context ends. Its connection is
// kept until its node ends it; then it goes to a node that is ready.
func (l *load) call(ctx context.Context, number int) {
	random := rand.New(rand.NewPCG(l.seed, uint64(number)))
	node := number % len(l.Nodes)
	c := requester.Caller{Address: l.Nodes[node].FrontAddress}
	defer c.Close()
	for ctx.Err() == nil {
		s := l.draw(random, node)
		answer, err := c.Do(s.Request)
		if err != nil {
			time.Sleep(redialAfter)
			node = l.pick(random)
			c.Close()
			c = requester.Caller{Address: l.Nodes[node].FrontAddress}
			continue
		}
		s.Response = answer
		s.Unkeyed = l.TakenAt(s.APIKey)
		l.Judge.Send(s)
		time.Sleep(time.Duration(random.ExpFloat64() * float64(pause)))
	}
}

// pick gives a node that is ready, or any.
func (l *load) pick(random *rand.Rand) int {
	first := random.IntN(len(l.Nodes))
	for i := range l.Nodes {
		if n := (first + i) % len(l.Nodes); l.ready[n].Load() {
			return n
		}
	}
	return first
}

// draw gives a request to a node.
func (l *load) draw(random *rand.Rand, node int) judge.Sent {
	class := deployer.Classes[random.IntN(len(deployer.Classes))]
	key := l.Key(random.IntN(1 << 20))
	q := requester.Request{
		ID: fmt.Sprintf("r%d", l.count.Add(1)), Method: class.Method, Path: "/" + class.Name + "/", Host: deployer.Host, APIKey: key,
		Events: class.Events, Timeout: class.Timeout + patienceBeyond,
	}
	if class.Name == "booking" {
		q.Body = "visit of " + q.ID
	}
	return judge.Sent{Request: q, Class: class.Class, Node: node, Team: deployer.TeamOf(key)}
}
