package ingress

import (
	"log/slog"
	"time"

	"cedarseam/internal/shutdown"
)

const (
	backlogIdleTimeout  = 50 * time.Millisecond  // nobody has come for so long: nobody waits in the listener's queue
	maxBacklogDrainTime = 500 * time.Millisecond // the longest that is waited for this
)

// phase is one of the waits of a stop.
type phase int

// The phases, in the order of their ends; the first is over once the listener
// may close.
const (
	phaseAccept phase = iota
	phaseRead
	phaseClose
)

// phaseDeadline returns when a phase ends at the latest.
func phaseDeadline(p phase, schedule shutdown.Schedule) time.Time {
	switch p {
	case phaseAccept:
		return schedule.AcceptUntil
	case phaseRead:
		return schedule.ReadUntil
	}
	return schedule.CloseBy
}

// phaseEnd returns a channel that is closed at the end of a phase.
func phaseEnd(p phase, schedule shutdown.Schedule) <-chan struct{} {
	end := make(chan struct{})
	time.AfterFunc(time.Until(phaseDeadline(p, schedule)), func() { close(end) })
	return end
}

// shutDown goes on accepting for the time in which clients still come, answers
// all that is read, closes each connection between requests, and returns when
// none is left: at the latest when the schedule says so, for the process may be
// killed soon after.
func (s *Server) shutDown(schedule shutdown.Schedule, acceptDone <-chan error) {
	s.cfg.Log.EnableDetail() // what becomes of each request now is what matters
	s.logState("draining")
	s.loop.post(func(l *loop) { l.gateway.Stop(l.now(), schedule.AnswerBy.Sub(l.clockStart)) })
	s.drain(false)
	go s.stopAccepting(schedule, acceptDone)
	finalSchedule := schedule
	select {
	case <-s.allClientsClosed:
	case <-s.phaseEnd(phaseRead, schedule):
		s.stopReading()
		finalSchedule = schedule.WithReadEnd(time.Now())
	}
	select {
	case <-s.allClientsClosed:
	case <-s.phaseEnd(phaseClose, finalSchedule):
		s.closeAll()
	}
	s.logState("ended")
}

// stopAccepting closes the listener once clients no longer come. From then on
// connections that were used take no further command.
func (s *Server) stopAccepting(schedule shutdown.Schedule, acceptDone <-chan error) {
	readPhaseEnd := s.phaseEnd(phaseRead, schedule)
	select {
	case <-s.phaseEnd(phaseAccept, schedule):
	case <-readPhaseEnd:
	}
	s.logState("closing the listener")
	s.closeListener(acceptDone, readPhaseEnd)
	s.logState("taking no further command on used connections")
	s.drain(true)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.acceptingStopped = true
	s.checkAllClientsClosed()
}

// closeListener closes the listener once nobody waits in its queue: a
// connection there has been accepted by the machine, and what its client has
// written counts as taken. It returns when all of them are served, and closes the
// listener in any case with the last read: a connection that is taken later would
// have its first command read with no time left for the answer.
func (s *Server) closeListener(acceptDone <-chan error, readPhaseEnd <-chan struct{}) {
	s.mu.Lock()
	s.drainingBacklog = true
	s.ln.SetDeadline(time.Now().Add(backlogIdleTimeout))
	s.mu.Unlock()
	select {
	case <-acceptDone:
		s.ln.Close()
		return
	case <-readPhaseEnd:
	case <-time.After(maxBacklogDrainTime):
	}
	s.ln.Close()
	<-acceptDone
}

// drain makes each connection close as soon as it has nothing open. With halt
// set, those that have sent a command take no further one.
func (s *Server) drain(firstCommandOnly bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
	for c := range s.clients {
		c.drain(firstCommandOnly)
	}
}

// stopReading makes each connection end that owes nothing for what was read.
func (s *Server) stopReading() {
	s.logState("reading no further command")
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readingStopped = true
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

func (s *Server) checkAllClientsClosed() {
	if s.acceptingStopped && len(s.clients) == 0 {
		select {
		case <-s.allClientsClosed:
		default:
			close(s.allClientsClosed)
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
