package choice_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"cedarseam/choice"
)

// stopRecorder is an Actions that records attempts, final answers and timers.
type stopRecorder struct {
	now     time.Duration
	sent    map[uint32][]sentAttempt
	answers map[uint32][]string
	timers  []pendingTimer
	reasons map[uint32]choice.Reason
}

// sentAttempt is an attempt and the time at which it times out.
type sentAttempt struct {
	backend  uint32
	deadline time.Duration
}

// pendingTimer is a timer that has not expired.
type pendingTimer struct {
	at    time.Duration
	token uint64
}

func newStopRecorder() *stopRecorder {
	return &stopRecorder{sent: map[uint32][]sentAttempt{}, answers: map[uint32][]string{},
		reasons: map[uint32]choice.Reason{}}
}

func (r *stopRecorder) Send(id, backend uint32, timeout time.Duration) {
	r.sent[id] = append(r.sent[id], sentAttempt{backend, r.now + timeout})
}

func (r *stopRecorder) Refuse(id uint32, _ time.Duration, reason choice.Reason) {
	r.answers[id], r.reasons[id] = append(r.answers[id], "refused"), reason
}

func (r *stopRecorder) Fail(id uint32, reason choice.Reason) {
	r.answers[id], r.reasons[id] = append(r.answers[id], "failed"), reason
}
func (r *stopRecorder) Cancel(uint32, int) {}
func (r *stopRecorder) Probe(uint32)       {}
func (r *stopRecorder) SetTimer(wait time.Duration, token uint64) {
	r.timers = append(r.timers, pendingTimer{r.now + wait, token})
}

// stopFixture is a gateway with a fake clock. Its classes are free, guarded in a zone, single-shot and
// guarded everywhere.
type stopFixture struct {
	*choice.Gateway
	*stopRecorder
}

func newStopFixture(t *testing.T) *stopFixture {
	t.Helper()
	cfg := baseConfig()
	cfg.Gateways, cfg.Hedging, cfg.Cancelling = 1, true, true
	cfg.Plans[0].Rate, cfg.Plans[0].Burst = 1e6, 1e6
	free := cfg.Classes[0]
	guarded, singleShot := free, free
	guarded.Effect, guarded.Group, guarded.DedupWindow = choice.Guarded, choice.GroupZone, time.Minute
	singleShot.Effect = choice.SingleShot
	guardedEverywhere := guarded
	guardedEverywhere.Group = choice.GroupAll
	cfg.Classes = []choice.Class{free, guarded, singleShot, guardedEverywhere}
	rec := newStopRecorder()
	g, err := choice.New(cfg, 1, 0, rec)
	if err != nil {
		t.Fatal(err)
	}
	g.UpdateBackends(0, choice.Cached, newBackends(20))
	return &stopFixture{g, rec}
}

// advanceTo sets the clock, and expires the timers that are due in their order.
func (r *stopFixture) advanceTo(now time.Duration) {
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

func (r *stopFixture) submit(id uint32, class int, timeLeft time.Duration) {
	r.Request(r.now, choice.Request{ID: id, Class: class, Customer: uint64(id), TimeLeft: timeLeft, Units: 1,
		SetSize: 1})
}

// Each open request must have its final answer by the time given to Stop: a refusal if a retry by the
// client is safe, and a failure if an attempt may have run and must not be repeated.
func TestOpenRequestsAreAnsweredByStopDeadline(t *testing.T) {
	r := newStopFixture(t)
	const free, guarded, singleShot, guardedEverywhere = 0, 1, 2, 3
	for class := range 4 {
		r.submit(uint32(class), class, 20*time.Second)
	}
	r.advanceTo(100 * ms)
	r.Stop(r.now, 2*time.Second)
	r.advanceTo(2*time.Second - 1)
	if len(r.answers) > 0 {
		t.Fatalf("answered before the time given to Stop: %v", r.answers)
	}
	r.advanceTo(2 * time.Second)
	for class, want := range map[uint32]string{
		free: "refused", guarded: "failed", singleShot: "failed", guardedEverywhere: "refused"} {
		if got := r.answers[class]; len(got) != 1 || got[0] != want || r.reasons[class] != choice.Stopping {
			t.Errorf("class %d has the answers %v, reason %v; want %s once, reason stopping",
				class, got, r.reasons[class], want)
		}
	}
	for class := range uint32(4) { // attempts still in flight end later
		for attempt, send := range r.sent[class] {
			r.Outcome(r.now, choice.Outcome{ID: class, Attempt: attempt, Backend: send.backend,
				Status: choice.Cancelled, Answered: true})
		}
		if len(r.answers[class]) != 1 {
			t.Errorf("class %d has the answers %v, want no further one", class, r.answers[class])
		}
	}
}

// After Stop, no attempt has a timeout beyond the time given: neither a first attempt nor a retry, and
// neither for an earlier nor for a later request.
func TestStopLimitsAttemptTimeouts(t *testing.T) {
	r := newStopFixture(t)
	r.submit(1, 0, 20*time.Second) // submitted before Stop, retried after it
	r.advanceTo(50 * ms)
	r.Stop(r.now, 2*time.Second)
	r.submit(2, 0, 20*time.Second)
	r.submit(3, 2, time.Second) // the client gives up before the end of the process
	for id, want := range map[uint32]time.Duration{2: 2 * time.Second, 3: 1050 * ms} {
		if got := r.sent[id]; len(got) != 1 || got[0].deadline != want {
			t.Errorf("request %d has the attempts %v, want one until %v", id, got, want)
		}
	}
	r.advanceTo(100 * ms)
	r.Outcome(r.now, choice.Outcome{ID: 1, Backend: r.sent[1][0].backend, Status: choice.Error})
	if got := r.sent[1]; len(got) != 2 || got[1].deadline != 2*time.Second {
		t.Errorf("request 1 has the attempts %v, want a retry until 2s", got)
	}
	r.advanceTo(1700 * ms) // less time than the aim of the class is left
	r.submit(4, 0, 20*time.Second)
	r.submit(5, 0, 200*ms) // its client does not wait until the process ends
	r.advanceTo(2 * time.Second)
	r.submit(6, 0, 20*time.Second)
	for id, want := range map[uint32]int{4: 0, 5: 1, 6: 0} {
		if got := len(r.sent[id]); got != want ||
			want == 0 && (len(r.answers[id]) != 1 || r.reasons[id] != choice.Stopping) {
			t.Errorf("request %d is sent %d times, want %d; its answers are %v, reason %v",
				id, got, want, r.answers[id], r.reasons[id])
		}
	}
}

// If Stop is called several times, the earliest of the times applies.
func TestEarliestStopApplies(t *testing.T) {
	r := newStopFixture(t)
	r.submit(1, 2, 20*time.Second)
	r.Stop(0, 3*time.Second)
	r.Stop(0, time.Second)
	r.Stop(0, 5*time.Second)
	r.advanceTo(time.Second)
	if got := r.answers[1]; len(got) != 1 {
		t.Errorf("at the earliest time the answers are %v, want one", got)
	}
	r.advanceTo(6 * time.Second)
	if got := r.answers[1]; len(got) != 1 {
		t.Errorf("after the latest time the answers are %v, want one", got)
	}
}

// With random requests and outcomes before and after Stop, each request must have exactly one final answer,
// and nothing may be sent after the time given to Stop.
func TestEachRequestIsAnsweredOnceAroundStop(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 1))
		r := newStopFixture(t)
		served := map[uint32]bool{}
		ended := map[[2]uint32]bool{}
		stopAt := time.Duration(rng.IntN(1000)) * ms
		answerBy := stopAt + time.Duration(rng.IntN(2000))*ms
		stopped, lastID := false, uint32(0)
		for now := time.Duration(0); now < 4*time.Second; now += 20 * ms {
			r.advanceTo(now)
			if !stopped && now >= stopAt {
				stopped = true
				r.Stop(now, answerBy)
			}
			before := len(r.sent)
			lastID++
			r.submit(lastID, rng.IntN(4), time.Duration(1+rng.IntN(3000))*ms)
			if now >= answerBy && stopped && len(r.sent) > before {
				t.Fatalf("seed %d: request %d is sent at %v, want nothing after %v",
					seed, lastID, now, answerBy)
			}
			for id := uint32(1); id <= lastID; id++ {
				for attempt := 0; attempt < len(r.sent[id]); attempt++ {
					key := [2]uint32{id, uint32(attempt)}
					if ended[key] || rng.IntN(10) > 0 {
						continue
					}
					ended[key] = true
					status := choice.Status(rng.IntN(int(choice.CancelledBeforeSend)))
					answered := served[id] || len(r.answers[id]) > 0 || status == choice.OK
					served[id] = served[id] || status == choice.OK && len(r.answers[id]) == 0
					r.Outcome(now, choice.Outcome{ID: id, Attempt: attempt,
						Backend: r.sent[id][attempt].backend, Status: status, Answered: answered})
				}
			}
		}
		for id := uint32(1); id <= lastID; id++ {
			answers := len(r.answers[id])
			if served[id] {
				answers++
			}
			if answers != 1 {
				t.Fatalf("seed %d: request %d has %d final answers, want 1: %v, served %t",
					seed, id, answers, r.answers[id], served[id])
			}
		}
	}
}
