package choice_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"cedarseam/choice"
)

// coldFleet is the actions of one of many gateways that send to the same backends.
type coldFleet struct {
	now  time.Duration
	sent map[uint32][]time.Duration // by backend
	due  []coldAnswer
}

type coldGate struct {
	f *coldFleet
	g *choice.Gateway
}

type coldAnswer struct {
	at, sent time.Duration
	gate     *coldGate
	out      choice.Outcome
}

// latency of a warm backend: the fleet gets slow just before some start anew.
func (f *coldFleet) latency() time.Duration {
	if f.now < 9*time.Second {
		return 60 * ms
	}
	return 600 * ms
}

func (g *coldGate) Send(id, backend uint32, _ time.Duration) {
	f := g.f
	f.sent[backend] = append(f.sent[backend], f.now)
	f.due = append(f.due, coldAnswer{f.now + f.latency(), f.now, g,
		choice.Outcome{ID: id, Backend: backend, Status: choice.OK, Answered: true, Elapsed: f.latency()}})
}
func (g *coldGate) Refuse(uint32, time.Duration, choice.Reason) {}
func (g *coldGate) Fail(uint32, choice.Reason)                  {}
func (g *coldGate) Cancel(uint32, int)                          {}
func (g *coldGate) Probe(uint32)                                {}
func (g *coldGate) SetTimer(time.Duration, uint64)              {}

// Backends start anew while the whole fleet has got slow, so that each gateway
// finds them the cheapest. All gateways together keep to the budget of each,
// with no more than 2 roots of it and 2 for chance, however many they are.
func TestColdBackendsStandTheWholeFleet(t *testing.T) {
	const (
		number = 100
		fresh  = 10
		rate   = 25.0 // requests a second for each backend
		can    = 30.0 // what a warm one can do
		back   = 10 * time.Second
		length = 16 * time.Second
	)
	for _, gateways := range []int{3, 30, 350} {
		t.Run(fmt.Sprint(gateways, " gateways"), func(t *testing.T) {
			cfg := plain()
			cfg.Gateways, cfg.ColdOverloadPeriod = gateways, 1500*ms
			cfg.Classes[0].Aim, cfg.Classes[0].Deadline = 1500*ms, 4*time.Second
			cfg.Plans[0] = choice.Plan{Rate: 1e6, Burst: 1e6, Price: 1}
			f := &coldFleet{sent: map[uint32][]time.Duration{}}
			list := backends(number)
			var gates []*coldGate
			for self := range gateways {
				cfg.Self = self
				g := &coldGate{f: f}
				var err error
				if g.g, err = choice.New(cfg, uint64(self)+1, 0, g); err != nil {
					t.Fatal(err)
				}
				g.g.UpdateBackends(0, choice.Cached, list)
				gates = append(gates, g)
			}
			rng := rand.New(rand.NewPCG(5, uint64(gateways)))
			owed, id, asked := 0.0, uint32(0), 0
			for f.now = 0; f.now < length; f.now += 5 * ms {
				if f.now == back {
					for i := range list[:fresh] {
						list[i].StartKnown, list[i].Started = true, f.now
					}
					for _, g := range gates {
						g.g.UpdateBackends(f.now, choice.Delta, list[:fresh])
					}
				}
				left := f.due[:0]
				for _, a := range f.due {
					if a.at > f.now {
						left = append(left, a)
					} else {
						a.gate.g.Outcome(f.now, a.out)
					}
				}
				f.due = left
				for owed += rate * number * 0.005; owed >= 1; owed-- {
					id++
					asked++
					gates[rng.IntN(gateways)].g.Request(f.now, choice.Request{
						ID: id, Customer: uint64(id % 400), SetSize: gateways, Units: 1, TimeLeft: 4 * time.Second})
				}
			}
			most, sent := 0, 0
			for _, b := range list {
				sent += len(f.sent[b.ID])
			}
			for _, b := range list[:fresh] {
				work := f.sent[b.ID]
				for i, first := 0, 0; i < len(work); i++ {
					if work[i] < back {
						first = i + 1
						continue
					}
					for work[i]-work[first] > cfg.ColdOverloadPeriod {
						first++
					}
					warm := cfg.InitialCapacity + (1-cfg.InitialCapacity)*(work[i]-back).Seconds()/cfg.WarmUpPeriod.Seconds()
					budget := cfg.ColdOverloadFactor * warm * can * cfg.ColdOverloadPeriod.Seconds()
					n := i - first + 1
					most = max(most, n)
					if float64(n) > budget+2*math.Sqrt(budget)+2 {
						t.Fatalf("backend %d was sent %d in %v, %v after its start; its budget is %.0f", b.ID, n, cfg.ColdOverloadPeriod, work[i]-back, budget)
					}
				}
			}
			t.Logf("%d of %d sent, %d in the fullest window", sent, asked, most)
			if sent < asked/2 || most < 4 {
				t.Errorf("%d of %d sent, at most %d in a window to a cold one: no load worth the name", sent, asked, most)
			}
		})
	}
}

// All warm backends have got slow when one starts anew: at every gateway at
// once it is the cheapest, with nothing out. It must not get what all of them
// would send.
func TestCheapestBackendIsColdForTheWholeFleet(t *testing.T) {
	const number, requests, can = 20, 2100, 40.0
	for _, gateways := range []int{30, 350} {
		t.Run(fmt.Sprint(gateways, " gateways"), func(t *testing.T) {
			cfg := plain()
			cfg.Gateways, cfg.ColdOverloadPeriod = gateways, 1500*ms
			cfg.Plans[0] = choice.Plan{Rate: 1e6, Burst: 1e6, Price: 1}
			list := backends(number)
			id, cold := uint32(0), 0
			for self := range gateways {
				cfg.Self = self
				rec := record()
				g, err := choice.New(cfg, uint64(self)+1, 0, rec)
				if err != nil {
					t.Fatal(err)
				}
				g.UpdateBackends(0, choice.Cached, list)
				request := func(now, took time.Duration) (to uint32) {
					id++
					g.Request(now, choice.Request{ID: id, Customer: uint64(id), SetSize: 1, Units: 1, TimeLeft: 9 * time.Second})
					if len(rec.sent[id]) == 0 {
						return 0
					}
					to = rec.sent[id][0]
					g.Outcome(now+took, choice.Outcome{ID: id, Backend: to, Status: choice.OK, Elapsed: took, Answered: true})
					return to
				}
				slow, now := map[uint32]bool{}, 30*time.Second // long since any answer: one tells all
				for ; len(slow) < number; now += time.Second {
					if slow[request(now, 900*ms)] = true; now > 5*time.Minute {
						t.Fatalf("gateway %d has tried %d of %d backends", self, len(slow), number)
					}
					delete(slow, 0)
				}
				fresh := list[7]
				fresh.StartKnown, fresh.Started = true, now
				g.UpdateBackends(now, choice.Delta, []choice.Backend{fresh})
				for range requests / gateways {
					if request(now+500*ms, 0) == fresh.ID {
						cold++
					}
				}
			}
			warm := cfg.InitialCapacity + (1-cfg.InitialCapacity)*0.5/cfg.WarmUpPeriod.Seconds()
			budget := cfg.ColdOverloadFactor * warm * can * cfg.ColdOverloadPeriod.Seconds()
			if cold == 0 || float64(cold) > budget+2*math.Sqrt(budget)+2 {
				t.Errorf("the cold one was sent %d at once, its budget is %.0f", cold, budget)
			}
		})
	}
}
