package scale

import "time"

// The load of measureListsUnderLoad.
const (
	underLoadRate         = 250.0 // requests per second
	underLoadDuration     = 9 * time.Second
	underLoadListInterval = 1500 * time.Millisecond // between full lists, each with one change
)

// measureListsUnderLoad measures the latencies and the processor time of an ingress process
// that receives full lists while it serves requests.
func (m *measurement) measureListsUnderLoad(size int) error {
	backends, err := startBackendStub()
	if err != nil {
		return err
	}
	defer backends.close()
	fleet := newFleet(size, backends.port)
	discovery, err := startDiscoveryStub(fleet, 0)
	if err != nil {
		return err
	}
	defer discovery.close()
	discovery.sendSnapshotsOnly()
	process, err := startIngress(m.ctx, ingressSpec{program: m.options.Ingress, name: "i0", ingresses: TargetIngresses,
		discovery: discovery.agentAddress(0), maxSockets: 1024})
	if err != nil {
		return err
	}
	defer process.stop()
	done := make(chan struct{})
	go func() {
		defer close(done)
		ticker := time.NewTicker(underLoadListInterval)
		defer ticker.Stop()
		for i := 0; i < int(underLoadDuration/underLoadListInterval); i++ {
			<-ticker.C
			changed := *fleet.Members[i%size]
			changed.Size = 1 + float64(i+1)/100
			discovery.publish(&changed)
		}
	}()
	started := time.Now()
	before, err := processCPUTime(process.command.Process.Pid)
	if err != nil {
		return err
	}
	generator := newLoadGenerator(loadOptions{address: process.address, rate: underLoadRate, duration: underLoadDuration, seed: 1})
	generator.run(m.ctx)
	<-done
	result, _ := generator.takeResult()
	after, err := processCPUTime(process.command.Process.Pid)
	if err != nil {
		return err
	}
	m.record("whole lists under load: p50", "ms", size, result.P50)
	m.record("whole lists under load: p99", "ms", size, result.P99)
	m.record("whole lists under load: worst", "ms", size, result.Worst)
	m.record("whole lists under load: not answered", "requests", size, float64(result.Unanswered))
	m.record("whole lists under load: not served", "requests", size, float64(result.Sent-result.Served))
	m.record("whole lists under load: processor", "% of a core", size, 100*(after-before).Seconds()/time.Since(started).Seconds())
	return nil
}
