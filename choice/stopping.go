package choice

// Stopping: a gateway whose process is told to end gives every request its final answer by a time that it is
// told, whatever the clients' own times are.

import (
	"maps"
	"math"
	"slices"
	"time"
)

// stopTimerToken is the token of the timer that answers what is open at the end. Those of requests are smaller.
const stopTimerToken = math.MaxUint64

// Stop tells that the process ends: each request, those to come too, has its final answer by the time given.
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

// applyStopDeadline bounds a request's time by the end of the process.
func (g *Gateway) applyStopDeadline(r *request) {
	if g.stopping && r.deadline > g.answerDeadline {
		r.deadline, r.limitedByStop = g.answerDeadline, true
	}
}

// stopsBeforeAim tells of a request that the end of the process leaves too little of its time: less than its aim.
// Another gateway has all of it.
func (g *Gateway) stopsBeforeAim(r *request) bool {
	return r.limitedByStop && r.deadline-g.now < g.cfg.Classes[r.Class].Aim
}

// answerAll gives what is still open its final answer.
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
