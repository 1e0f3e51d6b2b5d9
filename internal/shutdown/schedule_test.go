package shutdown

import (
	"context"
	"testing"
	"time"
)

// For any deadline the phases are in order, and a process that stalls at the end
// of the last one still exits before the kill.
func TestSchedulePhaseOrder(t *testing.T) {
	begun := time.Now()
	for longest, kill := range map[time.Duration]time.Duration{
		-time.Second: 700 * time.Millisecond, 0: 700 * time.Millisecond,
		100 * time.Millisecond: 800 * time.Millisecond, 2 * time.Second: 2700 * time.Millisecond,
		3 * time.Second: 3700 * time.Millisecond, 15 * time.Second: 3700 * time.Millisecond,
	} {
		s := NewSchedule(begun, longest)
		if got := s.KillAt.Sub(begun); got != kill {
			t.Errorf("deadline %v: kill after %v, want %v", longest, got, kill)
		}
		phases := []time.Time{s.RequestedAt, s.AnswerBy, s.ReadUntil, s.CloseBy, s.KillAt}
		for i := 1; i < len(phases); i++ {
			if !phases[i].After(phases[i-1]) {
				t.Errorf("deadline %v: phase %d ends %v after the previous one, want > 0", longest, i, phases[i].Sub(phases[i-1]))
			}
		}
		if s.AcceptUntil.After(s.ReadUntil) {
			t.Errorf("deadline %v: AcceptUntil %v is after ReadUntil %v", longest, s.AcceptUntil, s.ReadUntil)
		}
		if left := s.KillAt.Sub(s.CloseBy); left < maxStall {
			t.Errorf("deadline %v: %v between CloseBy and the kill, want at least %v", longest, left, maxStall)
		}
	}
}

// A request read at the time of the signal keeps its full deadline, up to
// maxCountedDeadline.
func TestScheduleHonoursDeadline(t *testing.T) {
	begun := time.Now()
	for _, longest := range []time.Duration{100 * time.Millisecond, 2 * time.Second, 3 * time.Second} {
		if s := NewSchedule(begun, longest); s.AnswerBy.Before(begun.Add(longest)) {
			t.Errorf("deadline %v: AnswerBy is only %v after the signal", longest, s.AnswerBy.Sub(begun))
		}
	}
}

// A process that stalls while it reads still has time for the last answers, and
// still exits before the kill.
func TestWithReadEndAfterStall(t *testing.T) {
	s := NewSchedule(time.Now(), time.Second)
	if onTime := s.WithReadEnd(s.ReadUntil); !onTime.CloseBy.Equal(s.CloseBy) {
		t.Errorf("without a stall CloseBy moves by %v", onTime.CloseBy.Sub(s.CloseBy))
	}
	noticed := s.ReadUntil.Add(maxStall)
	late := s.WithReadEnd(noticed)
	if left := late.CloseBy.Sub(noticed); left < minAnswerWindow {
		t.Errorf("%v left for the last answers, want at least %v", left, minAnswerWindow)
	}
	if !late.CloseBy.Before(s.KillAt) {
		t.Errorf("CloseBy is %v after the kill", late.CloseBy.Sub(s.KillAt))
	}
}

func TestRequestedAt(t *testing.T) {
	at := time.Now().Add(-time.Minute)
	ctx, cancel := context.WithCancelCause(t.Context())
	cancel(RequestedError{At: at})
	if got := RequestedAt(ctx); !got.Equal(at) {
		t.Errorf("RequestedAt is %v after the signal", got.Sub(at))
	}
	ctx, stop := context.WithCancel(t.Context())
	stop()
	if before := time.Now().Add(-time.Minute); RequestedAt(ctx).Before(before) {
		t.Error("RequestedAt without a RequestedError as the cause is not the current time")
	}
}
