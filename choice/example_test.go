package choice_test

import (
	"fmt"
	"time"

	"cedarseam/choice"
)

// printer is a minimal Actions that prints the decisions. A real one starts attempts, answers clients and
// sets timers.
type printer struct{}

func (printer) Send(id, backend uint32, timeout time.Duration) {
	fmt.Printf("request %d: send to backend %d, give up after %v\n", id, backend, timeout)
}
func (printer) Refuse(id uint32, after time.Duration, _ choice.Reason) {
	fmt.Printf("request %d: refused\n", id)
}
func (printer) Fail(id uint32, _ choice.Reason) { fmt.Printf("request %d: failed\n", id) }
func (printer) Cancel(id uint32, attempt int)   {}
func (printer) Probe(backend uint32)            {}
func (printer) SetTimer(time.Duration, uint64)  {}

func Example() {
	cfg := choice.Config{
		Gateways: 2, MeterPeriod: time.Second, MaxUnits: 1, MaxAttempts: 2,
		Classes: []choice.Class{{Aim: 300 * time.Millisecond, Deadline: time.Second, Worth: 1,
			Effect: choice.Free}},
		Plans: []choice.Plan{{Rate: 2, Burst: 2, Price: 1, OveruseCost: 1}},
	}
	now := time.Duration(0)
	g, err := choice.New(cfg, 1, now, printer{})
	if err != nil {
		fmt.Println(err)
		return
	}
	g.UpdateBackends(now, choice.Full, []choice.Backend{{ID: 8, Weight: 1}})
	for id := range uint32(3) {
		g.Request(now, choice.Request{ID: id + 1, Customer: 42, TimeLeft: time.Second, Units: 1, SetSize: 2})
	}
	now += 40 * time.Millisecond
	g.Outcome(now, choice.Outcome{ID: 1, Backend: 8, Status: choice.OK, Elapsed: now, Answered: true,
		Metered: true, Used: 0.5})
	// Output:
	// request 1: send to backend 8, give up after 1s
	// request 2: send to backend 8, give up after 1s
	// request 3: refused
}
