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

var anyAddress = netip.MustParseAddrPort("10.0.0.9:80")

const (
	nodesPerPlace = 3
	engineSlots   = 16
	// tokenTime and perRequest make an engine's step; a full engine makes a
	// token of each request every 28 ms.
	tokenTime  = 12 * time.Millisecond
	perRequest = time.Millisecond
	// engineBatch is the most that an engine runs at once, beyond its targets.
	engineBatch = 2 * engineSlots
	// tokenTarget is the time between two tokens that a chat may take in the
	// mean.
	tokenTarget = 30 * time.Millisecond
	// prefillTime is what a prompt token takes.
	prefillTime = 20 * time.Microsecond
	// reportLag is how late load reports are.
	reportLag = 2 * time.Second
	teams     = 10
)

// user is one of the two users' deployments.
type user struct {
	name    string
	places  []quetzalroad.DataCentre
	engines int
	// chatTarget and draftTarget are the targets of the profiles.
	chatTarget  time.Duration
	draftTarget time.Duration
	// weights of the measures in the user's score.
	weights map[string]float64
}

var users = []user{
	{
		name: "Kühlfrisch", places: []quetzalroad.DataCentre{"at-east-graz", "at-west-ibk", "de-south-muc"}, engines: 10,
		chatTarget: 600 * time.Millisecond, draftTarget: 10 * time.Minute,
		weights: map[string]float64{crestMiss: 3, tailSlowed: 3, blocking: 1, waste: 1},
	},
	{
		name: "Telhado Claro", places: []quetzalroad.DataCentre{"rs-zona1", "sc-zona1", "pr-zona1"}, engines: 12,
		chatTarget: 500 * time.Millisecond, draftTarget: 2 * time.Minute,
		weights: map[string]float64{crestMiss: 1, tailSlowed: 1, blocking: 3, waste: 3},
	},
}

// capacity gives the tokens a second of all engines with their slots full.
func (u user) capacity() float64 {
	step := tokenTime + engineSlots*perRequest
	return float64(u.engines*engineSlots) / step.Seconds()
}

func (u user) objects(engines map[quetzalroad.UpstreamName]*faker.FaultyEngine) []quetzalroad.Object {
	objects := []quetzalroad.Object{
		{Profile: &quetzalroad.Profile{Name: "chat", Class: "chat", Tier: 1, FirstTokenTarget: u.chatTarget, Timeout: time.Minute, Idempotent: true, Interactive: true}},
		{Profile: &quetzalroad.Profile{Name: "draft", Class: "draft", Tier: 4, FirstTokenTarget: u.draftTarget, Timeout: time.Hour, Idempotent: true, Preemptible: true}},
		{Service: &quetzalroad.Service{Name: "llm", Kind: quetzalroad.ServiceKindEngine, Models: []quetzalroad.ModelName{"llm"}}},
	}
	for i := range teams {
		objects = append(objects, quetzalroad.Object{Team: &quetzalroad.Team{Name: teamName(i), DefaultProfile: "chat"}})
	}
	for i := range u.engines {
		place := u.places[i%len(u.places)]
		name := quetzalroad.UpstreamName(fmt.Sprintf("engine-%02d", i))
		engines[name] = &faker.FaultyEngine{Engine: faker.Engine{
			MaxBatchSize: engineBatch, BaseStepTime: tokenTime, StepTimePerRequest: perRequest, PrefillTimePerToken: prefillTime,
		}}
		objects = append(objects, quetzalroad.Object{Upstream: &quetzalroad.Upstream{
			Name: name, Service: "llm", DataCentre: place, Region: quetzalroad.Region(place), MaxConcurrency: engineSlots, Address: anyAddress,
		}})
	}
	return objects
}

func teamName(i int) quetzalroad.TeamName {
	return quetzalroad.TeamName(fmt.Sprintf("team-%d", i))
}

// arrival is one request of a workload.
type arrival struct {
	at      time.Duration
	profile quetzalroad.ProfileName
	team    int
	place   int
	node    int
	prompt  int
	length  int
	prefix  uint64
}

// phase is a part of a workload with steady demand. Demands are shares of the
// capacity in tokens a second.
type phase struct {
	until time.Duration
	chat  float64
	draft float64
}

const (
	chatMean  = 60
	draftMean = 400
	// draftTail is the shape of the drafts' lengths: some run many times
	// longer than the rest.
	draftTail = 1.6
	draftMax  = 4000
	// largeTeams of the teams make largeShare of the demand.
	largeTeams = 2
	largeShare = 0.6
)

// workload draws the arrivals of the phases. It depends on the seed alone.
func (u user) workload(seed uint64, phases []phase) []arrival {
	random := rand.New(rand.NewPCG(seed, 1))
	var all []arrival
	begin := time.Duration(0)
	for _, p := range phases {
		all = append(all, u.draw(random, "chat", p.chat*u.capacity()/chatMean, begin, p.until)...)
		all = append(all, u.draw(random, "draft", p.draft*u.capacity()/draftMean, begin, p.until)...)
		begin = p.until
	}
	return all
}

// draw gives arrivals of a profile at a rate a second.
func (u user) draw(random *rand.Rand, profile quetzalroad.ProfileName, rate float64, from, until time.Duration) []arrival {
	var all []arrival
	if rate <= 0 {
		return nil
	}
	at := from
	for {
		at += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
		if at >= until {
			return all
		}
		a := arrival{
			at: at, profile: profile, place: random.IntN(len(u.places)), node: random.IntN(nodesPerPlace),
			prompt: 100 + random.IntN(400), prefix: 1 + random.Uint64N(200),
		}
		a.team = random.IntN(teams)
		if random.Float64() < largeShare {
			a.team = random.IntN(largeTeams)
		}
		a.length = chatLength(random)
		if profile == "draft" {
			a.length = draftLength(random)
		}
		all = append(all, a)
	}
}

func chatLength(random *rand.Rand) int {
	return max(5, min(400, int(math.Exp(random.NormFloat64()*0.6)*chatMean*0.83)))
}

func draftLength(random *rand.Rand) int {
	scale := draftMean * (draftTail - 1) / draftTail
	return int(math.Min(draftMax, scale/math.Pow(1-random.Float64(), 1/draftTail)))
}
