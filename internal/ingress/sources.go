package ingress

import (
	"context"
	"sync"

	"cedarseam/internal/membership"
)

// sources follows discovery at one address, and moves to another without a gap:
// the address before stays in force until the new one has told its whole list.
// What a list changes is worked out here, beside the loop.
type sources struct {
	pace    pace
	most    int                       // bytes of one list
	deliver func([]membership.Change) // returns once they are in force
	applied func(revision int64)      // called once all of a list is in force
	moved   func(address string)      // called when the list of another address takes the place of the one before
	ctx     context.Context
	close   context.CancelFunc

	mu      sync.Mutex // held while a list is delivered, so that lists come in order
	current *source    // whose list is in force
	next    *source    // which has told nothing yet
	view    *membership.View
}

type source struct {
	address string
	leave   context.CancelFunc
}

// newSources starts from the view given.
func newSources(p pace, most int, view *membership.View, deliver func([]membership.Change)) *sources {
	s := &sources{pace: p, most: most, view: view, deliver: deliver, applied: func(int64) {}, moved: func(string) {}}
	s.ctx, s.close = context.WithCancel(context.Background())
	return s
}

// follow moves to an address. known is the list held as that address told it,
// or nil. started, if it is not nil, is called after the first try, whether it
// went well or not.
func (s *sources) follow(address string, known *membership.List, started func()) {
	ctx, leave := context.WithCancel(s.ctx)
	src := &source{address, leave}
	if !s.begin(src) {
		leave()
		return
	}
	d := newDiscovery(address, s.pace, s.most, func(l membership.List) { s.take(src, l) })
	go func() {
		d.run(ctx, known, started)
		d.client.CloseIdleConnections()
	}()
}

// begin makes a source the next one. It returns false if its address is
// followed already: what that one tells is in force, or will be.
func (s *sources) begin(src *source) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.next != nil {
		if s.next.address == src.address {
			return false
		}
		s.next.leave()
		s.next = nil
	}
	if s.current != nil && s.current.address == src.address {
		return false
	}
	s.next = src
	return true
}

// take hands on what a list of a source changes. Revisions of one address mean
// nothing at another, so a line of the old one that comes after the list of the
// new one is dropped.
func (s *sources) take(from *source, l membership.List) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if from == s.next {
		if s.current != nil {
			s.current.leave()
		}
		s.current, s.next = from, nil
		s.moved(from.address)
	}
	if from != s.current {
		return
	}
	if changes := s.view.Apply(l, newPacer().pause); len(changes) > 0 {
		s.deliver(changes)
	}
	s.applied(l.Revision)
}
