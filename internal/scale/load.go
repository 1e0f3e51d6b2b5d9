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
	loadConnections = 200              // open at once towards one ingress
	longestLatency  = 60 * time.Second // that is told apart from longer ones
	latencyDigits   = 3                // significant digits kept
	answerWithin    = 20 * time.Second // an answer that has not come by then never comes
)

// loadOptions bound the requests sent to one ingress.
type loadOptions struct {
	address string
	rate    float64       // requests a second
	length  time.Duration // how long new ones are sent
	seed    uint64
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

// load sends requests at an even rate, whether or not the ones before are
// answered: a request's time counts from when it was due.
type load struct {
	options loadOptions
	due     chan arrival

	mu        sync.Mutex
	result    LoadResult              // counts since the last take
	latencies *hdrhistogram.Histogram // of all that were answered since, in microseconds
}

// arrival is one request to be sent.
type arrival struct {
	at   time.Time
	text []byte
}

// newLoad makes a load that has sent nothing yet.
func newLoad(options loadOptions) *load {
	return &load{options: options, due: make(chan arrival, options.count()), latencies: newHistogram()}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, longestLatency.Microseconds(), latencyDigits)
}

// count is how many requests are sent at most.
func (o loadOptions) count() int { return int(o.rate * o.length.Seconds()) }

// run sends requests until their time is over or ctx ends, and all are answered.
func (l *load) run(ctx context.Context) {
	var workers sync.WaitGroup
	for range min(loadConnections, l.options.count()) {
		workers.Go(l.work)
	}
	l.schedule(ctx)
	close(l.due)
	workers.Wait()
}

// take returns what became of requests since it was last called.
func (l *load) take() (LoadResult, *hdrhistogram.Histogram) {
	l.mu.Lock()
	defer l.mu.Unlock()
	result, latencies := l.result, l.latencies
	l.result, l.latencies = LoadResult{}, newHistogram()
	return result.withLatencies(latencies), latencies
}

// withLatencies fills the quantiles in.
func (r LoadResult) withLatencies(latencies *hdrhistogram.Histogram) LoadResult {
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

// note changes the counts.
func (l *load) note(change func(*LoadResult)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change(&l.result)
}

// schedule makes each request due at its time.
func (l *load) schedule(ctx context.Context) {
	random := rand.New(rand.NewPCG(l.options.seed, 1))
	begun := time.Now()
	for i := range l.options.count() {
		at := begun.Add(time.Duration(float64(i) / l.options.rate * float64(time.Second)))
		select {
		case <-time.After(time.Until(at)):
		case <-ctx.Done():
			return
		}
		l.note(func(r *LoadResult) { r.Sent++ })
		l.due <- arrival{at, requestText(random)}
	}
}

// requestText is one request of a random customer and class.
func requestText(random *rand.Rand) []byte {
	customer := fmt.Sprintf("%016x", random.IntN(TargetTenants))
	id := fmt.Sprintf("%016x", random.Uint64())
	parameters := "t=classroom,units=1,spread=3,first=0"
	text := []byte(nil)
	switch share := random.Float64(); {
	case share < 0.48:
		text = redcon.AppendArray(text, 4)
		text = redcon.AppendBulkString(text, "Q.ASK")
		parameters += ",c=view,d=4000"
	case share < 0.76:
		text = redcon.AppendArray(text, 5)
		text = redcon.AppendBulkString(text, "Q.DO")
		parameters += ",c=draft,d=7500,k=" + id
	default:
		text = redcon.AppendArray(text, 5)
		text = redcon.AppendBulkString(text, "Q.DO")
		parameters += ",c=submit,d=15000"
	}
	isDo := text[1] == '5'
	text = redcon.AppendBulkString(text, customer)
	text = redcon.AppendBulkString(text, id)
	text = redcon.AppendBulkString(text, parameters)
	if isDo {
		text = redcon.AppendBulkString(text, "BODY")
	}
	return text
}

// work sends requests that are due on one connection after another.
func (l *load) work() {
	var connection net.Conn
	var answers *bufio.Reader
	for request := range l.due {
		if connection == nil {
			var err error
			if connection, err = net.Dial("tcp", l.options.address); err != nil {
				l.note(func(r *LoadResult) { r.Unanswered++ })
				continue
			}
			answers = bufio.NewReader(connection)
		}
		if !l.exchange(connection, answers, request) {
			connection.Close()
			connection = nil
		}
	}
	if connection != nil {
		connection.Close()
	}
}

// exchange sends one request and takes its answer. It returns false if the
// connection is of no further use.
func (l *load) exchange(connection net.Conn, answers *bufio.Reader, request arrival) bool {
	connection.SetDeadline(time.Now().Add(answerWithin))
	if _, err := connection.Write(request.text); err != nil {
		l.note(func(r *LoadResult) { r.Unanswered++ })
		return false
	}
	line, err := answers.ReadString('\n')
	if err == nil && line[0] == '$' {
		_, err = answers.ReadString('\n')
	}
	if err != nil {
		l.note(func(r *LoadResult) { r.Unanswered++ })
		return false
	}
	l.count(line, time.Since(request.at))
	return true
}

// count takes an answer's first line and its time.
func (l *load) count(line string, latency time.Duration) {
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
	l.latencies.RecordValue(min(latency, longestLatency).Microseconds())
}
