package choice_test

import (
	"fmt"
	"testing"
	"time"

	"cedarseam/choice"
)

// BenchmarkRequest measures a request and its outcome, in a small and in a large deployment.
func BenchmarkRequest(b *testing.B) {
	for _, size := range [...]struct{ gateways, backends int }{{3, 10}, {400, 87}} {
		b.Run(fmt.Sprintf("%dx%d", size.gateways, size.backends), func(b *testing.B) {
			cfg := baseConfig()
			cfg.Gateways = size.gateways
			rec := &lastSendRecorder{}
			g, err := choice.New(cfg, 7, 0, rec)
			if err != nil {
				b.Fatal(err)
			}
			g.UpdateBackends(0, choice.Cached, newBackends(uint32(size.backends)))
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now := time.Duration(i) * 20 * ms
				id := uint32(i + 1)
				g.Request(now, choice.Request{ID: id, Customer: uint64(i % 200), SetSize: size.gateways,
					Units: 1, TimeLeft: time.Second})
				if rec.id == id {
					g.Outcome(now+10*ms, choice.Outcome{ID: id, Backend: rec.backend, Elapsed: 10 * ms,
						Answered: true, Metered: true, Used: 0.5})
				}
			}
		})
	}
}

// lastSendRecorder is an Actions that records the last attempt sent.
type lastSendRecorder struct{ id, backend uint32 }

func (l *lastSendRecorder) Send(id, backend uint32, _ time.Duration)    { l.id, l.backend = id, backend }
func (l *lastSendRecorder) Refuse(uint32, time.Duration, choice.Reason) {}
func (l *lastSendRecorder) Fail(uint32, choice.Reason)                  {}
func (l *lastSendRecorder) Cancel(uint32, int)                          {}
func (l *lastSendRecorder) Probe(uint32)                                {}
func (l *lastSendRecorder) SetTimer(time.Duration, uint64)              {}
