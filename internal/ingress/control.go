package ingress

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"cedarseam/choice"
)

// core is what follows discovery and decides, with or without clients.
type core struct {
	cfg     *Config
	loop    *loop
	sources *sources
}

// newCore makes a core. applied, if it is not nil, is called on the loop's
// goroutine with the revision of each list once all of it is in force.
func newCore(cfg Config, applied func(revision int64)) (*core, error) {
	l, err := newLoop(&cfg)
	if err != nil {
		return nil, err
	}
	deliver := func(list memberList) {
		kind := choice.Delta
		if list.Complete {
			kind = choice.Full
		}
		l.post(func(l *loop) {
			l.members(kind, list)
			if applied != nil {
				applied(list.Revision)
			}
		})
	}
	return &core{cfg: &cfg, loop: l, sources: newSources(cfg.pace(), deliver)}, nil
}

// start runs the loop and follows discovery. The function that it returns ends both.
func (c *core) start() (stop func()) {
	stopped := make(chan struct{})
	go c.loop.run(stopped)
	var known *memberList
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
type Control struct{ core *core }

// NewControl makes a Control. applied, if it is not nil, is called with the
// revision of each list once all of it is in force.
func NewControl(cfg Config, applied func(revision int64)) (*Control, error) {
	c, err := newCore(cfg, applied)
	if err != nil {
		return nil, err
	}
	return &Control{c}, nil
}

// Run follows discovery until ctx ends.
func (c *Control) Run(ctx context.Context) {
	stop := c.core.start()
	<-ctx.Done()
	stop()
}

// Applied tells what one list or change of it cost.
type Applied struct {
	Decode  time.Duration // from its text to what the loop is told, beside the loop
	Loop    time.Duration // on the loop's goroutine
	Longest time.Duration // the longest that it kept the loop from anything else
}

// Apply takes the text of one list on the caller's goroutine and measures it.
// It must not be called while Run runs.
func (c *Control) Apply(text []byte) (Applied, error) {
	begun := time.Now()
	var list memberList
	if err := json.Unmarshal(text, &list); err != nil {
		return Applied{}, fmt.Errorf("list: %w", err)
	}
	decoded := time.Now()
	kind := choice.Delta
	if list.Complete {
		kind = choice.Full
	}
	c.core.loop.members(kind, list)
	hold := time.Since(decoded)
	return Applied{Decode: decoded.Sub(begun), Loop: hold, Longest: hold}, nil
}
