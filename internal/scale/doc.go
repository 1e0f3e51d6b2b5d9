// Package scale measures what an ingress costs at sizes beyond today's fleets.
//
// [MeasureSlopes] states each cost as a function of size; [Run] plays one
// timeline of troubles against many ingresses, most of them without clients.
// The systems around the ingresses (discovery with its agents, backends and
// clients) are stand-ins of this package. All of them listen on loopback only.
package scale
