package main

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// rig holds what a case has started: the record, the temporary folder and the ingresses.
type rig struct {
	root    string // of the repository
	dir     string // temporary
	trouble bool
	begin   time.Time

	mu        sync.Mutex
	record    *os.File
	broken    int
	ingresses []*ingressProcess
}

// errCannotRun is the value of a panic that means that the case could not run.
type errCannotRun struct{ error }

func must[T any](value T, err error) T {
	check(err)
	return value
}

func check(err error) {
	if err != nil {
		panic(errCannotRun{err})
	}
}

// newRig begins a case whose record is written to the folder of the case.
func newRig(root, caseDir string, trouble bool) *rig {
	return &rig{
		root: root, dir: must(os.MkdirTemp("", "review-")), trouble: trouble, begin: time.Now(),
		record: must(os.Create(filepath.Join(caseDir, "record.txt"))),
	}
}

// logf writes a line to the record.
func (r *rig) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%9.3f %s\n", time.Since(r.begin).Seconds(), fmt.Sprintf(format, args...))
}

// breakf records that the rule was broken.
func (r *rig) breakf(format string, args ...any) {
	r.logf("BROKEN "+format, args...)
	r.mu.Lock()
	r.broken++
	r.mu.Unlock()
}

// close ends all processes and returns the number of breaks.
func (r *rig) close() int {
	for _, p := range r.ingresses {
		p.kill()
	}
	os.RemoveAll(r.dir)
	r.logf("breaks: %d", r.broken)
	r.record.Close()
	return r.broken
}

// freeAddress returns a free loopback address.
func freeAddress() string {
	ln := must(net.Listen("tcp", "127.0.0.1:0"))
	defer ln.Close()
	return ln.Addr().String()
}

// ingressProcess is one real ingress.
type ingressProcess struct {
	rig     *rig
	name    string
	address string
	config  map[string]any
	path    string // of the configuration
	cmd     *exec.Cmd
	ended   chan struct{}
}

// startIngress starts an ingress with the command of the deploy file and waits until it is
// ready.
func (r *rig) startIngress(name string, config map[string]any) *ingressProcess {
	p := &ingressProcess{rig: r, name: name, address: freeAddress(), config: config,
		path: filepath.Join(r.dir, name+".json")}
	config["name"], config["listen"] = name, p.address
	p.writeConfig()
	r.ingresses = append(r.ingresses, p)
	p.start()
	return p
}

func (p *ingressProcess) writeConfig() {
	text := must(json.Marshal(p.config))
	check(os.WriteFile(p.path+".new", text, 0o644))
	check(os.Rename(p.path+".new", p.path))
}

func (p *ingressProcess) start() {
	deploy := must(os.ReadFile(filepath.Join(p.rig.root, "deploy", "balancer.toml")))
	run := regexp.MustCompile(`(?m)^run = "(.*?)"`).FindSubmatch(deploy)
	if run == nil {
		check(fmt.Errorf("the deploy file names no command to run"))
	}
	p.cmd = exec.Command("/bin/sh", "-c", string(run[1]))
	p.cmd.Dir = p.rig.root
	p.cmd.Env = append(os.Environ(), "NODE_CONFIG="+p.path, "TMPDIR="+p.rig.dir, "CEDARSEAM_LOG="+os.Getenv("RIG_LOG"))
	out := must(os.OpenFile(filepath.Join(p.rig.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644))
	if keep := os.Getenv("RIG_KEEP"); keep != "" {
		out = must(os.OpenFile(filepath.Join(keep, p.name+".log"), os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o644))
	}
	p.cmd.Stdout, p.cmd.Stderr = out, out
	check(p.cmd.Start())
	p.ended = make(chan struct{})
	go func() {
		p.cmd.Wait()
		out.Close()
		close(p.ended)
	}()
	started := time.Now()
	for time.Since(started) < 10*time.Second {
		if p.isReady() {
			p.rig.logf("%s ready at %s", p.name, p.address)
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	check(fmt.Errorf("%s is not ready after 10 s", p.name))
}

func (p *ingressProcess) isReady() bool {
	nc, err := net.DialTimeout("tcp", p.address, time.Second)
	if err != nil {
		return false
	}
	defer nc.Close()
	nc.SetDeadline(time.Now().Add(time.Second))
	fmt.Fprint(nc, "*1\r\n$4\r\nPING\r\n")
	buf := make([]byte, 64)
	n, _ := nc.Read(buf)
	return strings.HasPrefix(string(buf[:n]), "+PONG")
}

func (p *ingressProcess) running() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

func (p *ingressProcess) signal(s syscall.Signal) {
	p.rig.logf("signal %v to %s", s, p.name)
	p.cmd.Process.Signal(s)
}

func (p *ingressProcess) kill() {
	if p.cmd != nil && p.running() {
		p.cmd.Process.Signal(syscall.SIGCONT)
		p.cmd.Process.Kill()
		<-p.ended
	}
}

// settings returns the settings of a small deployment: those of the example in the users'
// page of the wire, with the given numbers.
func settings(ingresses, self int) map[string]any {
	var s map[string]any
	check(json.Unmarshal([]byte(fmt.Sprintf(`{"balancers": %d, "self_index": %d,
 "bounds": {"cancelling": true, "conn_idle_ms": 30000.0, "connect_timeout_ms": 250.0, "cpu_us_per_request": 0.0, "cpu_us_per_s": 580713, "max_retry_after_ms": 1000.0, "most_held": 23228, "peer_messages": true, "probing": true, "retry_after": true, "second_copies": true, "streams_per_conn": 32, "try_limit": 6},
 "clients": {"marks_retry": true},
 "discovery": "push",
 "domain_type": "gate",
 "goal": {"whole": 0.55, "worst_class": 0.0, "worst_tenant": 0.15, "worst_window": 0.3},
 "invariants": {"answer_slack_ms": 16.0, "ask_every_ms": 10000.0, "cold_from": 0.24, "cold_ms": 13000.0, "drain_grace_ms": 2000.0, "fall_ms": 1500.0, "tip_multiple": 3.0},
 "kinds": ["std-2core"],
 "prices": {"connection": 0.0, "cross_zone": 0.0, "discovery": 0.0, "handshake": 0.0, "late_fail": 0.08, "moves": 0.0, "origin": 0.0, "peer": 0.033, "probe": 0.0091, "waste": 0.03},
 "report": {"fields": ["rate"], "how": "piggyback"},
 "request_classes": [{"aim_ms": 1200.0, "dedup_scope": "all", "effect": "free", "give_up_ms": 4000.0, "late_worth": 0.2, "name": "view", "streamed": false, "window_ms": 5000.0, "worth": 1.0}, {"aim_ms": 2500.0, "dedup_scope": "all", "effect": "guarded", "give_up_ms": 7500.0, "late_worth": 0.0, "name": "save-draft", "streamed": false, "window_ms": 7500.0, "worth": 5.0}, {"aim_ms": 4000.0, "dedup_scope": "all", "effect": "single_shot", "give_up_ms": 15000.0, "late_worth": 0.0, "name": "turn-in", "streamed": false, "window_ms": 5000.0, "worth": 3.0}],
 "specifics": {"cost_after": false, "count_fee": 0.0, "count_limit_ms": 0.0, "counter": false, "mail_per_s": 40.0, "max_units": 3, "use_period_ms": 1000.0},
 "tick_ms": 4.0, "tier": 0, "tiers": ["hw-app"],
 "tiers_of_service": [{"beyond_costs": 1.2, "burst": 9.0, "extra_worth": 0.0, "hard_burst": 0.0, "hard_rate": 0.0, "name": "classroom", "open": 0, "price": 1.3, "quota_rate": 2.3, "tolerance": 0.0}, {"beyond_costs": 0.0, "burst": 21.0, "extra_worth": 0.1, "hard_burst": 48.0, "hard_rate": 35.0, "name": "district", "open": 0, "price": 1.8, "quota_rate": 15.0, "tolerance": 5.0}],
 "weights": "nominal", "zone": 0, "zones": ["portland-dc"]}`, ingresses, self)), &s))
	return s
}

// config returns the configuration of an ingress, with the limits of the smallest scored day.
func config(ingresses, self int, d *discovery) map[string]any {
	return map[string]any{
		"discovery": d.address, "seed": fmt.Sprintf("%016x", 0x8c1f30d27a5be964+uint64(self)),
		"limits":   map[string]any{"cores": 1.0, "memory_mb": 64, "sockets": 256},
		"known":    d.list(),
		"settings": settings(ingresses, self),
	}
}
