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
	maxLoadConnections       = 200              // open at once towards one ingress
	maxRecordedLatency       = 60 * time.Second // that is told apart from longer ones
	latencySignificantDigits = 3                // significant digits kept
	replyTimeout             = 20 * time.Second // an answer that has not come by then never comes
)

// loadOptions bound the requests sent to one ingress.
type loadOptions struct {
	address  string
	rate     float64       // requests a second
	duration time.Duration // how long new ones are sent
	seed     uint64
}

// LoadResult tells what became of the requests.
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

// loadGenerator sends requests at an even rate, whether or not the ones before are
// answered: a request's time counts from when it was due.
type loadGenerator struct {
	options loadOptions
	due     chan scheduledRequest

	mu        sync.Mutex
	result    LoadResult              // counts since the last take
	latencies *hdrhistogram.Histogram // of all that were answered since, in microseconds
}

// scheduledRequest is one request to be sent.
type scheduledRequest struct {
	dueAt   time.Time
	command []byte
}

// newLoadGenerator makes a load that has sent nothing yet.
func newLoadGenerator(options loadOptions) *loadGenerator {
	return &loadGenerator{options: options, due: make(chan scheduledRequest, options.maxRequests()), latencies: newHistogram()}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxRecordedLatency.Microseconds(), latencySignificantDigits)
}

// maxRequests is how many requests are sent at most.
func (o loadOptions) maxRequests() int { return int(o.rate * o.duration.Seconds()) }

// run sends requests until their time is over or ctx ends, and all are answered.
func (l *loadGenerator) run(ctx context.Context) {
	var workers sync.WaitGroup
	for range min(maxLoadConnections, l.options.maxRequests()) {
		workers.Go(l.work)
	}
	l.schedule(ctx)
	close(l.due)
	workers.Wait()
}

// takeResult returns what became of requests since it was last called.
func (l *loadGenerator) takeResult() (LoadResult, *hdrhistogram.Histogram) {
	l.mu.Lock()
	defer l.mu.Unlock()
	result, latencies := l.result, l.latencies
	l.result, l.latencies = LoadResult{}, newHistogram()
	return result.withQuantiles(latencies), latencies
}

// withQuantiles fills the quantiles in.
func (r LoadResult) withQuantiles(latencies *hdrhistogram.Histogram) LoadResult {
	r.P50 = float64(latencies.ValueAtQuantile(50)) / 1e3
	r.P99 = float64(latencies.ValueAtQuantile(99)) / 1e3
	r.Worst = float64(latencies.Max()) / 1e3
	return r
}

// plus adds counts up.
func (r LoadResult) plus(other LoadResult) LoadResult {
	return LoadResult{Sent: r.Sent + other.Sent, Served: r.Served + other.Served, Refused: r.Refused + other.Refused,
		Failed: r.Failed + other.Failed, Unanswered: r.Unanswered + other.Unanswered}
}

// updateResult changes the counts.
func (l *loadGenerator) updateResult(change func(*LoadResult)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change(&l.result)
}

// schedule makes each request due at its time.
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

// randomRequest is one request of a random customer and class.
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

// work sends requests that are due on one connection after another.
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

// roundTrip sends one request and takes its answer. It returns false if the
// connection is of no further use.
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

// recordReply takes an answer's first line and its time.
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
