package choice_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"cedarseam/choice"
)

// ceilingSimulation plays one customer's gateways on a clock of its own: requests by
// chance, uneven over the gateways, answers that carry a late meter, and
// gateways that are killed and start again. It keeps the one true store.
type ceilingSimulation struct {
	cfg      choice.Config
	rng      *rand.Rand
	now      time.Duration
	gateways []*ceilingGateway

	offeredRate     func(now time.Duration) float64       // units a second
	meterLag        func(now time.Duration) time.Duration // from a period's end to its first showing
	shuffleInterval time.Duration                         // the busiest gateways change so often; 0: never
	busiestShare    float64                               // share of the busiest gateway; 0: by a power law

	trafficShares []float64
	periodUse     []float64 // units first sent, by period
	answers       []ceilingAnswer
	nextID        uint32

	tokens, minTokens         float64 // the true store, and the lowest it stood
	tokensAt                  time.Duration
	requestedUnits, sentUnits float64
}

type ceilingGateway struct {
	sim         *ceilingSimulation
	gateway     *choice.Gateway // nil while it is down
	restartAt   time.Duration   // when it starts again
	incarnation int
	index       int
}

type ceilingAnswer struct {
	at          time.Duration
	gateway     *ceilingGateway
	incarnation int
	outcome     choice.Outcome
}

func (g *ceilingGateway) Send(id, backend uint32, _ time.Duration) {
	s := g.sim
	units := float64(id%uint32(s.cfg.MaxUnits)) + 1
	plan := s.cfg.Plans[0]
	s.tokens = min(plan.CeilingBurst, s.tokens+(s.now-s.tokensAt).Seconds()*plan.CeilingRate) - units
	s.tokensAt = s.now
	s.minTokens = min(s.minTokens, s.tokens)
	s.sentUnits += units
	s.periodUse[s.now/s.cfg.MeterPeriod] += units
	s.answers = append(s.answers, ceilingAnswer{s.now + time.Duration(50+s.rng.IntN(200))*ms, g, g.incarnation,
		choice.Outcome{ID: id, Backend: backend, Status: choice.OK, Answered: true, Elapsed: 100 * ms}})
}
func (g *ceilingGateway) Refuse(uint32, time.Duration, choice.Reason) {}
func (g *ceilingGateway) Fail(uint32, choice.Reason)                  {}
func (g *ceilingGateway) Cancel(uint32, int)                          {}
func (g *ceilingGateway) Probe(uint32)                                {}
func (g *ceilingGateway) SetTimer(time.Duration, uint64)              {}

func (g *ceilingGateway) start(t *testing.T) {
	t.Helper()
	cfg := g.sim.cfg
	cfg.Self = g.index
	g.incarnation++
	var err error
	if g.gateway, err = choice.New(cfg, g.sim.rng.Uint64(), g.sim.now, g); err != nil {
		t.Fatal(err)
	}
	g.gateway.UpdateBackends(g.sim.now, choice.Cached, newBackends(40))
}

// crash ends so many gateways at once, and starts each again within a second.
func (s *ceilingSimulation) crash(n int) {
	for _, i := range s.rng.Perm(len(s.gateways))[:n] {
		s.gateways[i].gateway = nil
		s.gateways[i].restartAt = s.now + time.Duration(100+s.rng.IntN(100))*ms
	}
}

// shuffleTraffic draws anew how the requests fall on the gateways.
func (s *ceilingSimulation) shuffleTraffic() {
	s.trafficShares = make([]float64, len(s.gateways))
	sum := 0.0
	for rank, i := range s.rng.Perm(len(s.gateways)) {
		s.trafficShares[i] = math.Pow(float64(rank+1), -0.9)
		switch {
		case s.busiestShare > 0 && rank == 0:
			s.trafficShares[i] = s.busiestShare * float64(len(s.gateways)-1) / (1 - s.busiestShare)
		case s.busiestShare > 0:
			s.trafficShares[i] = 1
		}
		sum += s.trafficShares[i]
	}
	for i := range s.trafficShares {
		s.trafficShares[i] /= sum
	}
}

// meterReading is the meter's reading now, a share of the rate in whole percents.
func (s *ceilingSimulation) meterReading() float64 {
	period := s.cfg.MeterPeriod
	shownPeriod := int((s.now-s.meterLag(s.now))/period) - 1
	if shownPeriod < 0 {
		return 0
	}
	return math.Round(100*s.periodUse[shownPeriod]/(s.cfg.Plans[0].Rate*period.Seconds())) / 100
}

// run runs the fleet, and every gateway's kill at its time.
func (s *ceilingSimulation) run(t *testing.T, duration time.Duration, crashes map[time.Duration]int) {
	t.Helper()
	const tick = 10 * ms
	n := s.cfg.Gateways
	s.periodUse = make([]float64, duration/s.cfg.MeterPeriod+2)
	s.tokens = s.cfg.Plans[0].CeilingBurst
	s.minTokens = s.tokens
	for i := range n {
		g := &ceilingGateway{sim: s, index: i}
		s.gateways = append(s.gateways, g)
		g.start(t)
	}
	s.shuffleTraffic()
	meanUnits := (s.cfg.MaxUnits + 1) / 2
	requestsDue := 0.0
	for s.now = 0; s.now < duration; s.now += tick {
		if s.shuffleInterval > 0 && s.now > 0 && s.now%s.shuffleInterval == 0 {
			s.shuffleTraffic()
		}
		s.crash(crashes[s.now])
		for _, g := range s.gateways {
			if g.gateway == nil && s.now >= g.restartAt {
				g.start(t)
			}
		}
		reading, remaining := s.meterReading(), s.answers[:0]
		for _, a := range s.answers {
			switch {
			case a.at > s.now:
				remaining = append(remaining, a)
			case a.gateway.gateway != nil && a.incarnation == a.gateway.incarnation:
				a.outcome.Metered, a.outcome.Used = true, reading
				a.gateway.gateway.Outcome(s.now, a.outcome)
			}
		}
		s.answers = remaining
		for requestsDue += s.offeredRate(s.now) / meanUnits * tick.Seconds(); requestsDue >= 1; requestsDue-- {
			position := s.rng.Float64()
			i := 0
			for ; i < n-1 && position >= s.trafficShares[i]; i++ {
				position -= s.trafficShares[i]
			}
			for s.gateways[i].gateway == nil { // the front sends it to another
				i = s.rng.IntN(n)
			}
			s.nextID++
			id := s.nextID*uint32(s.cfg.MaxUnits) + uint32(s.rng.IntN(int(s.cfg.MaxUnits)))
			units := float64(id%uint32(s.cfg.MaxUnits)) + 1
			s.requestedUnits += units
			s.gateways[i].gateway.Request(s.now, choice.Request{ID: id, Customer: 1, SetSize: n, Units: units, TimeLeft: 2 * time.Second})
		}
	}
}

func newCeilingSimulation(gateways int, seed uint64, offeredRate func(time.Duration) float64) *ceilingSimulation {
	cfg := baseConfig()
	cfg.Gateways, cfg.MaxUnits, cfg.MeterPeriod = gateways, 3, time.Second
	cfg.Classes[0].Deadline = 4 * time.Second
	// As on the users' days: a set is no larger than the burst over two of the largest requests.
	cfg.Plans[0] = choice.Plan{Rate: 25, Burst: 1e9, Price: 1, CeilingRate: 55, CeilingBurst: 6.4 * float64(gateways), CeilingTolerance: 8}
	return &ceilingSimulation{cfg: cfg, rng: rand.New(rand.NewPCG(seed, 1)), offeredRate: offeredRate,
		meterLag: func(time.Duration) time.Duration { return 700 * ms }}
}

// What the gateways of a set first send for one customer stays within the
// ceiling's rate, burst and tolerance in every order: the meter late or later
// still, traffic uneven and shifting, gateways killed and started again. The
// quota lets all pass here, so that the ceiling alone holds.
func TestCeilingAppliesToWholeGatewaySet(t *testing.T) {
	steady := func(now time.Duration) float64 { return 200 }
	spikes := func(now time.Duration) float64 {
		if now%(12*time.Second) > 8*time.Second {
			return 200
		}
		return 6
	}
	delayedMeter := func(now time.Duration) time.Duration {
		if now > 15*time.Second && now < 35*time.Second {
			return 5 * time.Second
		}
		return 700 * ms
	}
	crashes := map[time.Duration]int{20600 * ms: 9, 24 * time.Second: 9, 32500 * ms: 9}
	for _, c := range []struct {
		name            string
		offeredRate     func(time.Duration) float64
		meterLag        func(time.Duration) time.Duration
		shuffleInterval time.Duration
		crashes         map[time.Duration]int
		busiestShare    float64
	}{
		{name: "always beyond", offeredRate: steady},
		{name: "always beyond, traffic shifts", offeredRate: steady, shuffleInterval: 10 * time.Second},
		{name: "always beyond, killed", offeredRate: steady, crashes: crashes},
		{name: "spikes, traffic shifts", offeredRate: spikes, shuffleInterval: 10 * time.Second},
		{name: "spikes, the meter later than usual", offeredRate: spikes, meterLag: delayedMeter, shuffleInterval: 10 * time.Second},
		{name: "spikes, the meter later, killed", offeredRate: spikes, meterLag: delayedMeter, shuffleInterval: 10 * time.Second, crashes: crashes},
		{name: "spikes, most at one gateway", offeredRate: spikes, meterLag: delayedMeter, shuffleInterval: 7 * time.Second, crashes: crashes, busiestShare: 0.6},
	} {
		t.Run(c.name, func(t *testing.T) {
			for seed := range uint64(12) {
				s := newCeilingSimulation(13, seed, c.offeredRate)
				if c.meterLag != nil {
					s.meterLag = c.meterLag
				}
				s.shuffleInterval, s.busiestShare = c.shuffleInterval, c.busiestShare
				s.run(t, 50*time.Second, c.crashes)
				if limit := -s.cfg.Plans[0].CeilingTolerance; s.minTokens < limit {
					t.Errorf("seed %d: the store stood at %.1f, want %.0f at least", seed, s.minTokens, limit)
				}
				if s.requestedUnits < 2*s.sentUnits {
					t.Fatalf("seed %d: %.0f of %.0f units passed: the ceiling was not in the way", seed, s.sentUnits, s.requestedUnits)
				}
			}
		})
	}
}

// Seven in ten gateways are killed right after a burst has emptied the store,
// and start again at once. Their part was drawn by the life before.
func TestRestartDoesNotRefillCeiling(t *testing.T) {
	s := newCeilingSimulation(13, 1, nil)
	s.periodUse = make([]float64, 60)
	plan := s.cfg.Plans[0]
	s.tokens, s.minTokens = plan.CeilingBurst, plan.CeilingBurst
	for i := range s.cfg.Gateways {
		g := &ceilingGateway{sim: s, index: i}
		s.gateways = append(s.gateways, g)
		g.start(t)
	}
	burst := func() float64 {
		before := s.sentUnits
		for range 20 {
			for _, g := range s.gateways {
				s.nextID++ // of one unit
				g.gateway.Request(s.now, choice.Request{ID: s.nextID * uint32(s.cfg.MaxUnits), Customer: 1,
					SetSize: len(s.gateways), Units: 1, TimeLeft: 2 * time.Second})
			}
		}
		return s.sentUnits - before
	}
	s.now = 30 * time.Second // all parts are full
	if first := burst(); first < plan.CeilingBurst-float64(len(s.gateways)) {
		t.Fatalf("%.0f units passed of a full store of %.0f", first, plan.CeilingBurst)
	}
	for _, g := range s.gateways[:9] {
		g.start(t)
	}
	if again := burst(); again > 0 {
		t.Errorf("%.0f units passed of an empty store, which then stood at %.1f", again, s.minTokens)
	}
}

// What falls on a gateway inside its even part passes, whatever the others
// send, also soon after a restart: an empty part fills like the store.
func TestEvenShareOfCeilingIsAdmitted(t *testing.T) {
	const gateways = 40
	cfg := baseConfig()
	cfg.Gateways, cfg.MaxUnits, cfg.MeterPeriod = gateways, 2, time.Second
	cfg.Plans[0] = choice.Plan{Rate: 1000, Burst: 1000, CeilingRate: 60, CeilingBurst: 160, Price: 1}
	g, rec := newTestGateway(t, cfg, newBackends(40))
	id := uint32(0)
	admit := func(now time.Duration, units float64) bool {
		id++
		return submitRequest(g, rec, now, choice.Request{ID: id, Customer: 1, SetSize: gateways, Units: units}, 0)
	}
	if admit(0, 1) {
		t.Error("passed of a part that is empty")
	}
	if !admit(700*ms, 1) {
		t.Error("refused with 1.05 units filled")
	}
	admitted, requested := 0.0, 0.0
	for now := 2 * time.Second; now < 30*time.Second; now += 720 * ms { // nine tenths of 1.5 units a second, and some chance
		requested++
		if admit(now, 1) {
			admitted++
		}
	}
	if admitted < requested {
		t.Errorf("%.0f of %.0f pass inside the even part, want all", admitted, requested)
	}
	now := 60 * time.Second // full again
	for n := range 4 {
		if !admit(now, 1) {
			t.Errorf("refused with %d of 4 units drawn", n)
		}
	}
	if admit(now, 1) {
		t.Error("a fifth unit passed of a part of 4")
	}
}

// The ceiling counts what comes to a backend, and when. Connections that fail
// late must not add what they held up to what has filled meanwhile.
func TestRetryAfterConnectFailureDrawsCeilingAgain(t *testing.T) {
	cfg := baseConfig()
	cfg.Plans[0] = choice.Plan{Rate: 1000, Burst: 1000, CeilingRate: 4, CeilingBurst: 8, Price: 1}
	g, rec := newTestGateway(t, cfg, newBackends(8))
	id := uint32(0)
	submit := func(now time.Duration) bool {
		id++
		g.Request(now, choice.Request{ID: id, Customer: 1, SetSize: 2, Units: 1, TimeLeft: 9 * time.Second})
		return len(rec.sent[id]) > 0
	}
	now := 20 * time.Second // the part of 4 is full
	for n := range 4 {
		if !submit(now) {
			t.Fatalf("refused with %d of 4 units drawn", n)
		}
	}
	now += 2 * time.Second // full again
	for id := range uint32(4) {
		g.Outcome(now, choice.Outcome{ID: id + 1, Backend: rec.sent[id+1][0], Status: choice.ConnectFailed})
		if len(rec.sent[id+1]) != 2 {
			t.Fatalf("request %d was not tried again: %v", id+1, rec.actions)
		}
	}
	if submit(now) {
		t.Error("a fifth unit comes to a backend at once, of a part of 4")
	}
	// One that was turned away has come to a backend: its repeat draws nothing more.
	g.Outcome(now, choice.Outcome{ID: 1, Attempt: 1, Backend: rec.sent[1][1], Status: choice.Refused})
	if len(rec.sent[1]) != 3 {
		t.Error("a request that was turned away was not tried again with the part empty")
	}
	// Without units left, what never came is refused.
	g.Outcome(now, choice.Outcome{ID: 2, Attempt: 1, Backend: rec.sent[2][1], Status: choice.ConnectFailed})
	if len(rec.sent[2]) != 2 || !rec.refused[2] {
		t.Errorf("request 2 was sent %d times, refused: %v; want it refused with the part empty", len(rec.sent[2]), rec.refused[2])
	}
}
