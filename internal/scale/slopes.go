package scale

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"runtime"
	"time"

	"cedarseam/choice"
	"cedarseam/internal/ingress"
	"cedarseam/internal/membership"
)

// SlopeOptions are the sizes at which costs are measured.
type SlopeOptions struct {
	Backends    []int  // sizes of the fleet
	Tenants     []int  // customers met by one ingress
	Connections []int  // connections of clients
	Repeats     int    // of each measurement, at least 1
	Ingress     string // path of the ingress program
}

// Slopes are all costs as functions of size.
type Slopes struct {
	Machine Machine `json:"machine"`
	Repeats int     `json:"repeats"`
	Slopes  []Slope `json:"slopes"`
}

// MeasureSlopes measures every cost at every size, as often as is asked for.
func MeasureSlopes(ctx context.Context, options SlopeOptions) (*Slopes, error) {
	m := &measurement{ctx: ctx, options: options, values: map[series]map[int][]float64{}}
	sweeps := []struct {
		of      string
		sizes   []int
		measure []func(size int) error
	}{
		{"backends", options.Backends, []func(int) error{m.lists, m.configuration, m.requests, m.start, m.live}},
		{"tenants", options.Tenants, []func(int) error{m.tenants}},
		{"connections", options.Connections, []func(int) error{m.connections}},
	}
	for _, sweep := range sweeps {
		m.of = sweep.of
		for _, size := range sweep.sizes {
			for range options.Repeats {
				for _, measure := range sweep.measure {
					if err := ctx.Err(); err != nil {
						return nil, err
					}
					if err := measure(size); err != nil {
						return nil, fmt.Errorf("%d %s: %w", size, sweep.of, err)
					}
				}
			}
			slog.Info("measured", "of", sweep.of, "size", size)
		}
	}
	return &Slopes{Machine: thisMachine(), Repeats: options.Repeats, Slopes: m.slopes()}, nil
}

// series names the values of one cost.
type series struct{ name, of, unit string }

// measurement collects values by cost and size.
type measurement struct {
	ctx     context.Context
	options SlopeOptions
	of      string // what the sizes now count
	order   []series
	values  map[series]map[int][]float64
}

func (m *measurement) record(name, unit string, size int, value float64) {
	s := series{name, m.of, unit}
	if m.values[s] == nil {
		m.values[s] = map[int][]float64{}
		m.order = append(m.order, s)
	}
	m.values[s][size] = append(m.values[s][size], value)
}

func (m *measurement) slopes() (all []Slope) {
	sizes := map[string][]int{
		"backends": m.options.Backends, "tenants": m.options.Tenants, "connections": m.options.Connections}
	for _, s := range m.order {
		slope := Slope{Name: s.name, Of: s.of, Unit: s.unit}
		for _, size := range sizes[s.of] {
			slope.Points = append(slope.Points, newPoint(size, m.values[s][size]))
		}
		slope.fit()
		all = append(all, slope)
	}
	return all
}

// lists measures what a list, and what changes of it, cost an ingress.
func (m *measurement) lists(size int) error {
	const port = 1
	fleet := newFleet(size, port)
	text := lineOf(fleet)
	m.record("whole list", "KB", size, float64(len(text))/1e3)
	cfg, err := controlConfig(TargetIngresses, 0)
	if err != nil {
		return err
	}
	before := heap()
	control, err := ingress.NewControl(cfg, nil)
	if err != nil {
		return err
	}
	apply := func(name string, list membership.List) error {
		runtime.GC() // the collection of what came before is not its cost
		applied, err := control.Apply(lineOf(list))
		if err != nil {
			return err
		}
		m.record(name+": decode and compare", "ms", size, milliseconds(applied.Decode))
		m.record(name+": on the loop", "ms", size, milliseconds(applied.Loop))
		m.record(name+": longest hold of the loop", "ms", size, milliseconds(applied.Longest))
		return nil
	}
	if err := apply("first list", fleet); err != nil {
		return err
	}
	m.record("memory for backends", "MB", size, float64(heap()-before)/1e6)
	runtime.KeepAlive(text) // it was in use before, too

	now := time.Now().UnixMilli()
	rack := make([]int, rackSize)
	for i := range rack {
		rack[i] = i * size / rackSize
	}
	zone := inZone(fleet, zones[0])
	for i := range size / 8 { // an eighth is in one zone; a quarter fails in the measured burst
		zone = append(zone, (i*len(zones)+1)%size)
	}
	fleet.Revision++
	fleet.Members[size/2] = withPhase(fleet.Members[size/2], membership.PhaseServing, now)
	steps := []struct {
		name string
		list membership.List
	}{
		{"list with one change", fleet},
		{"one change", changeOf(fleet, 3, membership.PhaseDraining, 0, size/3)},
		{"a rack of 40 gone", changeOf(fleet, 4, membership.PhaseDeleted, 0, rack...)},
		{"a rack of 40 back", changeOf(fleet, 5, membership.PhaseServing, now, rack...)},
		{"a quarter gone", changeOf(fleet, 6, membership.PhaseDeleted, 0, zone...)},
		{"a quarter back", changeOf(fleet, 7, membership.PhaseServing, now, zone...)},
	}
	for _, step := range steps {
		if err := apply(step.name, step.list); err != nil {
			return err
		}
	}
	runtime.KeepAlive(control)
	return nil
}

const (
	requestsMeasured = 2000
	customersMet     = 1000 // before these, so that each is known
)

// requests measures one request with its outcome by the size of the fleet.
func (m *measurement) requests(size int) error {
	for cold, name := range []string{"a request, all warm", "a request, one cold"} {
		gateway, sent, err := newGateway(size, cold)
		if err != nil {
			return err
		}
		clock := time.Duration(0)
		begun := time.Now()
		for id := range uint32(customersMet + requestsMeasured) {
			if id == customersMet {
				begun = time.Now()
			}
			clock += 5 * time.Millisecond
			sent.serve(gateway, clock, id+1, uint64(id%customersMet))
		}
		m.record(name, "µs", size, milliseconds(time.Since(begun))*1e3/requestsMeasured)
	}
	return nil
}

// tenants measures what the records of customers cost.
func (m *measurement) tenants(size int) error {
	before := heap()
	gateway, sent, err := newGateway(100, 0)
	if err != nil {
		return err
	}
	clock, longest := time.Duration(0), time.Duration(0)
	for id := range uint32(size) {
		clock += time.Millisecond
		begun := time.Now()
		sent.serve(gateway, clock, id+1, uint64(id))
		longest = max(longest, time.Since(begun))
	}
	m.record("memory for tenants", "MB", size, float64(heap()-before)/1e6)
	m.record("longest hold by a request", "ms", size, milliseconds(longest))
	runtime.KeepAlive(gateway)
	return nil
}

// newGateway makes a gateway of the target's tier before so many backends, the
// first of which are cold for the whole measurement.
func newGateway(size, cold int) (*choice.Gateway, *lastSend, error) {
	cfg, err := controlConfig(TargetIngresses, 0)
	if err != nil {
		return nil, nil, err
	}
	cfg.Choice.WarmUpPeriod = time.Hour
	sent := &lastSend{}
	gateway, err := choice.New(cfg.Choice, 1, 0, sent)
	if err != nil {
		return nil, nil, err
	}
	backends := make([]choice.Backend, size)
	for i := range backends {
		backends[i] = choice.Backend{ID: uint32(i + 1), Zone: i % len(zones), Weight: 1, StartKnown: i < cold}
	}
	gateway.UpdateBackends(0, choice.Cached, backends)
	return gateway, sent, nil
}

// lastSend is the gateway's actions: it keeps the last attempt alone.
type lastSend struct{ id, backend uint32 }

// serve tells the gateway of a request and of its answer, if it was sent on.
func (l *lastSend) serve(gateway *choice.Gateway, now time.Duration, id uint32, customer uint64) {
	const service = 2 * time.Millisecond
	gateway.Request(now, choice.Request{ID: id, Customer: customer, TimeLeft: 4 * time.Second, Units: 1, SetSize: 3})
	if l.id == id {
		gateway.Outcome(now+service, choice.Outcome{ID: id, Backend: l.backend, Elapsed: service, Answered: true, Metered: true, Used: 0.5})
	}
}

// Send implements choice.Actions, as do the methods below.
func (l *lastSend) Send(id, backend uint32, _ time.Duration) { l.id, l.backend = id, backend }

// Refuse does nothing.
func (l *lastSend) Refuse(uint32, time.Duration, choice.Reason) {}

// Fail does nothing.
func (l *lastSend) Fail(uint32, choice.Reason) {}

// Cancel does nothing.
func (l *lastSend) Cancel(uint32, int) {}

// Probe does nothing.
func (l *lastSend) Probe(uint32) {}

// SetTimer does nothing.
func (l *lastSend) SetTimer(time.Duration, uint64) {}

// controlConfig is the configuration of an ingress of the target's deployment.
func controlConfig(ingresses, self int) (ingress.Config, error) {
	return ingress.ParseConfig(fmt.Appendf(nil, `{"name":"i%d","seed":"%x","settings":%s}`, self, self+1, settings(ingresses, self)))
}

// heap is what is in use after a collection, and another one for what the first
// only took out of pools.
func heap() int64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc + stats.StackInuse)
}

// configuration measures how long a running ingress takes to read its
// configuration again, rests included. The list of backends in it is passed over.
func (m *measurement) configuration(size int) error {
	fleet := newFleet(size, 1)
	text, err := configText(processSpec{name: "i0", ingresses: TargetIngresses, discovery: "127.0.0.1:1", known: &fleet}, "127.0.0.1:2")
	if err != nil {
		return err
	}
	file, err := os.CreateTemp("", "scale-*.json")
	if err != nil {
		return err
	}
	defer os.Remove(file.Name())
	defer file.Close()
	if _, err := file.Write(text); err != nil {
		return err
	}
	begun := time.Now()
	_, err = ingress.ReloadConfig(func(name string) string {
		if name == "NODE_CONFIG" {
			return file.Name()
		}
		return ""
	})
	m.record("a configuration read again", "ms", size, milliseconds(time.Since(begun)))
	return err
}
