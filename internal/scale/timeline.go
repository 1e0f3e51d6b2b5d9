package scale

import (
	"slices"
	"strconv"
	"time"

	"cedarseam/internal/membership"
)

// release replaces a share of the backends, as a rolling release does.
func (r *run) release() error {
	count := int(r.options.Replaced * float64(r.options.Backends))
	return r.replaceBackends(0, count, releaseSteps, r.options.Release)
}

// replaceBackends replaces count backends from the number first on, step by step: some
// backends drain, and at the next step they are deleted and their replacements, with new
// ids, are serving.
func (r *run) replaceBackends(first, count, steps int, length time.Duration) error {
	var draining []int
	for step := range steps + 1 {
		var changes []*membership.Member
		for _, number := range draining {
			changes = append(changes, r.replaceBackend(number)...)
		}
		draining = nil
		for number := first + step*count/steps; step < steps && number < first+(step+1)*count/steps; number++ {
			draining = append(draining, number)
			changes = append(changes, r.setPhase(number, membership.PhaseDraining, r.fleet.Members[number].UpSince))
		}
		if len(changes) > 0 {
			r.publish(changes...)
		}
		if err := r.sleep(length / time.Duration(steps+1)); err != nil {
			return err
		}
	}
	return nil
}

// replaceBackend replaces a backend by a new one at the same address, and returns the
// updates of both.
func (r *run) replaceBackend(number int) []*membership.Member {
	previous := r.fleet.Members[number]
	next := newMember(number, generationOf(previous)+1, r.backends.port, time.Now().UnixMilli())
	r.fleet.Members[number] = next
	return []*membership.Member{withPhase(previous, membership.PhaseDeleted, previous.UpSince), next}
}

// setPhase gives a backend another phase and start time, and returns its update.
func (r *run) setPhase(number int, phase string, upSince int64) *membership.Member {
	changed := withPhase(r.fleet.Members[number], phase, upSince)
	r.fleet.Members[number] = changed
	return changed
}

// generationOf returns how often a backend was replaced, modulo 256.
func generationOf(member *membership.Member) int {
	generation, err := strconv.ParseUint(member.ID[generationOffset:], 16, 8)
	if err != nil {
		panic(err) // newMember writes valid ids only
	}
	return int(generation)
}

// failZone stops and deletes all backends of one zone at once.
func (r *run) failZone() error { return r.setZonePhase(membership.PhaseDeleted, 0) }

// restoreZone starts all backends of the failed zone at once.
func (r *run) restoreZone() error {
	return r.setZonePhase(membership.PhaseServing, time.Now().UnixMilli())
}

// setZonePhase gives all backends of one zone another phase and start time.
func (r *run) setZonePhase(phase string, upSince int64) error {
	var addresses []string
	var changes []*membership.Member
	for _, number := range numbersInZone(r.fleet, zones[1]) {
		changed := r.setPhase(number, phase, upSince)
		changes = append(changes, changed)
		addresses = append(addresses, changed.HostPort)
	}
	r.backends.setDown(phase == membership.PhaseDeleted, addresses...)
	r.publish(changes...)
	return r.sleep(r.options.Zone / 2)
}

// evenAgents returns the agents of every second ingress.
func (r *run) evenAgents() (agents []int) {
	for agent := 0; agent < r.options.Ingresses; agent += 2 {
		agents = append(agents, agent)
	}
	return agents
}

// partitionHalf partitions half of the ingresses from discovery during a replacement that
// the others receive. The delays of its changes are excluded from the measurement.
func (r *run) partitionHalf() error {
	r.discovery.setPartitioned(true, r.evenAgents()...)
	count := int(r.options.Replaced * float64(r.options.Backends) / 2)
	first := r.options.Backends - count
	err := r.replaceBackends(first, count, partitionReleaseSteps, r.options.Cut)
	for revision := range r.publishedAt {
		r.excluded[revision] = true
	}
	return err
}

// reconnect ends the partition and publishes one more change, an update that leaves its backend
// as it is. The delays after the reconnect are those of this change.
func (r *run) reconnect() error {
	first := r.fleet.Members[0]
	r.discovery.setPartitioned(false, r.evenAgents()...)
	r.publish(r.setPhase(0, first.Phase, first.UpSince))
	return r.sleep(r.options.Quiet)
}

// computeFigures computes the figures of the run from the results of its phases.
func (r *run) computeFigures() {
	result := r.result
	var load LoadResult
	for _, p := range result.Phases {
		load = load.plus(p.Load)
	}
	load = load.withQuantiles(r.latencies)
	for _, process := range r.realIngresses {
		if resident, err := residentMemory(process.command.Process.Pid); err == nil {
			result.ResidentMB = append(result.ResidentMB, float64(resident)/1e6)
		}
	}
	add := func(name string, value float64, unit string, budget *Budget) {
		result.Figures = append(result.Figures, Figure{name, value, unit, budget})
	}
	for _, p := range result.Phases {
		if p.Name == phaseStart {
			continue
		}
		add("processor, "+p.Name, p.CPUPercent, BudgetCPU.Unit, &BudgetCPU)
		add("bytes, "+p.Name, p.KBPerSecond, BudgetBytes.Unit, &BudgetBytes)
		if len(r.realIngresses) > 0 {
			add("latency p99, "+p.Name, p.Load.P99, BudgetLatency.Unit, &BudgetLatency)
		}
		if p.LastDelay > 0 {
			add("last ingress to hold a change, "+p.Name, p.LastDelay, BudgetConvergence.Unit, &BudgetConvergence)
		}
	}
	add("memory of an ingress without clients", r.residentMB, BudgetMemory.Unit, &BudgetMemory)
	add("of it in use", r.heapMB, BudgetMemory.Unit, nil)
	if len(r.realIngresses) == 0 {
		return
	}
	add("memory of a real ingress, the most", slices.Max(append(result.ResidentMB, 0)), BudgetMemory.Unit, &BudgetMemory)
	add("latency of the whole run, p50", load.P50, "ms", nil)
	add("latency of the whole run, p99", load.P99, BudgetLatency.Unit, &BudgetLatency)
	add("latency of the whole run, worst", load.Worst, "ms", nil)
	add("requests sent", float64(load.Sent), "requests", nil)
	add("requests refused", float64(load.Refused), "requests", nil)
	add("requests failed", float64(load.Failed), "requests", nil)
	add("requests left unanswered", float64(load.Unanswered), BudgetUnanswered.Unit, &BudgetUnanswered)
}
