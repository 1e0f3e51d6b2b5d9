package choice_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cedarseam/choice"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		flag.Set("rapid.seed", "20261128") // the same events in every run
	}
	os.Exit(m.Run())
}

// ruleChecker checks five rules on the events and actions of several gateways. It shares no code with the
// package. The rules are:
//
//  1. Each request has its final answer by its deadline, and nothing is sent for it afterwards.
//  2. An attempt that may have run is repeated only as the effect of the class allows, no request has two
//     attempts in flight unless hedging is on, and a refusal is given only if a retry by the client is safe.
//  3. Nothing is sent to a draining or removed backend after Config.DrainGrace.
//  4. A cold backend is not overloaded.
//  5. First attempts stay within the ceiling of the customer's plan, over all gateways.
type ruleChecker struct {
	cfg        choice.Config
	now        time.Duration
	backends   map[uint32]observedBackend
	requests   map[uint32]*observedRequest
	ceilings   map[uint64]*observedCeiling
	violations []string
}

// observedBackend is a backend as last listed.
type observedBackend struct {
	choice.Backend
	excluded   bool
	excludedAt time.Duration
	sends      []time.Duration // times of the sends since its last start
}

// observedRequest is a request and the attempts sent for it.
type observedRequest struct {
	choice.Request
	gateway  int
	deadline time.Duration
	attempts []observedAttempt
	ended    bool
}

// observedAttempt is an attempt and what its outcome tells.
type observedAttempt struct {
	backend            choice.Backend
	sentAt             time.Duration
	inFlight, neverRan bool
}

// observedCeiling is the token bucket of a customer's ceiling.
type observedCeiling struct {
	tokens    float64
	updatedAt time.Duration
}

func newRuleChecker(cfg choice.Config) *ruleChecker {
	return &ruleChecker{cfg: cfg, backends: map[uint32]observedBackend{},
		requests: map[uint32]*observedRequest{}, ceilings: map[uint64]*observedCeiling{}}
}

func (c *ruleChecker) reportViolation(rule int, format string, args ...any) {
	c.violations = append(c.violations,
		fmt.Sprintf("rule %d at %v: ", rule, c.now)+fmt.Sprintf(format, args...))
}

func (c *ruleChecker) request(gateway int, r choice.Request) {
	c.requests[r.ID] = &observedRequest{Request: r, gateway: gateway, deadline: c.now + r.TimeLeft}
}

func (c *ruleChecker) updateBackends(kind choice.ListKind, list []choice.Backend) {
	if kind != choice.Delta && kind != choice.Failed {
		for id, b := range c.backends {
			if !b.excluded {
				b.excluded, b.excludedAt = true, c.now
			}
			c.backends[id] = b
		}
	}
	for _, entry := range list {
		b, known := c.backends[entry.ID]
		if known && b.Started != entry.Started {
			b.sends = nil
		}
		wasExcluded := b.excluded
		b.Backend, b.excluded = entry, entry.State != choice.Ready
		if b.excluded && (!wasExcluded || !known) {
			b.excludedAt = c.now
		}
		c.backends[entry.ID] = b
	}
}

func (c *ruleChecker) send(id, backend uint32) {
	r, b := c.requests[id], c.backends[backend]
	if r == nil || r.ended {
		c.reportViolation(1, "send for request %d, which has its final answer", id)
		return
	}
	if b.excluded && c.now > b.excludedAt+c.cfg.DrainGrace {
		c.reportViolation(3, "request %d is sent to backend %d, which is draining or removed", id, backend)
	}
	class := c.cfg.Classes[r.Class]
	var first *observedAttempt // the first attempt that may have run
	for i := range r.attempts {
		a := &r.attempts[i]
		if a.inFlight && !c.cfg.Hedging {
			c.reportViolation(2, "request %d has two attempts in flight", id)
		}
		if !a.neverRan && first == nil {
			first = a
		}
	}
	if first != nil {
		switch class.Effect {
		case choice.SingleShot:
			c.reportViolation(2, "request %d may have run and is sent again", id)
		case choice.Guarded:
			inGroup := class.Group == choice.GroupAll ||
				class.Group == choice.GroupZone && first.backend.Zone == b.Zone ||
				class.Group == choice.GroupCell && first.backend.Cell == b.Cell
			if !inGroup || c.now-first.sentAt > class.DedupWindow {
				c.reportViolation(2, "request %d is sent again outside its group or deduplication window",
					id)
			}
		}
	}
	if len(r.attempts) == 0 {
		c.drawCeiling(r)
	}
	if age := c.now - b.Started; b.StartKnown && age < c.cfg.WarmUpPeriod {
		c.checkColdLimit(b, age)
		b.sends = append(b.sends, c.now)
		c.backends[backend] = b
	}
	r.attempts = append(r.attempts, observedAttempt{backend: b.Backend, sentAt: c.now, inFlight: true})
}

// drawCeiling draws the units of a first attempt from the ceiling's bucket, which all gateways share.
func (c *ruleChecker) drawCeiling(r *observedRequest) {
	plan := c.cfg.Plans[r.Plan]
	if plan.CeilingRate == 0 {
		return
	}
	ceiling := c.ceilings[r.Customer]
	if ceiling == nil {
		ceiling = &observedCeiling{tokens: plan.CeilingBurst, updatedAt: c.now}
		c.ceilings[r.Customer] = ceiling
	}
	ceiling.tokens = min(plan.CeilingBurst,
		ceiling.tokens+(c.now-ceiling.updatedAt).Seconds()*plan.CeilingRate) - r.Units
	ceiling.updatedAt = c.now
	if ceiling.tokens < -plan.CeilingTolerance-1e-6 {
		c.reportViolation(5, "customer %d has %.2f units left in its ceiling", r.Customer, ceiling.tokens)
	}
}

// ruleWarmCapacity is the capacity of a warm backend in these tests, in requests a second.
const ruleWarmCapacity = 40

func (c *ruleChecker) checkColdLimit(b observedBackend, age time.Duration) {
	sends := 1
	for _, sentAt := range b.sends {
		if sentAt > c.now-c.cfg.ColdOverloadPeriod {
			sends++
		}
	}
	capacityFraction := c.cfg.InitialCapacity +
		(1-c.cfg.InitialCapacity)*age.Seconds()/c.cfg.WarmUpPeriod.Seconds()
	if limit := c.cfg.ColdOverloadFactor*capacityFraction*ruleWarmCapacity*
		c.cfg.ColdOverloadPeriod.Seconds() + 8; float64(sends) > limit {
		c.reportViolation(4, "cold backend %d was sent %d in %v, want at most %.0f",
			b.ID, sends, c.cfg.ColdOverloadPeriod, limit)
	}
}

func (c *ruleChecker) outcome(id uint32, attempt int, status choice.Status, answered bool) {
	r := c.requests[id]
	a := &r.attempts[attempt]
	a.inFlight = false
	a.neverRan = status == choice.Refused || status == choice.ConnectFailed ||
		status == choice.CancelledBeforeSend
	r.ended = r.ended || answered
}

func (c *ruleChecker) refuse(id uint32) {
	r := c.requests[id]
	if r == nil {
		return
	}
	for _, a := range r.attempts {
		class := c.cfg.Classes[r.Class]
		if !a.neverRan && (class.Effect == choice.SingleShot ||
			class.Effect == choice.Guarded && class.Group != choice.GroupAll) {
			c.reportViolation(2, "request %d may have run and is refused", id)
		}
	}
	r.ended = true
}

// advanceTo sets the time, and reports and closes overdue requests.
func (c *ruleChecker) advanceTo(now time.Duration, slack time.Duration) {
	c.now = now
	for id, r := range c.requests {
		if !r.ended && now > r.deadline+slack {
			c.reportViolation(1, "request %d has no answer at its deadline", id)
			r.ended = true
		}
	}
}

// The checker must report events that violate a rule, for each of the rules.
func TestRuleCheckerDetectsEachViolation(t *testing.T) {
	cfg := ruleConfig(0)
	ready := choice.Backend{ID: 1, Zone: 0, Cell: 0}
	other := choice.Backend{ID: 2, Zone: 1, Cell: 1}
	cases := []struct {
		name   string
		rule   string
		events func(c *ruleChecker)
	}{
		{"no answer", "rule 1", func(c *ruleChecker) { c.advanceTo(10*time.Second, 8*time.Millisecond) }},
		{"sent after the answer", "rule 1", func(c *ruleChecker) { c.refuse(1); c.send(1, 1) }},
		{"single shot repeated", "rule 2", func(c *ruleChecker) {
			c.send(2, 1)
			c.outcome(2, 0, choice.Error, false)
			c.send(2, 2)
		}},
		{"single shot refused", "rule 2", func(c *ruleChecker) {
			c.send(2, 1)
			c.outcome(2, 0, choice.Timeout, false)
			c.refuse(2)
		}},
		{"two in flight", "rule 2", func(c *ruleChecker) {
			c.cfg.Hedging = false
			c.send(1, 1)
			c.send(1, 2)
		}},
		{"outside the group", "rule 2", func(c *ruleChecker) {
			c.send(3, 1)
			c.outcome(3, 0, choice.Reset, false)
			c.send(3, 2)
		}},
		{"draining", "rule 3", func(c *ruleChecker) {
			c.updateBackends(choice.Delta, []choice.Backend{{ID: 1, State: choice.Draining}})
			c.now += time.Second
			c.send(1, 1)
		}},
		{"not in a full list", "rule 3", func(c *ruleChecker) {
			c.updateBackends(choice.Full, []choice.Backend{other})
			c.now += time.Second
			c.send(1, 1)
		}},
		{"cold", "rule 4", func(c *ruleChecker) {
			c.updateBackends(choice.Delta, []choice.Backend{{ID: 1, StartKnown: true, Started: c.now}})
			for i := range uint32(200) {
				c.request(0, choice.Request{ID: 100 + i, TimeLeft: time.Second})
				c.send(100+i, 1)
			}
		}},
		{"ceiling", "rule 5", func(c *ruleChecker) {
			for i := range uint32(40) {
				c.request(0, choice.Request{ID: 100 + i, Plan: 1, Customer: 7, Units: 1,
					TimeLeft: time.Second})
				c.send(100+i, 1)
			}
		}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := newRuleChecker(cfg)
			c.now = time.Second
			c.updateBackends(choice.Cached, []choice.Backend{ready, other})
			for id := range uint32(3) {
				c.request(0, choice.Request{ID: id + 1, Class: int(id), TimeLeft: time.Second, Units: 1})
			}
			tc.events(c)
			if len(c.violations) == 0 || c.violations[0][:6] != tc.rule {
				t.Fatalf("checker reported %q, want a violation of %s", c.violations, tc.rule)
			}
		})
	}
}

// ruleConfig returns one of five configurations for the checks of the rules.
func ruleConfig(kind int) choice.Config {
	cfg := choice.Config{
		Gateways: 3, Tick: 2 * time.Millisecond, MeterPeriod: 500 * time.Millisecond, MaxUnits: 2,
		Classes: []choice.Class{
			{Aim: 400 * time.Millisecond, Deadline: 1500 * time.Millisecond, Worth: 1, Effect: choice.Free},
			{Aim: 400 * time.Millisecond, Deadline: 1500 * time.Millisecond, Worth: 4,
				Effect: choice.SingleShot},
			{Aim: 300 * time.Millisecond, Deadline: time.Second, Worth: 2, Effect: choice.Guarded,
				Group: choice.Group((kind + 1) % 3), DedupWindow: 700 * time.Millisecond},
		},
		Plans: []choice.Plan{
			{Rate: 5, Burst: 10, Price: 1, OveruseCost: 1},
			{Rate: 8, Burst: 12, Price: 2, OveruseCost: 1, CeilingRate: 14, CeilingBurst: 20,
				CeilingTolerance: 2},
			{MaxInFlight: 3, Price: 1, OveruseCost: 1},
			{Rate: 10, Burst: 20, MaxInFlight: 5, Price: 1, OveruseCost: 1},
		},
		MaxAttempts: 4, Hedging: kind%2 == 1, Cancelling: kind != 2, Probing: kind == 3,
		ReportFields: []string{"inflight"}, RetryAfterSupported: true, MaxRetryAfter: time.Second,
		WeightsTrusted:  true,
		InitialCapacity: 0.2, WarmUpPeriod: 10 * time.Second,
		ColdOverloadFactor: 3, ColdOverloadPeriod: 2 * time.Second, DrainGrace: 500 * time.Millisecond,
	}
	switch kind {
	case 3:
		cfg.Gateways = 1
	case 4:
		cfg.Gateways = 50
	}
	return cfg
}

// eventDriver drives gateways with random valid events, and reports them to the checker.
type eventDriver struct {
	t        *rapid.T
	checker  *ruleChecker
	cfg      choice.Config
	gateways []*choice.Gateway
	inFlight []pendingAttempt
	nextID   uint32
	backends []choice.Backend
}

// pendingAttempt is an attempt in flight.
type pendingAttempt struct {
	gateway  int
	id       uint32
	attempt  int
	backend  uint32
	sentAt   time.Duration
	deadline time.Duration
}

// driverActions is the Actions of one gateway.
type driverActions struct {
	driver  *eventDriver
	gateway int
}

func (p driverActions) Send(id, backend uint32, timeout time.Duration) {
	d := p.driver
	d.checker.send(id, backend)
	r := d.checker.requests[id]
	deadline := r.deadline
	if timeout > 0 {
		deadline = min(deadline, d.checker.now+timeout)
	}
	d.inFlight = append(d.inFlight, pendingAttempt{p.gateway, id, len(r.attempts) - 1, backend,
		d.checker.now, deadline})
}
func (p driverActions) Refuse(id uint32, _ time.Duration, _ choice.Reason) {
	p.driver.checker.refuse(id)
}
func (p driverActions) Fail(id uint32, _ choice.Reason) {
	if r := p.driver.checker.requests[id]; r != nil {
		r.ended = true
	}
}
func (p driverActions) Cancel(uint32, int)             {}
func (p driverActions) Probe(uint32)                   {}
func (p driverActions) SetTimer(time.Duration, uint64) {}

func (d *eventDriver) start(index int) {
	cfg := d.cfg
	cfg.Self = index
	gateway, err := choice.New(cfg, uint64(index)+99, d.checker.now, driverActions{d, index})
	if err != nil {
		d.t.Fatal(err)
	}
	d.gateways[index] = gateway
	gateway.UpdateBackends(d.checker.now, choice.Cached, d.backends)
}

// endAttempt gives one pending attempt its outcome.
func (d *eventDriver) endAttempt(i int, status choice.Status) {
	p := d.inFlight[i]
	d.inFlight = append(d.inFlight[:i], d.inFlight[i+1:]...)
	r := d.checker.requests[p.id]
	answered := r.ended || status == choice.OK
	d.checker.outcome(p.id, p.attempt, status, answered)
	d.gateways[p.gateway].Outcome(d.checker.now, choice.Outcome{
		ID: p.id, Attempt: p.attempt, Backend: p.backend, Status: status,
		Elapsed: d.checker.now - p.sentAt, Answered: answered,
		Metered: status == choice.OK, Used: float64(rapid.IntRange(0, 300).Draw(d.t, "used")) / 100,
	})
}

func (d *eventDriver) step() {
	t := d.t
	waitMS := rapid.IntRange(0, 60).Draw(t, "wait")
	if rapid.IntRange(0, 39).Draw(t, "is long wait") == 0 {
		waitMS = rapid.IntRange(300, 1400).Draw(t, "long wait") // all time-outs within it are handled at its end
	}
	d.checker.now += time.Duration(waitMS) * time.Millisecond
	for i := len(d.inFlight) - 1; i >= 0; i-- {
		if i < len(d.inFlight) && d.inFlight[i].deadline <= d.checker.now {
			d.endAttempt(i, choice.Timeout)
		}
	}
	d.checker.advanceTo(d.checker.now, 80*time.Millisecond)
	index := rapid.IntRange(0, len(d.gateways)-1).Draw(t, "gateway")
	switch rapid.IntRange(0, 9).Draw(t, "event") {
	case 0, 1, 2, 3:
		for range rapid.IntRange(1, 6).Draw(t, "burst") {
			d.nextID++
			r := choice.Request{
				ID: d.nextID, Class: rapid.IntRange(0, 2).Draw(t, "class"),
				Plan:     rapid.IntRange(0, 3).Draw(t, "plan"),
				TimeLeft: time.Duration(rapid.IntRange(100, 1500).Draw(t, "time left")) * time.Millisecond,
				Units:    float64(rapid.IntRange(1, 2).Draw(t, "units")), SetSize: len(d.gateways),
			}
			// A ceiling's burst holds at least two requests for each gateway of a customer's set.
			if r.Plan == 1 && r.SetSize > 10 {
				if r.SetSize = 10; index >= r.SetSize {
					r.Plan, r.SetSize = 0, len(d.gateways)
				}
			}
			r.Customer = uint64(r.Plan*10 + rapid.IntRange(0, 1).Draw(t, "customer"))
			d.checker.request(index, r)
			d.gateways[index].Request(d.checker.now, r)
		}
	case 4, 5, 6:
		if len(d.inFlight) > 0 {
			status := choice.Status(rapid.SampledFrom([]int{0, 0, 0, 0, 1, 2, 4, 5}).Draw(t, "status"))
			d.endAttempt(rapid.IntRange(0, len(d.inFlight)-1).Draw(t, "attempt"), status)
		}
	case 7:
		b := &d.backends[rapid.IntRange(0, len(d.backends)-1).Draw(t, "backend")]
		b.State = choice.State(rapid.SampledFrom([]int{0, 0, 1, 2}).Draw(t, "state"))
		if b.State == choice.Ready && rapid.Bool().Draw(t, "restarts") {
			b.Started, b.StartKnown = d.checker.now, true
		}
		d.checker.updateBackends(choice.Delta, []choice.Backend{*b})
		for _, gateway := range d.gateways {
			gateway.UpdateBackends(d.checker.now, choice.Delta, []choice.Backend{*b})
		}
	case 8:
		if rapid.IntRange(0, 5).Draw(t, "crash") == 0 {
			// The gateway crashes: its open requests are left to retries by their clients.
			remaining := d.inFlight[:0]
			for _, p := range d.inFlight {
				if p.gateway != index {
					remaining = append(remaining, p)
				}
			}
			d.inFlight = remaining
			for _, r := range d.checker.requests {
				if r.gateway == index {
					r.ended = true
				}
			}
			d.start(index)
		}
	case 9:
		if len(d.inFlight) > 0 {
			p := d.inFlight[rapid.IntRange(0, len(d.inFlight)-1).Draw(t, "disconnected")]
			d.checker.requests[p.id].ended = true
			d.gateways[p.gateway].ClientDisconnected(d.checker.now, p.id)
		} else {
			d.gateways[index].TimerExpired(d.checker.now, uint64(d.nextID)<<8|1)
		}
	}
	for _, p := range append([]pendingAttempt(nil), d.inFlight...) {
		if d.checker.now-p.sentAt > 100*time.Millisecond {
			d.gateways[p.gateway].TimerExpired(d.checker.now,
				uint64(p.id)<<8|uint64(len(d.checker.requests[p.id].attempts)))
		}
	}
}

func TestRandomEventsKeepRules(t *testing.T) {
	for kind := range 5 {
		t.Run(fmt.Sprint("configuration ", kind), func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				cfg := ruleConfig(kind)
				d := &eventDriver{t: t, checker: newRuleChecker(cfg), cfg: cfg,
					gateways: make([]*choice.Gateway, cfg.Gateways)}
				d.checker.now = 20 * time.Second
				for i := range uint32(6) {
					d.backends = append(d.backends, choice.Backend{ID: 10 + i, Zone: int(i % 3),
						Cell: int(i % 2), Weight: 2})
				}
				d.checker.updateBackends(choice.Cached, d.backends)
				for index := range d.gateways {
					d.start(index)
				}
				for range rapid.IntRange(20, 200).Draw(t, "steps") {
					d.step()
					if len(d.checker.violations) > 0 {
						t.Fatal(d.checker.violations)
					}
				}
			})
		})
	}
}

// None of 400 gateways has an attempt in flight at a backend that has just started. All of them together
// must not overload it.
func TestManyGatewaysDoNotOverloadColdBackend(t *testing.T) {
	cfg := baseConfig()
	cfg.Gateways = 400
	list := newBackends(20)
	list[7].StartKnown, list[7].Started = true, 0
	checker := newRuleChecker(cfg)
	checker.updateBackends(choice.Cached, list)
	for self := range cfg.Gateways {
		cfg.Self = self
		rec := newRecorder()
		g, err := choice.New(cfg, 7, 0, rec)
		if err != nil {
			t.Fatal(err)
		}
		g.UpdateBackends(0, choice.Cached, list)
		for i := range uint32(8) { // twice what the backends can serve in the period of rule 4
			id := uint32(self)*8 + i + 1
			r := choice.Request{ID: id, Customer: uint64(id), SetSize: 1, Units: 1, TimeLeft: time.Second}
			checker.request(self, r)
			if submitRequest(g, rec, 0, r, -1) {
				checker.send(id, rec.sent[id][0])
			}
		}
	}
	if len(checker.violations) > 0 {
		t.Errorf("%d violations, the first is %s", len(checker.violations), checker.violations[0])
	}
}
