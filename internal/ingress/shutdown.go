package ingress

import (
	"log/slog"
	"time"

	"cedarseam/internal/shutdown"
)

const (
	lastCall     = 50 * time.Millisecond  // nobody has come for so long: nobody waits in the listener's queue
	lastCallMost = 500 * time.Millisecond // the longest that is waited for this
)

// phase is one of the waits of a stop.
type phase int

// The phases, in the order of their ends; the first is over once the listener
// may close.
const (
	accepting phase = iota
	reading
	closing
)

// timeOf returns when a phase ends at the latest.
func timeOf(p phase, plan shutdown.Schedule) time.Time {
	switch p {
	case accepting:
		return plan.AcceptUntil
	case reading:
		return plan.ReadUntil
	}
	return plan.CloseBy
}

// endOf returns a channel that is closed at the end of a phase.
func endOf(p phase, plan shutdown.Schedule) <-chan struct{} {
	end := make(chan struct{})
	time.AfterFunc(time.Until(timeOf(p, plan)), func() { close(end) })
	return end
}

// shutDown goes on accepting for the time in which clients still come, answers
// all that is read, closes each connection between requests, and returns when
// none is left: at the latest when the schedule says so, for the process may be
// killed soon after.
func (s *Server) shutDown(plan shutdown.Schedule, accepted <-chan error) {
	s.cfg.Log.EnableDetail() // what becomes of each request now is what matters
	s.logState("draining")
	s.loop.post(func(l *loop) { l.gateway.Stop(l.now(), plan.AnswerBy.Sub(l.start)) })
	s.drain(false)
	go s.stopAccepting(plan, accepted)
	last := plan
	select {
	case <-s.empty:
	case <-s.endOf(reading, plan):
		s.stopReading()
		last = plan.WithReadEnd(time.Now())
	}
	select {
	case <-s.empty:
	case <-s.endOf(closing, last):
		s.closeAll()
	}
	s.logState("ended")
}

// stopAccepting closes the listener once clients no longer come. From then on
// connections that were used take no further command.
func (s *Server) stopAccepting(plan shutdown.Schedule, accepted <-chan error) {
	lastRead := s.endOf(reading, plan)
	select {
	case <-s.endOf(accepting, plan):
	case <-lastRead:
	}
	s.logState("closing the listener")
	s.closeListener(accepted, lastRead)
	s.logState("taking no further command on used connections")
	s.drain(true)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopping = true
	s.checkEmpty()
}

// closeListener closes the listener once nobody waits in its queue: a
// connection there has been accepted by the machine, and what its client has
// written counts as taken. It returns when all of them are served, and closes the
// listener in any case with the last read: a connection that is taken later would
// have its first command read with no time left for the answer.
func (s *Server) closeListener(accepted <-chan error, lastRead <-chan struct{}) {
	s.mu.Lock()
	s.ending = true
	s.ln.SetDeadline(time.Now().Add(lastCall))
	s.mu.Unlock()
	select {
	case <-accepted:
		s.ln.Close()
		return
	case <-lastRead:
	case <-time.After(lastCallMost):
	}
	s.ln.Close()
	<-accepted
}

// drain makes each connection close as soon as it has nothing open. With halt
// set, those that have sent a command take no further one.
func (s *Server) drain(halt bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
	for c := range s.clients {
		c.drain(halt)
	}
}

// stopReading makes each connection end that owes nothing for what was read.
func (s *Server) stopReading() {
	s.logState("reading no further command")
	s.mu.Lock()
	defer s.mu.Unlock()
	s.final = true
	for c := range s.clients {
		c.stopReading()
	}
}

// closeAll closes the connections that are left: their clients do not take what
// is due to them.
func (s *Server) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.clients {
		c.closeNow()
	}
}

func (s *Server) checkEmpty() {
	if s.stopping && len(s.clients) == 0 {
		select {
		case <-s.empty:
		default:
			close(s.empty)
		}
	}
}

// logState writes a step of the stop, and how many clients there are.
func (s *Server) logState(state string) {
	s.mu.Lock()
	clients := len(s.clients)
	s.mu.Unlock()
	s.cfg.Log.State(state, slog.Int("clients", clients))
}
