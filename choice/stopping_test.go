package choice_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"cedarseam/choice"
)

// stopRecorder keeps the final answers of requests, and the timers that are set.
type stopRecorder struct {
	now     time.Duration
	sent    map[uint32][]stopSend
	ends    map[uint32][]string
	timers  []stopTimer
	reasons map[uint32]choice.Reason
}

type stopSend struct {
	backend  uint32
	deadline time.Duration
}

type stopTimer struct {
	at    time.Duration
	token uint64
}

func newStopRecorder() *stopRecorder {
	return &stopRecorder{sent: map[uint32][]stopSend{}, ends: map[uint32][]string{}, reasons: map[uint32]choice.Reason{}}
}

func (r *stopRecorder) Send(id, backend uint32, timeout time.Duration) {
	r.sent[id] = append(r.sent[id], stopSend{backend, r.now + timeout})
}

func (r *stopRecorder) Refuse(id uint32, _ time.Duration, reason choice.Reason) {
	r.ends[id], r.reasons[id] = append(r.ends[id], "refused"), reason
}

func (r *stopRecorder) Fail(id uint32, reason choice.Reason) {
	r.ends[id], r.reasons[id] = append(r.ends[id], "failed"), reason
}
func (r *stopRecorder) Cancel(uint32, int) {}
func (r *stopRecorder) Probe(uint32)       {}
func (r *stopRecorder) SetTimer(wait time.Duration, token uint64) {
	r.timers = append(r.timers, stopTimer{r.now + wait, token})
}

// stopRig is a gateway of one class of each effect, on a fake clock.
type stopRig struct {
	*choice.Gateway
	*stopRecorder
}

func newStopRig(t *testing.T) *stopRig {
	t.Helper()
	cfg := plain()
	cfg.Gateways, cfg.Hedging, cfg.Cancelling = 1, true, true
	cfg.Plans[0].Rate, cfg.Plans[0].Burst = 1e6, 1e6
	free := cfg.Classes[0]
	guarded, single := free, free
	guarded.Effect, guarded.Group, guarded.DedupWindow = choice.Guarded, choice.GroupZone, time.Minute
	single.Effect = choice.SingleShot
	everywhere := guarded
	everywhere.Group = choice.GroupAll
	cfg.Classes = []choice.Class{free, guarded, single, everywhere}
	rec := newStopRecorder()
	g, err := choice.New(cfg, 1, 0, rec)
	if err != nil {
		t.Fatal(err)
	}
	g.UpdateBackends(0, choice.Cached, backends(20))
	return &stopRig{g, rec}
}

// at moves the clock, and lets the timers that are due come.
func (r *stopRig) at(now time.Duration) {
	for {
		next := -1
		for i, timer := range r.timers {
			if timer.at <= now && (next < 0 || timer.at < r.timers[next].at) {
				next = i
			}
		}
		if next < 0 {
			break
		}
		due := r.timers[next]
		r.timers = append(r.timers[:next], r.timers[next+1:]...)
		r.now = max(r.now, due.at)
		r.TimerExpired(r.now, due.token)
	}
	r.now = now
}

func (r *stopRig) ask(id uint32, class int, left time.Duration) {
	r.Request(r.now, choice.Request{ID: id, Class: class, Customer: uint64(id), TimeLeft: left, Units: 1, SetSize: 1})
}

// Each open request has its final answer by the time told: a refusal where
// another try does no harm, a failure where an attempt may have run.
func TestOpenRequestsAreAnsweredAtTheStop(t *testing.T) {
	r := newStopRig(t)
	const free, guarded, single, everywhere = 0, 1, 2, 3
	for class := range 4 {
		r.ask(uint32(class), class, 20*time.Second)
	}
	r.at(100 * ms)
	r.Stop(r.now, 2*time.Second)
	r.at(2*time.Second - 1)
	if len(r.ends) > 0 {
		t.Fatalf("answered before the time: %v", r.ends)
	}
	r.at(2 * time.Second)
	for class, want := range map[uint32]string{free: "refused", guarded: "failed", single: "failed", everywhere: "refused"} {
		if got := r.ends[class]; len(got) != 1 || got[0] != want || r.reasons[class] != choice.Stopping {
			t.Errorf("class %d is answered %v for %v, want %s once, for stopping", class, got, r.reasons[class], want)
		}
	}
	for class := range uint32(4) { // what is still out ends later
		for attempt, send := range r.sent[class] {
			r.Outcome(r.now, choice.Outcome{ID: class, Attempt: attempt, Backend: send.backend, Status: choice.Cancelled, Answered: true})
		}
		if len(r.ends[class]) != 1 {
			t.Errorf("class %d is answered again: %v", class, r.ends[class])
		}
	}
}

// The bound holds for what comes after the stop as well, first attempts and
// further ones: none is given more time than is left of the process.
func TestAttemptsEndWithTheProcess(t *testing.T) {
	r := newStopRig(t)
	r.ask(1, 0, 20*time.Second) // before the stop; its further attempt comes after it
	r.at(50 * ms)
	r.Stop(r.now, 2*time.Second)
	r.ask(2, 0, 20*time.Second)
	r.ask(3, 2, time.Second) // its client gives up sooner
	for id, want := range map[uint32]time.Duration{2: 2 * time.Second, 3: 1050 * ms} {
		if got := r.sent[id]; len(got) != 1 || got[0].deadline != want {
			t.Errorf("request %d is sent %v, want once until %v", id, got, want)
		}
	}
	r.at(100 * ms)
	r.Outcome(r.now, choice.Outcome{ID: 1, Backend: r.sent[1][0].backend, Status: choice.Error})
	if got := r.sent[1]; len(got) != 2 || got[1].deadline != 2*time.Second {
		t.Errorf("the further attempt is sent %v, want until 2s", got)
	}
	r.at(1700 * ms) // less than an aim is left
	r.ask(4, 0, 20*time.Second)
	r.ask(5, 0, 200*ms) // the process outlives its client
	r.at(2 * time.Second)
	r.ask(6, 0, 20*time.Second)
	for id, want := range map[uint32]int{4: 0, 5: 1, 6: 0} {
		if got := len(r.sent[id]); got != want || want == 0 && (len(r.ends[id]) != 1 || r.reasons[id] != choice.Stopping) {
			t.Errorf("request %d is sent %d times, want %d; its end is %v for %v", id, got, want, r.ends[id], r.reasons[id])
		}
	}
}

// A later time changes nothing, an earlier one does.
func TestEarliestStopCounts(t *testing.T) {
	r := newStopRig(t)
	r.ask(1, 2, 20*time.Second)
	r.Stop(0, 3*time.Second)
	r.Stop(0, time.Second)
	r.Stop(0, 5*time.Second)
	r.at(time.Second)
	if got := r.ends[1]; len(got) != 1 {
		t.Errorf("at the earliest time it is answered %v, want once", got)
	}
	r.at(6 * time.Second)
	if got := r.ends[1]; len(got) != 1 {
		t.Errorf("later it is answered %v, want once", got)
	}
}

// Whatever happens around the stop, each request has exactly one final answer at
// its time, and nothing is sent from then on.
func TestStopLeavesNothingOpen(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 1))
		r := newStopRig(t)
		served := map[uint32]bool{}
		ended := map[[2]uint32]bool{}
		stopAt := time.Duration(random.IntN(1000)) * ms
		answerBy := stopAt + time.Duration(random.IntN(2000))*ms
		stopped, last := false, uint32(0)
		for now := time.Duration(0); now < 4*time.Second; now += 20 * ms {
			r.at(now)
			if !stopped && now >= stopAt {
				stopped = true
				r.Stop(now, answerBy)
			}
			before := len(r.sent)
			last++
			r.ask(last, random.IntN(4), time.Duration(1+random.IntN(3000))*ms)
			if now >= answerBy && stopped && len(r.sent) > before {
				t.Fatalf("seed %d: request %d is sent at %v, after %v", seed, last, now, answerBy)
			}
			for id := uint32(1); id <= last; id++ {
				for attempt := 0; attempt < len(r.sent[id]); attempt++ {
					key := [2]uint32{id, uint32(attempt)}
					if ended[key] || random.IntN(10) > 0 {
						continue
					}
					ended[key] = true
					status := choice.Status(random.IntN(int(choice.CancelledBeforeSend)))
					over := served[id] || len(r.ends[id]) > 0 || status == choice.OK
					served[id] = served[id] || status == choice.OK && len(r.ends[id]) == 0
					r.Outcome(now, choice.Outcome{ID: id, Attempt: attempt, Backend: r.sent[id][attempt].backend,
						Status: status, Answered: over})
				}
			}
		}
		for id := uint32(1); id <= last; id++ {
			answers := len(r.ends[id])
			if served[id] {
				answers++
			}
			if answers != 1 {
				t.Fatalf("seed %d: request %d has %d final answers: %v, served %t", seed, id, answers, r.ends[id], served[id])
			}
		}
	}
}
