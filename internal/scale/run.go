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
	hollowProcessesPerCore = 1
	releaseSteps           = 20
	releaseStepsInCut      = 4
	settleWithin           = 60 * time.Second       // until all ingresses hold a change, at the longest
	settlePause            = 100 * time.Millisecond // between two looks whether they do
	memoryPerIngress       = 512 << 10              // bytes, besides what the list takes
	memoryPerBackend       = 1110                   // bytes at each ingress: 850 as measured, and the garbage allowed
	memoryShare            = 2                      // the run takes 1 of so many parts of the machine's memory at most
	mostProcesses          = 300
)

// Check tells what of the options can't be run on this machine.
func (o RunOptions) Check() error {
	if o.Real < 0 || o.Real >= o.Ingresses {
		return fmt.Errorf("%d real ingresses of %d: some must be without clients", o.Real, o.Ingresses)
	}
	if o.Ingresses > agentsInAll {
		return fmt.Errorf("%d ingresses: there are %d addresses for agents", o.Ingresses, agentsInAll)
	}
	if o.Real+runtime.NumCPU() >= mostProcesses {
		return fmt.Errorf("%d real ingresses: the run would start over %d processes", o.Real, mostProcesses)
	}
	need := int64(o.Ingresses) * (memoryPerIngress + memoryPerBackend*int64(o.Backends))
	total := int64(thisMachine().MemoryMB) << 20
	if need > total/memoryShare {
		return fmt.Errorf("%d ingresses and %d backends take about %d MB, over half of the machine's %d MB",
			o.Ingresses, o.Backends, need>>20, total>>20)
	}
	return nil
}

// hollows are how many ingresses run without clients.
func (o RunOptions) hollows() int { return o.Ingresses - o.Real }

// phaseStart is the phase in which all ingresses get their first list.
const phaseStart = "start"

// Phase is what one part of the timeline cost each ingress without clients.
type Phase struct {
	Name      string  `json:"name"`
	Seconds   float64 `json:"seconds"`
	Changes   int     `json:"changes"`           // told by discovery
	Lines     int     `json:"lines"`             // in them
	Processor float64 `json:"processor_percent"` // of a core, the mean ingress
	Bytes     float64 `json:"bytes_kb_per_s"`    // the mean ingress
	MostBytes float64 `json:"most_bytes_kb_per_s"`
	Worst     float64 `json:"worst_second_mb"` // of what discovery sends to all
	Median    float64 `json:"median_s"`        // from a change until an ingress holds it
	P99       float64 `json:"p99_s"`
	Last      float64 `json:"last_s"`

	Load LoadResult `json:"load"` // of the real ingresses together
}

// RunResult is what a run has measured.
type RunResult struct {
	Machine  Machine    `json:"machine"`
	Options  RunOptions `json:"options"`
	Phases   []Phase    `json:"phases"`
	Resident []float64  `json:"resident_real_mb"`
	Figures  []Figure   `json:"figures"`
}

// Over tells whether a figure breaks its budget.
func (r *RunResult) Over() bool { return anyOver(r.Figures) }

// run is a run under way.
type run struct {
	ctx       context.Context
	options   RunOptions
	backends  *backends
	discovery *discovery
	hollows   []*hollow
	real      []*process
	fleet     membership.List // as it now is, by the number of each backend
	result    *RunResult

	// Of the phase under way.
	published map[int64]int64 // by revision, Unix time in microseconds
	lines     int
	excluded  map[int64]bool // revisions told while some ingresses could not hear
	loads     []*load
	latencies *hdrhistogram.Histogram // of the whole run, in microseconds
	resident  float64                 // MB of the mean ingress without clients, the most so far
	heap      float64                 // MB of it in use at the end
}

// Run plays one timeline: a quiet time, the replacement of a part of the
// backends in steps, the loss of a zone and its return, and discovery cut off
// from half of the ingresses while a replacement goes on, and back at once.
func Run(ctx context.Context, options RunOptions) (*RunResult, error) {
	if err := options.Check(); err != nil {
		return nil, err
	}
	r := &run{ctx: ctx, options: options, result: &RunResult{Machine: thisMachine(), Options: options}, latencies: newHistogram()}
	defer r.stop()
	if err := r.start(); err != nil {
		return nil, err
	}
	if err := r.play(); err != nil {
		return nil, err
	}
	r.sumUp()
	return r.result, nil
}

// start starts the stand-ins and all ingresses.
func (r *run) start() (err error) {
	if r.backends, err = startBackends(); err != nil {
		return err
	}
	r.fleet = newFleet(r.options.Backends, r.backends.port)
	if r.discovery, err = startDiscovery(r.fleet, 0); err != nil {
		return err
	}
	for number := range r.options.Real {
		p, err := startProcess(r.ctx, processSpec{program: r.options.Ingress, name: fmt.Sprint("i", number), self: number,
			ingresses: r.options.Ingresses, discovery: r.discovery.agentAddress(number), sockets: 1024})
		if err != nil {
			return err
		}
		r.real = append(r.real, p)
	}
	return r.startHollows()
}

// startHollows spreads the ingresses without clients over some processes.
func (r *run) startHollows() error {
	first, left := r.options.Real, r.options.hollows()
	processes := min(left, hollowProcessesPerCore*runtime.NumCPU())
	for i := range processes {
		spec := HollowSpec{Ingresses: r.options.Ingresses, First: first}
		for range left / (processes - i) {
			spec.Agents = append(spec.Agents, r.discovery.agentAddress(first))
			first++
			left--
		}
		h, err := startHollow(r.ctx, r.options.Program, spec)
		if err != nil {
			return err
		}
		r.hollows = append(r.hollows, h)
	}
	return nil
}

// stop ends all that start has started, at the same time.
func (r *run) stop() {
	var ending sync.WaitGroup
	for _, p := range r.real {
		ending.Go(p.stop)
	}
	for _, h := range r.hollows {
		ending.Go(h.stop)
	}
	ending.Wait()
	if r.discovery != nil {
		r.discovery.close()
	}
	if r.backends != nil {
		r.backends.close()
	}
}

// play runs the timeline under load.
func (r *run) play() error {
	if err := r.phase(phaseStart, func() error { return nil }); err != nil {
		return err
	}
	loadDone := r.startLoad()
	steps := []struct {
		name string
		play func() error
	}{
		{"quiet", func() error { return r.sleep(r.options.Quiet) }},
		{"release", r.release},
		{"zone lost", r.loseZone},
		{"zone back", r.returnZone},
		{"half cut off", r.cutOff},
		{"half back", r.reconnect},
	}
	for _, step := range steps {
		if err := r.phase(step.name, step.play); err != nil {
			return err
		}
	}
	loadDone()
	r.takeLast()
	last, err := r.samples(askHeap)
	if err != nil {
		return err
	}
	r.heap = float64(last.Heap) / 1e6 / float64(r.options.hollows())
	return nil
}

// startLoad sends requests to the real ingresses until the function that it
// returns is called, which waits for the last answers.
func (r *run) startLoad() (done func()) {
	o := r.options
	ctx, stop := context.WithCancel(r.ctx)
	longest := 2*o.Quiet + o.Release + o.Zone + o.Cut + 4*settleWithin
	var running sync.WaitGroup
	for i, p := range r.real {
		l := newLoad(loadOptions{address: p.listen, rate: o.Rate, length: longest, seed: o.Seed + uint64(i)})
		r.loads = append(r.loads, l)
		running.Go(func() { l.run(ctx) })
	}
	return func() {
		stop()
		running.Wait()
	}
}

// takeLoad sums up what became of requests since it was last called.
func (r *run) takeLoad() (sum LoadResult) {
	latencies := newHistogram()
	for _, l := range r.loads {
		result, own := l.take()
		sum = sum.plus(result)
		latencies.Merge(own)
	}
	r.latencies.Merge(latencies)
	return sum.withLatencies(latencies)
}

// takeLast books what is answered after the last phase to that one, but for the
// latencies, which are those of the whole run alone.
func (r *run) takeLast() {
	last := &r.result.Phases[len(r.result.Phases)-1].Load
	sum := last.plus(r.takeLoad())
	sum.P50, sum.P99, sum.Worst = last.P50, last.P99, last.Worst
	*last = sum
}

// phase plays one part of the timeline, waits until all ingresses hold what was
// told, and books what it cost.
func (r *run) phase(name string, play func() error) error {
	before, err := r.samples(askSample)
	if err != nil {
		return err
	}
	r.published, r.lines, r.excluded = map[int64]int64{}, 0, map[int64]bool{}
	if name != phaseStart {
		r.discovery.resetTraffic()
	}
	begun := time.Now()
	if err := play(); err != nil {
		return err
	}
	after, applied, err := r.settle(before)
	if err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	took := time.Since(begun).Seconds()
	hollows := r.options.hollows()
	total, most, worst := r.discovery.sentSoFar()
	p := Phase{Name: name, Seconds: took, Changes: len(r.published), Lines: r.lines,
		Processor: 100 * (after.Processor - before.Processor).Seconds() / took / float64(hollows),
		Bytes:     float64(total) / 1e3 / took / float64(r.options.Ingresses),
		MostBytes: float64(most) / 1e3 / took,
		Worst:     float64(worst) / 1e6,
	}
	p.Median, p.P99, p.Last = r.delays(applied)
	p.Load = r.takeLoad()
	r.resident = max(r.resident, float64(after.Resident)/1e6/float64(hollows))
	r.result.Phases = append(r.result.Phases, p)
	slog.Info("played", "phase", name, "seconds", short(took), "last_s", short(p.Last))
	return nil
}

// samples adds up what the processes of ingresses without clients tell.
func (r *run) samples(question string) (sum hollowSample, err error) {
	all := make([]hollowSample, len(r.hollows))
	failed := make([]error, len(r.hollows))
	var asked sync.WaitGroup
	for i, h := range r.hollows {
		asked.Go(func() { all[i], failed[i] = h.sample(question) })
	}
	asked.Wait()
	for i, sample := range all {
		if failed[i] != nil {
			return sum, failed[i]
		}
		sum.Processor += sample.Processor
		sum.Resident += sample.Resident
		sum.Heap += sample.Heap
		sum.Applied = append(sum.Applied, sample.Applied...)
	}
	return sum, nil
}

// settle waits until every ingress without clients holds the last revision, and
// returns the last sample with all lists applied since the phase began.
func (r *run) settle(before hollowSample) (last hollowSample, applied []appliedList, err error) {
	wanted := r.discovery.revision()
	held := map[int]bool{}
	note := func(lists []appliedList) {
		applied = append(applied, lists...)
		for _, l := range lists {
			if l.Revision >= wanted {
				held[l.Ingress] = true
			}
		}
	}
	note(before.Applied)
	hollows := r.options.hollows()
	quiet := len(r.published) == 0 && len(r.result.Phases) > 0
	for begun := time.Now(); ; {
		if last, err = r.samples(askSample); err != nil {
			return last, nil, err
		}
		note(last.Applied)
		if quiet || len(held) == hollows || len(r.excluded) > 0 {
			return last, applied, nil
		}
		if time.Since(begun) > settleWithin {
			return last, nil, fmt.Errorf("%d of %d ingresses hold revision %d after %v", len(held), hollows, wanted, settleWithin)
		}
		if err := r.sleep(settlePause); err != nil {
			return last, nil, err
		}
	}
}

// delays tell how long it took from each change until each ingress held it, in
// seconds: the median, that of 99 in 100, and the last.
func (r *run) delays(applied []appliedList) (median, p99, last float64) {
	byIngress := map[int][]appliedList{}
	for _, l := range applied {
		byIngress[l.Ingress] = append(byIngress[l.Ingress], l)
	}
	var all []float64
	for _, lists := range byIngress {
		slices.SortFunc(lists, func(a, b appliedList) int { return int(a.At - b.At) })
		for revision, at := range r.published {
			i := slices.IndexFunc(lists, func(l appliedList) bool { return l.Revision >= revision })
			if i >= 0 && !r.excluded[revision] {
				all = append(all, float64(lists[i].At-at)/1e6)
			}
		}
	}
	if len(all) == 0 {
		return 0, 0, 0
	}
	slices.Sort(all)
	return all[len(all)/2], all[len(all)*99/100], all[len(all)-1]
}

// publish tells a change.
func (r *run) publish(members ...*membership.Member) {
	at := time.Now().UnixMicro()
	revision := r.discovery.publish(members...)
	r.published[revision] = at
	r.lines += len(members)
}

func (r *run) sleep(d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-r.ctx.Done():
		return r.ctx.Err()
	}
}
