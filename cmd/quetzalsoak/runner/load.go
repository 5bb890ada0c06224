package runner

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/quetzalroad/quetzalroad/cmd/quetzalemu/requester"
	"github.com/quetzalroad/quetzalroad/cmd/quetzalsoak/checker"
	"github.com/quetzalroad/quetzalroad/cmd/quetzalsoak/deployer"
)

const (
	// callersPerNode is how many callers there are for each node.
	callersPerNode = 6
	// meanPause is the mean pause of a caller between two requests.
	meanPause = 60 * time.Millisecond
	// callerTimeoutMargin is how much longer than the route's timeout a caller waits.
	callerTimeoutMargin = 1500 * time.Millisecond
	// reconnectDelay lies between two tries to reach a node.
	reconnectDelay = 100 * time.Millisecond
	// readinessPollInterval lies between two questions whether nodes are ready.
	readinessPollInterval = 200 * time.Millisecond
)

// loadGenerator is what callers do.
type loadGenerator struct {
	*deployer.Deployment
	seed uint64
	// ready holds which nodes want callers.
	ready        []atomic.Bool
	requestCount atomic.Int64
}

// pollReadiness keeps which nodes want callers.
func (l *loadGenerator) pollReadiness(ctx context.Context, nodeIndex int) {
	for ctx.Err() == nil {
		l.ready[nodeIndex].Store(l.Nodes[nodeIndex].IsReady(ctx))
		select {
		case <-time.After(readinessPollInterval):
		case <-ctx.Done():
		}
	}
}

// runCaller lets one caller send requests until the context ends. Its connection is
// kept until its node ends it; then it goes to a node that is ready.
func (l *loadGenerator) runCaller(ctx context.Context, callerIndex int) {
	random := rand.New(rand.NewPCG(l.seed, uint64(callerIndex)))
	nodeIndex := callerIndex % len(l.Nodes)
	caller := requester.Caller{Address: l.Nodes[nodeIndex].CallerAddress}
	defer caller.Close()
	for ctx.Err() == nil {
		exchange := l.newExchange(random, nodeIndex)
		response, err := caller.Do(exchange.Request)
		if err != nil {
			time.Sleep(reconnectDelay)
			nodeIndex = l.pickNode(random)
			caller.Close()
			caller = requester.Caller{Address: l.Nodes[nodeIndex].CallerAddress}
			continue
		}
		exchange.Answer = response
		exchange.KeyRevokedAt = l.KeyRevokedAt(exchange.Key)
		l.Checker.RecordExchange(exchange)
		time.Sleep(time.Duration(random.ExpFloat64() * float64(meanPause)))
	}
}

// pickNode gives a node that is ready, or any.
func (l *loadGenerator) pickNode(random *rand.Rand) int {
	first := random.IntN(len(l.Nodes))
	for i := range l.Nodes {
		if n := (first + i) % len(l.Nodes); l.ready[n].Load() {
			return n
		}
	}
	return first
}

// newExchange gives a request to a node.
func (l *loadGenerator) newExchange(random *rand.Rand, nodeIndex int) checker.Exchange {
	class := deployer.Classes[random.IntN(len(deployer.Classes))]
	key := l.PickKey(random.IntN(1 << 20))
	request := requester.Request{
		ID: fmt.Sprintf("r%d", l.requestCount.Add(1)), Method: class.Method, Path: "/" + class.Name + "/", Host: deployer.Host, Key: key,
		Events: class.EventCount, Patience: class.Timeout + callerTimeoutMargin,
	}
	if class.Name == "booking" {
		request.Body = "visit of " + request.ID
	}
	return checker.Exchange{Request: request, Class: class.Class, Node: nodeIndex, Team: deployer.TeamForKey(key)}
}
