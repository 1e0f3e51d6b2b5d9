package choice

// Stopping: a gateway whose process is told to end gives every request its final answer by a time that it is
// told, whatever the clients' own times are.

import (
	"maps"
	"math"
	"slices"
	"time"
)

// stopToken is the token of the timer that answers what is open at the end. Those of requests are smaller.
const stopToken = math.MaxUint64

// Stop tells that the process ends: each request, those to come too, has its final answer by the time given.
func (g *Gateway) Stop(now, answerBy time.Duration) {
	g.step(now)
	if g.stopping && g.answerBy <= answerBy {
		return
	}
	g.stopping, g.answerBy = true, answerBy
	for _, r := range g.requests {
		g.cut(r)
	}
	g.act.SetTimer(max(0, answerBy-now), stopToken)
}

// cut bounds a request's time by the end of the process.
func (g *Gateway) cut(r *request) {
	if g.stopping && r.deadline > g.answerBy {
		r.deadline, r.cut = g.answerBy, true
	}
}

// tooLate tells of a request that the end of the process leaves too little of its time: less than its aim.
// Another gateway has all of it.
func (g *Gateway) tooLate(r *request) bool {
	return r.cut && r.deadline-g.now < g.cfg.Classes[r.Class].Aim
}

// answerAll gives what is still open its final answer.
func (g *Gateway) answerAll() {
	if g.now < g.answerBy {
		g.act.SetTimer(g.answerBy-g.now, stopToken)
		return
	}
	for _, id := range slices.Sorted(maps.Keys(g.requests)) {
		if r := g.requests[id]; !r.over {
			g.conclude(r, Stopping)
			g.cancelRest(r)
		}
	}
}
