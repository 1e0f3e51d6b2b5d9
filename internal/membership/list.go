// Package membership tracks the list of backends that discovery announces. A
// [Decoder] reads lists from a connection, and a [View] computes the changes that
// each list makes, so that the cost of a list grows with its changes rather than
// with its length.
//
// The package reads no clock and starts no goroutine. Work that grows with the
// length of a list calls a pause function of the caller at intervals, in which
// other goroutines may run.
package membership

// Member is one backend as discovery announces it. A Member that is part of a List
// is shared and must not be modified.
type Member struct {
	ID       string  `json:"id"`
	HostPort string  `json:"host_port"`
	Locality string  `json:"locality"` // its zone
	Flavor   string  `json:"flavor"`   // the kind of backend
	Cell     int     `json:"cell"`
	Phase    string  `json:"phase"`
	Size     float64 `json:"size"`        // its registered capacity
	UpSince  int64   `json:"up_since_ms"` // Unix time of its last start, in milliseconds; 0: long ago
}

// The phases of a member. Any other phase is treated as PhaseServing.
const (
	PhaseServing  = "SERVING"
	PhaseDraining = "DRAINING"
	PhaseDeleted  = "DELETED"
)

// List is a full list of backends, or a delta to an earlier list.
type List struct {
	Revision int64     `json:"revision"`
	Complete bool      `json:"complete"` // a full list: members that it does not name are gone
	Members  []*Member `json:"members"`
}
