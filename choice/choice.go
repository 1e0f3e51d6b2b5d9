package choice

// The gateway's state. Its decisions stand in files of their own, in the order in which a request meets
// them: customers.go, admission.go, meter.go, pressure.go, selection.go, health.go and attempts.go; who is in
// the fleet stands in membership.go, all tuned values in settings.go. The interface, its types, events and
// actions, stands in choice/api.go. The mechanism and its source are told in docs/design.md.

import (
	"container/list"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Gateway decides for one gateway. See the package comment for its contract.
type Gateway struct {
	cfg               Config
	actions           Actions
	rng               *rand.Rand
	now               time.Duration
	startedAt         time.Duration
	slotLength        time.Duration // length of a slot of own history
	customers         map[customerKey]*customer
	idleOrder         []list.List   // the customers of each plan, the longest idle first
	ceilingFillStart  time.Duration // when one whose part of a ceiling was not full was last forgotten; or the start
	requests          map[uint32]*request
	backends          map[uint32]*backend
	ready             backendSet      // the ready ones
	cold              backendSet      // those of the fleet that are cold, or were when last looked at
	reusable          backendSet      // those of the fleet with an own connection that can be used again
	reusableQueue     []reusableEntry // when those kept were heard of, the oldest first
	readyWeight       float64         // of the fleet, in all
	readyInFlight     int             // attempts out at the fleet
	coldInFlight      int             // and at its cold ones, when last looked at
	listNumber        uint64          // number of the last list
	ejections         []ejection      // the next to end first
	ejectedCount      int             // of the fleet, now
	classes           []classStats
	retryAfterHint    time.Duration   // given with a refusal
	stopping          bool            // the process ends
	answerDeadline    time.Duration   // and by then each request has its final answer
	retryBudget       float64         // further attempts that may be made
	zoneFailureRates  map[int]float64 // share of failures by zone: a lost zone shows sooner than each of its backends
	nextLimitUpdate   time.Duration
	inFlightIndex     int           // place of "inflight" in a load report, or -1
	probeTokens       float64       // probes earned
	lastProbed        int           // place in the fleet of the last backend probed
	meanOtherInFlight float64       // mean of what reports show
	maxAim            time.Duration // the longest aim
	inFlight          int           // attempts out
	limitFactor       float64       // part of the window of attempts out that is open
	limitPassRate     float64       // share of requests that no pressure refused
	meter             meterClock
	latencyRatioSum   float64 // latencies over aims since the last step
	latencyRatioCount float64
	latencyRatio      float64 // their mean over calmAims, smoothed
}

// meterClock tells when the shown period changes, and how long before that it had ended.
type meterClock struct {
	earliest, latest time.Duration // a change happened between these times, and at whole periods from them
	known            bool
	readings         int
	lagSlots         int // slots from the end of a period to its first showing
	lagErrors        [maxLagPeriods * slotsPerPeriod]float64
}

type classStats struct {
	meanLatency float64 // mean latency of good answers, seconds
}

// customerKey is what a record is kept for.
type customerKey struct {
	customer uint64
	plan     int
}

type customer struct {
	key                  customerKey
	plan                 *Plan
	idleElement          *list.Element // among the customers of its plan
	setSize              float64
	lastRequest          time.Duration // last request
	admitProbability     float64       // a = 1 - b, held between updates
	hasReading           bool
	reading              float64       // last reading
	readingAt            time.Duration // when it came
	lastPeriod           int64         // number of the last period counted
	meanUse              float64       // mean use of a period by all gateways, units (open plans: peak over the cap)
	meanAdmitProbability float64       // mean chance applied in those periods
	meanAdmitted         float64       // mean units passed here in those periods
	meanOffered          float64       // mean units asked here in those periods
	tokens               float64       // units in the store at the end of the last counted period
	tokensAt             time.Duration
	local                localDemand
	inFlight             int     // own attempts out
	ceilingTokens        float64 // this gateway's part of the ceiling's store
	ceilingAt            time.Duration
	newestSlot           int64 // number of the newest slot
	slots                [historySlots]slotUsage
}

// localDemand is what a gateway goes by where there is no meter.
type localDemand struct {
	offered   float64 // asked here, those of long ago less
	quota     float64 // and this gateway's even part of the quota in the same time
	updatedAt time.Duration
}

// slotUsage is what this gateway did with a customer's requests in one slot.
// A customer has many, so they are kept small.
type slotUsage struct {
	offered, admitted                float32 // units
	probabilitySum, probabilityCount float32 // sum of the chance held and of those that requests met; how many they are
}

// usageTotals is what several slots come to.
type usageTotals struct {
	offered, admitted float64 // units
	meanProbability   float64 // mean
}

type request struct {
	Request
	customer      *customer
	deadline      time.Duration
	attempts      []attempt
	inFlight      int
	answered      bool
	limitedByStop bool // its client would wait beyond the end of the process
}

type attempt struct {
	backend          *backend
	sentAt           time.Duration
	ended, cancelled bool
	neverRan         bool // proved never to have run
	neverSent        bool // and never to have come to a backend
}

type backend struct {
	Backend
	inFlight        int
	otherInFlight   float64           // requests held for other gateways, as last reported
	reportedAt      time.Duration     // and when
	relativeLatency float64           // mean latency over the class's mean
	failureRate     float64           // share of failures
	waitingSince    time.Duration     // first send since the last answer
	lastOutcome     time.Duration     // last answer or time-out
	reusableConns   int               // own connections that carried an answer and are free again
	ejectedUntil    time.Duration     // ejected until
	positions       [setKindCount]int // in each set, from 1; 0: not in it
	listNumber      uint64            // the last list that named it
}

// New makes a gateway. Its error names the field of cfg that cannot be served.
func New(cfg Config, seed uint64, now time.Duration, act Actions) (*Gateway, error) {
	if act == nil {
		return nil, fmt.Errorf("choice: Actions is nil")
	}
	if err := cfg.check(); err != nil {
		return nil, err
	}
	g := &Gateway{
		cfg: cfg, actions: act, retryAfterHint: cfg.RetryAfterHint(), rng: rand.New(rand.NewPCG(seed, uint64(cfg.Self))),
		now: now, startedAt: now, ceilingFillStart: now,
		slotLength: max(cfg.MeterPeriod, 100*time.Millisecond) / slotsPerPeriod,
		customers:  map[customerKey]*customer{}, requests: map[uint32]*request{}, backends: map[uint32]*backend{},
		zoneFailureRates: map[int]float64{},
		ready:            backendSet{kind: readySet}, cold: backendSet{kind: coldSet}, reusable: backendSet{kind: reusableSet},
		idleOrder: make([]list.List, len(cfg.Plans)),
		classes:   make([]classStats, len(cfg.Classes)), retryBudget: retryBudgetCap / 2, limitFactor: 1, limitPassRate: 1,
		inFlightIndex: slices.Index(cfg.ReportFields, "inflight"),
		meter:         meterClock{lagSlots: initialLagPeriods * slotsPerPeriod},
	}
	for i, c := range cfg.Classes {
		g.maxAim = max(g.maxAim, c.Aim)
		g.classes[i] = classStats{meanLatency: c.Aim.Seconds() / 4}
	}
	return g, nil
}

// partialViewFactor is 0 among few gateways and nears 1 with their number: how far each sees only a little of the whole.
func partialViewFactor(gateways float64) float64 { return max(0, 1-smallTierGateways/gateways) }

// overuseAllowance is how far overuse costs nothing under a plan, from 0 to 1.
func (p *Plan) overuseAllowance() float64 { return 1 - min(1, max(0, p.OveruseCost)) }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
