package runner

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/quetzalroad/quetzalroad/cmd/quetzalemu/requester"
	"github.com/quetzalroad/quetzalroad/cmd/quetzalsoak/checker"
	"github.com/quetzalroad/quetzalroad/cmd/quetzalsoak/deployer"
)

const (
	// callersPerNode is the number of callers for each node.
	callersPerNode = 6
	// meanPause is the mean time between two requests of a caller.
	meanPause = 60 * time.Millisecond
	// callerTimeoutMargin is how long a caller waits beyond the route's timeout.
	callerTimeoutMargin = 1500 * time.Millisecond
	// reconnectDelay is the time between a failed connection and the next attempt.
	reconnectDelay = 100 * time.Millisecond
	// deadlyEvery is how many drafts there are for each deadly one, while callers send any.
	deadlyEvery = 12
	// readinessPollInterval is the time between two readiness checks of a node.
	readinessPollInterval = 200 * time.Millisecond
)

// loadGenerator generates the callers' requests.
type loadGenerator struct {
	*deployer.Deployment
	seed uint64
	// ready holds which nodes are ready, by node index.
	ready        []atomic.Bool
	requestCount atomic.Int64
}

// pollReadiness updates whether a node is ready until the context ends.
func (l *loadGenerator) pollReadiness(ctx context.Context, nodeIndex int) {
	for ctx.Err() == nil {
		l.ready[nodeIndex].Store(l.Nodes[nodeIndex].IsReady(ctx))
		select {
		case <-time.After(readinessPollInterval):
		case <-ctx.Done():
		}
	}
}

// runCaller sends the requests of one caller until the context ends. It keeps its
// connection until that fails or a stream breaks off, and then connects to a node that is ready.
func (l *loadGenerator) runCaller(ctx context.Context, callerIndex int) {
	random := rand.New(rand.NewPCG(l.seed, uint64(callerIndex)))
	nodeIndex := callerIndex % len(l.Nodes)
	caller := requester.Caller{Address: l.Nodes[nodeIndex].CallerAddress}
	defer caller.Close()
	var last checker.Exchange
	for ctx.Err() == nil {
		exchange, resumes := l.resumeStream(last)
		if resumes {
			nodeIndex = l.pickNode(random)
			caller.Close()
			caller = requester.Caller{Address: l.Nodes[nodeIndex].CallerAddress}
			exchange.Node = nodeIndex
		} else {
			exchange = l.newExchange(random, nodeIndex)
		}
		response, err := caller.Do(exchange.Request)
		if err != nil {
			time.Sleep(reconnectDelay)
			nodeIndex = l.pickNode(random)
			caller.Close()
			caller = requester.Caller{Address: l.Nodes[nodeIndex].CallerAddress}
			continue
		}
		exchange.Response = response
		exchange.KeyRevokedAt = l.KeyRevokedAt(exchange.APIKey)
		l.Checker.RecordExchange(exchange)
		last = exchange
		time.Sleep(time.Duration(random.ExpFloat64() * float64(meanPause)))
	}
}

// pickNode returns the index of a random node, preferring ready ones that accept connections.
func (l *loadGenerator) pickNode(random *rand.Rand) int {
	first := random.IntN(len(l.Nodes))
	for i := range l.Nodes {
		if n := (first + i) % len(l.Nodes); l.ready[n].Load() && !l.Nodes[n].CallerProxy.RefusesConnections() {
			return n
		}
	}
	return first
}

// resumeStream returns a request for the rest of a stream that broke off, or false if there is none. A request
// for the rest that got no answer is repeated.
func (l *loadGenerator) resumeStream(last checker.Exchange) (checker.Exchange, bool) {
	if !last.Class.Retryable || last.Events == 0 || last.Complete {
		return checker.Exchange{}, false
	}
	resumed := checker.Exchange{Request: last.Request, Class: last.Class, Team: last.Team}
	switch ids, _, err := requester.EventIDs(last.Response.Body); {
	case last.Status == 0 && last.LastEventID > 0:
	case last.Status != http.StatusOK || err != nil || len(ids) == 0:
		return checker.Exchange{}, false
	default:
		resumed.LastEventID = ids[len(ids)-1]
	}
	if resumed.Resumes == "" {
		resumed.Resumes = last.ID
	}
	resumed.ID = l.newID()
	return resumed, true
}

func (l *loadGenerator) newID() string { return fmt.Sprintf("r%d", l.requestCount.Add(1)) }

// newExchange returns a random request to a node.
func (l *loadGenerator) newExchange(random *rand.Rand, nodeIndex int) checker.Exchange {
	class := deployer.Classes[random.IntN(len(deployer.Classes))]
	key := l.PickKey(random.IntN(1 << 20))
	request := requester.Request{
		ID: l.newID(), Method: class.Method, Path: "/" + class.Name + "/", Host: deployer.Host, APIKey: key,
		Events: class.EventCount, Timeout: class.Timeout + callerTimeoutMargin,
	}
	if class.Name == "booking" {
		request.Body = "visit of " + request.ID
	}
	if class.Name == "draft" && random.IntN(deadlyEvery) == 0 {
		if prefix, ok := l.DeadlyPrompt(request.ID); ok {
			request.PromptPrefix = prefix
		}
	}
	return checker.Exchange{Request: request, Class: class.Class, Node: nodeIndex, Team: deployer.TeamForKey(key)}
}
