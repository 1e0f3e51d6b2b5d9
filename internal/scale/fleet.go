package scale

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"cedarseam/internal/membership"
)

const (
	flavor    = "std-2core" // the kind of all backends
	cellCount = 16
	rackSize  = 40 // backends behind one switch, which fail together
	// generationOffset is the position of the generation in a backend's id. The number of
	// the backend precedes it.
	generationOffset = len("s-000000")
)

// zones holds the names of all zones of the target deployment.
var zones = func() (names []string) {
	for region := range TargetRegions {
		for zone := range TargetZonesPerRegion {
			names = append(names, fmt.Sprintf("region-%d%c", region+1, 'a'+zone))
		}
	}
	return names
}()

// backendAddress returns the loopback address of the backend with the given number. The
// second byte starts at 64, which keeps backends apart from agents; the last byte is
// never 0 or 255.
func backendAddress(number, port int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", 64+number/(250*250), number/250%250+1, number%250+1, port)
}

// newMember returns a serving backend that started at upSince, in Unix milliseconds; 0
// means long ago.
func newMember(number, generation, port int, upSince int64) *membership.Member {
	return &membership.Member{
		ID: fmt.Sprintf("s-%06x%02x", number, generation&0xff), HostPort: backendAddress(number, port),
		Locality: zones[number%len(zones)], Flavor: flavor, Cell: number % cellCount,
		Phase: membership.PhaseServing, Size: 1, UpSince: upSince,
	}
}

// newFleet returns the full list of size backends, all of which started long ago.
func newFleet(size, port int) membership.List {
	list := membership.List{Revision: 1, Complete: true, Members: make([]*membership.Member, size)}
	for i := range list.Members {
		list.Members[i] = newMember(i, 0, port, 0)
	}
	return list
}

// withPhase returns a copy of a member with another phase and start time.
func withPhase(m *membership.Member, phase string, upSince int64) *membership.Member {
	changed := *m
	changed.Phase, changed.UpSince = phase, upSince
	return &changed
}

// newDelta returns a change that gives the members with the given numbers another phase
// and start time.
func newDelta(l membership.List, revision int64, phase string, upSince int64, numbers ...int) membership.List {
	delta := membership.List{Revision: revision}
	for _, number := range numbers {
		delta.Members = append(delta.Members, withPhase(l.Members[number], phase, upSince))
	}
	return delta
}

// numbersInZone returns the numbers of the backends in a zone.
func numbersInZone(l membership.List, zone string) (numbers []int) {
	for i, member := range l.Members {
		if member.Locality == zone {
			numbers = append(numbers, i)
		}
	}
	return numbers
}

// encodeList encodes a list on one line, as discovery sends it.
func encodeList(l membership.List) []byte {
	line, err := json.Marshal(l)
	if err != nil {
		panic(err) // strings and finite numbers can always be encoded
	}
	return line
}

// settingsJSON returns the settings of the ingress with the given index, in the form of
// an ingress's configuration.
func settingsJSON(ingresses, index int) string {
	return fmt.Sprintf(strings.Join(strings.Fields(settingsTemplate), ""), ingresses, index, quotedList(zones), flavor)
}

// quotedList returns the names as the elements of a JSON array.
func quotedList(names []string) string {
	names = slices.Clone(names)
	for i, name := range names {
		names[i] = fmt.Sprintf("%q", name)
	}
	return strings.Join(names, ",")
}

// settingsTemplate is the format of settingsJSON. Its strings hold no white space, so
// that all white space can be removed.
const settingsTemplate = `{
  "balancers":%d,"self_index":%d,"zone":0,"zones":[%s],"kinds":["%s"],"tick_ms":2,"discovery":"push",
  "bounds":{"cancelling":true,"conn_idle_ms":15000,"connect_timeout_ms":250,"max_retry_after_ms":2500,
    "probing":false,"retry_after":true,"second_copies":false,"try_limit":4},
  "invariants":{"cold_from":0.24,"cold_ms":13000,"drain_grace_ms":2000,"fall_ms":1500,"tip_multiple":3},
  "prices":{"handshake":0.02,"cross_zone":0.02},
  "report":{"fields":["rate"],"how":"piggyback"},
  "request_classes":[
    {"name":"view","aim_ms":1200,"give_up_ms":4000,"effect":"free","dedup_scope":"all","worth":1,"late_worth":0.1,"window_ms":7500},
    {"name":"draft","aim_ms":2500,"give_up_ms":7500,"effect":"guarded","dedup_scope":"all","worth":5,"late_worth":0.1,"window_ms":7500},
    {"name":"submit","aim_ms":4000,"give_up_ms":15000,"effect":"single_shot","dedup_scope":"all","worth":3,"late_worth":0.1,"window_ms":7500}],
  "specifics":{"max_units":6,"use_period_ms":1000},
  "tiers_of_service":[
    {"name":"classroom","quota_rate":1000,"burst":4000,"price":1.3,"beyond_costs":1.2},
    {"name":"district","quota_rate":4000,"burst":8000,"price":1.8,"beyond_costs":1,"hard_rate":8000,"hard_burst":16000,"tolerance":1600}],
  "weights":"nominal"}`
