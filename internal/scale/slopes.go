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

// SlopeOptions holds the sizes at which costs are measured.
type SlopeOptions struct {
	Backends    []int  // numbers of backends
	Tenants     []int  // numbers of customers of one ingress
	Connections []int  // numbers of client connections
	Repeats     int    // of each measurement, at least 1
	Ingress     string // path of the ingress program
}

// Slopes holds all costs as functions of size.
type Slopes struct {
	Machine Machine `json:"machine"`
	Repeats int     `json:"repeats"`
	Slopes  []Slope `json:"slopes"`
}

// MeasureSlopes measures every cost at every size, options.Repeats times each.
func MeasureSlopes(ctx context.Context, options SlopeOptions) (*Slopes, error) {
	m := &measurement{ctx: ctx, options: options, values: map[series]map[int][]float64{}}
	sweeps := []struct {
		dimension string
		sizes     []int
		measure   []func(size int) error
	}{
		{"backends", options.Backends, []func(int) error{m.measureLists, m.measureConfigReload, m.measureRequests, m.measureStart, m.measureListsUnderLoad}},
		{"tenants", options.Tenants, []func(int) error{m.measureTenants}},
		{"connections", options.Connections, []func(int) error{m.measureConnections}},
	}
	for _, sweep := range sweeps {
		m.dimension = sweep.dimension
		for _, size := range sweep.sizes {
			for range options.Repeats {
				for _, measure := range sweep.measure {
					if err := ctx.Err(); err != nil {
						return nil, err
					}
					if err := measure(size); err != nil {
						return nil, fmt.Errorf("%d %s: %w", size, sweep.dimension, err)
					}
				}
			}
			slog.Info("size measured", "of", sweep.dimension, "size", size)
		}
	}
	return &Slopes{Machine: currentMachine(), Repeats: options.Repeats, Slopes: m.slopes()}, nil
}

// series identifies the values of one cost.
type series struct{ name, dimension, unit string }

// measurement collects values by cost and size.
type measurement struct {
	ctx       context.Context
	options   SlopeOptions
	dimension string // what the current sizes count
	order     []series
	values    map[series]map[int][]float64
}

// record adds one measured value of a cost at a size.
func (m *measurement) record(name, unit string, size int, value float64) {
	s := series{name, m.dimension, unit}
	if m.values[s] == nil {
		m.values[s] = map[int][]float64{}
		m.order = append(m.order, s)
	}
	m.values[s][size] = append(m.values[s][size], value)
}

// slopes returns the fitted costs in the order in which they were first recorded.
func (m *measurement) slopes() (all []Slope) {
	sizes := map[string][]int{
		"backends": m.options.Backends, "tenants": m.options.Tenants, "connections": m.options.Connections}
	for _, s := range m.order {
		slope := Slope{Name: s.name, Dimension: s.dimension, Unit: s.unit}
		for _, size := range sizes[s.dimension] {
			slope.Points = append(slope.Points, newPoint(size, m.values[s][size]))
		}
		slope.fit()
		all = append(all, slope)
	}
	return all
}

// measureLists measures the costs of a full list, and of changes to it, for an ingress.
func (m *measurement) measureLists(size int) error {
	const port = 1
	fleet := newFleet(size, port)
	text := encodeList(fleet)
	m.record("whole list", "KB", size, float64(len(text))/1e3)
	config, err := controlPlaneConfig(TargetIngresses, 0)
	if err != nil {
		return err
	}
	before := heapInUse()
	control, err := ingress.NewControlPlane(config, nil)
	if err != nil {
		return err
	}
	apply := func(name string, list membership.List) error {
		runtime.GC() // earlier garbage must not be collected during the measurement
		applied, err := control.ApplyList(encodeList(list))
		if err != nil {
			return err
		}
		m.record(name+": decode and compare", "ms", size, milliseconds(applied.DecodeTime))
		m.record(name+": on the loop", "ms", size, milliseconds(applied.LoopTime))
		m.record(name+": longest hold of the loop", "ms", size, milliseconds(applied.MaxBatchTime))
		return nil
	}
	if err := apply("first list", fleet); err != nil {
		return err
	}
	m.record("memory for backends", "MB", size, float64(heapInUse()-before)/1e6)
	runtime.KeepAlive(text) // both heap measurements must include it

	now := time.Now().UnixMilli()
	rack := make([]int, rackSize)
	for i := range rack {
		rack[i] = i * size / rackSize
	}
	quarter := numbersInZone(fleet, zones[0])
	// Bursts of failures have taken a quarter of the backends. One zone has an eighth
	// of them, so an eighth is added from the next zone.
	for i := range size / 8 {
		quarter = append(quarter, (i*len(zones)+1)%size)
	}
	fleet.Revision++
	fleet.Members[size/2] = withPhase(fleet.Members[size/2], membership.PhaseServing, now)
	steps := []struct {
		name string
		list membership.List
	}{
		{"list with one change", fleet},
		{"one change", newDelta(fleet, 3, membership.PhaseDraining, 0, size/3)},
		{"a rack of 40 gone", newDelta(fleet, 4, membership.PhaseDeleted, 0, rack...)},
		{"a rack of 40 back", newDelta(fleet, 5, membership.PhaseServing, now, rack...)},
		{"a quarter gone", newDelta(fleet, 6, membership.PhaseDeleted, 0, quarter...)},
		{"a quarter back", newDelta(fleet, 7, membership.PhaseServing, now, quarter...)},
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
	measuredRequests = 2000
	warmUpCustomers  = 1000 // each sends one request first, so that all customers are known
)

// measureRequests measures the time that the gateway takes for one request and its outcome.
func (m *measurement) measureRequests(size int) error {
	// The index of a name is the number of cold backends.
	for cold, name := range []string{"a request, all warm", "a request, one cold"} {
		gateway, recorder, err := newGateway(size, cold)
		if err != nil {
			return err
		}
		now := time.Duration(0)
		started := time.Now()
		for id := range uint32(warmUpCustomers + measuredRequests) {
			if id == warmUpCustomers {
				started = time.Now()
			}
			now += 5 * time.Millisecond
			recorder.serveRequest(gateway, now, id+1, uint64(id%warmUpCustomers))
		}
		m.record(name, "µs", size, milliseconds(time.Since(started))*1e3/measuredRequests)
	}
	return nil
}

// measureTenants measures the memory that the gateway's records of customers take, and the
// longest time that the first request of a customer takes.
func (m *measurement) measureTenants(size int) error {
	before := heapInUse()
	gateway, recorder, err := newGateway(100, 0)
	if err != nil {
		return err
	}
	now, longest := time.Duration(0), time.Duration(0)
	for id := range uint32(size) {
		now += time.Millisecond
		started := time.Now()
		recorder.serveRequest(gateway, now, id+1, uint64(id))
		longest = max(longest, time.Since(started))
	}
	m.record("memory for tenants", "MB", size, float64(heapInUse()-before)/1e6)
	m.record("longest hold by a request", "ms", size, milliseconds(longest))
	runtime.KeepAlive(gateway)
	return nil
}

// newGateway returns a gateway of the target deployment with size backends. The first
// backends, cold in number, stay in slow start for the whole measurement.
func newGateway(size, cold int) (*choice.Gateway, *attemptRecorder, error) {
	config, err := controlPlaneConfig(TargetIngresses, 0)
	if err != nil {
		return nil, nil, err
	}
	config.Choice.WarmUpPeriod = time.Hour
	recorder := &attemptRecorder{}
	gateway, err := choice.New(config.Choice, 1, 0, recorder)
	if err != nil {
		return nil, nil, err
	}
	backends := make([]choice.Backend, size)
	for i := range backends {
		backends[i] = choice.Backend{ID: uint32(i + 1), Zone: i % len(zones), Weight: 1, StartKnown: i < cold}
	}
	gateway.UpdateBackends(0, choice.Cached, backends)
	return gateway, recorder, nil
}

// attemptRecorder implements choice.Actions. It records the last attempt and ignores all
// other actions.
type attemptRecorder struct{ id, backend uint32 }

// serveRequest passes a request to the gateway and, if an attempt was sent, its successful
// outcome.
func (a *attemptRecorder) serveRequest(gateway *choice.Gateway, now time.Duration, id uint32, customer uint64) {
	const service = 2 * time.Millisecond
	gateway.Request(now, choice.Request{ID: id, Customer: customer, TimeLeft: 4 * time.Second, Units: 1, SetSize: 3})
	if a.id == id {
		gateway.Outcome(now+service, choice.Outcome{ID: id, Backend: a.backend, Elapsed: service, Answered: true, Metered: true, Used: 0.5})
	}
}

// Send records an attempt.
func (a *attemptRecorder) Send(id, backend uint32, _ time.Duration) { a.id, a.backend = id, backend }

// Refuse does nothing.
func (a *attemptRecorder) Refuse(uint32, time.Duration, choice.Reason) {}

// Fail does nothing.
func (a *attemptRecorder) Fail(uint32, choice.Reason) {}

// Cancel does nothing.
func (a *attemptRecorder) Cancel(uint32, int) {}

// Probe does nothing.
func (a *attemptRecorder) Probe(uint32) {}

// SetTimer does nothing.
func (a *attemptRecorder) SetTimer(time.Duration, uint64) {}

// controlPlaneConfig returns the configuration of one ingress of a deployment with the given
// number of ingresses.
func controlPlaneConfig(ingresses, index int) (ingress.Config, error) {
	return ingress.ParseConfig(fmt.Appendf(nil, `{"name":"i%d","seed":"%x","settings":%s}`, index, index+1, settingsJSON(ingresses, index)))
}

// heapInUse returns the bytes in use after two garbage collections: the first only clears
// the pools (sync.Pool), and the second frees what they held.
func heapInUse() int64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc + stats.StackInuse)
}

// measureConfigReload measures how long a running ingress takes to reload its configuration,
// including the pauses that it makes in favour of requests. The reload skips the list of
// backends in the configuration.
func (m *measurement) measureConfigReload(size int) error {
	fleet := newFleet(size, 1)
	text, err := configJSON(ingressSpec{name: "i0", ingresses: TargetIngresses, discovery: "127.0.0.1:1", knownList: &fleet}, "127.0.0.1:2")
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
	started := time.Now()
	_, err = ingress.ReloadConfig(func(name string) string {
		if name == "NODE_CONFIG" {
			return file.Name()
		}
		return ""
	})
	m.record("a configuration read again", "ms", size, milliseconds(time.Since(started)))
	return err
}
