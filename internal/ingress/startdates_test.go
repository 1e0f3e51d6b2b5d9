package ingress

import (
	"fmt"
	"testing"
	"time"

	"cedarseam/internal/membership"
)

// However far the clock is off, a backend that has just started is cold, one that
// has not is warm at latest when that one is, and ages differ as the dates do.
func TestAgeToleratesClockError(t *testing.T) {
	for _, clockError := range []time.Duration{0, 2 * time.Second, 10 * time.Second, time.Hour, -2 * time.Second, -time.Hour} {
		var d startAgeEstimator
		const reportDelay = time.Second
		for name, check := range map[string]struct{ age, minAge, maxAge time.Duration }{
			"a start just told":       {reportDelay, 0, maxStartReportDelay},
			"one an hour before that": {time.Hour + reportDelay, time.Hour, time.Hour + maxStartReportDelay},
		} {
			d.estimateAge(reportDelay + clockError) // the newest one is told first or last
			if got := d.estimateAge(check.age + clockError); got < check.minAge || got > check.maxAge {
				t.Errorf("clock off by %v: %s is %v old, want %v to %v", clockError, name, got, check.minAge, check.maxAge)
			}
		}
	}
}

// With a right clock, the age is the true one once a start was told soon.
func TestAgeWithCorrectClock(t *testing.T) {
	var d startAgeEstimator
	if got := d.estimateAge(time.Hour); got != maxStartReportDelay {
		t.Errorf("the newest of the first list is %v old, want %v: it may have just started", got, maxStartReportDelay)
	}
	for _, age := range []time.Duration{2 * time.Second, 40 * time.Second} {
		if got := d.estimateAge(age); got != age {
			t.Errorf("a backend is %v old, want %v", got, age)
		}
	}
	if got := d.estimateAge(-2 * maxClockLag); got != 0 {
		t.Errorf("one of a far future is %v old, want 0", got)
	}
	if got := d.estimateAge(40 * time.Second); got != 40*time.Second {
		t.Errorf("behind a date of a far future a backend is %v old, want 40s", got)
	}
}

// A backend keeps the start that it was given with its date, whatever is told of
// it or of others later: to the gateway a new start is a new process.
func TestStartTimeIsStable(t *testing.T) {
	r := newRig(t, nil, newBackend(t).member("b"))
	member := func(id string, age time.Duration, size float64) *membership.Member {
		return &membership.Member{ID: id, HostPort: "127.0.0.1:" + fmt.Sprint(1+len(id)), Phase: membership.PhaseServing,
			Size: size, UpSince: time.Now().Add(-age).Truncate(time.Hour).UnixMilli()}
	}
	startedAt := func(id string) (at time.Duration) {
		r.ask(func(l *loop) { at = l.pool.byName[id].startedAt })
		return at
	}
	const day = 24 * time.Hour
	old := member("old", 10*day, 1)
	r.tell(membership.List{Revision: 8, Members: []*membership.Member{old}})
	first := startedAt("old")
	again := *old
	again.Size = 2
	r.tell(membership.List{Revision: 9, Members: []*membership.Member{member("newer", 5*day, 1)}})
	r.tell(membership.List{Revision: 10, Members: []*membership.Member{&again}})
	if got := startedAt("old"); got != first {
		t.Errorf("a change of its size moves the start from %v to %v", first, got)
	}
	if got := startedAt("newer"); got <= first {
		t.Errorf("the newer one has started at %v, the older one at %v", got, first)
	}
	restarted := *old
	restarted.UpSince = time.Now().UnixMilli()
	r.tell(membership.List{Revision: 11, Members: []*membership.Member{&restarted}})
	if got := startedAt("old"); got <= first {
		t.Error("a new date does not move the start")
	}
}
