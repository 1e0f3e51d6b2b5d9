package ingress

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"time"

	"cedarseam/internal/membership"
)

// changesAtOnce is how many changes of the list the loop takes before it looks
// at other events: they hold it for a fraction of a millisecond.
const changesAtOnce = 128

// core is what follows discovery and decides, with or without clients.
type core struct {
	cfg     *Config
	loop    *loop
	sources *sources
}

func newCore(cfg Config) (*core, error) {
	l, err := newLoop(&cfg)
	if err != nil {
		return nil, err
	}
	view := membership.NewView()
	l.change(view.Apply(cfg.Known, nil))
	sources := newSources(cfg.pace(), cfg.Limits.list(), view, l.changeInParts)
	sources.moved = func(address string) { cfg.Log.State("following", slog.String("discovery", address)) }
	return &core{cfg: &cfg, loop: l, sources: sources}, nil
}

// start runs the loop and follows discovery. The function that it returns ends both.
func (c *core) start() (stop func()) {
	stopped := make(chan struct{})
	go c.loop.run(stopped)
	var known *membership.List
	if c.cfg.Known.Complete {
		known = &c.cfg.Known
	}
	c.sources.follow(c.cfg.Discovery, known, func() { c.loop.post((*loop).open) })
	return func() {
		c.sources.close()
		close(stopped)
		<-c.loop.done
	}
}

// Control is an ingress without the sockets of clients: it follows discovery and
// keeps the gateway's state, and costs what an ingress spends while nobody asks
// anything of it.
type Control struct {
	core *core
	memo membership.DecodeCache
}

// NewControl makes a Control. applied, if it is not nil, is called with the
// revision of each list once all of it is in force.
func NewControl(cfg Config, applied func(revision int64)) (*Control, error) {
	c, err := newCore(cfg)
	if err != nil {
		return nil, err
	}
	if applied != nil {
		c.sources.applied = applied
	}
	return &Control{core: c}, nil
}

// Run follows discovery until ctx ends.
func (c *Control) Run(ctx context.Context) {
	stop := c.core.start()
	<-ctx.Done()
	stop()
}

// Applied tells what one list or change of it cost.
type Applied struct {
	Decode  time.Duration // from its text to what it changes, beside the loop
	Loop    time.Duration // on the loop's goroutine
	Longest time.Duration // the longest that it kept the loop from anything else
}

// Apply takes the text of one list on the caller's goroutine, without rests, and
// measures it. It must not be called while Run runs.
func (c *Control) Apply(text []byte) (Applied, error) {
	var cost Applied
	begun := time.Now()
	list, err := membership.Decode(text, &c.memo)
	if err != nil {
		return cost, fmt.Errorf("list: %w", err)
	}
	changes := c.core.sources.view.Apply(list, nil)
	cost.Decode = time.Since(begun)
	for part := range slices.Chunk(changes, changesAtOnce) {
		begun = time.Now()
		c.core.loop.change(part)
		hold := time.Since(begun)
		cost.Loop += hold
		cost.Longest = max(cost.Longest, hold)
	}
	return cost, nil
}
