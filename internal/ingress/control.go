package ingress

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"time"

	"cedarseam/internal/membership"
)

// changeBatchSize is how many changes of the list the loop takes before it looks
// at other events: they hold it for a fraction of a millisecond.
const changeBatchSize = 128

// core is what follows discovery and decides, with or without clients.
type core struct {
	cfg     *Config
	loop    *loop
	sources *discoverySources
}

func newCore(cfg Config) (*core, error) {
	l, err := newLoop(&cfg)
	if err != nil {
		return nil, err
	}
	view := membership.NewView()
	l.change(view.Apply(cfg.LastKnownList, nil))
	sources := newDiscoverySources(cfg.discoveryTiming(), cfg.Limits.maxListBytes(), view, l.changeInParts)
	sources.onSwitch = func(address string) { cfg.Log.State("following", slog.String("discovery", address)) }
	return &core{cfg: &cfg, loop: l, sources: sources}, nil
}

// start runs the loop and follows discovery. The function that it returns ends both.
func (c *core) start() (stop func()) {
	stopped := make(chan struct{})
	go c.loop.run(stopped)
	var known *membership.List
	if c.cfg.LastKnownList.Complete {
		known = &c.cfg.LastKnownList
	}
	c.sources.switchTo(c.cfg.Discovery, known, func() { c.loop.post((*loop).open) })
	return func() {
		c.sources.close()
		close(stopped)
		<-c.loop.done
	}
}

// ControlPlane is an ingress without the sockets of clients: it follows discovery and
// keeps the gateway's state, and costs what an ingress spends while nobody asks
// anything of it.
type ControlPlane struct {
	core        *core
	decodeCache membership.DecodeCache
}

// NewControlPlane makes a Control. applied, if it is not nil, is called with the
// revision of each list once all of it is in force.
func NewControlPlane(cfg Config, onApplied func(revision int64)) (*ControlPlane, error) {
	c, err := newCore(cfg)
	if err != nil {
		return nil, err
	}
	if onApplied != nil {
		c.sources.onApplied = onApplied
	}
	return &ControlPlane{core: c}, nil
}

// Run follows discovery until ctx ends.
func (c *ControlPlane) Run(ctx context.Context) {
	stop := c.core.start()
	<-ctx.Done()
	stop()
}

// ApplyCost tells what one list or change of it cost.
type ApplyCost struct {
	DecodeTime   time.Duration // from its text to what it changes, beside the loop
	LoopTime     time.Duration // on the loop's goroutine
	MaxBatchTime time.Duration // the longest that it kept the loop from anything else
}

// ApplyList takes the text of one list on the caller's goroutine, without rests, and
// measures it. It must not be called while Run runs.
func (c *ControlPlane) ApplyList(text []byte) (ApplyCost, error) {
	var cost ApplyCost
	start := time.Now()
	list, err := membership.Decode(text, &c.decodeCache)
	if err != nil {
		return cost, fmt.Errorf("list: %w", err)
	}
	changes := c.core.sources.view.Apply(list, nil)
	cost.DecodeTime = time.Since(start)
	for batch := range slices.Chunk(changes, changeBatchSize) {
		start = time.Now()
		c.core.loop.change(batch)
		elapsed := time.Since(start)
		cost.LoopTime += elapsed
		cost.MaxBatchTime = max(cost.MaxBatchTime, elapsed)
	}
	return cost, nil
}
