package choice_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"cedarseam/choice"
)

// coldSimulation simulates gateways that send to the same backends.
type coldSimulation struct {
	now     time.Duration
	sent    map[uint32][]time.Duration // times of the sends, by backend
	answers []coldAnswer
}

// coldGateway is a gateway of the simulation and its Actions.
type coldGateway struct {
	sim     *coldSimulation
	gateway *choice.Gateway
}

// coldAnswer is the answer to an attempt.
type coldAnswer struct {
	at, sentAt time.Duration
	gateway    *coldGateway
	outcome    choice.Outcome
}

// latency returns the latency of all backends. They become slow just before some of them restart.
func (s *coldSimulation) latency() time.Duration {
	if s.now < 9*time.Second {
		return 60 * ms
	}
	return 600 * ms
}

func (g *coldGateway) Send(id, backend uint32, _ time.Duration) {
	s := g.sim
	s.sent[backend] = append(s.sent[backend], s.now)
	s.answers = append(s.answers, coldAnswer{s.now + s.latency(), s.now, g,
		choice.Outcome{ID: id, Backend: backend, Status: choice.OK, Answered: true, Elapsed: s.latency()}})
}
func (g *coldGateway) Refuse(uint32, time.Duration, choice.Reason) {}
func (g *coldGateway) Fail(uint32, choice.Reason)                  {}
func (g *coldGateway) Cancel(uint32, int)                          {}
func (g *coldGateway) Probe(uint32)                                {}
func (g *coldGateway) SetTimer(time.Duration, uint64)              {}

// Some backends restart while all others are slow, so that each gateway finds them the cheapest. All
// gateways together, however many, must not send a cold backend more than its budget, the number of
// requests that would overload it. Two standard deviations of the budget, and two requests, are allowed for
// random arrivals.
func TestColdBackendsAreNotOverloaded(t *testing.T) {
	const (
		backendCount = 100
		restarted    = 10
		backendRate  = 25.0 // requests a second for each backend
		warmCapacity = 30.0 // requests a second that a warm backend can serve
		restartAt    = 10 * time.Second
		duration     = 16 * time.Second
	)
	for _, gatewayCount := range []int{3, 30, 350} {
		t.Run(fmt.Sprint(gatewayCount, " gateways"), func(t *testing.T) {
			cfg := baseConfig()
			cfg.Gateways, cfg.ColdOverloadPeriod = gatewayCount, 1500*ms
			cfg.Classes[0].Aim, cfg.Classes[0].Deadline = 1500*ms, 4*time.Second
			cfg.Plans[0] = choice.Plan{Rate: 1e6, Burst: 1e6, Price: 1}
			sim := &coldSimulation{sent: map[uint32][]time.Duration{}}
			list := newBackends(backendCount)
			var gateways []*coldGateway
			for self := range gatewayCount {
				cfg.Self = self
				g := &coldGateway{sim: sim}
				var err error
				if g.gateway, err = choice.New(cfg, uint64(self)+1, 0, g); err != nil {
					t.Fatal(err)
				}
				g.gateway.UpdateBackends(0, choice.Cached, list)
				gateways = append(gateways, g)
			}
			rng := rand.New(rand.NewPCG(5, uint64(gatewayCount)))
			requestsDue, id, requested := 0.0, uint32(0), 0
			for sim.now = 0; sim.now < duration; sim.now += 5 * ms {
				if sim.now == restartAt {
					for i := range list[:restarted] {
						list[i].StartKnown, list[i].Started = true, sim.now
					}
					for _, g := range gateways {
						g.gateway.UpdateBackends(sim.now, choice.Delta, list[:restarted])
					}
				}
				remaining := sim.answers[:0]
				for _, a := range sim.answers {
					if a.at > sim.now {
						remaining = append(remaining, a)
					} else {
						a.gateway.gateway.Outcome(sim.now, a.outcome)
					}
				}
				sim.answers = remaining
				for requestsDue += backendRate * backendCount * 0.005; requestsDue >= 1; requestsDue-- {
					id++
					requested++
					gateways[rng.IntN(gatewayCount)].gateway.Request(sim.now, choice.Request{
						ID: id, Customer: uint64(id % 400), SetSize: gatewayCount, Units: 1,
						TimeLeft: 4 * time.Second})
				}
			}
			maxInWindow, sent := 0, 0
			for _, b := range list {
				sent += len(sim.sent[b.ID])
			}
			for _, b := range list[:restarted] {
				sends := sim.sent[b.ID]
				for i, first := 0, 0; i < len(sends); i++ {
					if sends[i] < restartAt {
						first = i + 1
						continue
					}
					for sends[i]-sends[first] > cfg.ColdOverloadPeriod {
						first++
					}
					capacityFraction := cfg.InitialCapacity + (1-cfg.InitialCapacity)*
						(sends[i]-restartAt).Seconds()/cfg.WarmUpPeriod.Seconds()
					budget := cfg.ColdOverloadFactor * capacityFraction * warmCapacity *
						cfg.ColdOverloadPeriod.Seconds()
					inWindow := i - first + 1
					maxInWindow = max(maxInWindow, inWindow)
					if float64(inWindow) > budget+2*math.Sqrt(budget)+2 {
						t.Fatalf("backend %d was sent %d in %v, %v after its start; its budget is %.0f",
							b.ID, inWindow, cfg.ColdOverloadPeriod, sends[i]-restartAt, budget)
					}
				}
			}
			t.Logf("%d of %d sent, at most %d to a cold backend within a window",
				sent, requested, maxInWindow)
			if sent < requested/2 || maxInWindow < 4 {
				t.Errorf("%d of %d sent, up to %d to a cold backend in a window; want at least half, and 4",
					sent, requested, maxInWindow)
			}
		})
	}
}

// One backend restarts when all others are slow: all gateways find it the cheapest at the same moment,
// since it has no attempts in flight. It must not receive the requests of all of them.
func TestCheapestColdBackendIsNotOverloaded(t *testing.T) {
	const backendCount, requests, warmCapacity = 20, 2100, 40.0
	for _, gateways := range []int{30, 350} {
		t.Run(fmt.Sprint(gateways, " gateways"), func(t *testing.T) {
			cfg := baseConfig()
			cfg.Gateways, cfg.ColdOverloadPeriod = gateways, 1500*ms
			cfg.Plans[0] = choice.Plan{Rate: 1e6, Burst: 1e6, Price: 1}
			list := newBackends(backendCount)
			id, coldSends := uint32(0), 0
			for self := range gateways {
				cfg.Self = self
				rec := newRecorder()
				g, err := choice.New(cfg, uint64(self)+1, 0, rec)
				if err != nil {
					t.Fatal(err)
				}
				g.UpdateBackends(0, choice.Cached, list)
				request := func(now, latency time.Duration) (backend uint32) {
					id++
					g.Request(now, choice.Request{ID: id, Customer: uint64(id), SetSize: 1, Units: 1,
						TimeLeft: 9 * time.Second})
					if len(rec.sent[id]) == 0 {
						return 0
					}
					backend = rec.sent[id][0]
					g.Outcome(now+latency, choice.Outcome{ID: id, Backend: backend, Status: choice.OK,
						Elapsed: latency, Answered: true})
					return backend
				}
				// After 30 s without answers, a single one determines the latency of a backend.
				measured, now := map[uint32]bool{}, 30*time.Second
				for ; len(measured) < backendCount; now += time.Second {
					if measured[request(now, 900*ms)] = true; now > 5*time.Minute {
						t.Fatalf("gateway %d has measured %d of %d backends, want all",
							self, len(measured), backendCount)
					}
					delete(measured, 0)
				}
				restarted := list[7]
				restarted.StartKnown, restarted.Started = true, now
				g.UpdateBackends(now, choice.Delta, []choice.Backend{restarted})
				for range requests / gateways {
					if request(now+500*ms, 0) == restarted.ID {
						coldSends++
					}
				}
			}
			capacityFraction := cfg.InitialCapacity + (1-cfg.InitialCapacity)*0.5/cfg.WarmUpPeriod.Seconds()
			budget := cfg.ColdOverloadFactor * capacityFraction * warmCapacity *
				cfg.ColdOverloadPeriod.Seconds()
			if coldSends == 0 || float64(coldSends) > budget+2*math.Sqrt(budget)+2 {
				t.Errorf("the cold backend was sent %d at once, want at least 1 and about %.0f at most",
					coldSends, budget)
			}
		})
	}
}
