// Package choice makes the decisions of a quota-keeping gateway: which
// requests of a customer to pass, which backend to send each attempt to, when
// to try again and what to answer.
//
// A [Gateway] is a pure state machine. The caller tells it what happened
// ([Gateway.Request], [Gateway.Outcome], [Gateway.UpdateBackends], [Gateway.ProbeResult],
// [Gateway.TimerExpired], [Gateway.ClientDisconnected]) and it acts through [Actions]. It starts no
// goroutine and reads no clock: time is a [time.Duration] on the caller's
// clock, which may begin anywhere and never goes back. The same seed and
// events give the same actions. A Gateway is not safe for concurrent use.
package choice

import (
	"fmt"
	"math"
	"time"
)

// Config is what a deployment states to each of its gateways. Durations and
// rates are as stated; New returns an error that names what cannot be served.
type Config struct {
	Gateways int // gateways in this tier
	Self     int // number of this gateway, from 0
	Zone     int // zone of this gateway
	Tick     time.Duration

	Classes []Class
	Plans   []Plan

	MeterPeriod time.Duration // the period over which the meter adds up use; 0: no meter
	MaxUnits    float64       // the most units that one request counts

	MaxAttempts         int  // attempts a request may have
	Hedging             bool // a request may have two attempts out at once
	Probing             bool // Actions.Probe is permitted
	Cancelling          bool // Actions.Cancel is permitted
	MaxRetryAfter       time.Duration
	RetryAfterSupported bool // clients receive the advice given with Refuse

	WeightsTrusted bool     // Backend.Weight is the registered size, at least roughly
	ReportFields   []string // order of the values in a load report; "inflight" and "latency_ms" are known

	// MaxCustomers is how many customers are known at most, but for those with attempts out; 0: no bound.
	MaxCustomers int

	InitialCapacity    float64       // a backend starts at this part of its capacity, or more
	WarmUpPeriod       time.Duration // and is warm after this at most
	ColdOverloadFactor float64       // a cold backend sent more than this multiple of its capacity
	ColdOverloadPeriod time.Duration // for this long falls over
	DrainGrace         time.Duration // sends to a draining backend must have ceased by then
	HandshakeCost      float64       // price of a new connection, as a fraction of a request's worth
	// ConnIdleTimeout is after how long a backend closes an idle connection at the latest; 0: unknown.
	ConnIdleTimeout time.Duration
	// ConnectTimeout is how long a new connection may take: an attempt may begin so much after its Send.
	ConnectTimeout time.Duration
	CrossZoneCost  float64 // price of an attempt that leaves the zone, as a part of a request's worth
}

// RetryAfterHint is when a client that is refused should come back; 0: it is told no time.
func (cfg *Config) RetryAfterHint() time.Duration {
	if !cfg.RetryAfterSupported {
		return 0
	}
	return cfg.MaxRetryAfter / retryAfterDivisor
}

// check names the first field that cannot be served.
func (cfg *Config) check() error {
	switch {
	case cfg.Gateways < 1:
		return fmt.Errorf("choice: Config.Gateways is %d, want at least 1", cfg.Gateways)
	case cfg.Self < 0 || cfg.Self >= cfg.Gateways:
		return fmt.Errorf("choice: Config.Self is %d, outside the %d gateways", cfg.Self, cfg.Gateways)
	case cfg.MaxAttempts < 1:
		return fmt.Errorf("choice: Config.MaxAttempts is %d, want at least 1", cfg.MaxAttempts)
	case len(cfg.Classes) == 0:
		return fmt.Errorf("choice: Config.Classes is empty")
	case len(cfg.Plans) == 0:
		return fmt.Errorf("choice: Config.Plans is empty")
	case cfg.MeterPeriod < 0:
		return fmt.Errorf("choice: Config.MeterPeriod is negative")
	}
	for i, c := range cfg.Classes {
		if c.Aim <= 0 || c.Deadline <= 0 {
			return fmt.Errorf("choice: Config.Classes[%d]: Aim and Deadline must be above 0", i)
		}
	}
	for i, p := range cfg.Plans {
		names := [...]string{"Rate", "Burst", "MaxInFlight", "CeilingRate", "CeilingBurst"}
		for j, v := range [...]float64{p.Rate, p.Burst, float64(p.MaxInFlight), p.CeilingRate,
			p.CeilingBurst} {
			if !(v >= 0) || math.IsInf(v, 0) {
				return fmt.Errorf("choice: Config.Plans[%d].%s is %v, want 0 or more", i, names[j], v)
			}
		}
	}
	return nil
}

// Effect tells what repeating a request of a class may do.
type Effect int

// The effects of a class.
const (
	Free       Effect = iota // may be repeated at will
	Guarded                  // repeats are dropped inside a group of backends, for a time
	SingleShot               // must never run twice
)

// Group is the set of backends that drop each other's repeats.
type Group int

// The groups of a guarded class.
const (
	GroupAll Group = iota
	GroupZone
	GroupCell
)

// Class is a class of requests.
type Class struct {
	Aim         time.Duration // an answer within this earns the full worth
	Deadline    time.Duration // the longest a client waits
	Worth       float64
	LateWorth   float64 // part of the worth that an answer after the aim earns
	Effect      Effect
	Group       Group         // for Guarded
	DedupWindow time.Duration // for Guarded: how long repeats are dropped
}

// Plan is what a customer has bought. Its quotas hold for each customer over
// all gateways together.
type Plan struct {
	Rate             float64 // units a second that fill the store; 0: no such quota
	Burst            float64 // the most units the store holds; it starts full
	MaxInFlight      int     // attempts that may be out at once; 0: no such quota
	Price            float64 // multiplier of the worth
	OveruseCost      float64 // part of its worth that a try sent on beyond the quota costs
	CeilingRate      float64 // units a second that fill the hard ceiling's store; 0: no ceiling
	CeilingBurst     float64 // the most units that store holds
	CeilingTolerance float64 // how far that store may go below 0
}

// State is what the list of backends says of one.
type State int

// The states of a backend.
const (
	Ready State = iota
	Draining
	Removed
)

// Backend is one line of the list of backends.
type Backend struct {
	ID         uint32
	Zone       int
	Kind       int
	Cell       int
	State      State
	Weight     float64
	Started    time.Duration // clock time of its last start
	StartKnown bool          // Started is known; otherwise it started long ago
}

// ListKind tells what a list of backends holds.
type ListKind int

// The kinds of list.
const (
	Delta  ListKind = iota // changed entries only
	Full                   // the complete list
	Cached                 // the complete list as last held, perhaps out of date
	Failed                 // no list: asking failed, the last one stays in force
)

// Request is one try of a client.
type Request struct {
	ID          uint32
	Class       int
	Plan        int
	Customer    uint64
	TimeLeft    time.Duration // the client gives this try up after it
	Units       float64       // what it draws from the quota
	SetSize     int           // gateways through which this customer's requests may come
	SetStart    int           // the first of these
	ClientRetry bool          // marked by the client as a retry: another gateway refused the customer
}

// Status is how an attempt ended.
type Status int

// The ends of an attempt. Refused, ConnectFailed and CancelledBeforeSend prove that it never ran.
const (
	OK Status = iota
	Error
	Refused
	Timeout
	ConnectFailed
	Reset
	Cancelled
	CancelledBeforeSend
)

// Load is a backend's report of its load, in the order of
// Config.ReportFields; N is 0 where none came.
type Load struct {
	Count  int
	Values [4]float64
}

// Outcome is the one end of one attempt.
type Outcome struct {
	ID       uint32
	Attempt  int
	Backend  uint32
	Status   Status
	Elapsed  time.Duration
	Answered bool // the request has its final answer
	// Metered tells that Used was reported: the customer's use over all
	// gateways in the last period added up, as a fraction of its rate (of the
	// cap on open attempts where the plan has no rate).
	Metered bool
	Used    float64
	Load    Load
}

// ProbeResult is the answer to one Actions.ProbeResult.
type ProbeResult struct {
	Backend uint32
	Status  Status
	Elapsed time.Duration
	Load    Load
}

// Reason tells why a request was refused or failed, for logs. Nothing is decided by it.
type Reason int

// The reasons. None means that nothing stood against the request or the attempt.
const (
	None              Reason = iota
	Invalid                  // the request names what the settings do not have
	DeadlinePassed           // its client gives it up now
	Quota                    // the customer's chance, or the store that the meter shows
	Ceiling                  // this gateway's part of the customer's hard ceiling is drawn
	InFlightCap              // the customer has as many attempts out as the plan allows
	ConcurrencyLimit         // the window of attempts out is full
	NoBackend                // no backend may be sent to
	AttemptsExhausted        // it has had all attempts that the settings allow
	AttemptInFlight          // an attempt is out, and the settings allow no second copy
	RetryBudget              // too few further attempts have been earned
	NotRepeatable            // an attempt may have run, and the class must not run twice
	Abandoned                // the attempt was called off before it was written
	Stopping                 // the process ends before its client would give it up
)

var reasonNames = [...]string{"none", "invalid", "no-time", "quota", "ceiling", "open-cap", "pressure",
	"no-backend", "attempts-spent", "copy-out", "retry-budget", "not-repeatable", "abandoned", "stopping"}

func (r Reason) String() string { return reasonNames[r] }

var statusNames = [...]string{"ok", "error", "refused", "timeout", "connect-failed", "reset", "cancelled",
	"moot"}

func (s Status) String() string { return statusNames[s] }

// Actions is what a Gateway does. Calls come only from within its methods and
// must not call back into it.
type Actions interface {
	// Send starts the next attempt of a request, given up after timeout.
	Send(id, backend uint32, timeout time.Duration)
	// Refuse is a final answer: trying again does no harm. After 0 gives no advice.
	Refuse(id uint32, after time.Duration, reason Reason)
	// Fail is a final answer that promises nothing.
	Fail(id uint32, reason Reason)
	// Cancel stops the wait for an attempt.
	Cancel(id uint32, attempt int)
	// Probe checks a backend.
	Probe(backend uint32)
	// SetTimer asks for a Timer call with the token.
	SetTimer(wait time.Duration, token uint64)
}
