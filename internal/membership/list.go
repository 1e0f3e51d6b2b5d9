// Package membership follows the list of backends that discovery tells. A
// [Decoder] reads lists from a connection, and a [View] works out what each of
// them changes, so that a list costs what it changes and not what it holds.
//
// Nothing here reads a clock or starts a goroutine. Work that grows with a list
// calls a function of the caller's between its parts, which may let others run.
package membership

// Member is one backend as discovery tells it. A Member that is part of a List
// must not be changed: it is shared.
type Member struct {
	ID       string  `json:"id"`
	HostPort string  `json:"host_port"`
	Locality string  `json:"locality"`
	Flavor   string  `json:"flavor"`
	Cell     int     `json:"cell"`
	Phase    string  `json:"phase"`
	Size     float64 `json:"size"`
	UpSince  int64   `json:"up_since_ms"` // its last start in Unix time, in milliseconds; 0: long ago
}

// The phases of a member. Any other counts as serving.
const (
	PhaseServing  = "SERVING"
	PhaseDraining = "DRAINING"
	PhaseDeleted  = "DELETED"
)

// List is a list of backends, or the changes to one.
type List struct {
	Revision int64     `json:"revision"`
	Complete bool      `json:"complete"` // what it does not name is gone
	Members  []*Member `json:"members"`
}
