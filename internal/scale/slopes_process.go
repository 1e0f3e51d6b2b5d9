package scale

import (
	"net"

	"cedarseam/internal/membership"
)

// start measures how long an ingress process takes to be ready, by the size of
// the list that its configuration and discovery tell.
func (m *measurement) start(size int) error {
	fleet := newFleet(size, 1)
	discovery, err := startDiscovery(fleet, 0)
	if err != nil {
		return err
	}
	defer discovery.close()
	spec := processSpec{program: m.options.Ingress, name: "i0", ingresses: TargetIngresses,
		discovery: discovery.agentAddress(0), sockets: 1024}
	starts := []struct {
		name  string
		known *membership.List
	}{{"start to ready, list known", &fleet}, {"start to ready, no list", nil}}
	for _, start := range starts {
		spec.known = start.known
		p, err := startProcess(m.ctx, spec)
		if err != nil {
			return err
		}
		m.record(start.name, "ms", size, milliseconds(p.ready))
		resident, err := residentMemory(p.command.Process.Pid)
		p.stop()
		if err != nil {
			return err
		}
		m.record("resident memory after "+start.name, "MB", size, float64(resident)/1e6)
	}
	return nil
}

// connections measures the memory that idle connections of clients take.
func (m *measurement) connections(size int) error {
	fleet := newFleet(100, 1)
	discovery, err := startDiscovery(fleet, 0)
	if err != nil {
		return err
	}
	defer discovery.close()
	p, err := startProcess(m.ctx, processSpec{program: m.options.Ingress, name: "i0", ingresses: TargetIngresses,
		discovery: discovery.agentAddress(0), sockets: size * socketsPerConnection})
	if err != nil {
		return err
	}
	defer p.stop()
	before, err := residentMemory(p.command.Process.Pid)
	if err != nil {
		return err
	}
	for range size {
		connection, err := net.Dial("tcp", p.listen)
		if err != nil {
			return err
		}
		defer connection.Close()
		if _, err := ping(connection, readyWithin); err != nil {
			return err
		}
	}
	after, err := residentMemory(p.command.Process.Pid)
	if err != nil {
		return err
	}
	m.record("resident memory for connections", "MB", size, float64(after-before)/1e6)
	return nil
}

// socketsPerConnection leaves room: clients may hold half of an ingress's
// sockets, and near that it closes idle ones.
const socketsPerConnection = 4
