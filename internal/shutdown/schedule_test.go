package shutdown

import (
	"context"
	"testing"
	"time"
)

// Whatever the deadlines are, the phases come in order, and a process that is
// held up at the end of one has ended before the kill.
func TestSchedulePhaseOrder(t *testing.T) {
	begun := time.Now()
	for longest, kill := range map[time.Duration]time.Duration{
		-time.Second: 700 * time.Millisecond, 0: 700 * time.Millisecond,
		100 * time.Millisecond: 800 * time.Millisecond, 2 * time.Second: 2700 * time.Millisecond,
		3 * time.Second: 3700 * time.Millisecond, 15 * time.Second: 3700 * time.Millisecond,
	} {
		s := NewSchedule(begun, longest)
		if got := s.KillAt.Sub(begun); got != kill {
			t.Errorf("deadline %v: killed after %v, want %v", longest, got, kill)
		}
		phases := []time.Time{s.RequestedAt, s.AnswerBy, s.ReadUntil, s.CloseBy, s.KillAt}
		for i := 1; i < len(phases); i++ {
			if !phases[i].After(phases[i-1]) {
				t.Errorf("deadline %v: phase %d ends %v after the one before", longest, i, phases[i].Sub(phases[i-1]))
			}
		}
		if s.AcceptUntil.After(s.ReadUntil) {
			t.Errorf("deadline %v: clients are accepted until %v, and read until %v", longest, s.AcceptUntil, s.ReadUntil)
		}
		if left := s.KillAt.Sub(s.CloseBy); left < maxStall {
			t.Errorf("deadline %v: %v are left at the end, a process is held up for %v", longest, left, maxStall)
		}
	}
}

// A request that comes with the signal keeps all its time, up to the deadline
// that counts.
func TestScheduleHonoursDeadline(t *testing.T) {
	begun := time.Now()
	for _, longest := range []time.Duration{100 * time.Millisecond, 2 * time.Second, 3 * time.Second} {
		if s := NewSchedule(begun, longest); s.AnswerBy.Before(begun.Add(longest)) {
			t.Errorf("deadline %v: answered by %v", longest, s.AnswerBy.Sub(begun))
		}
	}
}

// A process that is held up while it reads still has time for the last answers,
// and still ends before the kill.
func TestWithReadEndAfterStall(t *testing.T) {
	s := NewSchedule(time.Now(), time.Second)
	if onTime := s.WithReadEnd(s.ReadUntil); !onTime.CloseBy.Equal(s.CloseBy) {
		t.Errorf("with no hold-up the end moves by %v", onTime.CloseBy.Sub(s.CloseBy))
	}
	noticed := s.ReadUntil.Add(maxStall)
	late := s.WithReadEnd(noticed)
	if left := late.CloseBy.Sub(noticed); left < minAnswerWindow {
		t.Errorf("%v are left for the last answers, want %v", left, minAnswerWindow)
	}
	if !late.CloseBy.Before(s.KillAt) {
		t.Errorf("it ends %v after the kill", late.CloseBy.Sub(s.KillAt))
	}
}

func TestRequestedAt(t *testing.T) {
	at := time.Now().Add(-time.Minute)
	ctx, cancel := context.WithCancelCause(t.Context())
	cancel(RequestedError{At: at})
	if got := RequestedAt(ctx); !got.Equal(at) {
		t.Errorf("asked for %v after the signal", got.Sub(at))
	}
	ctx, stop := context.WithCancel(t.Context())
	stop()
	if before := time.Now().Add(-time.Minute); RequestedAt(ctx).Before(before) {
		t.Error("without a cause it does not count from now")
	}
}
