package ingress

import (
	"log/slog"
	"time"

	"cedarseam/internal/shutdown"
)

const (
	// backlogIdleTimeout is how long no connection must have been accepted for the
	// listener's backlog to count as empty.
	backlogIdleTimeout = 50 * time.Millisecond
	// maxBacklogDrainTime limits the wait for an empty backlog.
	maxBacklogDrainTime = 500 * time.Millisecond
)

// phase is a phase of the shutdown.
type phase int

// The phases in the order of their ends. All of them begin with the shutdown.
const (
	phaseAccept phase = iota // connections are accepted
	phaseRead                // commands are read
	phaseClose               // connections wait for their last answers
)

// phaseDeadline returns the latest end of a phase.
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

// shutDown drains the ingress. It keeps accepting connections until the end of phaseAccept,
// as clients still connect until then, answers every command that is read, and closes each
// connection when it has no open request. It returns when no connection is left, and at the
// latest at the end of phaseClose, because the process may be killed soon after.
func (s *Server) shutDown(schedule shutdown.Schedule, acceptDone <-chan error) {
	s.cfg.Log.EnableDetail() // records the outcome of every request during the shutdown
	s.logState("draining")
	s.loop.post(func(l *loop) { l.gateway.Stop(l.now(), schedule.AnswerBy.Sub(l.clockStart)) })
	s.inputPacer.stop() // the time for what has arrived is short
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

// stopAccepting closes the listener at the end of phaseAccept, or of phaseRead if that
// comes first. From then on, connections that have sent a command accept no further one.
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

// closeListener closes the listener once its backlog is empty: the operating system has
// already accepted the connections in the backlog, so their clients assume that the
// commands they have written will be answered. It returns when all of them are accepted.
// The listener is closed in any case after maxBacklogDrainTime, and at the end of phaseRead:
// on a connection accepted later, the first command would be read with no time left for its
// answer.
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

// drain makes each connection close when it has no open request. With firstCommandOnly
// set, connections that have sent a command accept no further one.
func (s *Server) drain(firstCommandOnly bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
	for c := range s.clients {
		c.drain(firstCommandOnly)
	}
}

// stopReading makes each connection close once all commands that were read are answered.
func (s *Server) stopReading() {
	s.logState("reading no further command")
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readingStopped = true
	for c := range s.clients {
		c.stopReading()
	}
}

// closeAll closes the remaining connections: their clients have not read the answers that
// are due to them.
func (s *Server) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.clients {
		c.closeNow()
	}
}

// checkAllClientsClosed closes allClientsClosed if accepting has stopped and no connection
// is left. The caller holds s.mu.
func (s *Server) checkAllClientsClosed() {
	if s.acceptingStopped && len(s.clients) == 0 {
		select {
		case <-s.allClientsClosed:
		default:
			close(s.allClientsClosed)
		}
	}
}

// logState logs a step of the shutdown and the number of connections.
func (s *Server) logState(state string) {
	s.mu.Lock()
	clients := len(s.clients)
	s.mu.Unlock()
	s.cfg.Log.State(state, slog.Int("clients", clients))
}
