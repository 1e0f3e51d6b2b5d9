// Package scale measures what an ingress costs at sizes beyond today's fleets.
//
// [MeasureSlopes] measures each cost at several sizes and fits its growth. [Run]
// runs a scenario of changes and failures against many ingresses, most of which
// are control-plane-only: they follow discovery and keep the gateway's state,
// but serve no clients. [MeasureList] measures what one list of backends costs.
//
// The systems around the ingresses (discovery with its agents, the backends and
// the clients) are simulated by this package. They listen on loopback only.
package scale
