package choice_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"cedarseam/choice"
)

// ceilingFleet plays one customer's gateways on a clock of its own: requests by
// chance, uneven over the gateways, answers that carry a late meter, and
// gateways that are killed and start again. It keeps the one true store.
type ceilingFleet struct {
	cfg   choice.Config
	rng   *rand.Rand
	now   time.Duration
	gates []*ceilingGate

	offered func(now time.Duration) float64       // units a second
	late    func(now time.Duration) time.Duration // from a period's end to its first showing
	shift   time.Duration                         // the busiest gateways change so often; 0: never
	busiest float64                               // share of the busiest gateway; 0: by a power law

	weights []float64
	use     []float64 // units first sent, by period
	due     []ceilingAnswer
	nextID  uint32

	level, least  float64 // the true store, and the lowest it stood
	at            time.Duration
	asked, passed float64
}

type ceilingGate struct {
	f    *ceilingFleet
	g    *choice.Gateway // nil while it is down
	back time.Duration   // when it starts again
	life int
	self int
}

type ceilingAnswer struct {
	at   time.Duration
	gate *ceilingGate
	life int
	out  choice.Outcome
}

func (g *ceilingGate) Send(id, backend uint32, _ time.Duration) {
	f := g.f
	units := float64(id%uint32(f.cfg.MaxUnits)) + 1
	p := f.cfg.Plans[0]
	f.level = min(p.CeilingBurst, f.level+(f.now-f.at).Seconds()*p.CeilingRate) - units
	f.at = f.now
	f.least = min(f.least, f.level)
	f.passed += units
	f.use[f.now/f.cfg.MeterPeriod] += units
	f.due = append(f.due, ceilingAnswer{f.now + time.Duration(50+f.rng.IntN(200))*ms, g, g.life,
		choice.Outcome{ID: id, Backend: backend, Status: choice.OK, Answered: true, Elapsed: 100 * ms}})
}
func (g *ceilingGate) Refuse(uint32, time.Duration, choice.Reason) {}
func (g *ceilingGate) Fail(uint32, choice.Reason)                  {}
func (g *ceilingGate) Cancel(uint32, int)                          {}
func (g *ceilingGate) Probe(uint32)                                {}
func (g *ceilingGate) SetTimer(time.Duration, uint64)              {}

func (g *ceilingGate) start(t *testing.T) {
	t.Helper()
	cfg := g.f.cfg
	cfg.Self = g.self
	g.life++
	var err error
	if g.g, err = choice.New(cfg, g.f.rng.Uint64(), g.f.now, g); err != nil {
		t.Fatal(err)
	}
	g.g.UpdateBackends(g.f.now, choice.Cached, backends(40))
}

// kill ends so many gateways at once, and starts each again within a second.
func (f *ceilingFleet) kill(n int) {
	for _, i := range f.rng.Perm(len(f.gates))[:n] {
		f.gates[i].g = nil
		f.gates[i].back = f.now + time.Duration(100+f.rng.IntN(100))*ms
	}
}

// deal draws anew how the requests fall on the gateways.
func (f *ceilingFleet) deal() {
	f.weights = make([]float64, len(f.gates))
	sum := 0.0
	for rank, i := range f.rng.Perm(len(f.gates)) {
		f.weights[i] = math.Pow(float64(rank+1), -0.9)
		switch {
		case f.busiest > 0 && rank == 0:
			f.weights[i] = f.busiest * float64(len(f.gates)-1) / (1 - f.busiest)
		case f.busiest > 0:
			f.weights[i] = 1
		}
		sum += f.weights[i]
	}
	for i := range f.weights {
		f.weights[i] /= sum
	}
}

// shown is the meter's reading now, a share of the rate in whole percents.
func (f *ceilingFleet) shown() float64 {
	period := f.cfg.MeterPeriod
	k := int((f.now-f.late(f.now))/period) - 1
	if k < 0 {
		return 0
	}
	return math.Round(100*f.use[k]/(f.cfg.Plans[0].Rate*period.Seconds())) / 100
}

// play runs the fleet, and every gateway's kill at its time.
func (f *ceilingFleet) play(t *testing.T, length time.Duration, kills map[time.Duration]int) {
	t.Helper()
	const tick = 10 * ms
	n := f.cfg.Gateways
	f.use = make([]float64, length/f.cfg.MeterPeriod+2)
	f.level = f.cfg.Plans[0].CeilingBurst
	f.least = f.level
	for i := range n {
		g := &ceilingGate{f: f, self: i}
		f.gates = append(f.gates, g)
		g.start(t)
	}
	f.deal()
	mean := (f.cfg.MaxUnits + 1) / 2
	owed := 0.0
	for f.now = 0; f.now < length; f.now += tick {
		if f.shift > 0 && f.now > 0 && f.now%f.shift == 0 {
			f.deal()
		}
		f.kill(kills[f.now])
		for _, g := range f.gates {
			if g.g == nil && f.now >= g.back {
				g.start(t)
			}
		}
		shown, left := f.shown(), f.due[:0]
		for _, a := range f.due {
			switch {
			case a.at > f.now:
				left = append(left, a)
			case a.gate.g != nil && a.life == a.gate.life:
				a.out.Metered, a.out.Used = true, shown
				a.gate.g.Outcome(f.now, a.out)
			}
		}
		f.due = left
		for owed += f.offered(f.now) / mean * tick.Seconds(); owed >= 1; owed-- {
			at := f.rng.Float64()
			i := 0
			for ; i < n-1 && at >= f.weights[i]; i++ {
				at -= f.weights[i]
			}
			for f.gates[i].g == nil { // the front sends it to another
				i = f.rng.IntN(n)
			}
			f.nextID++
			id := f.nextID*uint32(f.cfg.MaxUnits) + uint32(f.rng.IntN(int(f.cfg.MaxUnits)))
			units := float64(id%uint32(f.cfg.MaxUnits)) + 1
			f.asked += units
			f.gates[i].g.Request(f.now, choice.Request{ID: id, Customer: 1, SetSize: n, Units: units, TimeLeft: 2 * time.Second})
		}
	}
}

func newCeilingFleet(gateways int, seed uint64, offered func(time.Duration) float64) *ceilingFleet {
	cfg := plain()
	cfg.Gateways, cfg.MaxUnits, cfg.MeterPeriod = gateways, 3, time.Second
	cfg.Classes[0].Deadline = 4 * time.Second
	// As on the users' days: a set is no larger than the burst over two of the largest requests.
	cfg.Plans[0] = choice.Plan{Rate: 25, Burst: 1e9, Price: 1, CeilingRate: 55, CeilingBurst: 6.4 * float64(gateways), CeilingTolerance: 8}
	return &ceilingFleet{cfg: cfg, rng: rand.New(rand.NewPCG(seed, 1)), offered: offered,
		late: func(time.Duration) time.Duration { return 700 * ms }}
}

// What the gateways of a set first send for one customer stays within the
// ceiling's rate, burst and tolerance in every order: the meter late or later
// still, traffic uneven and shifting, gateways killed and started again. The
// quota lets all pass here, so that the ceiling alone holds.
func TestCeilingHoldsForTheWholeSet(t *testing.T) {
	steady := func(now time.Duration) float64 { return 200 }
	spikes := func(now time.Duration) float64 {
		if now%(12*time.Second) > 8*time.Second {
			return 200
		}
		return 6
	}
	lateSpell := func(now time.Duration) time.Duration {
		if now > 15*time.Second && now < 35*time.Second {
			return 5 * time.Second
		}
		return 700 * ms
	}
	kills := map[time.Duration]int{20600 * ms: 9, 24 * time.Second: 9, 32500 * ms: 9}
	for _, c := range []struct {
		name    string
		offered func(time.Duration) float64
		late    func(time.Duration) time.Duration
		shift   time.Duration
		kills   map[time.Duration]int
		busiest float64
	}{
		{name: "always beyond", offered: steady},
		{name: "always beyond, traffic shifts", offered: steady, shift: 10 * time.Second},
		{name: "always beyond, killed", offered: steady, kills: kills},
		{name: "spikes, traffic shifts", offered: spikes, shift: 10 * time.Second},
		{name: "spikes, the meter later than usual", offered: spikes, late: lateSpell, shift: 10 * time.Second},
		{name: "spikes, the meter later, killed", offered: spikes, late: lateSpell, shift: 10 * time.Second, kills: kills},
		{name: "spikes, most at one gateway", offered: spikes, late: lateSpell, shift: 7 * time.Second, kills: kills, busiest: 0.6},
	} {
		t.Run(c.name, func(t *testing.T) {
			for seed := range uint64(12) {
				f := newCeilingFleet(13, seed, c.offered)
				if c.late != nil {
					f.late = c.late
				}
				f.shift, f.busiest = c.shift, c.busiest
				f.play(t, 50*time.Second, c.kills)
				if most := -f.cfg.Plans[0].CeilingTolerance; f.least < most {
					t.Errorf("seed %d: the store stood at %.1f, want %.0f at least", seed, f.least, most)
				}
				if f.asked < 2*f.passed {
					t.Fatalf("seed %d: %.0f of %.0f units passed: the ceiling was not in the way", seed, f.passed, f.asked)
				}
			}
		})
	}
}

// Seven in ten gateways are killed right after a burst has emptied the store,
// and start again at once. Their part was drawn by the life before.
func TestRestartedGatewaysBringNoUnitsBack(t *testing.T) {
	f := newCeilingFleet(13, 1, nil)
	f.use = make([]float64, 60)
	p := f.cfg.Plans[0]
	f.level, f.least = p.CeilingBurst, p.CeilingBurst
	for i := range f.cfg.Gateways {
		g := &ceilingGate{f: f, self: i}
		f.gates = append(f.gates, g)
		g.start(t)
	}
	burst := func() float64 {
		passed := f.passed
		for range 20 {
			for _, g := range f.gates {
				f.nextID++ // of one unit
				g.g.Request(f.now, choice.Request{ID: f.nextID * uint32(f.cfg.MaxUnits), Customer: 1,
					SetSize: len(f.gates), Units: 1, TimeLeft: 2 * time.Second})
			}
		}
		return f.passed - passed
	}
	f.now = 30 * time.Second // all parts are full
	if first := burst(); first < p.CeilingBurst-float64(len(f.gates)) {
		t.Fatalf("%.0f units passed of a full store of %.0f", first, p.CeilingBurst)
	}
	for _, g := range f.gates[:9] {
		g.start(t)
	}
	if again := burst(); again > 0 {
		t.Errorf("%.0f units passed of an empty store, which then stood at %.1f", again, f.least)
	}
}

// What falls on a gateway inside its even part passes, whatever the others
// send, also soon after a restart: an empty part fills like the store.
func TestEvenPartOfTheCeilingPasses(t *testing.T) {
	const gateways = 40
	cfg := plain()
	cfg.Gateways, cfg.MaxUnits, cfg.MeterPeriod = gateways, 2, time.Second
	cfg.Plans[0] = choice.Plan{Rate: 1000, Burst: 1000, CeilingRate: 60, CeilingBurst: 160, Price: 1}
	g, rec := open(t, cfg, backends(40))
	id := uint32(0)
	take := func(now time.Duration, units float64) bool {
		id++
		return ask(g, rec, now, choice.Request{ID: id, Customer: 1, SetSize: gateways, Units: units}, 0)
	}
	if take(0, 1) {
		t.Error("passed of a part that is empty")
	}
	if !take(700*ms, 1) {
		t.Error("refused with 1.05 units filled")
	}
	passed, asked := 0.0, 0.0
	for now := 2 * time.Second; now < 30*time.Second; now += 720 * ms { // nine tenths of 1.5 units a second, and some chance
		asked++
		if take(now, 1) {
			passed++
		}
	}
	if passed < asked {
		t.Errorf("%.0f of %.0f pass inside the even part, want all", passed, asked)
	}
	now := 60 * time.Second // full again
	for n := range 4 {
		if !take(now, 1) {
			t.Errorf("refused with %d of 4 units drawn", n)
		}
	}
	if take(now, 1) {
		t.Error("a fifth unit passed of a part of 4")
	}
}

// The ceiling counts what comes to a backend, and when. Connections that fail
// late must not add what they held up to what has filled meanwhile.
func TestRepeatOfWhatNeverCameDrawsAnew(t *testing.T) {
	cfg := plain()
	cfg.Plans[0] = choice.Plan{Rate: 1000, Burst: 1000, CeilingRate: 4, CeilingBurst: 8, Price: 1}
	g, rec := open(t, cfg, backends(8))
	id := uint32(0)
	ask := func(now time.Duration) bool {
		id++
		g.Request(now, choice.Request{ID: id, Customer: 1, SetSize: 2, Units: 1, TimeLeft: 9 * time.Second})
		return len(rec.sent[id]) > 0
	}
	now := 20 * time.Second // the part of 4 is full
	for n := range 4 {
		if !ask(now) {
			t.Fatalf("refused with %d of 4 units drawn", n)
		}
	}
	now += 2 * time.Second // full again
	for id := range uint32(4) {
		g.Outcome(now, choice.Outcome{ID: id + 1, Backend: rec.sent[id+1][0], Status: choice.ConnectFailed})
		if len(rec.sent[id+1]) != 2 {
			t.Fatalf("request %d was not tried again: %v", id+1, rec.log)
		}
	}
	if ask(now) {
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
