package scale

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/tidwall/redcon"
)

const (
	maxLoadConnections       = 200              // open at the same time to one ingress
	maxRecordedLatency       = 60 * time.Second // longer latencies are recorded as this one
	latencySignificantDigits = 3                // kept by the histogram
	replyTimeout             = 20 * time.Second // after this, a request counts as unanswered
)

// loadOptions describe the requests sent to one ingress.
type loadOptions struct {
	address  string
	rate     float64       // requests per second
	duration time.Duration // how long new requests are sent
	seed     uint64
}

// LoadResult holds the outcomes and latencies of requests.
type LoadResult struct {
	Sent       int64   `json:"sent"`
	Served     int64   `json:"served"`
	Refused    int64   `json:"refused"`
	Failed     int64   `json:"failed"`
	Unanswered int64   `json:"unanswered"`
	P50        float64 `json:"p50_ms"`
	P99        float64 `json:"p99_ms"`
	Worst      float64 `json:"worst_ms"`
}

// loadGenerator is an open-loop load generator: it schedules requests at a constant rate,
// whether or not earlier ones are answered. Latencies count from the time at which a
// request was due.
type loadGenerator struct {
	options loadOptions
	due     chan scheduledRequest

	mu        sync.Mutex
	result    LoadResult              // counts since the last takeResult
	latencies *hdrhistogram.Histogram // of the requests answered since then, in microseconds
}

// scheduledRequest is a request that is due at a time.
type scheduledRequest struct {
	dueAt   time.Time
	command []byte
}

// newLoadGenerator returns a load generator that has not started yet.
func newLoadGenerator(options loadOptions) *loadGenerator {
	return &loadGenerator{options: options, due: make(chan scheduledRequest, options.maxRequests()), latencies: newHistogram()}
}

// newHistogram returns an empty histogram of latencies in microseconds.
func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxRecordedLatency.Microseconds(), latencySignificantDigits)
}

// maxRequests returns the number of requests sent if the load is not stopped early.
func (o loadOptions) maxRequests() int { return int(o.rate * o.duration.Seconds()) }

// run sends requests for the duration of the load or until ctx is cancelled, and then waits
// for the outstanding replies.
func (l *loadGenerator) run(ctx context.Context) {
	var workers sync.WaitGroup
	for range min(maxLoadConnections, l.options.maxRequests()) {
		workers.Go(l.work)
	}
	l.schedule(ctx)
	close(l.due)
	workers.Wait()
}

// takeResult returns the outcomes and latencies since the last call, and resets them.
func (l *loadGenerator) takeResult() (LoadResult, *hdrhistogram.Histogram) {
	l.mu.Lock()
	defer l.mu.Unlock()
	result, latencies := l.result, l.latencies
	l.result, l.latencies = LoadResult{}, newHistogram()
	return result.withQuantiles(latencies), latencies
}

// withQuantiles returns the result with the quantiles of the latencies, in milliseconds.
func (r LoadResult) withQuantiles(latencies *hdrhistogram.Histogram) LoadResult {
	r.P50 = float64(latencies.ValueAtQuantile(50)) / 1e3
	r.P99 = float64(latencies.ValueAtQuantile(99)) / 1e3
	r.Worst = float64(latencies.Max()) / 1e3
	return r
}

// plus returns the sums of the counts, without latencies.
func (r LoadResult) plus(other LoadResult) LoadResult {
	return LoadResult{Sent: r.Sent + other.Sent, Served: r.Served + other.Served, Refused: r.Refused + other.Refused,
		Failed: r.Failed + other.Failed, Unanswered: r.Unanswered + other.Unanswered}
}

// updateResult changes the result under the lock.
func (l *loadGenerator) updateResult(change func(*LoadResult)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change(&l.result)
}

// schedule hands each request to the workers when it is due.
func (l *loadGenerator) schedule(ctx context.Context) {
	random := rand.New(rand.NewPCG(l.options.seed, 1))
	started := time.Now()
	for i := range l.options.maxRequests() {
		dueAt := started.Add(time.Duration(float64(i) / l.options.rate * float64(time.Second)))
		select {
		case <-time.After(time.Until(dueAt)):
		case <-ctx.Done():
			return
		}
		l.updateResult(func(r *LoadResult) { r.Sent++ })
		l.due <- scheduledRequest{dueAt, randomRequest(random)}
	}
}

// randomRequest returns the encoded command of a random customer and class: 48 % view,
// 28 % draft and 24 % submit.
func randomRequest(random *rand.Rand) []byte {
	customer := fmt.Sprintf("%016x", random.IntN(TargetTenants))
	id := fmt.Sprintf("%016x", random.Uint64())
	parameters := "t=classroom,units=1,spread=3,first=0"
	command := []byte(nil)
	switch draw := random.Float64(); {
	case draw < 0.48:
		command = redcon.AppendArray(command, 4)
		command = redcon.AppendBulkString(command, "Q.ASK")
		parameters += ",c=view,d=4000"
	case draw < 0.76:
		command = redcon.AppendArray(command, 5)
		command = redcon.AppendBulkString(command, "Q.DO")
		parameters += ",c=draft,d=7500,k=" + id
	default:
		command = redcon.AppendArray(command, 5)
		command = redcon.AppendBulkString(command, "Q.DO")
		parameters += ",c=submit,d=15000"
	}
	hasBody := command[1] == '5'
	command = redcon.AppendBulkString(command, customer)
	command = redcon.AppendBulkString(command, id)
	command = redcon.AppendBulkString(command, parameters)
	if hasBody {
		command = redcon.AppendBulkString(command, "BODY")
	}
	return command
}

// work is one worker: it sends due requests on a connection of its own, which it replaces
// after a failure.
func (l *loadGenerator) work() {
	var connection net.Conn
	var replies *bufio.Reader
	for request := range l.due {
		if connection == nil {
			var err error
			if connection, err = net.Dial("tcp", l.options.address); err != nil {
				l.updateResult(func(r *LoadResult) { r.Unanswered++ })
				continue
			}
			replies = bufio.NewReader(connection)
		}
		if !l.roundTrip(connection, replies, request) {
			connection.Close()
			connection = nil
		}
	}
	if connection != nil {
		connection.Close()
	}
}

// roundTrip sends one request and reads its reply. It returns false if the connection
// cannot be used again.
func (l *loadGenerator) roundTrip(connection net.Conn, replies *bufio.Reader, request scheduledRequest) bool {
	connection.SetDeadline(time.Now().Add(replyTimeout))
	if _, err := connection.Write(request.command); err != nil {
		l.updateResult(func(r *LoadResult) { r.Unanswered++ })
		return false
	}
	line, err := replies.ReadString('\n')
	if err == nil && line[0] == '$' {
		_, err = replies.ReadString('\n')
	}
	if err != nil {
		l.updateResult(func(r *LoadResult) { r.Unanswered++ })
		return false
	}
	l.recordReply(line, time.Since(request.dueAt))
	return true
}

// recordReply counts a reply by its first line and records its latency.
func (l *loadGenerator) recordReply(line string, latency time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case line[0] == '$':
		l.result.Served++
	case strings.HasPrefix(line, "-BUSY"):
		l.result.Refused++
	default:
		l.result.Failed++
	}
	l.latencies.RecordValue(min(latency, maxRecordedLatency).Microseconds())
}
