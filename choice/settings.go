package choice

// Parameters of the algorithms. Durations are relative, so that they scale with what Config gives. Their
// units are the meter period, the aim of the request's class (Class.Aim), the longest aim of all classes, and
// the class mean, which is the mean latency of a class's successful answers. The weight in an exponentially
// weighted moving average (EWMA) is the fraction of the new value that a sample makes up.
const (
	smallTierGateways = 4.0 // gateways up to which each sees enough of every customer, and traffic is even

	// Estimate of a customer's rate from meter readings.

	rateWindowUnits       = 8.0 // units of quota in the time over which the rate is averaged
	minRateWindowPeriods  = 1.5 // meter periods: lower bound of that window
	inFlightWindowPeriods = 2.0 // meter periods: the window where readings are of attempts in flight

	// Surge: demand above the expected since the last meter period.

	surgeAllowanceUnits      = 0.4  // units above the expected demand that do not count as a surge
	surgeAllowancePerGateway = 0.05 // the same, for each gateway of the customer's set, where that is more
	clientRetrySurgeUnits    = 1.5  // demand that a client's retry adds: another gateway has refused it
	meanToPeakInFlightRatio  = 0.4  // mean of attempts in flight over their peak in a period

	// Use of the token bucket between readings. The reserve covers what other gateways may have admitted
	// since the last reading. It applies in full where overuse costs the whole worth.

	tokenReserveDeviations = 2.0 // standard deviations of the other gateways' use
	// The token count of the last reading is out of date after this time.
	maxTokenEstimateAgePeriods = 6.0 // meter periods

	// Assumptions on a customer that has no reading yet, and their weight.

	initialUseRatio      = 0.8 // assumed demand, as a fraction of the quota
	initialOveruseFloor  = 0.6 // a first reading above this fraction of the quota indicates overuse
	initialRejectedShare = 0.5 // share of the demand that others then reject, with the reading at the quota
	initialDrawnShare    = 0.9 // share of the token bucket that is then drawn
	meterPriorUnits      = 1.7 // units of quota in a reading that weigh as much as the assumed demand
	localPriorUnits      = 0.7 // the same without a meter: units of this gateway's share of the quota

	minUseRatio         = 0.25 // lower bound of the assumed demand, as a fraction of the quota
	minAdmitProbability = 0.02 // above 0, so that some answers always bring readings

	// Lag of the meter, and the history of a customer that is kept to match readings with it.

	initialLagPeriods = 2   // meter periods from the end of a period to its first reading, until learned
	maxLagPeriods     = 13  // meter periods: the longest lag that is recognised
	lagWindowReadings = 100 // readings over which the lag is learned
	slotsPerPeriod    = 4   // slots of history in one meter period
	historySlots      = 64  // slots kept: those of maxLagPeriods and a few more

	// Eviction of idle customers.

	customerIdlePeriods = 60.0 // meter periods without a request after which a customer may be evicted
	maxEvictionScan     = 8    // customers of a plan that one eviction pass examines

	// Outlier ejection.

	failureRateWeight  = 0.15 // EWMA weight of one outcome in a failure rate
	ejectionThreshold  = 0.5  // failure rate above which a backend is ejected
	maxEjectedShare    = 0.4  // share of the ready backends that may be ejected at once
	ejectionPeriodAims = 8.0  // longest aims: the duration of an ejection
	unresponsiveAims   = 0.4  // longest aims with attempts in flight and no answer: unresponsive

	// Retries and hedged requests.

	hedgeDelayAims   = 0.65 // aims without an answer after which a request may be hedged
	retryBudgetRatio = 0.08 // budget for further attempts that one first attempt earns
	retryBudgetCap   = 6.0  // further attempts that may be saved up

	// Latency of backends.

	latencyWindowAims    = 5.0  // longest aims over which latency is averaged, however few the answers
	minLatencyWeight     = 0.05 // lower bound of an answer's EWMA weight in it
	timeoutLatencyWeight = 4.0  // a time-out weighs as many answers
	maxRelativeLatency   = 8.0  // class means: upper bound of one sample
	slowBackendFloor     = 2.5  // class means from which a backend does not count in the averages of all

	// Concurrency limit, which follows the latency of all backends.

	targetLatencyAims     = 0.35 // target latency in aims: above it the limit shrinks
	maxLimitDecrease      = 0.25 // largest relative decrease in one update
	maxLimitIncrease      = 0.10 // largest relative increase in one update
	maxLatencyStepWeight  = 0.3  // largest EWMA weight of the answers between two updates
	maxLatencySample      = 2.0  // target latencies: upper bound of one sample, for a mean near a median
	latencySampleWeight   = 0.2  // EWMA weight of one sample
	maxInFlightPerBackend = 5.0  // attempts of all gateways in flight for each ready backend, at full limit
	minLimitFactor        = 0.2  // lower bound of the limit, as a fraction of the full one
	limitSlackDeviations  = 1.0  // standard deviations of random arrivals that the limit leaves room for
	limitPassRateWeight   = 0.05 // EWMA weight of one request in the share that the limit lets through
	reservedLimitShare    = 0.5  // share of the limit reserved for the requests of most worth
	limitUpdatesPerSecond = 5.0  // frequency of the updates above

	// Choice of a backend: the cheapest of a few random samples.

	minPickSamples            = 3 // lower bound of the samples for one attempt
	tierPickSamplesPerBackend = 3 // samples for each backend when all gateways choose at one time
	// A backend with a reusable connection is one more sample, but only if each backend has such connections
	// from at least this many gateways on average: the sum of their requests there is then even to a quarter.
	minReusableGateways = 15.0
	ownInFlightWeight   = 1.5  // cost of one attempt of this gateway in flight at the backend
	otherInFlightWeight = 0.5  // cost of one request of other gateways in the backend's report
	minCostLatency      = 0.5  // class means: lower bound of a backend's latency in its cost
	crossZoneWeight     = 5.0  // weight of Config.CrossZoneCost
	handshakeWeight     = 12.0 // weight of Config.HandshakeCost
	failureWeight       = 4.0  // weight of the failure rates of the backend and of its zone
	costJitterFactor    = 0.1  // largest random part of the cost

	// Probes, where load reports contain the requests in flight.

	probesPerRequest = 0.3 // probes that one first attempt earns
	maxReportAgeAims = 3.0 // longest aims: the mean of all reports replaces an older one

	retryAfterDivisor = 5 // Config.RetryAfterHint is Config.MaxRetryAfter divided by this
)
