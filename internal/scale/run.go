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

// RunOptions tell what is run. Durations are of the timeline's parts.
type RunOptions struct {
	Ingresses int     // in all
	Real      int     // of them, whole processes that carry load
	Backends  int     // before them
	Seed      uint64  // of the load
	Rate      float64 // requests a second to each real ingress
	Program   string  `json:"-"` // this program, which runs the ingresses without clients
	Ingress   string  `json:"-"` // the ingress program

	Quiet   time.Duration // nothing changes: at the beginning, and at the end
	Release time.Duration // a part of the backends is replaced
	Zone    time.Duration // a zone is lost
	Cut     time.Duration // discovery is cut off from half of the ingresses

	Replaced float64 // part of the backends that the release replaces
}

// The size of the whole run.
const (
	controlPlaneProcessesPerCore = 1
	releaseSteps                 = 20
	partitionReleaseSteps        = 4
	convergenceTimeout           = 60 * time.Second       // until all ingresses hold a change, at the longest
	convergencePollInterval      = 100 * time.Millisecond // between two looks whether they do
	memoryPerIngress             = 512 << 10              // bytes, besides what the list takes
	memoryPerBackend             = 1110                   // bytes at each ingress: 850 as measured, and the garbage allowed
	memoryDivisor                = 2                      // the run takes 1 of so many parts of the machine's memory at most
	maxProcesses                 = 300
)

// Check tells what of the options can't be run on this machine.
func (o RunOptions) Check() error {
	if o.Real < 0 || o.Real >= o.Ingresses {
		return fmt.Errorf("%d real ingresses of %d: some must be without clients", o.Real, o.Ingresses)
	}
	if o.Ingresses > maxAgents {
		return fmt.Errorf("%d ingresses: there are %d addresses for agents", o.Ingresses, maxAgents)
	}
	if o.Real+runtime.NumCPU() >= maxProcesses {
		return fmt.Errorf("%d real ingresses: the run would start over %d processes", o.Real, maxProcesses)
	}
	need := int64(o.Ingresses) * (memoryPerIngress + memoryPerBackend*int64(o.Backends))
	total := int64(currentMachine().MemoryMB) << 20
	if need > total/memoryDivisor {
		return fmt.Errorf("%d ingresses and %d backends take about %d MB, over half of the machine's %d MB",
			o.Ingresses, o.Backends, need>>20, total>>20)
	}
	return nil
}

// controlPlaneCount are how many ingresses run without clients.
func (o RunOptions) controlPlaneCount() int { return o.Ingresses - o.Real }

// phaseStart is the phase in which all ingresses get their first list.
const phaseStart = "start"

// Phase is what one part of the timeline cost each ingress without clients.
type Phase struct {
	Name           string  `json:"name"`
	Seconds        float64 `json:"seconds"`
	Changes        int     `json:"changes"`           // told by discovery
	UpdatedMembers int     `json:"lines"`             // in them
	CPUPercent     float64 `json:"processor_percent"` // of a core, the mean ingress
	KBPerSecond    float64 `json:"bytes_kb_per_s"`    // the mean ingress
	MaxKBPerSecond float64 `json:"most_bytes_kb_per_s"`
	WorstSecondMB  float64 `json:"worst_second_mb"` // of what discovery sends to all
	MedianDelay    float64 `json:"median_s"`        // from a change until an ingress holds it
	P99Delay       float64 `json:"p99_s"`
	LastDelay      float64 `json:"last_s"`

	Load LoadResult `json:"load"` // of the real ingresses together
}

// RunResult is what a run has measured.
type RunResult struct {
	Machine    Machine    `json:"machine"`
	Options    RunOptions `json:"options"`
	Phases     []Phase    `json:"phases"`
	ResidentMB []float64  `json:"resident_real_mb"`
	Figures    []Figure   `json:"figures"`
}

// OverBudget tells whether a figure breaks its budget.
func (r *RunResult) OverBudget() bool { return anyOverBudget(r.Figures) }

// run is a run under way.
type run struct {
	ctx           context.Context
	options       RunOptions
	backends      *backendStub
	discovery     *discoveryStub
	controlPlanes []*controlPlaneProcess
	realIngresses []*ingressProcess
	fleet         membership.List // as it now is, by the number of each backend
	result        *RunResult

	// Of the phase under way.
	publishedAt    map[int64]int64 // by revision, Unix time in microseconds
	updatedMembers int
	excluded       map[int64]bool // revisions told while some ingresses could not hear
	generators     []*loadGenerator
	latencies      *hdrhistogram.Histogram // of the whole run, in microseconds
	residentMB     float64                 // MB of the mean ingress without clients, the most so far
	heapMB         float64                 // MB of it in use at the end
}

// Run plays one timeline: a quiet time, the replacement of a part of the
// backends in steps, the loss of a zone and its return, and discovery cut off
// from half of the ingresses while a replacement goes on, and back at once.
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

// start starts the stand-ins and all ingresses.
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

// startControlPlanes spreads the ingresses without clients over some processes.
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

// stop ends all that start has started, at the same time.
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

// runTimeline runs the timeline under load.
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

// startLoad sends requests to the real ingresses until the function that it
// returns is called, which waits for the last answers.
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

// takeLoadResults sums up what became of requests since it was last called.
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

// addLateReplies books what is answered after the last phase to that one, but for the
// latencies, which are those of the whole run alone.
func (r *run) addLateReplies() {
	last := &r.result.Phases[len(r.result.Phases)-1].Load
	sum := last.plus(r.takeLoadResults())
	sum.P50, sum.P99, sum.Worst = last.P50, last.P99, last.Worst
	*last = sum
}

// runPhase plays one part of the timeline, waits until all ingresses hold what was
// told, and books what it cost.
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
	slog.Info("played", "phase", name, "seconds", formatNumber(elapsed), "last_s", formatNumber(p.LastDelay))
	return nil
}

// sampleControlPlanes adds up what the processes of ingresses without clients tell.
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

// awaitConvergence waits until every ingress without clients holds the last revision, and
// returns the last sample with all lists applied since the phase began.
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
			return last, nil, fmt.Errorf("%d of %d ingresses hold revision %d after %v", len(converged), count, target, convergenceTimeout)
		}
		if err := r.sleep(convergencePollInterval); err != nil {
			return last, nil, err
		}
	}
}

// convergenceDelays tell how long it took from each change until each ingress held it, in
// seconds: the median, that of 99 in 100, and the last.
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

// publish tells a change.
func (r *run) publish(members ...*membership.Member) {
	at := time.Now().UnixMicro()
	revision := r.discovery.publish(members...)
	r.publishedAt[revision] = at
	r.updatedMembers += len(members)
}

func (r *run) sleep(d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-r.ctx.Done():
		return r.ctx.Err()
	}
}
