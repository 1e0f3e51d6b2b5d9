package scale

import "time"

const (
	liveRate   = 250.0                   // requests a second
	liveLength = 9 * time.Second         // of the load
	liveEvery  = 1500 * time.Millisecond // a whole list comes so often, with one change
)

// live measures a running ingress that gets whole lists under load.
func (m *measurement) live(size int) error {
	servers, err := startBackends()
	if err != nil {
		return err
	}
	defer servers.close()
	fleet := newFleet(size, servers.port)
	discovery, err := startDiscovery(fleet, 0)
	if err != nil {
		return err
	}
	defer discovery.close()
	discovery.tellWhole()
	p, err := startProcess(m.ctx, processSpec{program: m.options.Ingress, name: "i0", ingresses: TargetIngresses,
		discovery: discovery.agentAddress(0), sockets: 1024})
	if err != nil {
		return err
	}
	defer p.stop()
	done := make(chan struct{})
	go func() {
		defer close(done)
		ticker := time.NewTicker(liveEvery)
		defer ticker.Stop()
		for i := 0; i < int(liveLength/liveEvery); i++ {
			<-ticker.C
			changed := *fleet.Members[i%size]
			changed.Size = 1 + float64(i+1)/100
			discovery.publish(&changed)
		}
	}()
	begun := time.Now()
	before, err := processorTime(p.command.Process.Pid)
	if err != nil {
		return err
	}
	load := newLoad(loadOptions{address: p.listen, rate: liveRate, length: liveLength, seed: 1})
	load.run(m.ctx)
	<-done
	result, _ := load.take()
	after, err := processorTime(p.command.Process.Pid)
	if err != nil {
		return err
	}
	m.record("whole lists under load: p50", "ms", size, result.P50)
	m.record("whole lists under load: p99", "ms", size, result.P99)
	m.record("whole lists under load: worst", "ms", size, result.Worst)
	m.record("whole lists under load: not answered", "requests", size, float64(result.Unanswered))
	m.record("whole lists under load: not served", "requests", size, float64(result.Sent-result.Served))
	m.record("whole lists under load: processor", "% of a core", size, 100*(after-before).Seconds()/time.Since(begun).Seconds())
	return nil
}
