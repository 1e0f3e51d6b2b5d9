package ingress

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"time"

	"cedarseam/internal/membership"
)

// changeBatchSize is how many changes of the list of backends the loop applies before it
// handles other events. A batch blocks the loop for a fraction of a millisecond.
const changeBatchSize = 128

// core is the part of an ingress that does not need clients: the loop with its gateway,
// and discovery.
type core struct {
	cfg     *Config
	loop    *loop
	sources *discoverySources
}

// newCore returns a core that starts from the last known list of the configuration.
func newCore(cfg Config) (*core, error) {
	l, err := newLoop(&cfg)
	if err != nil {
		return nil, err
	}
	view := membership.NewView()
	l.applyChanges(view.Apply(cfg.LastKnownList, nil))
	sources := newDiscoverySources(cfg.discoveryTiming(), cfg.Limits.maxListBytes(), view, l.applyInBatches)
	sources.onSwitch = func(address string) { cfg.Log.State("following", slog.String("discovery", address)) }
	return &core{cfg: &cfg, loop: l, sources: sources}, nil
}

// start starts the loop and discovery. The function that it returns stops both.
func (c *core) start() (stop func()) {
	stopped := make(chan struct{})
	go c.loop.run(stopped)
	var known *membership.List
	if c.cfg.LastKnownList.Complete {
		known = &c.cfg.LastKnownList
	}
	c.sources.switchTo(c.cfg.Discovery, known, func() { c.loop.post((*loop).markDiscoveryAttempted) })
	return func() {
		c.sources.close()
		close(stopped)
		<-c.loop.done
	}
}

// ControlPlane is an ingress without client connections: it follows discovery and keeps
// the state of the gateway. It uses the same resources as an ingress that receives no
// requests.
type ControlPlane struct {
	core        *core
	decodeCache membership.DecodeCache
}

// NewControlPlane returns a ControlPlane. onApplied, if it is not nil, is called with the
// revision of each list once all of the list is in force.
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

// ApplyCost is the time that it took to apply one list of backends, or a change of it.
type ApplyCost struct {
	DecodeTime   time.Duration // decoding the text and comparing it with the list in force
	LoopTime     time.Duration // applying the changes, which blocks the loop
	MaxBatchTime time.Duration // the longest time that the loop is blocked without a break
}

// ApplyList applies the text of one list on the caller's goroutine, without pauses, and
// returns how long that took. It must not be called while Run is running.
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
		c.core.loop.applyChanges(batch)
		elapsed := time.Since(start)
		cost.LoopTime += elapsed
		cost.MaxBatchTime = max(cost.MaxBatchTime, elapsed)
	}
	return cost, nil
}
