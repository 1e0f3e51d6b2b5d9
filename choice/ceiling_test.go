package choice_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"cedarseam/choice"
)

// ceilingSimulation simulates the gateways of one customer: requests arrive at random and unevenly over the
// gateways, answers report delayed meter readings, and gateways crash and restart. It keeps the reference
// token bucket of the ceiling, from which the requests of all gateways draw.
type ceilingSimulation struct {
	cfg      choice.Config
	rng      *rand.Rand
	now      time.Duration
	gateways []*ceilingGateway

	offeredRate     func(now time.Duration) float64       // units a second
	meterLag        func(now time.Duration) time.Duration // from the end of a period to its first reading
	shuffleInterval time.Duration                         // how often the traffic shares change; 0: never
	busiestShare    float64                               // of the busiest gateway; 0: by a power law

	trafficShares []float64
	periodUse     []float64 // units of the first attempts, by meter period
	answers       []ceilingAnswer
	nextID        uint32

	tokens, minTokens         float64 // the reference bucket, and its lowest level
	tokensAt                  time.Duration
	requestedUnits, sentUnits float64
}

// ceilingGateway is a gateway of the simulation and the Actions of its current process.
type ceilingGateway struct {
	sim         *ceilingSimulation
	gateway     *choice.Gateway // nil while the gateway is down
	restartAt   time.Duration   // when it restarts, if it is down
	incarnation int
	index       int
}

// ceilingAnswer is the answer to an attempt of one process of a gateway.
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
	s.answers = append(s.answers, ceilingAnswer{
		s.now + time.Duration(50+s.rng.IntN(200))*ms, g, g.incarnation,
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

// crash stops n random gateways. Each restarts 100 to 199 ms later.
func (s *ceilingSimulation) crash(n int) {
	for _, i := range s.rng.Perm(len(s.gateways))[:n] {
		s.gateways[i].gateway = nil
		s.gateways[i].restartAt = s.now + time.Duration(100+s.rng.IntN(100))*ms
	}
}

// shuffleTraffic draws new shares of the requests for the gateways.
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

// meterReading returns the current reading of the meter: a fraction of the rate, in whole percents.
func (s *ceilingSimulation) meterReading() float64 {
	period := s.cfg.MeterPeriod
	shownPeriod := int((s.now-s.meterLag(s.now))/period) - 1
	if shownPeriod < 0 {
		return 0
	}
	return math.Round(100*s.periodUse[shownPeriod]/(s.cfg.Plans[0].Rate*period.Seconds())) / 100
}

// run runs the simulation. crashes gives the number of gateways that crash, by time.
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
			for s.gateways[i].gateway == nil { // clients reach another gateway
				i = s.rng.IntN(n)
			}
			s.nextID++
			id := s.nextID*uint32(s.cfg.MaxUnits) + uint32(s.rng.IntN(int(s.cfg.MaxUnits)))
			units := float64(id%uint32(s.cfg.MaxUnits)) + 1
			s.requestedUnits += units
			s.gateways[i].gateway.Request(s.now, choice.Request{ID: id, Customer: 1, SetSize: n,
				Units: units, TimeLeft: 2 * time.Second})
		}
	}
}

func newCeilingSimulation(gateways int, seed uint64,
	offeredRate func(time.Duration) float64) *ceilingSimulation {
	cfg := baseConfig()
	cfg.Gateways, cfg.MaxUnits, cfg.MeterPeriod = gateways, 3, time.Second
	cfg.Classes[0].Deadline = 4 * time.Second
	// As in the deployments, the burst holds at least two of the largest requests for each gateway of the
	// set.
	cfg.Plans[0] = choice.Plan{Rate: 25, Burst: 1e9, Price: 1,
		CeilingRate: 55, CeilingBurst: 6.4 * float64(gateways), CeilingTolerance: 8}
	return &ceilingSimulation{cfg: cfg, rng: rand.New(rand.NewPCG(seed, 1)), offeredRate: offeredRate,
		meterLag: func(time.Duration) time.Duration { return 700 * ms }}
}

// The first attempts of all gateways of a set must stay within the ceiling's rate, burst and tolerance: also
// with a delayed meter, with uneven and shifting traffic, and when gateways crash and restart. The quota
// admits everything here, so that only the ceiling limits.
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
		{name: "always above the ceiling", offeredRate: steady},
		{name: "always above the ceiling, traffic shifts", offeredRate: steady,
			shuffleInterval: 10 * time.Second},
		{name: "always above the ceiling, crashes", offeredRate: steady, crashes: crashes},
		{name: "spikes, traffic shifts", offeredRate: spikes, shuffleInterval: 10 * time.Second},
		{name: "spikes, delayed meter", offeredRate: spikes, meterLag: delayedMeter,
			shuffleInterval: 10 * time.Second},
		{name: "spikes, delayed meter, crashes", offeredRate: spikes, meterLag: delayedMeter,
			shuffleInterval: 10 * time.Second, crashes: crashes},
		{name: "spikes, most at one gateway", offeredRate: spikes, meterLag: delayedMeter,
			shuffleInterval: 7 * time.Second, crashes: crashes, busiestShare: 0.6},
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
					t.Errorf("seed %d: the reference bucket fell to %.1f units, want at least %.0f",
						seed, s.minTokens, limit)
				}
				if s.requestedUnits < 2*s.sentUnits {
					t.Fatalf("seed %d: %.0f of %.0f units sent, want at most half: the ceiling did not limit",
						seed, s.sentUnits, s.requestedUnits)
				}
			}
		})
	}
}

// Nine of 13 gateways restart right after a burst has emptied the ceiling's bucket. The previous processes
// have drawn their shares, so the new ones must not start with full shares.
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
				s.nextID++ // with this id the request is of one unit; see Send
				g.gateway.Request(s.now, choice.Request{ID: s.nextID * uint32(s.cfg.MaxUnits), Customer: 1,
					SetSize: len(s.gateways), Units: 1, TimeLeft: 2 * time.Second})
			}
		}
		return s.sentUnits - before
	}
	s.now = 30 * time.Second // the shares of all gateways are full
	if first := burst(); first < plan.CeilingBurst-float64(len(s.gateways)) {
		t.Fatalf("%.0f units sent from a full bucket of %.0f, want nearly all", first, plan.CeilingBurst)
	}
	for _, g := range s.gateways[:9] {
		g.start(t)
	}
	if again := burst(); again > 0 {
		t.Errorf("%.0f units sent from an empty bucket, which fell to %.1f; want none", again, s.minTokens)
	}
}

// Requests within a gateway's even share of the ceiling must be admitted, whatever other gateways send, and
// also soon after a restart: the empty share refills at its even part of the ceiling's rate.
func TestEvenShareOfCeilingIsAdmitted(t *testing.T) {
	const gateways = 40
	cfg := baseConfig()
	cfg.Gateways, cfg.MaxUnits, cfg.MeterPeriod = gateways, 2, time.Second
	cfg.Plans[0] = choice.Plan{Rate: 1000, Burst: 1000, CeilingRate: 60, CeilingBurst: 160, Price: 1}
	g, rec := newTestGateway(t, cfg, newBackends(40))
	id := uint32(0)
	admit := func(now time.Duration, units float64) bool {
		id++
		return submitRequest(g, rec, now, choice.Request{ID: id, Customer: 1, SetSize: gateways,
			Units: units}, 0)
	}
	if admit(0, 1) {
		t.Error("admitted with an empty share")
	}
	if !admit(700*ms, 1) {
		t.Error("refused with 1.05 units in the share")
	}
	admitted, requested := 0.0, 0.0
	// 1.39 units a second, within the share's rate of 1.5
	for now := 2 * time.Second; now < 30*time.Second; now += 720 * ms {
		requested++
		if admit(now, 1) {
			admitted++
		}
	}
	if admitted < requested {
		t.Errorf("%.0f of %.0f admitted within the even share, want all", admitted, requested)
	}
	now := 60 * time.Second // the share is full again
	for n := range 4 {
		if !admit(now, 1) {
			t.Errorf("refused with %d of the share's 4 units drawn", n)
		}
	}
	if admit(now, 1) {
		t.Error("a fifth unit was admitted with a share of 4 units")
	}
}

// The ceiling counts units at the time at which a backend receives them. When a connection fails late, the
// units of its attempt have been refilled in the meantime: the retry must draw again, or both would be sent.
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
	now := 20 * time.Second // the share of 4 units is full
	for n := range 4 {
		if !submit(now) {
			t.Fatalf("refused with %d of the share's 4 units drawn", n)
		}
	}
	now += 2 * time.Second // the share is full again
	for id := range uint32(4) {
		g.Outcome(now, choice.Outcome{ID: id + 1, Backend: rec.sent[id+1][0], Status: choice.ConnectFailed})
		if len(rec.sent[id+1]) != 2 {
			t.Fatalf("request %d was not retried; the actions are %v", id+1, rec.actions)
		}
	}
	if submit(now) {
		t.Error("a fifth unit was sent at once with a share of 4 units")
	}
	// A refused attempt has reached a backend: its retry draws no further units.
	g.Outcome(now, choice.Outcome{ID: 1, Attempt: 1, Backend: rec.sent[1][1], Status: choice.Refused})
	if len(rec.sent[1]) != 3 {
		t.Error("a request that a backend refused was not retried with the share empty")
	}
	// A request that never reached a backend is refused once no units are left.
	g.Outcome(now, choice.Outcome{ID: 2, Attempt: 1, Backend: rec.sent[2][1], Status: choice.ConnectFailed})
	if len(rec.sent[2]) != 2 || !rec.refused[2] {
		t.Errorf("with an empty share request 2 was sent %d times, refused: %t; want 2 times and refused",
			len(rec.sent[2]), rec.refused[2])
	}
}
