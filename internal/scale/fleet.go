package scale

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"cedarseam/internal/membership"
)

const (
	flavor    = "std-2core"
	cellCount = 16
	rackSize  = 40 // backends that fail with one switch
	// generationOffset is where the number of a backend ends in its id; its generation follows.
	generationOffset = len("s-000000")
)

// zones are the names of all zones of the target.
var zones = func() (names []string) {
	for region := range TargetRegions {
		for zone := range TargetZonesPerRegion {
			names = append(names, fmt.Sprintf("region-%d%c", region+1, 'a'+zone))
		}
	}
	return names
}()

// backendAddress is the loopback address of a backend by its number. The first
// two bytes are those of all backends; no host number ends in 0 or 255.
func backendAddress(number, port int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", 64+number/(250*250), number/250%250+1, number%250+1, port)
}

// newMember is a backend that started at a time in Unix milliseconds, 0 for long ago.
func newMember(number, generation, port int, upSince int64) *membership.Member {
	return &membership.Member{
		ID: fmt.Sprintf("s-%06x%02x", number, generation&0xff), HostPort: backendAddress(number, port),
		Locality: zones[number%len(zones)], Flavor: flavor, Cell: number % cellCount,
		Phase: membership.PhaseServing, Size: 1, UpSince: upSince,
	}
}

// newFleet is a whole list of so many backends, all of which started long ago.
func newFleet(size, port int) membership.List {
	list := membership.List{Revision: 1, Complete: true, Members: make([]*membership.Member, size)}
	for i := range list.Members {
		list.Members[i] = newMember(i, 0, port, 0)
	}
	return list
}

// withPhase is a copy of a member in a phase, with a start.
func withPhase(m *membership.Member, phase string, upSince int64) *membership.Member {
	changed := *m
	changed.Phase, changed.UpSince = phase, upSince
	return &changed
}

// newDelta is what some members of a list become, by their numbers.
func newDelta(l membership.List, revision int64, phase string, upSince int64, numbers ...int) membership.List {
	delta := membership.List{Revision: revision}
	for _, number := range numbers {
		delta.Members = append(delta.Members, withPhase(l.Members[number], phase, upSince))
	}
	return delta
}

// numbersInZone are the numbers of the backends of a zone.
func numbersInZone(l membership.List, zone string) (numbers []int) {
	for i, member := range l.Members {
		if member.Locality == zone {
			numbers = append(numbers, i)
		}
	}
	return numbers
}

// encodeList is a list on one line, as discovery writes it.
func encodeList(l membership.List) []byte {
	line, err := json.Marshal(l)
	if err != nil {
		panic(err) // strings and finite numbers always have a form
	}
	return line
}

// settingsJSON are the deployment's, in the form in which an ingress is told them.
func settingsJSON(ingresses, self int) string {
	return fmt.Sprintf(strings.Join(strings.Fields(settingsTemplate), ""), ingresses, self, quotedList(zones), flavor)
}

func quotedList(names []string) string {
	names = slices.Clone(names)
	for i, name := range names {
		names[i] = fmt.Sprintf("%q", name)
	}
	return strings.Join(names, ",")
}

// settingsTemplate has no blanks inside strings, so that its white space can go.
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
