package scale

import (
	"net"

	"cedarseam/internal/membership"
)

// measureStart measures how long an ingress process takes to accept clients, and its memory
// then, with and without a last-known-good list in its configuration.
func (m *measurement) measureStart(size int) error {
	fleet := newFleet(size, 1)
	discovery, err := startDiscoveryStub(fleet, 0)
	if err != nil {
		return err
	}
	defer discovery.close()
	spec := ingressSpec{program: m.options.Ingress, name: "i0", ingresses: TargetIngresses,
		discovery: discovery.agentAddress(0), maxSockets: 1024}
	starts := []struct {
		name  string
		known *membership.List
	}{{"start to ready, list known", &fleet}, {"start to ready, no list", nil}}
	for _, start := range starts {
		spec.knownList = start.known
		process, err := startIngress(m.ctx, spec)
		if err != nil {
			return err
		}
		m.record(start.name, "ms", size, milliseconds(process.readyAfter))
		resident, err := residentMemory(process.command.Process.Pid)
		process.stop()
		if err != nil {
			return err
		}
		m.record("resident memory after "+start.name, "MB", size, float64(resident)/1e6)
	}
	return nil
}

// measureConnections measures the memory that idle client connections take.
func (m *measurement) measureConnections(size int) error {
	fleet := newFleet(100, 1)
	discovery, err := startDiscoveryStub(fleet, 0)
	if err != nil {
		return err
	}
	defer discovery.close()
	process, err := startIngress(m.ctx, ingressSpec{program: m.options.Ingress, name: "i0", ingresses: TargetIngresses,
		discovery: discovery.agentAddress(0), maxSockets: size * socketsPerConnection})
	if err != nil {
		return err
	}
	defer process.stop()
	before, err := residentMemory(process.command.Process.Pid)
	if err != nil {
		return err
	}
	for range size {
		connection, err := net.Dial("tcp", process.address)
		if err != nil {
			return err
		}
		defer connection.Close()
		if _, err := ping(connection, readyTimeout); err != nil {
			return err
		}
	}
	after, err := residentMemory(process.command.Process.Pid)
	if err != nil {
		return err
	}
	m.record("resident memory for connections", "MB", size, float64(after-before)/1e6)
	return nil
}

// socketsPerConnection sets the socket limit of the ingress high enough for all connections:
// clients may hold half of the sockets, and near that bound the ingress closes idle ones.
const socketsPerConnection = 4
