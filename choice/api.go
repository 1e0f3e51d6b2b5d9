// Package choice makes the decisions of a gateway that enforces customers' quotas: which requests to admit,
// which backend to send each attempt to, when to retry or to hedge a request, and what to answer.
//
// A [Gateway] is a deterministic state machine without input or output of its own. The caller reports
// events ([Gateway.Request], [Gateway.Outcome], [Gateway.UpdateBackends], [Gateway.ProbeResult],
// [Gateway.TimerExpired], [Gateway.ClientDisconnected], [Gateway.Stop]) and the gateway responds through
// [Actions]. It starts no goroutine and reads no clock: time is a [time.Duration] on the caller's clock,
// which may start at any value and must never go back. The same seed and events give the same actions. A
// Gateway is not safe for concurrent use.
package choice

import (
	"fmt"
	"math"
	"time"
)

// Config is the configuration of one gateway. New returns an error that names a field with an invalid value.
type Config struct {
	Gateways int // gateways in this tier
	Self     int // index of this gateway, from 0
	Zone     int // zone of this gateway
	Tick     time.Duration

	Classes []Class
	Plans   []Plan

	MeterPeriod time.Duration // the period over which the meter adds up use; 0: no meter
	MaxUnits    float64       // upper bound of Request.Units

	MaxAttempts         int           // attempts that a request may have
	Hedging             bool          // a request may have two attempts in flight at once
	Probing             bool          // Actions.Probe is permitted
	Cancelling          bool          // Actions.Cancel is permitted
	MaxRetryAfter       time.Duration // the longest advised delay that clients follow
	RetryAfterSupported bool          // clients receive the advice given with Refuse

	WeightsTrusted bool     // Backend.Weight is the registered capacity, at least approximately
	ReportFields   []string // order of the values in a load report; "inflight" and "latency_ms" are known

	// MaxCustomers limits the customers in memory; those with attempts in flight may exceed it. 0: no limit.
	MaxCustomers int

	InitialCapacity float64       // a starting backend has at least this fraction of its capacity
	WarmUpPeriod    time.Duration // upper bound of the time from its start to its full capacity
	// A backend that is warming up (cold) fails if it is sent more than ColdOverloadFactor times its capacity
	// for ColdOverloadPeriod.
	ColdOverloadFactor float64
	ColdOverloadPeriod time.Duration
	DrainGrace         time.Duration // sends to a draining backend must have ceased by then
	HandshakeCost      float64       // cost of a new connection, as a fraction of a request's worth
	// ConnIdleTimeout is the longest time for which a backend keeps an idle connection open; 0: unknown.
	ConnIdleTimeout time.Duration
	// ConnectTimeout limits the set-up of a connection: an attempt may start this long after its Send.
	ConnectTimeout time.Duration
	CrossZoneCost  float64 // cost of an attempt that leaves the zone, as a fraction of a request's worth
}

// RetryAfterHint is the time after which a refused client should retry; 0: clients get no hint.
func (cfg *Config) RetryAfterHint() time.Duration {
	if !cfg.RetryAfterSupported {
		return 0
	}
	return cfg.MaxRetryAfter / retryAfterDivisor
}

// check returns an error that names the first field with an invalid value.
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

// Effect reports whether requests of a class may be repeated.
type Effect int

// The effects of a class.
const (
	Free       Effect = iota // idempotent: may be repeated without limit
	Guarded                  // repeats are deduplicated within a group of backends, for Class.DedupWindow
	SingleShot               // must never run twice
)

// Group is the set of backends that deduplicate each other's requests.
type Group int

// The groups of a guarded class.
const (
	GroupAll Group = iota
	GroupZone
	GroupCell
)

// Class is a class of requests.
type Class struct {
	Aim         time.Duration // latency target: an answer within it earns the full worth
	Deadline    time.Duration // the longest time that a client waits
	Worth       float64
	LateWorth   float64 // fraction of the worth that an answer after the aim earns
	Effect      Effect
	Group       Group         // for Guarded
	DedupWindow time.Duration // for Guarded: how long repeats are deduplicated
}

// Plan is what a customer has bought. Its quotas apply to each customer over all gateways together. The rate
// and the ceiling are each enforced by a token bucket.
type Plan struct {
	Rate             float64 // refill rate of the quota's bucket, in units a second; 0: no such quota
	Burst            float64 // size of the quota's bucket in units; it starts full
	MaxInFlight      int     // attempts that may be in flight at once; 0: no such quota
	Price            float64 // multiplier of the worth
	OveruseCost      float64 // fraction of its worth that a request admitted beyond the quota costs
	CeilingRate      float64 // refill rate of the hard ceiling's bucket, in units a second; 0: no ceiling
	CeilingBurst     float64 // size of the ceiling's bucket in units
	CeilingTolerance float64 // how far the ceiling's bucket may go below 0
}

// State is the state of a backend in discovery's list.
type State int

// The states of a backend.
const (
	Ready State = iota
	Draining
	Removed
)

// Backend is one entry of the list of backends.
type Backend struct {
	ID         uint32
	Zone       int
	Kind       int
	Cell       int
	State      State
	Weight     float64       // registered capacity; see Config.WeightsTrusted
	Started    time.Duration // time of its last start, on the caller's clock
	StartKnown bool          // Started is known; otherwise the backend counts as warm
}

// ListKind is the kind of a list of backends.
type ListKind int

// The kinds of list.
const (
	Delta  ListKind = iota // changed entries only
	Full                   // the complete list
	Cached                 // the last known complete list, possibly out of date
	Failed                 // no list: discovery did not answer, and the last list stays in force
)

// Request is one request of a client.
type Request struct {
	ID       uint32
	Class    int
	Plan     int
	Customer uint64
	TimeLeft time.Duration // time until the client gives up
	Units    float64       // units drawn from the quota
	// The customer's gateway set: the gateways through which requests of this customer may come.
	SetSize     int  // number of gateways in the set
	SetStart    int  // index of the first gateway of the set
	ClientRetry bool // marked by the client as a retry: another gateway refused the customer
}

// Status is how an attempt ended.
type Status int

// The results of an attempt. After Refused, ConnectFailed and CancelledBeforeSend it is certain that the
// backend did not execute the request.
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

// Load is a backend's load report: the values are in the order of Config.ReportFields, and Count is 0 if the
// answer contained no report.
type Load struct {
	Count  int
	Values [4]float64
}

// Outcome is the result of one attempt. Each attempt has exactly one.
type Outcome struct {
	ID       uint32
	Attempt  int
	Backend  uint32
	Status   Status
	Elapsed  time.Duration
	Answered bool // the request has its final answer
	// Metered is set if the answer reported Used: the customer's use over all gateways in the last metered
	// period, as a fraction of the plan's rate, or of MaxInFlight if the plan has no rate.
	Metered bool
	Used    float64
	Load    Load
}

// ProbeResult is the result of one Actions.Probe.
type ProbeResult struct {
	Backend uint32
	Status  Status
	Elapsed time.Duration
	Load    Load
}

// Reason is why a request was refused or failed. It is for logs; no decision depends on it.
type Reason int

// The reasons. None means that the request was admitted, or that the attempt was sent.
const (
	None              Reason = iota
	Invalid                  // the request names an unknown class or plan, or an invalid number of units
	DeadlinePassed           // the client has no time left
	Quota                    // rejected by the admission probability or by the quota's token bucket
	Ceiling                  // this gateway's share of the customer's hard ceiling is used up
	InFlightCap              // the customer has as many attempts in flight as the plan allows
	ConcurrencyLimit         // this gateway has as many attempts in flight as the backends can serve
	NoBackend                // no backend is eligible
	AttemptsExhausted        // the request has had Config.MaxAttempts attempts
	AttemptInFlight          // an attempt is in flight, and the configuration does not allow hedging
	RetryBudget              // the retry budget is used up
	NotRepeatable            // an attempt may have run, and the class must not run twice
	Abandoned                // the attempt was cancelled before it was sent
	Stopping                 // the process ends before the request's deadline
)

var reasonNames = [...]string{"none", "invalid", "no-time", "quota", "ceiling", "open-cap", "pressure",
	"no-backend", "attempts-spent", "copy-out", "retry-budget", "not-repeatable", "abandoned", "stopping"}

func (r Reason) String() string { return reasonNames[r] }

var statusNames = [...]string{"ok", "error", "refused", "timeout", "connect-failed", "reset", "cancelled",
	"moot"}

func (s Status) String() string { return statusNames[s] }

// Actions carries out the decisions of a Gateway. Its methods are called only from within the Gateway's
// methods and must not call back into it.
type Actions interface {
	// Send starts the next attempt of a request, with a time limit.
	Send(id, backend uint32, timeout time.Duration)
	// Refuse answers a request finally. The client may safely retry it, after the given time if that is not
	// 0.
	Refuse(id uint32, after time.Duration, reason Reason)
	// Fail answers a request finally; it may have taken effect, and a retry may not be safe.
	Fail(id uint32, reason Reason)
	// Cancel stops waiting for an attempt.
	Cancel(id uint32, attempt int)
	// Probe requests a load report from a backend.
	Probe(backend uint32)
	// SetTimer requests a call of Gateway.TimerExpired with the token after the given time.
	SetTimer(wait time.Duration, token uint64)
}
