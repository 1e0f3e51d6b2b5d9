package choice

// The state of a gateway. The decisions are in files of their own, in the order in which they apply to a
// request: customers.go, admission.go, meter.go, pressure.go (the concurrency limit), selection.go, health.go
// and attempts.go. The sets of backends are in membership.go, the parameters in settings.go, and the public
// types and interfaces in api.go. docs/design.md describes the algorithms and their sources.

import (
	"container/list"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Gateway makes the decisions of one gateway. The package comment states its contract.
type Gateway struct {
	cfg        Config
	actions    Actions
	rng        *rand.Rand
	now        time.Duration
	startedAt  time.Duration
	slotLength time.Duration // length of a slot of the customers' history
	customers  map[customerKey]*customer
	idleOrder  []list.List // for each plan, its customers, least recently used first
	// ceilingFillStart is the time from which the ceiling's bucket of a new customer has filled: the start of
	// the gateway, or the last eviction of a customer whose bucket was not full.
	ceilingFillStart  time.Duration
	requests          map[uint32]*request
	backends          map[uint32]*backend
	ready             backendSet      // backends in state Ready
	cold              backendSet      // ready backends that were still warming up at the last updateCold
	reusable          backendSet      // ready backends with a reusable connection of this gateway
	reusableQueue     []reusableEntry // entries of reusable by the time of the last outcome, oldest first
	readyWeight       float64         // sum of the capacity weights of the ready backends
	readyInFlight     int             // attempts in flight at ready backends
	coldInFlight      int             // attempts in flight at cold backends, at the last updateCold
	listNumber        uint64          // number of the last list of backends
	ejections         []ejection      // ordered by their end
	ejectedCount      int             // ready backends that are ejected
	classes           []classStats
	retryAfterHint    time.Duration   // advice given with a refusal
	stopping          bool            // Stop was called
	answerDeadline    time.Duration   // if stopping: each request has its final answer by this time
	retryBudget       float64         // further attempts that may be made
	zoneFailureRates  map[int]float64 // detects the loss of a zone sooner than the rates of its backends do
	nextLimitUpdate   time.Duration
	inFlightIndex     int           // index of "inflight" in a load report, or -1
	probeTokens       float64       // probes earned
	lastProbed        int           // index in ready.members of the last backend probed
	meanOtherInFlight float64       // EWMA of backend.otherInFlight over all reports
	maxAim            time.Duration // the longest aim of all classes
	inFlight          int           // attempts in flight
	limitFactor       float64       // concurrency limit as a fraction of the full limit
	limitPassRate     float64       // share of requests that the concurrency limit let through
	meter             meterClock

	latencyRatioSum   float64 // sum of latencies relative to their target since the last limit update
	latencyRatioCount float64 // number of the latencies in that sum
	latencyRatio      float64 // their EWMA; above 1 the concurrency limit shrinks
}

// meterClock estimates when the meter goes over to the reading of the next period, and how long that period
// had then been over.
type meterClock struct {
	earliest, latest time.Duration // bounds of the time of a change; changes repeat every period
	known            bool          // a change has been observed
	readings         int
	lagSlots         int // slots from the end of a period to its first reading
	lagErrors        [maxLagPeriods * slotsPerPeriod]float64
}

type classStats struct {
	meanLatency float64 // mean latency of successful answers, in seconds
}

// customerKey identifies the record of a customer under one plan.
type customerKey struct {
	customer uint64
	plan     int
}

// customer is the record of a customer. Its means are over meter periods.
type customer struct {
	key                  customerKey
	plan                 *Plan
	idleElement          *list.Element // element of Gateway.idleOrder
	setSize              float64       // gateways in the customer's gateway set
	lastRequest          time.Duration
	admitProbability     float64 // a = 1 - b, b being the share to reject; held between updates
	hasReading           bool
	reading              float64 // last reading
	readingAt            time.Duration
	lastPeriod           int64   // number of the last period counted
	meanUse              float64 // use by all gateways in units (plans without a rate: peak over the cap)
	meanAdmitProbability float64 // admission probability applied
	meanAdmitted         float64 // units admitted by this gateway
	meanOffered          float64 // units requested at this gateway
	tokens               float64 // units in the quota's token bucket at the end of the last counted period
	tokensAt             time.Duration
	local                localDemand
	inFlight             int     // attempts of this gateway in flight
	ceilingTokens        float64 // this gateway's share of the ceiling's token bucket
	ceilingAt            time.Duration
	newestSlot           int64 // number of the newest slot
	slots                [historySlots]slotUsage
}

// localDemand estimates a customer's demand where there is no meter. Both counts decay exponentially.
type localDemand struct {
	offered   float64 // units requested at this gateway
	quota     float64 // this gateway's even share of the quota in the same time
	updatedAt time.Duration
}

// slotUsage is the use of one customer at this gateway in one slot. Each customer has historySlots of them,
// so they are small.
type slotUsage struct {
	offered, admitted                float32 // units
	probabilitySum, probabilityCount float32 // of the probability at the slot's start and at its requests
}

// usageTotals is the sum of several slots.
type usageTotals struct {
	offered, admitted float64 // units
	meanProbability   float64
}

type request struct {
	Request
	customer      *customer
	deadline      time.Duration
	attempts      []attempt
	inFlight      int
	answered      bool
	limitedByStop bool // the stop of the process has shortened the deadline
}

type attempt struct {
	backend          *backend
	zone, cell       int // of the backend at the time of the send
	sentAt           time.Duration
	ended, cancelled bool
	neverRan         bool // the backend certainly did not execute it
	neverSent        bool // it certainly did not reach a backend
}

type backend struct {
	Backend
	inFlight        int           // attempts of this gateway
	otherInFlight   float64       // requests of other gateways, by the last report
	reportedAt      time.Duration // time of that report
	relativeLatency float64       // EWMA of latencies over the class's mean latency
	failureRate     float64
	waitingSince    time.Duration     // first send since the last answer
	lastOutcome     time.Duration     // last outcome other than a refusal or a cancellation
	reusableConns   int               // free connections of this gateway that have carried an answer
	ejectedUntil    time.Duration     // 0: not ejected
	positions       [setKindCount]int // 1 + index in each set; 0: not in it
	listNumber      uint64            // number of the last list that contained it
}

// New returns a Gateway. Its error names the field of cfg with an invalid value.
func New(cfg Config, seed uint64, now time.Duration, actions Actions) (*Gateway, error) {
	if actions == nil {
		return nil, fmt.Errorf("choice: Actions is nil")
	}
	if err := cfg.check(); err != nil {
		return nil, err
	}
	g := &Gateway{
		cfg: cfg, actions: actions, retryAfterHint: cfg.RetryAfterHint(),
		rng: rand.New(rand.NewPCG(seed, uint64(cfg.Self))),
		now: now, startedAt: now, ceilingFillStart: now,
		slotLength: max(cfg.MeterPeriod, 100*time.Millisecond) / slotsPerPeriod,
		customers:  map[customerKey]*customer{},
		requests:   map[uint32]*request{}, backends: map[uint32]*backend{},
		zoneFailureRates: map[int]float64{},
		ready:            backendSet{kind: readySet},
		cold:             backendSet{kind: coldSet},
		reusable:         backendSet{kind: reusableSet},
		idleOrder:        make([]list.List, len(cfg.Plans)),
		classes:          make([]classStats, len(cfg.Classes)),
		retryBudget:      retryBudgetCap / 2, limitFactor: 1, limitPassRate: 1,
		inFlightIndex: slices.Index(cfg.ReportFields, "inflight"),
		meter:         meterClock{lagSlots: initialLagPeriods * slotsPerPeriod},
	}
	for i, c := range cfg.Classes {
		g.maxAim = max(g.maxAim, c.Aim)
		g.classes[i] = classStats{meanLatency: c.Aim.Seconds() / 4}
	}
	return g, nil
}

// partialViewFactor returns how partial each gateway's view of the traffic is: 0 up to smallTierGateways, and
// towards 1 as the number of gateways grows.
func partialViewFactor(gateways float64) float64 { return max(0, 1-smallTierGateways/gateways) }

// overuseAllowance returns how far a plan permits use beyond the quota at no cost, from 0 to 1.
func (p *Plan) overuseAllowance() float64 { return 1 - min(1, max(0, p.OveruseCost)) }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
