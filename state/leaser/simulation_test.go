package leaser_test

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/codecs/leasemapper"
	"github.com/quetzalroad/quetzalroad/kernel"
	"github.com/quetzalroad/quetzalroad/proofs/faker"
	"github.com/quetzalroad/quetzalroad/support/configloader"

	_ "github.com/quetzalroad/quetzalroad/state/epochtracker"
	_ "github.com/quetzalroad/quetzalroad/state/leaser"
	_ "github.com/quetzalroad/quetzalroad/support/recorder"
)

const (
	duration = 3 * time.Second
	takeOver = duration + 500*time.Millisecond
	// commandTimeout is that of the duty's commands. They may arrive that much later, and by maxLateness more.
	commandTimeout = 500 * time.Millisecond
	maxLateness    = 450 * time.Millisecond
	windowLength   = 5 * time.Second
	// decisionDelay is the time from the end of a window to its decision, and maxClockError that of a node's time of day.
	decisionDelay = 2500 * time.Millisecond
	maxClockError = 1200 * time.Millisecond
)

// faults are planted in all processes of a simulation.
type faults struct{ noMargin, forgetTokens, unchecked bool }

// simulation is a platform and the processes of a fleet on it.
type simulation struct {
	faults
	t *testing.T
	// renewEvery is the setting of all nodes. With short intervals, leases are taken over soon after they end.
	renewEvery time.Duration
	// lateShare is the share of the commands that arrive after their timeout.
	lateShare float64
	log       faker.KeyedLog
	names     []quetzalroad.NodeName
	// processes are those of the nodes by index, and started also those before them.
	processes, started []*process

	mu sync.Mutex
	// The fields below are guarded by mu. holders and values are what the platform was sent by token and by window.
	random     *rand.Rand
	holders    map[quetzalroad.FencingToken]*process
	values     map[int64]string
	accepted   []command
	violations []string
}

// command is a call of a duty as the platform received it.
type command struct {
	from  *process
	token quetzalroad.FencingToken
	at    time.Time
}

func newSimulation(t *testing.T, count int, seed uint64, lateShare float64, f faults) *simulation {
	sim := &simulation{t: t, faults: f, renewEvery: time.Second, lateShare: lateShare, random: rand.New(rand.NewPCG(seed, 0)), holders: make(map[quetzalroad.FencingToken]*process), values: make(map[int64]string)}
	if seed%2 == 1 {
		sim.renewEvery = 300 * time.Millisecond
	}
	for i := range count {
		sim.names = append(sim.names, quetzalroad.NodeName(fmt.Sprintf("node-%d", i)))
	}
	for i := range count {
		sim.processes = append(sim.processes, sim.start(i))
	}
	return sim
}

// chance reports true with a probability, and upTo returns a random part of a duration.
func (sim *simulation) chance(p float64) bool {
	return sim.upTo(time.Hour) < time.Duration(p*float64(time.Hour))
}

func (sim *simulation) upTo(d time.Duration) time.Duration {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return time.Duration(sim.random.Float64() * float64(d))
}

// receive checks the rules of the platform for a command.
func (sim *simulation) receive(c command, window int64, value string) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	c.at = time.Now()
	breach := func(format string, args ...any) {
		sim.violations = append(sim.violations, fmt.Sprintf(format, args...))
	}
	if first := sim.holders[c.token]; first != nil && first != c.from {
		breach("%s and %s sent token %d", first.name, c.from.name, c.token)
	}
	sim.holders[c.token] = c.from
	another := false
	for i := len(sim.accepted) - 1; i >= 0; i-- {
		earlier := sim.accepted[i]
		another = another || earlier.from != c.from
		if earlier.from == c.from && another && c.at.Sub(earlier.at) < duration {
			breach("%s acted again %s after another holder", c.from.name, c.at.Sub(earlier.at))
		}
		if earlier.token > c.token {
			breach("token %d after %d", c.token, earlier.token)
		}
		if c.at.Sub(earlier.at) > duration {
			break
		}
	}
	if first, sent := sim.values[window]; sent && first != value {
		breach("window %d was reported as %s and as %s", window, first, value)
	}
	sim.values[window] = value
	sim.accepted = append(sim.accepted, c)
}

// process is a node, its link to the log, and its duty.
type process struct {
	*simulation
	node  *kernel.Node
	name  quetzalroad.NodeName
	index int

	mu sync.Mutex
	// The fields below are guarded by mu.
	frozenUntil, cutUntil time.Time
	// lossy is the probability that a call is delayed, lost, or its response is.
	lossy float64
	// clockError is that of the time of day, which steps.
	clockError time.Duration
}

func (sim *simulation) start(i int) *process {
	p := &process{simulation: sim, name: sim.names[i], index: i}
	margin := takeOver - duration
	if sim.noMargin {
		margin = 0
	}
	overrides := []kernel.Override{{Slot: kernel.SlotKeyedLog, Component: p}}
	for _, s := range unusedSlots {
		overrides = append(overrides, kernel.Override{Slot: s, Component: fleet(sim.names)})
	}
	config := kernel.NewConfig(overrides...)
	settings := fmt.Sprintf(`{"node": {"name": %q, "data-centre": "d", "region": "r", "balancer-lag": "1s", "stop-timeout": "7s"}, "leases": {"plugin": "log", "margin": "%s", "renew-every": "%s"}}`, p.name, margin, sim.renewEvery)
	if err := config.Load("settings", []byte(settings)); err != nil {
		sim.t.Fatal(err)
	}
	var err error
	if p.node, err = config.Build(slog.New(slog.DiscardHandler)); err != nil {
		sim.t.Fatal(err)
	}
	p.node.Leaser.AddDuty(p)
	p.node.Start()
	sim.started = append(sim.started, p)
	return p
}

// end kills all processes and fails the test if one of them counted a violation of an invariant.
func (sim *simulation) end() {
	for _, p := range sim.started {
		p.node.Kill()
		if err := p.node.Wait(); err != nil {
			sim.t.Error(err)
		}
		if got := p.node.Vars.Get("invariant-breaches").String(); got != "{}" && sim.faults == (faults{}) {
			sim.t.Errorf("%s: %s", p.name, got)
		}
	}
}

// unusedSlots would be filled by plug-ins that register themselves.
var unusedSlots = []kernel.Slot{
	kernel.SlotLogSharing, kernel.SlotState, kernel.SlotDrainer, kernel.SlotClaimer, kernel.SlotLoadTracker, kernel.SlotLengthEstimator, kernel.SlotThrottler,
	kernel.SlotBalancer, kernel.SlotLimiter, kernel.SlotAdmitter, kernel.SlotSpiller, kernel.SlotRetryPolicy, kernel.SlotQuarantine, kernel.SlotBufferBudget,
	kernel.SlotDispatcher, kernel.SlotPeers, kernel.SlotCallerServer,
}

// fleet is a list of all nodes in the order of their ranks. It fills slots.
type fleet []quetzalroad.NodeName

func (f fleet) Declare(*configloader.Section)       {}
func (f fleet) Build(n *kernel.Node) error          { n.Fleet = f; return nil }
func (f fleet) Nodes() []quetzalroad.NodeName       { return f }
func (f fleet) RankedNodes() []quetzalroad.NodeName { return f }
func (fleet) PeerAddresses() []netip.AddrPort       { return nil }

func (p *process) Declare(*configloader.Section) {}
func (p *process) Name() quetzalroad.DutyName    { return "report" }
func (p *process) holds() bool                   { return p.count("lease-held") == "1" }
func (p *process) count(name string) string      { return p.node.Vars.Get(name).String() }

func (p *process) Build(n *kernel.Node) error {
	n.KeyedLog, n.ConditionalWriter = p, p
	return nil
}

func (p *process) set(change func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change()
}

func (p *process) freeze(d time.Duration) { p.set(func() { p.frozenUntil = time.Now().Add(d) }) }
func (p *process) cut(d time.Duration)    { p.set(func() { p.cutUntil = time.Now().Add(d) }) }
func (p *process) setLossy(share float64) { p.set(func() { p.lossy = share }) }

func (p *process) stepClock() {
	offset := p.upTo(2*maxClockError) - maxClockError
	p.set(func() { p.clockError = offset })
}

// ReadKeyed implements quetzalroad.KeyedLog.
func (*process) ReadKeyed(context.Context, quetzalroad.LogStream, quetzalroad.Position, time.Duration) ([]quetzalroad.KeyedRecord, quetzalroad.StreamBounds, error) {
	return nil, quetzalroad.StreamBounds{}, faker.ErrUnavailable
}

// thaw waits while the process is frozen.
func (p *process) thaw() {
	for rest := time.Duration(1); rest > 0; time.Sleep(rest) {
		p.set(func() { rest = time.Until(p.frozenUntil) })
	}
}

// call passes a call to the log over a link that may delay it, or lose it or its response.
func (p *process) call(ctx context.Context, run func(ctx context.Context) error) error {
	p.thaw()
	defer p.thaw()
	time.Sleep(2*time.Millisecond + p.upTo(5*time.Millisecond))
	p.mu.Lock()
	lossy, cut := p.lossy, time.Now().Before(p.cutUntil)
	p.mu.Unlock()
	switch {
	case cut || p.chance(lossy/3):
		<-ctx.Done()
		return ctx.Err()
	case p.chance(lossy / 2):
		// The call is executed later, when the caller no longer waits for it.
		delay := p.upTo(6 * time.Second)
		time.AfterFunc(delay, func() { _ = run(context.Background()) })
		<-ctx.Done()
		return ctx.Err()
	}
	err := run(ctx)
	if p.chance(lossy) {
		<-ctx.Done()
		return ctx.Err()
	}
	return err
}

// ReadLatest implements quetzalroad.KeyedLog.
func (p *process) ReadLatest(ctx context.Context, s quetzalroad.LogStream) ([]quetzalroad.KeyedRecord, quetzalroad.StreamBounds, error) {
	var records []quetzalroad.KeyedRecord
	var bounds quetzalroad.StreamBounds
	err := p.call(ctx, func(ctx context.Context) (err error) {
		records, bounds, err = p.log.ReadLatest(ctx, s)
		return err
	})
	if err != nil {
		return nil, quetzalroad.StreamBounds{}, err
	}
	for i := range records {
		if r, err := leasemapper.Decode(records[i].Value); err == nil && p.forgetTokens {
			r.Token = 1
			records[i].Value, _ = leasemapper.Encode(r)
		}
	}
	return records, bounds, nil
}

// PutKeyedAt implements quetzalroad.ConditionalWriter.
func (p *process) PutKeyedAt(ctx context.Context, s quetzalroad.LogStream, key string, value []byte, end quetzalroad.Offset) (quetzalroad.Position, error) {
	var position quetzalroad.Position
	err := p.call(ctx, func(ctx context.Context) (err error) {
		position, err = p.log.PutKeyedAt(ctx, s, key, value, end)
		return err
	})
	if err != nil && !errors.Is(err, quetzalroad.ErrConflict) {
		return quetzalroad.Position{}, err
	}
	return position, err
}

// Perform implements quetzalroad.Duty. It reports a value for each window: it saves the value, and sends what it saved.
func (p *process) Perform(ctx context.Context, l quetzalroad.Lease) {
	var inFlight sync.WaitGroup
	defer inFlight.Wait()
	for ctx.Err() == nil {
		time.Sleep(p.upTo(100 * time.Millisecond))
		var now time.Time
		p.set(func() { now = time.Now().Add(p.clockError - decisionDelay) })
		window := now.UnixMilli()/windowLength.Milliseconds() - 1
		values := make(map[int64]string)
		if state := l.State("report"); state != nil {
			if err := json.Unmarshal(state, &values); err != nil {
				p.t.Error(err)
			}
		}
		if _, decided := values[window]; !decided {
			end := time.UnixMilli((window + 1) * windowLength.Milliseconds())
			if !end.After(l.LostBefore()) {
				continue
			}
			values[window] = fmt.Sprint(p.upTo(time.Hour))
			delete(values, window-5)
			state, _ := json.Marshal(values)
			if l.Save(ctx, "report", state) != nil {
				continue
			}
		}
		value := values[window]
		inFlight.Go(func() { p.send(l, window, value) })
	}
}

// send sends a command, which may arrive after its timeout.
func (p *process) send(l quetzalroad.Lease, window int64, value string) {
	time.Sleep(p.upTo(100 * time.Millisecond))
	p.thaw()
	if !p.unchecked && l.Check(commandTimeout) != nil {
		return
	}
	delay := p.upTo(20 * time.Millisecond)
	if p.chance(p.lateShare) {
		delay = commandTimeout + maxLateness - p.upTo(100*time.Millisecond)
	}
	time.AfterFunc(delay, func() { p.receive(command{from: p, token: l.Token()}, window, value) })
	time.Sleep(min(delay, commandTimeout))
	if delay > commandTimeout {
		l.Unconfirmed()
	}
}
