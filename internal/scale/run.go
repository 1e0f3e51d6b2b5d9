package scale

import (
	"context"
	"fmt"
	"log/slog"
	"runtime"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"cedarseam/internal/membership"
)

// RunOptions describe a run. The durations are those of the timeline's phases.
type RunOptions struct {
	Ingresses int     // total number
	Real      int     // ingress processes that serve load; the others are control-plane-only
	Backends  int     // number of backends
	Seed      uint64  // of the load
	Rate      float64 // requests per second to each real ingress
	Program   string  `json:"-"` // path of this program, which runs the control-plane-only ingresses
	Ingress   string  `json:"-"` // path of the ingress program

	Quiet   time.Duration // no change is published: at the beginning, and after the reconnect
	Release time.Duration // a share of the backends is replaced
	Zone    time.Duration // half for the outage of a zone, half for its return
	Cut     time.Duration // half of the ingresses are partitioned from discovery

	Replaced float64 // fraction of the backends that the release replaces
}

// The parameters and limits of a run.
const (
	controlPlaneProcessesPerCore = 1
	releaseSteps                 = 20                     // in which the release replaces its backends
	partitionReleaseSteps        = 4                      // of the replacement during the partition
	convergenceTimeout           = 60 * time.Second       // until all ingresses have applied a change
	convergencePollInterval      = 100 * time.Millisecond // between samples while waiting for it
	memoryPerIngress             = 512 << 10              // bytes, without the list
	// memoryPerBackend is the bytes per backend at each ingress: 850 in use, and the garbage
	// that controlPlaneGCPercent allows.
	memoryPerBackend = 1110
	memoryDivisor    = 2   // a run may need at most 1/memoryDivisor of the machine's memory
	maxProcesses     = 300 // a run must start fewer
)

// Check returns an error if this machine cannot run the options.
func (o RunOptions) Check() error {
	if o.Real < 0 || o.Real >= o.Ingresses {
		return fmt.Errorf("%d of %d ingresses are real: at least one must run without clients", o.Real, o.Ingresses)
	}
	if o.Ingresses > maxAgents {
		return fmt.Errorf("%d ingresses: only %d addresses are available to agents", o.Ingresses, maxAgents)
	}
	if o.Real+runtime.NumCPU() >= maxProcesses {
		return fmt.Errorf("%d real ingresses: the run would start %d processes or more", o.Real, maxProcesses)
	}
	need := int64(o.Ingresses) * (memoryPerIngress + memoryPerBackend*int64(o.Backends))
	total := int64(currentMachine().MemoryMB) << 20
	if need > total/memoryDivisor {
		return fmt.Errorf("%d ingresses and %d backends need about %d MB, more than half of the machine's %d MB",
			o.Ingresses, o.Backends, need>>20, total>>20)
	}
	return nil
}

// controlPlaneCount returns the number of control-plane-only ingresses.
func (o RunOptions) controlPlaneCount() int { return o.Ingresses - o.Real }

// phaseStart is the phase in which all ingresses receive their first list.
const phaseStart = "start"

// Phase holds the measurements of one phase of the timeline. Processor time and delays are
// those of the control-plane-only ingresses, traffic and changes those of all ingresses.
type Phase struct {
	Name           string  `json:"name"`
	Seconds        float64 `json:"seconds"`
	Changes        int     `json:"changes"`             // published by discovery
	UpdatedMembers int     `json:"lines"`               // in these changes
	CPUPercent     float64 `json:"processor_percent"`   // of a core, mean per ingress
	KBPerSecond    float64 `json:"bytes_kb_per_s"`      // sent by discovery, mean per ingress
	MaxKBPerSecond float64 `json:"most_bytes_kb_per_s"` // the ingress that received most
	WorstSecondMB  float64 `json:"worst_second_mb"`     // most sent to all in one second
	MedianDelay    float64 `json:"median_s"`            // from a change until an ingress applied it
	P99Delay       float64 `json:"p99_s"`
	LastDelay      float64 `json:"last_s"`

	Load LoadResult `json:"load"` // of the real ingresses together
}

// RunResult holds the measurements of a run.
type RunResult struct {
	Machine    Machine    `json:"machine"`
	Options    RunOptions `json:"options"`
	Phases     []Phase    `json:"phases"`
	ResidentMB []float64  `json:"resident_real_mb"`
	Figures    []Figure   `json:"figures"`
}

// OverBudget reports whether any figure exceeds its budget.
func (r *RunResult) OverBudget() bool { return anyOverBudget(r.Figures) }

// run is the state of a run.
type run struct {
	ctx           context.Context
	options       RunOptions
	backends      *backendStub
	discovery     *discoveryStub
	controlPlanes []*controlPlaneProcess
	realIngresses []*ingressProcess
	fleet         membership.List // current state of each backend, by number
	result        *RunResult

	// The changes of the current phase.
	publishedAt    map[int64]int64 // Unix time in microseconds, by revision
	updatedMembers int
	excluded       map[int64]bool // revisions published while some ingresses were partitioned

	generators []*loadGenerator
	latencies  *hdrhistogram.Histogram // of the whole run, in microseconds
	residentMB float64                 // mean per control-plane-only ingress, highest phase
	heapMB     float64                 // in use at the end, mean per control-plane-only ingress
}

// Run runs one timeline: a phase without changes, the stepwise replacement of a share of
// the backends, the outage of a zone and its return, and a partition of half of the
// ingresses from discovery during another replacement, which ends for all at once.
func Run(ctx context.Context, options RunOptions) (*RunResult, error) {
	if err := options.Check(); err != nil {
		return nil, err
	}
	r := &run{ctx: ctx, options: options, result: &RunResult{Machine: currentMachine(), Options: options}, latencies: newHistogram()}
	defer r.stop()
	if err := r.start(); err != nil {
		return nil, err
	}
	if err := r.runTimeline(); err != nil {
		return nil, err
	}
	r.computeFigures()
	return r.result, nil
}

// start starts the simulated systems and all ingresses.
func (r *run) start() (err error) {
	if r.backends, err = startBackendStub(); err != nil {
		return err
	}
	r.fleet = newFleet(r.options.Backends, r.backends.port)
	if r.discovery, err = startDiscoveryStub(r.fleet, 0); err != nil {
		return err
	}
	for number := range r.options.Real {
		process, err := startIngress(r.ctx, ingressSpec{program: r.options.Ingress, name: fmt.Sprint("i", number), index: number,
			ingresses: r.options.Ingresses, discovery: r.discovery.agentAddress(number), maxSockets: 1024})
		if err != nil {
			return err
		}
		r.realIngresses = append(r.realIngresses, process)
	}
	return r.startControlPlanes()
}

// startControlPlanes distributes the control-plane-only ingresses evenly over processes.
func (r *run) startControlPlanes() error {
	first, remaining := r.options.Real, r.options.controlPlaneCount()
	processes := min(remaining, controlPlaneProcessesPerCore*runtime.NumCPU())
	for i := range processes {
		spec := ControlPlaneSpec{Ingresses: r.options.Ingresses, First: first}
		for range remaining / (processes - i) {
			spec.Agents = append(spec.Agents, r.discovery.agentAddress(first))
			first++
			remaining--
		}
		process, err := startControlPlaneProcess(r.ctx, r.options.Program, spec)
		if err != nil {
			return err
		}
		r.controlPlanes = append(r.controlPlanes, process)
	}
	return nil
}

// stop stops the ingresses concurrently, and then the simulated systems.
func (r *run) stop() {
	var stopping sync.WaitGroup
	for _, process := range r.realIngresses {
		stopping.Go(process.stop)
	}
	for _, process := range r.controlPlanes {
		stopping.Go(process.stop)
	}
	stopping.Wait()
	if r.discovery != nil {
		r.discovery.close()
	}
	if r.backends != nil {
		r.backends.close()
	}
}

// runTimeline runs all phases, those after the first under load.
func (r *run) runTimeline() error {
	if err := r.runPhase(phaseStart, func() error { return nil }); err != nil {
		return err
	}
	stopLoad := r.startLoad()
	steps := []struct {
		name   string
		action func() error
	}{
		{"quiet", func() error { return r.sleep(r.options.Quiet) }},
		{"release", r.release},
		{"zone lost", r.failZone},
		{"zone back", r.restoreZone},
		{"half cut off", r.partitionHalf},
		{"half back", r.reconnect},
	}
	for _, step := range steps {
		if err := r.runPhase(step.name, step.action); err != nil {
			return err
		}
	}
	stopLoad()
	r.addLateReplies()
	sample, err := r.sampleControlPlanes(heapSampleRequest)
	if err != nil {
		return err
	}
	r.heapMB = float64(sample.Heap) / 1e6 / float64(r.options.controlPlaneCount())
	return nil
}

// startLoad starts sending requests to the real ingresses. The function that it returns
// stops the load and waits for the last replies.
func (r *run) startLoad() (stopLoad func()) {
	options := r.options
	ctx, stop := context.WithCancel(r.ctx)
	maxDuration := 2*options.Quiet + options.Release + options.Zone + options.Cut + 4*convergenceTimeout
	var pending sync.WaitGroup
	for i, process := range r.realIngresses {
		generator := newLoadGenerator(loadOptions{address: process.address, rate: options.Rate, duration: maxDuration, seed: options.Seed + uint64(i)})
		r.generators = append(r.generators, generator)
		pending.Go(func() { generator.run(ctx) })
	}
	return func() {
		stop()
		pending.Wait()
	}
}

// takeLoadResults returns the outcomes and latencies at all real ingresses since the last
// call, and adds the latencies to those of the run.
func (r *run) takeLoadResults() (sum LoadResult) {
	latencies := newHistogram()
	for _, generator := range r.generators {
		result, generatorLatencies := generator.takeResult()
		sum = sum.plus(result)
		latencies.Merge(generatorLatencies)
	}
	r.latencies.Merge(latencies)
	return sum.withQuantiles(latencies)
}

// addLateReplies adds the replies after the last phase to its counts. Their latencies
// count for the run only.
func (r *run) addLateReplies() {
	last := &r.result.Phases[len(r.result.Phases)-1].Load
	sum := last.plus(r.takeLoadResults())
	sum.P50, sum.P99, sum.Worst = last.P50, last.P99, last.Worst
	*last = sum
}

// runPhase runs one phase of the timeline, waits until the ingresses have applied its
// changes, and records its measurements.
func (r *run) runPhase(name string, action func() error) error {
	before, err := r.sampleControlPlanes(sampleRequest)
	if err != nil {
		return err
	}
	r.publishedAt, r.updatedMembers, r.excluded = map[int64]int64{}, 0, map[int64]bool{}
	if name != phaseStart {
		r.discovery.resetTraffic()
	}
	started := time.Now()
	if err := action(); err != nil {
		return err
	}
	after, applied, err := r.awaitConvergence(before)
	if err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	elapsed := time.Since(started).Seconds()
	count := r.options.controlPlaneCount()
	total, maxPerAgent, maxPerSecond := r.discovery.trafficTotals()
	p := Phase{Name: name, Seconds: elapsed, Changes: len(r.publishedAt), UpdatedMembers: r.updatedMembers,
		CPUPercent:     100 * (after.CPUTime - before.CPUTime).Seconds() / elapsed / float64(count),
		KBPerSecond:    float64(total) / 1e3 / elapsed / float64(r.options.Ingresses),
		MaxKBPerSecond: float64(maxPerAgent) / 1e3 / elapsed,
		WorstSecondMB:  float64(maxPerSecond) / 1e6,
	}
	p.MedianDelay, p.P99Delay, p.LastDelay = r.convergenceDelays(applied)
	p.Load = r.takeLoadResults()
	r.residentMB = max(r.residentMB, float64(after.Resident)/1e6/float64(count))
	r.result.Phases = append(r.result.Phases, p)
	slog.Info("phase completed", "phase", name, "seconds", formatNumber(elapsed), "last_s", formatNumber(p.LastDelay))
	return nil
}

// sampleControlPlanes returns the sum of the samples of all control plane processes.
func (r *run) sampleControlPlanes(request string) (sum controlPlaneSample, err error) {
	samples := make([]controlPlaneSample, len(r.controlPlanes))
	errs := make([]error, len(r.controlPlanes))
	var pending sync.WaitGroup
	for i, process := range r.controlPlanes {
		pending.Go(func() { samples[i], errs[i] = process.sample(request) })
	}
	pending.Wait()
	for i, sample := range samples {
		if errs[i] != nil {
			return sum, errs[i]
		}
		sum.CPUTime += sample.CPUTime
		sum.Resident += sample.Resident
		sum.Heap += sample.Heap
		sum.Applied = append(sum.Applied, sample.Applied...)
	}
	return sum, nil
}

// awaitConvergence waits until every control-plane-only ingress has applied the last
// revision, and returns the last sample and all lists applied since the phase began. It
// does not wait after a phase without changes, except the first, in which all ingresses
// receive their first list, nor while some ingresses are partitioned.
func (r *run) awaitConvergence(before controlPlaneSample) (last controlPlaneSample, applied []appliedList, err error) {
	target := r.discovery.currentRevision()
	converged := map[int]bool{}
	addApplied := func(lists []appliedList) {
		applied = append(applied, lists...)
		for _, l := range lists {
			if l.Revision >= target {
				converged[l.Ingress] = true
			}
		}
	}
	addApplied(before.Applied)
	count := r.options.controlPlaneCount()
	noChanges := len(r.publishedAt) == 0 && len(r.result.Phases) > 0
	for started := time.Now(); ; {
		if last, err = r.sampleControlPlanes(sampleRequest); err != nil {
			return last, nil, err
		}
		addApplied(last.Applied)
		if noChanges || len(converged) == count || len(r.excluded) > 0 {
			return last, applied, nil
		}
		if time.Since(started) > convergenceTimeout {
			return last, nil, fmt.Errorf("only %d of %d ingresses applied revision %d within %v", len(converged), count, target, convergenceTimeout)
		}
		if err := r.sleep(convergencePollInterval); err != nil {
			return last, nil, err
		}
	}
}

// convergenceDelays returns the median, the 99th percentile and the maximum of the delays,
// in seconds, from each change until each ingress applied it or a later one. Excluded
// revisions do not count.
func (r *run) convergenceDelays(applied []appliedList) (median, p99, last float64) {
	byIngress := map[int][]appliedList{}
	for _, l := range applied {
		byIngress[l.Ingress] = append(byIngress[l.Ingress], l)
	}
	var delays []float64
	for _, lists := range byIngress {
		slices.SortFunc(lists, func(a, b appliedList) int { return int(a.At - b.At) })
		for revision, at := range r.publishedAt {
			i := slices.IndexFunc(lists, func(l appliedList) bool { return l.Revision >= revision })
			if i >= 0 && !r.excluded[revision] {
				delays = append(delays, float64(lists[i].At-at)/1e6)
			}
		}
	}
	if len(delays) == 0 {
		return 0, 0, 0
	}
	slices.Sort(delays)
	return delays[len(delays)/2], delays[len(delays)*99/100], delays[len(delays)-1]
}

// publish publishes a change and records its time.
func (r *run) publish(members ...*membership.Member) {
	at := time.Now().UnixMicro()
	revision := r.discovery.publish(members...)
	r.publishedAt[revision] = at
	r.updatedMembers += len(members)
}

// sleep waits for a duration, or returns an error if the run is cancelled.
func (r *run) sleep(d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-r.ctx.Done():
		return r.ctx.Err()
	}
}
