package choice_test

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cedarseam/choice"
)

// drawBackend draws an entry of a list of eight backends.
func drawBackend(t *rapid.T) choice.Backend {
	b := choice.Backend{ID: uint32(rapid.IntRange(1, 8).Draw(t, "id")),
		Weight: rapid.SampledFrom([]float64{0.5, 1, 1.7}).Draw(t, "weight"),
		State: rapid.SampledFrom([]choice.State{choice.Ready, choice.Ready, choice.Draining,
			choice.Removed}).Draw(t, "state")}
	if rapid.IntRange(0, 3).Draw(t, "start known") == 0 {
		b.StartKnown, b.Started = true, time.Duration(rapid.IntRange(0, 2).Draw(t, "start"))*time.Second
	}
	return b
}

// The sets and running totals of the backends must equal what a walk over all backends finds, after any
// sequence of lists, requests, outcomes and ejections.
func TestBackendSetsMatchAllBackends(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rec := &lastSendRecorder{}
		cfg := baseConfig()
		cfg.Gateways = rapid.SampledFrom([]int{4, 400}).Draw(t, "gateways")
		cfg.HandshakeCost, cfg.ConnIdleTimeout = 0.1,
			time.Duration(rapid.IntRange(0, 2).Draw(t, "idle"))*2*time.Second
		cfg.WeightsTrusted = true
		g, err := choice.New(cfg, 7, 0, rec)
		if err != nil {
			t.Fatal(err)
		}
		g.UpdateBackends(0, choice.Full, newBackends(8))
		now, id := time.Duration(0), uint32(0)
		type attempt struct{ id, backend uint32 }
		var inFlight []attempt
		for range rapid.IntRange(1, 120).Draw(t, "events") {
			now += time.Duration(rapid.IntRange(0, 900).Draw(t, "wait")) * ms
			switch rapid.IntRange(0, 9).Draw(t, "event") {
			case 0:
				g.UpdateBackends(now, choice.Delta,
					rapid.SliceOfN(rapid.Custom(drawBackend), 0, 4).Draw(t, "change"))
			case 1:
				kind := rapid.SampledFrom([]choice.ListKind{choice.Full, choice.Cached,
					choice.Failed}).Draw(t, "kind")
				g.UpdateBackends(now, kind, rapid.SliceOfN(rapid.Custom(drawBackend), 4, 12).Draw(t, "list"))
			case 2, 3, 4, 5:
				id++
				g.Request(now, choice.Request{ID: id, TimeLeft: 2 * time.Second, Units: 0.01, SetSize: 4})
				if rec.id == id {
					inFlight = append(inFlight, attempt{id, rec.backend})
				}
			default:
				if len(inFlight) == 0 {
					continue
				}
				i := rapid.IntRange(0, len(inFlight)-1).Draw(t, "attempt")
				status := rapid.SampledFrom([]choice.Status{choice.OK, choice.Error, choice.Error,
					choice.Timeout}).Draw(t, "status")
				g.Outcome(now, choice.Outcome{ID: inFlight[i].id, Backend: inFlight[i].backend,
					Status: status, Elapsed: ms, Answered: true})
				inFlight = slices.Delete(inFlight, i, i+1)
			}
			if err := choice.CheckBackendSets(g); err != nil {
				t.Fatalf("at %v: %v", now, err)
			}
		}
	})
}

// The removal of backends that a full list does not contain must not depend on the order of a map: the same
// seed and events must give the same actions.
func TestFullListIsAppliedDeterministically(t *testing.T) {
	run := func() []string {
		rec := newRecorder()
		g, err := choice.New(baseConfig(), 7, 0, rec)
		if err != nil {
			t.Fatal(err)
		}
		g.UpdateBackends(0, choice.Full, newBackends(40))
		g.UpdateBackends(0, choice.Full, newBackends(40)[15:30])
		for id := range uint32(60) {
			g.Request(time.Duration(id)*10*ms, choice.Request{ID: id + 1, TimeLeft: time.Second, Units: 0.01,
				SetSize: 4})
		}
		return rec.actions
	}
	first := run()
	for range 20 {
		if again := run(); !slices.Equal(first, again) {
			t.Fatalf("the same events gave the actions\n%v\nand\n%v", first, again)
		}
	}
}

// Idle customers are evicted in small batches, however many there are, so that no single event takes long. A
// customer with an attempt in flight is not evicted.
func TestIdleCustomersAreEvictedInSmallBatches(t *testing.T) {
	const customerCount, maxEvicted = 1000, 20
	rec := &lastSendRecorder{}
	cfg := baseConfig()
	cfg.Gateways = 1
	g, err := choice.New(cfg, 7, 0, rec)
	if err != nil {
		t.Fatal(err)
	}
	g.UpdateBackends(0, choice.Full, newBackends(200))
	for id := uint32(1); id <= customerCount; id++ {
		g.Request(0, choice.Request{ID: id, Customer: uint64(id), TimeLeft: time.Hour, Units: 1, SetSize: 1})
		if rec.id == id && id != 500 {
			g.Outcome(0, choice.Outcome{ID: id, Backend: rec.backend, Elapsed: ms, Answered: true})
		}
	}
	now, known := time.Duration(0), choice.KnownCustomers(g)
	if known != customerCount {
		t.Fatalf("%d customers have a record, want %d", known, customerCount)
	}
	for events := 0; known > 1; events++ {
		now += time.Minute
		g.TimerExpired(now, 0)
		if remaining := choice.KnownCustomers(g); remaining < known-maxEvicted || events > customerCount {
			t.Fatalf("event %d leaves %d customers of %d, want at most %d evicted at an event",
				events, remaining, known, maxEvicted)
		} else {
			known = remaining
		}
	}
	g.TimerExpired(now+time.Hour, 0)
	if choice.KnownCustomers(g) != 1 {
		t.Error("a customer with an attempt in flight was evicted")
	}
	g.Outcome(now+time.Hour, choice.Outcome{ID: 500, Backend: rec.backend, Elapsed: ms, Answered: true})
	if g.TimerExpired(now+2*time.Hour, 0); choice.KnownCustomers(g) != 0 {
		t.Error("the customer was not evicted after its attempt had ended")
	}
}

// A client that invents customer ids must not fill the memory: Config.MaxCustomers limits the records, apart
// from those of customers with attempts in flight.
func TestCustomerRecordsAreLimited(t *testing.T) {
	const limit = 50
	cfg := baseConfig()
	cfg.Gateways, cfg.MaxCustomers = 1, limit
	cfg.Plans = append(cfg.Plans, cfg.Plans[0])
	g, rec := newTestGateway(t, cfg, newBackends(300))
	inFlight := 0
	for id := uint32(1); id <= 2000; id++ {
		now := time.Duration(id) * ms
		r := choice.Request{ID: id, Customer: uint64(id), Plan: int(id % 2), SetSize: 1, Units: 1,
			TimeLeft: time.Hour}
		if id%20 == 0 { // its attempt stays in flight
			if g.Request(now, r); len(rec.sent[id]) > 0 {
				inFlight++
			}
			continue
		}
		submitRequest(g, rec, now, r, -1)
		if n := choice.KnownCustomers(g); n > limit+inFlight {
			t.Fatalf("%d customers have a record, %d of them with attempts in flight; want at most %d others",
				n, inFlight, limit)
		}
	}
	if n := choice.KnownCustomers(g); inFlight < 10 || n < limit {
		t.Errorf("%d customers have a record and %d attempts are in flight, want at least %d and 10",
			n, inFlight, limit)
	}
}

// A customer that has drawn its share of a ceiling must not get a full share again because its record was
// evicted for other customers and created anew.
func TestEvictedCustomerGetsNoFullCeiling(t *testing.T) {
	cfg := baseConfig()
	cfg.Gateways, cfg.MaxCustomers = 1, 20
	cfg.Plans[0] = choice.Plan{Rate: 100, Burst: 100, CeilingRate: 0.5, CeilingBurst: 40, Price: 1}
	g, rec := newTestGateway(t, cfg, newBackends(4))
	now, id := 200*time.Second, uint32(0) // the share of 40 units is full
	countAdmitted := func(customer uint64, requests int) (n int) {
		for range requests {
			id++
			if submitRequest(g, rec, now, choice.Request{ID: id, Customer: customer, SetSize: 1}, -1) {
				n++
			}
		}
		return n
	}
	if first := countAdmitted(1, 60); first != 40 {
		t.Fatalf("%d admitted with a full share, want 40", first)
	}
	for other := uint64(2); other < 40; other++ {
		now += ms
		countAdmitted(other, 1)
	}
	if again := countAdmitted(1, 60); again > 0 {
		t.Errorf("%d admitted after the eviction, want none", again)
	}
	now += 20 * time.Second
	if later := countAdmitted(1, 60); later > 10 {
		t.Errorf("%d admitted 20 s later, want at most the 10 units refilled", later)
	}
}

// BenchmarkUpdateBackends measures a delta of one entry, and a full list, by the number of backends.
func BenchmarkUpdateBackends(b *testing.B) {
	for name, size := range map[string]uint32{"1500": 1500, "12000": 12_000, "24000": 24_000} {
		list := newBackends(size)
		newGateway := func(b *testing.B) *choice.Gateway {
			g, err := choice.New(baseConfig(), 7, 0, &lastSendRecorder{})
			if err != nil {
				b.Fatal(err)
			}
			g.UpdateBackends(0, choice.Full, list)
			b.ReportAllocs()
			return g
		}
		b.Run("delta/"+name, func(b *testing.B) {
			g := newGateway(b)
			states := []choice.State{choice.Draining, choice.Ready}
			for i := 0; b.Loop(); i++ {
				entry := list[i/2%len(list)]
				entry.State = states[i%2]
				g.UpdateBackends(0, choice.Delta, []choice.Backend{entry})
			}
		})
		b.Run("full/"+name, func(b *testing.B) {
			g := newGateway(b)
			for b.Loop() {
				g.UpdateBackends(0, choice.Full, list)
			}
		})
	}
}

// Guards against a request that runs twice: a backend whose id a new process in another group has taken does
// not move the attempts of its predecessor there. The other group has not seen the request.
func TestRetryStaysInGroupOfFirstAttempt(t *testing.T) {
	for name, group := range map[string]choice.Group{"zone": choice.GroupZone, "cell": choice.GroupCell} {
		for _, replaced := range []bool{false, true} {
			cfg := baseConfig()
			class := &cfg.Classes[0]
			class.Effect, class.Group, class.DedupWindow = choice.Guarded, group, time.Minute
			first := choice.Backend{ID: 1, Weight: 1, Zone: 1, Cell: 1}
			g, rec := newTestGateway(t, cfg, []choice.Backend{first})
			g.Request(0, choice.Request{ID: 1, Customer: 1, SetSize: 1, Units: 1, TimeLeft: 2 * time.Second})
			other := choice.Backend{ID: 2, Weight: 1, Zone: 2, Cell: 2}
			if replaced {
				first.Zone, first.Cell, first.Started, first.StartKnown = 2, 2, 10*ms, true
			} else {
				other.Zone, other.Cell = 1, 1
			}
			g.UpdateBackends(10*ms, choice.Full, []choice.Backend{first, other})
			g.Outcome(20*ms, choice.Outcome{ID: 1, Backend: 1, Status: choice.Reset, Elapsed: 20 * ms})
			if retried := len(rec.sent[1]) > 1; retried == replaced {
				t.Errorf("%s, replaced %t: retried %t", name, replaced, retried)
			}
		}
	}
}
