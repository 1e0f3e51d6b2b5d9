package choice

// Graceful stop: once the process is asked to end, each request has its final answer by a given time, even if
// its client would wait longer.

import (
	"maps"
	"math"
	"slices"
	"time"
)

// stopTimerToken is the token of the timer that answers all open requests. Tokens of requests are smaller.
const stopTimerToken = math.MaxUint64

// Stop announces the end of the process. Each open and each later request gets its final answer by answerBy.
// If Stop is called again, the earliest time applies.
func (g *Gateway) Stop(now, answerBy time.Duration) {
	g.advance(now)
	if g.stopping && g.answerDeadline <= answerBy {
		return
	}
	g.stopping, g.answerDeadline = true, answerBy
	for _, r := range g.requests {
		g.applyStopDeadline(r)
	}
	g.actions.SetTimer(max(0, answerBy-now), stopTimerToken)
}

// applyStopDeadline limits a request's deadline to the end of the process.
func (g *Gateway) applyStopDeadline(r *request) {
	if g.stopping && r.deadline > g.answerDeadline {
		r.deadline, r.limitedByStop = g.answerDeadline, true
	}
}

// stopsBeforeAim reports whether the end of the process leaves a request less time than its aim. Such a
// request is refused, since another gateway can give it its full time.
func (g *Gateway) stopsBeforeAim(r *request) bool {
	return r.limitedByStop && r.deadline-g.now < g.cfg.Classes[r.Class].Aim
}

// answerAll gives all open requests their final answers, in the order of their ids.
func (g *Gateway) answerAll() {
	if g.now < g.answerDeadline {
		g.actions.SetTimer(g.answerDeadline-g.now, stopTimerToken)
		return
	}
	for _, id := range slices.Sorted(maps.Keys(g.requests)) {
		if r := g.requests[id]; !r.answered {
			g.answer(r, Stopping)
			g.cancelAttempts(r)
		}
	}
}
