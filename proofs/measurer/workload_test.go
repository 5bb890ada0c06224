package measurer

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/proofs/faker"
)

var upstreamAddress = netip.MustParseAddrPort("10.0.0.9:80")

const (
	nodesPerDataCentre = 3
	engineConcurrency  = 16
	// baseStepTime and stepTimePerRequest determine the duration of a decode step; an engine with
	// engineConcurrency requests generates a token of each every 28 ms.
	baseStepTime       = 12 * time.Millisecond
	stepTimePerRequest = time.Millisecond
	// maxBatchSize is the maximum number of requests that an engine runs at once; above
	// engineConcurrency it may miss its targets.
	maxBatchSize = 2 * engineConcurrency
	// interTokenTarget is the target of a chat's mean time between two tokens.
	interTokenTarget = 30 * time.Millisecond
	// prefillTimePerToken is the prefill time of an uncached prompt token.
	prefillTimePerToken = 20 * time.Microsecond
	// reportLag is the minimum age of the load in a load report.
	reportLag = 2 * time.Second
	teamCount = 10
)

// user describes the deployment of one of the two users.
type user struct {
	name        string
	dataCentres []quetzalroad.DataCentre
	engines     int
	// chatTarget and draftTarget are the first-token targets of the two profiles.
	chatTarget  time.Duration
	draftTarget time.Duration
	// weights holds the weights of the penalties in the user's score.
	weights map[string]float64
}

var users = []user{
	{
		name: "Kühlfrisch", dataCentres: []quetzalroad.DataCentre{"at-east-graz", "at-west-ibk", "de-south-muc"}, engines: 10,
		chatTarget: 600 * time.Millisecond, draftTarget: 10 * time.Minute,
		weights: map[string]float64{worstWindowMiss: 3, slowedTail: 3, headOfLineBlocking: 1, tokenWaste: 1},
	},
	{
		name: "Telhado Claro", dataCentres: []quetzalroad.DataCentre{"rs-zona1", "sc-zona1", "pr-zona1"}, engines: 12,
		chatTarget: 500 * time.Millisecond, draftTarget: 2 * time.Minute,
		weights: map[string]float64{worstWindowMiss: 1, slowedTail: 1, headOfLineBlocking: 3, tokenWaste: 3},
	},
}

// capacity returns the tokens per second of all engines, each with engineConcurrency requests.
func (u user) capacity() float64 {
	stepTime := baseStepTime + engineConcurrency*stepTimePerRequest
	return float64(u.engines*engineConcurrency) / stepTime.Seconds()
}

func (u user) objects(engines map[quetzalroad.UpstreamName]*faker.FaultyEngine) []quetzalroad.Object {
	objects := []quetzalroad.Object{
		{Profile: &quetzalroad.Profile{Name: "chat", Class: "chat", Tier: 1, FirstTokenTarget: u.chatTarget, Timeout: time.Minute, Idempotent: true, Interactive: true}},
		{Profile: &quetzalroad.Profile{Name: "draft", Class: "draft", Tier: 4, FirstTokenTarget: u.draftTarget, Timeout: time.Hour, Idempotent: true, Preemptible: true}},
		{Service: &quetzalroad.Service{Name: "llm", Kind: quetzalroad.ServiceKindEngine, Models: []quetzalroad.ModelName{"llm"}}},
	}
	for i := range teamCount {
		objects = append(objects, quetzalroad.Object{Team: &quetzalroad.Team{Name: teamName(i), DefaultProfile: "chat"}})
	}
	for i := range u.engines {
		dataCentre := u.dataCentres[i%len(u.dataCentres)]
		name := quetzalroad.UpstreamName(fmt.Sprintf("engine-%02d", i))
		engines[name] = &faker.FaultyEngine{Engine: faker.Engine{
			MaxBatchSize: maxBatchSize, BaseStepTime: baseStepTime, StepTimePerRequest: stepTimePerRequest, PrefillTimePerToken: prefillTimePerToken,
		}}
		objects = append(objects, quetzalroad.Object{Upstream: &quetzalroad.Upstream{
			Name: name, Service: "llm", DataCentre: dataCentre, Region: quetzalroad.Region(dataCentre), MaxConcurrency: engineConcurrency, Address: upstreamAddress,
		}})
	}
	return objects
}

func teamName(i int) quetzalroad.TeamName {
	return quetzalroad.TeamName(fmt.Sprintf("team-%d", i))
}

// arrival is one request of a workload. It arrives at the time at after the start of the workload.
type arrival struct {
	at             time.Duration
	profile        quetzalroad.ProfileName
	team           int
	dataCentre     int
	node           int
	promptTokens   int
	responseTokens int
	prefixHash     uint64
}

// phase is a part of a workload with constant demand, up to end after the start of the workload.
// Demands are shares of the capacity in tokens per second.
type phase struct {
	end         time.Duration
	chatDemand  float64
	draftDemand float64
}

const (
	meanChatTokens  = 60
	meanDraftTokens = 400
	// draftParetoShape is the shape of the Pareto distribution of draft lengths: some drafts are
	// many times longer than the rest.
	draftParetoShape = 1.6
	maxDraftTokens   = 4000
	// A request is from one of the largeTeamCount large teams with probability largeTeamShare, else from any team.
	largeTeamCount = 2
	largeTeamShare = 0.6
)

// workload draws the arrivals of the phases. It depends only on the seed.
func (u user) workload(seed uint64, phases []phase) []arrival {
	random := rand.New(rand.NewPCG(seed, 1))
	var arrivals []arrival
	start := time.Duration(0)
	for _, p := range phases {
		arrivals = append(arrivals, u.drawArrivals(random, "chat", p.chatDemand*u.capacity()/meanChatTokens, start, p.end)...)
		arrivals = append(arrivals, u.drawArrivals(random, "draft", p.draftDemand*u.capacity()/meanDraftTokens, start, p.end)...)
		start = p.end
	}
	return arrivals
}

// drawArrivals draws Poisson arrivals of a profile at a rate per second.
func (u user) drawArrivals(random *rand.Rand, profile quetzalroad.ProfileName, rate float64, start, end time.Duration) []arrival {
	var arrivals []arrival
	if rate <= 0 {
		return nil
	}
	at := start
	for {
		at += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
		if at >= end {
			return arrivals
		}
		a := arrival{
			at: at, profile: profile, dataCentre: random.IntN(len(u.dataCentres)), node: random.IntN(nodesPerDataCentre),
			promptTokens: 100 + random.IntN(400), prefixHash: 1 + random.Uint64N(200),
		}
		a.team = random.IntN(teamCount)
		if random.Float64() < largeTeamShare {
			a.team = random.IntN(largeTeamCount)
		}
		a.responseTokens = drawChatLength(random)
		if profile == "draft" {
			a.responseTokens = drawDraftLength(random)
		}
		arrivals = append(arrivals, a)
	}
}

// drawChatLength draws a log-normal length; 0.83 is about exp(-0.6²/2), which makes meanChatTokens the mean.
func drawChatLength(random *rand.Rand) int {
	return max(5, min(400, int(math.Exp(random.NormFloat64()*0.6)*meanChatTokens*0.83)))
}

func drawDraftLength(random *rand.Rand) int {
	scale := meanDraftTokens * (draftParetoShape - 1) / draftParetoShape
	return int(math.Min(maxDraftTokens, scale/math.Pow(1-random.Float64(), 1/draftParetoShape)))
}
