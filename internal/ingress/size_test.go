package ingress

import (
	"fmt"
	"runtime"
	"strings"
	"testing"

	"cedarseam/choice"
	"cedarseam/internal/membership"
)

// heapInUse returns the bytes of heap and stacks in use after a garbage collection.
func heapInUse() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}

// An ingress in a tier of 1,024, with 1,024 backends, twenty full lists that replace all
// of them, and requests of 1,000 customers that may use all backends, needs at most a
// quarter of a memory limit of 64 MB, the smallest that deployments grant.
func TestMemoryOfThousandBackendsAndIngresses(t *testing.T) {
	const size, memoryLimit = 1024, 64 << 20
	before := heapInUse()
	b := newFakeBackend(t)
	members := []*membership.Member{b.member("real")}
	for i := 1; i < size; i++ { // no backend listens on these addresses
		members = append(members, &membership.Member{ID: fmt.Sprintf("s-%08x", i), HostPort: fmt.Sprintf("127.0.0.1:%d", i),
			Locality: "a", Flavor: "std", Phase: membership.PhaseDraining, Size: 1})
	}
	r := newRig(t, func(cfg *Config) {
		cfg.Choice.Gateways, cfg.Choice.Probing = size, false
		cfg.Limits.MemoryMB = memoryLimit >> 20
		cfg.Choice.Plans[0] = choice.Plan{Rate: 1000, Burst: 1000, Price: 1, CeilingRate: 1e6, CeilingBurst: 1e6}
	}, members...)
	waitForBackends := func(want int) {
		t.Helper()
		r.eventually(fmt.Sprint(want, " backends"), func(l *loop) bool { return len(l.pool.byName) == want })
	}
	waitForBackends(size)
	wait(t, "a watch", r.discovery.watchIndexes)

	c := r.dial()
	wideLookup := strings.Replace(lookupOptions, "spread=1", fmt.Sprintf("spread=%d", size), 1)
	served := 0
	for i := range 1000 {
		c.send("Q.ASK", fmt.Sprintf("%016x", 1<<20+i), newRequestID(), wideLookup)
		answer := make(chan string, 1)
		go func() { answer <- c.readLine() }()
		select {
		case got := <-b.commands:
			got.replyValue("v")
			if line := wait(t, "the answer", answer); line == "$1\r\nv" {
				served++
			}
		case <-answer: // refused: the ingress has only its share, about a thousandth, of the quota
		}
	}
	if served < 100 {
		t.Errorf("%d of 1000 requests are served, want at least 100", served)
	}
	for revision := 8; revision < 28; revision++ { // all backends but one are replaced, twenty times
		var lines []string
		for i := 1; i < size; i++ {
			lines = append(lines, fmt.Sprintf(`{"id":"s-%d-%08x","host_port":"127.0.0.1:%d","phase":"DRAINING","size":1}`, revision, i, i))
		}
		lines = append(lines, fmt.Sprintf(`{"id":"real","host_port":%q,"phase":"SERVING","size":1}`, b.addr))
		r.discovery.watchLines <- fmt.Sprintf(`{"revision":%d,"complete":true,"members":[%s]}`, revision, strings.Join(lines, ","))
	}
	r.eventually("the last list", func(l *loop) bool { return l.pool.byName["s-27-00000001"] != nil })
	waitForBackends(size)
	if used := heapInUse() - before; used > memoryLimit/4 {
		t.Errorf("%d KB are in use, want at most a quarter of the limit of %d MB", used>>10, memoryLimit>>20)
	} else {
		t.Logf("%d KB in use, %d requests served", used>>10, served)
	}
}
