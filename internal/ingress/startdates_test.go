package ingress

import (
	"fmt"
	"testing"
	"time"

	"cedarseam/internal/membership"
)

// However far the clock is off, a backend that has just started is cold, one that
// has not is warm at latest when that one is, and ages differ as the dates do.
func TestAgesDoNotHangOnTheClock(t *testing.T) {
	for _, clock := range []time.Duration{0, 2 * time.Second, 10 * time.Second, time.Hour, -2 * time.Second, -time.Hour} {
		var d startDates
		const lateness = time.Second
		for name, check := range map[string]struct{ told, least, most time.Duration }{
			"a start just told":       {lateness, 0, startDelay},
			"one an hour before that": {time.Hour + lateness, time.Hour, time.Hour + startDelay},
		} {
			d.age(lateness + clock) // the newest one is told first or last
			if got := d.age(check.told + clock); got < check.least || got > check.most {
				t.Errorf("clock off by %v: %s is %v old, want %v to %v", clock, name, got, check.least, check.most)
			}
		}
	}
}

// With a right clock, the age is the true one once a start was told soon.
func TestAgesAreTrueByARightClock(t *testing.T) {
	var d startDates
	if got := d.age(time.Hour); got != startDelay {
		t.Errorf("the newest of the first list is %v old, want %v: it may have just started", got, startDelay)
	}
	for _, age := range []time.Duration{2 * time.Second, 40 * time.Second} {
		if got := d.age(age); got != age {
			t.Errorf("a backend is %v old, want %v", got, age)
		}
	}
	if got := d.age(-2 * clockErrorMost); got != 0 {
		t.Errorf("one of a far future is %v old, want 0", got)
	}
	if got := d.age(40 * time.Second); got != 40*time.Second {
		t.Errorf("behind a date of a far future a backend is %v old, want 40s", got)
	}
}

// A backend keeps the start that it was given with its date, whatever is told of
// it or of others later: to the gateway a new start is a new process.
func TestStartOfABackendStays(t *testing.T) {
	r := newRig(t, nil, newBackend(t).member("b"))
	member := func(id string, age time.Duration, size float64) *membership.Member {
		return &membership.Member{ID: id, HostPort: "127.0.0.1:" + fmt.Sprint(1+len(id)), Phase: membership.PhaseServing,
			Size: size, UpSince: time.Now().Add(-age).Truncate(time.Hour).UnixMilli()}
	}
	started := func(id string) (at time.Duration) {
		r.ask(func(l *loop) { at = l.pool.byName[id].started })
		return at
	}
	const day = 24 * time.Hour
	old := member("old", 10*day, 1)
	r.tell(membership.List{Revision: 8, Members: []*membership.Member{old}})
	first := started("old")
	again := *old
	again.Size = 2
	r.tell(membership.List{Revision: 9, Members: []*membership.Member{member("newer", 5*day, 1)}})
	r.tell(membership.List{Revision: 10, Members: []*membership.Member{&again}})
	if got := started("old"); got != first {
		t.Errorf("a change of its size moves the start from %v to %v", first, got)
	}
	if got := started("newer"); got <= first {
		t.Errorf("the newer one has started at %v, the older one at %v", got, first)
	}
	restarted := *old
	restarted.UpSince = time.Now().UnixMilli()
	r.tell(membership.List{Revision: 11, Members: []*membership.Member{&restarted}})
	if got := started("old"); got <= first {
		t.Error("a new date does not move the start")
	}
}
