package ingress

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"

	"cedarseam/internal/membership"
)

const (
	// watchKeepAlive is how often discovery sends at least an empty line on a watch.
	watchKeepAlive = 2 * time.Second
	// assumedDeliveryTime is when a change of the list counts as delivered even if it
	// never arrived: this long after a watch has fallen silent, and this long after
	// discovery had the change and could be reached, however many calls failed before.
	// The grace period of a drain starts when the drain counts as delivered.
	assumedDeliveryTime = 6 * time.Second
	// startupTimeout is how long a starting ingress waits for the first answer of
	// discovery before it serves clients from its last known list. An agent that has a
	// list answers at once, but an overloaded service may take seconds.
	startupTimeout  = 250 * time.Millisecond
	retryMultiplier = 2.0
)

// discoveryTiming holds the timeouts of calls to discovery and the delays between them.
// Its messages are lists, changes and the empty lines that keep a watch alive.
type discoveryTiming struct {
	silenceTimeout    time.Duration // a watch without a message for this long is broken
	answerTimeout     time.Duration // maximum time to the first message of a watch
	listTimeout       time.Duration // maximum time of the first call for the full list; no client is served without a list
	maxListTimeout    time.Duration // the same after several calls without an answer
	initialRetryDelay time.Duration // the first delay between two calls
	maxRetryDelay     time.Duration // the longest delay
	// retryDeadline is when the next call starts at the latest, counted from the last
	// message, or from the start of the last call if it brought none.
	retryDeadline time.Duration
	initialJitter float64 // jitter of the first delay after a message, as a part of it
	retryJitter   float64 // jitter of the further delays
}

// Timing towards an agent on the ingress's own machine, to which lists are pushed. The
// agent answers at once and at no cost. A change counts as delivered as soon as the agent
// has it: an ingress that learns of a drain later than that has less of the grace period
// left in which it must stop sending. All timeouts and delays are therefore fractions of
// the grace period, so that a silence, a lost call and a delay together take much less
// than all of it.
const (
	agentAnswerDivisor       = 4  // of the grace period: time for a call, and for a late keep-alive line
	agentMaxDelayDivisor     = 8  // of the grace period: the longest delay
	agentInitialDelayDivisor = 32 // of the grace period: the first delay
	agentRetryJitter         = 0.5
	maxAgentGrace            = 2 * time.Second // used if the grace period is unset or longer
)

// Timing towards one discovery service that all ingresses of the tier call. Ingresses that
// lose the service at the same moment would retry in step, and a rejected call costs the
// service time too. So the delay doubles after every failure, has jitter, and grows with
// the number of ingresses. But a change counts as delivered however many calls have
// failed, so no delay is longer than that allows: the tier calls as often as it has to,
// spread evenly, and no more often.
const (
	// serviceCallTimeout is the time reserved for the call itself: a call that starts at
	// retryDeadline ends half a grace period after a change counts as delivered.
	serviceCallTimeout = 1500 * time.Millisecond
	// serviceSilenceTimeout is the interval of the keep-alive lines and a margin. The
	// same limit applies to the first message. If a whole tier gives up its watches or
	// its calls at the same moment, the rest of the time is needed to spread the retries.
	serviceSilenceTimeout         = watchKeepAlive + time.Second
	serviceInitialDelayPerIngress = 25 * time.Millisecond  // first delay, times the number of ingresses
	serviceMaxDelayPerIngress     = 100 * time.Millisecond // longest delay, times the number of ingresses
	serviceMinDelay               = 250 * time.Millisecond // lower bound of both, for small tiers
	serviceInitialJitter          = 0.8                    // desynchronizes the first retries of a tier
	serviceRetryJitter            = 0.25                   // keeps further retries apart
)

// agentTiming returns the timing towards a local agent. grace is the grace period of a
// drain, after which no request may be sent to the draining backend.
func agentTiming(grace time.Duration) discoveryTiming {
	if grace <= 0 || grace > maxAgentGrace {
		grace = maxAgentGrace
	}
	answerTimeout := grace / agentAnswerDivisor
	return discoveryTiming{
		silenceTimeout: watchKeepAlive + answerTimeout, answerTimeout: answerTimeout,
		listTimeout: answerTimeout, maxListTimeout: answerTimeout,
		initialRetryDelay: grace / agentInitialDelayDivisor, maxRetryDelay: grace / agentMaxDelayDivisor,
		retryDeadline: assumedDeliveryTime, initialJitter: agentRetryJitter, retryJitter: agentRetryJitter,
	}
}

// serviceTiming returns the timing towards a service that all ingresses of the tier call.
func serviceTiming(gateways int, grace time.Duration) discoveryTiming {
	retryDeadline := assumedDeliveryTime + max(grace, 0)/2 - serviceCallTimeout
	delay := func(perIngress time.Duration) time.Duration {
		return min(max(time.Duration(gateways)*perIngress, serviceMinDelay), retryDeadline)
	}
	return discoveryTiming{
		silenceTimeout: serviceSilenceTimeout, answerTimeout: serviceSilenceTimeout,
		listTimeout: serviceCallTimeout, maxListTimeout: serviceSilenceTimeout,
		initialRetryDelay: delay(serviceInitialDelayPerIngress), maxRetryDelay: delay(serviceMaxDelayPerIngress),
		retryDeadline: retryDeadline, initialJitter: serviceInitialJitter, retryJitter: serviceRetryJitter,
	}
}

// discoveryClient follows the list of backends at one address of discovery, and delivers
// full lists and changes in order.
type discoveryClient struct {
	discoveryTiming
	baseURL        string
	maxListBytes   int // maximum size of one list
	httpClient     *http.Client
	startupTimeout time.Duration // limits the delay of onFirstResult, see run
	deliver        func(membership.List)
	failing        bool      // the state that was logged last
	lastCallStart  time.Time // start of the last call
	lastMessage    time.Time // last message of that call; zero: none
	failures       int       // calls since the last message
	hasList        bool      // a list is known
	decodeCache    membership.DecodeCache
	retryBackoff   backoff.ExponentialBackOff
	randomFloat    func() float64 // random number from 0 to 1
}

// newDiscoveryClient returns a client of discovery at an address. Lists and changes are
// passed to deliver, which returns when they are in force.
func newDiscoveryClient(
	address string, timing discoveryTiming, maxListBytes int, deliver func(membership.List),
) *discoveryClient {
	return &discoveryClient{
		discoveryTiming: timing,
		maxListBytes:    maxListBytes,
		baseURL:         "http://" + address + "/api/targets",
		httpClient:      &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true}},
		startupTimeout:  startupTimeout,
		deliver:         deliver,
		randomFloat:     rand.Float64,
		retryBackoff: backoff.ExponentialBackOff{
			InitialInterval: timing.initialRetryDelay,
			MaxInterval:     timing.maxRetryDelay,
			Multiplier:      retryMultiplier,
		},
	}
}

// fetchList gets the full list.
func (d *discoveryClient) fetchList(ctx context.Context) (membership.List, error) {
	ctx, cancel := context.WithTimeout(ctx, d.nextListTimeout())
	defer cancel()
	resp, err := d.get(ctx, d.baseURL)
	if err != nil {
		return membership.List{}, err
	}
	defer resp.Body.Close()
	list, err := d.newDecoder(resp.Body).Next(0)
	if err != nil {
		return membership.List{}, fmt.Errorf("discovery: list: %w", err)
	}
	return list, nil
}

// nextListTimeout returns the maximum time of the next call for the full list. It doubles with each
// call without an answer: a slow service would otherwise never be followed.
func (d *discoveryClient) nextListTimeout() time.Duration {
	timeout := d.listTimeout
	for range d.failures {
		if timeout *= 2; timeout >= d.maxListTimeout {
			return d.maxListTimeout
		}
	}
	return timeout
}

// newDecoder returns a decoder of the lists in an answer.
func (d *discoveryClient) newDecoder(body io.Reader) *membership.Decoder {
	decoder := membership.NewDecoder(body, d.maxListBytes, &d.decodeCache)
	decoder.Pause = newPacer().pause
	return decoder
}

// get sends a request and returns its response, whose status is 200.
func (d *discoveryClient) get(ctx context.Context, url string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, fmt.Errorf("discovery: %w", err)
	}
	resp, err := d.httpClient.Do(req)
	if err != nil {
		return nil, fmt.Errorf("discovery: %w", err)
	}
	if resp.StatusCode != http.StatusOK {
		resp.Body.Close()
		return nil, fmt.Errorf("discovery: %s answered %s", url, resp.Status)
	}
	return resp, nil
}

// run follows the list until ctx ends. With a last known list it only watches for changes
// since: a service that is overloaded because a whole tier starts at the same moment can
// answer that sooner than a call for the full list. Without one it fetches the full list
// first. onFirstResult, if it is not nil, is called once: when the first call has
// succeeded or failed, or when startupTimeout has passed.
func (d *discoveryClient) run(ctx context.Context, lastKnown *membership.List, onFirstResult func()) {
	if onFirstResult != nil {
		once := sync.OnceFunc(onFirstResult)
		defer time.AfterFunc(d.startupTimeout, once).Stop()
		onFirstResult = once
	} else {
		onFirstResult = func() {}
	}
	var revision int64
	if d.hasList = lastKnown != nil; d.hasList {
		revision = lastKnown.Revision
	}
	for ctx.Err() == nil {
		d.lastCallStart, d.lastMessage = time.Now(), time.Time{}
		if !d.hasList {
			l, err := d.fetchList(ctx)
			if d.hasList = err == nil; d.hasList {
				revision, d.lastMessage = l.Revision, time.Now()
				d.deliver(l)
			}
			d.logAvailability(ctx, err)
			onFirstResult()
		}
		if d.hasList {
			d.lastCallStart = time.Now()
			var err error
			revision, err = d.watch(ctx, revision, onFirstResult)
			d.logAvailability(ctx, err)
			onFirstResult()
		}
		select {
		case <-ctx.Done():
		case <-time.After(d.nextDelay(time.Now())):
		}
	}
}

// nextDelay returns the delay before the next call. That call starts before a change that
// discovery may have had since the last message, or since the start of the last call if it
// brought none, counts as delivered. Jitter, most of all that of the first delay,
// desynchronizes a tier that lost discovery at the same moment, and keeps it so. Without a
// list an ingress cannot serve clients, so it halves the deadline of the next call.
func (d *discoveryClient) nextDelay(now time.Time) time.Duration {
	start, retryDeadline, jitter := d.lastCallStart, d.retryDeadline, d.retryJitter
	if !d.lastMessage.IsZero() {
		start, d.failures = d.lastMessage, 0
	}
	if d.failures == 0 {
		jitter = d.initialJitter
	}
	if !d.hasList {
		retryDeadline /= 2
	}
	d.failures++
	random := d.randomFloat()
	delay, remaining := d.retryBackoff.NextBackOff(), max(0, retryDeadline-now.Sub(start))
	if maxDelay := (1 + jitter) * float64(delay); maxDelay < float64(remaining) {
		return time.Duration(maxDelay - 2*jitter*random*float64(delay))
	}
	return time.Duration((1 - jitter*random) * float64(remaining))
}

// logAvailability logs when discovery becomes unavailable and when it is available again,
// rather than every call.
func (d *discoveryClient) logAvailability(ctx context.Context, err error) {
	if failing := err != nil; failing != d.failing && ctx.Err() == nil {
		d.failing = failing
		if failing {
			slog.Warn("discovery is unavailable, the last list stays in force", "error", err)
		} else {
			slog.Info("discovery is available again")
		}
	}
}

// watch follows the changes after a revision until the connection ends or falls silent,
// and returns the last revision delivered. It calls onMessage after each list or empty
// line.
func (d *discoveryClient) watch(ctx context.Context, revision int64, onMessage func()) (int64, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	// A connection whose peer has become unreachable stays open and silent forever: only
	// the missing messages reveal it.
	silenceTimer := time.AfterFunc(d.answerTimeout, func() { cancel(errSilenceTimeout) })
	defer silenceTimer.Stop()
	resp, err := d.get(ctx, fmt.Sprintf("%s?stream=1&index=%d", d.baseURL, revision))
	if err != nil {
		return revision, cmp.Or(context.Cause(ctx), err)
	}
	defer resp.Body.Close()
	messageReceived := func() {
		// An overloaded service may accept a watch and break it before its first
		// message, so only a message resets the backoff.
		d.logAvailability(ctx, nil)
		d.retryBackoff.Reset()
		d.lastMessage = time.Now()
		silenceTimer.Reset(d.silenceTimeout)
	}
	decoder := d.newDecoder(resp.Body)
	// Only an empty line, or the start of a list, counts as a message. A list that has
	// begun and never ends, or stops in the middle, counts as silence.
	decoder.OnListStart = messageReceived
	deliverList := func(list membership.List) {
		silenceTimer.Stop() // nothing is read during the delivery, which is not silence of the peer
		d.deliver(list)
		silenceTimer.Reset(d.silenceTimeout)
		onMessage()
	}
	decoder.OnEmptyLine = func() {
		messageReceived()
		deliverList(membership.List{Revision: revision}) // nothing has changed
	}
	for {
		list, err := decoder.Next(revision)
		if err != nil {
			return revision, fmt.Errorf("discovery: watch: %w", cmp.Or(context.Cause(ctx), err))
		}
		messageReceived()
		if !list.Complete && list.Revision < revision {
			// Another process answers at the address, with revisions of its own. Its
			// changes refer to a list that is not known.
			d.hasList = false
			return revision, errRevisionDecreased
		}
		revision = list.Revision
		deliverList(list)
	}
}

// errRevisionDecreased is the error of a watch that sent changes with a revision before the one
// that is known.
var errRevisionDecreased = errors.New("discovery: watch: the revision has decreased")

// errSilenceTimeout is the error of a watch that was closed because it fell silent.
var errSilenceTimeout = errors.New("no message arrived in time")
