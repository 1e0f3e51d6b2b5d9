package ingress

import (
	"fmt"
	"testing"
	"time"

	"cedarseam/internal/membership"
)

// Whatever the error of the local clock, a backend that has just started counts as cold:
// its age is at most maxStartReportDelay. The ages of two backends differ as their start
// times do, so an older backend does not stay cold for longer than the newest one.
func TestAgeToleratesClockError(t *testing.T) {
	for _, clockError := range []time.Duration{0, 2 * time.Second, 10 * time.Second, time.Hour, -2 * time.Second, -time.Hour} {
		var d startAgeEstimator
		const reportDelay = time.Second
		for name, check := range map[string]struct{ age, minAge, maxAge time.Duration }{
			"a backend that has just started":  {reportDelay, 0, maxStartReportDelay},
			"a backend that is one hour older": {time.Hour + reportDelay, time.Hour, time.Hour + maxStartReportDelay},
		} {
			d.estimateAge(reportDelay + clockError) // the newest backend is reported first or last
			if got := d.estimateAge(check.age + clockError); got < check.minAge || got > check.maxAge {
				t.Errorf("clock error %v: %s is %v old, want %v to %v", clockError, name, got, check.minAge, check.maxAge)
			}
		}
	}
}

// With a correct clock, ages are exact once a start has been reported within
// maxStartReportDelay.
func TestAgeWithCorrectClock(t *testing.T) {
	var d startAgeEstimator
	if got := d.estimateAge(time.Hour); got != maxStartReportDelay {
		t.Errorf("the newest backend of the first list is %v old, want %v: it may have just started", got, maxStartReportDelay)
	}
	for _, age := range []time.Duration{2 * time.Second, 40 * time.Second} {
		if got := d.estimateAge(age); got != age {
			t.Errorf("a backend is %v old, want %v", got, age)
		}
	}
	if got := d.estimateAge(-2 * maxClockLag); got != 0 {
		t.Errorf("a backend that starts in the far future is %v old, want 0", got)
	}
	if got := d.estimateAge(40 * time.Second); got != 40*time.Second {
		t.Errorf("after a start in the far future, a backend is %v old, want 40s", got)
	}
}

// The start time that is computed for a backend does not change until discovery reports a
// new one, whatever else changes: the gateway takes a new start time for a new process.
func TestStartTimeIsStable(t *testing.T) {
	r := newRig(t, nil, newFakeBackend(t).member("b"))
	member := func(id string, age time.Duration, size float64) *membership.Member {
		return &membership.Member{ID: id, HostPort: "127.0.0.1:" + fmt.Sprint(1+len(id)), Phase: membership.PhaseServing,
			Size: size, UpSince: time.Now().Add(-age).Truncate(time.Hour).UnixMilli()}
	}
	startedAt := func(id string) (at time.Duration) {
		r.runOnLoop(func(l *loop) { at = l.pool.byName[id].startedAt })
		return at
	}
	const day = 24 * time.Hour
	old := member("old", 10*day, 1)
	r.applyList(membership.List{Revision: 8, Members: []*membership.Member{old}})
	first := startedAt("old")
	again := *old
	again.Size = 2
	r.applyList(membership.List{Revision: 9, Members: []*membership.Member{member("newer", 5*day, 1)}})
	r.applyList(membership.List{Revision: 10, Members: []*membership.Member{&again}})
	if got := startedAt("old"); got != first {
		t.Errorf("a change of the size changes the start time from %v to %v", first, got)
	}
	if got := startedAt("newer"); got <= first {
		t.Errorf("the newer backend started at %v, not after the older one at %v", got, first)
	}
	restarted := *old
	restarted.UpSince = time.Now().UnixMilli()
	r.applyList(membership.List{Revision: 11, Members: []*membership.Member{&restarted}})
	if got := startedAt("old"); got <= first {
		t.Error("a new up_since_ms does not change the start time")
	}
}
