package ingress

import (
	"context"
	"sync"

	"cedarseam/internal/membership"
)

// discoverySources follows discovery at one address, and moves to another without a gap:
// the address before stays in force until the new one has told its whole list.
// What a list changes is worked out here, beside the loop.
type discoverySources struct {
	timing       discoveryTiming
	maxListBytes int                       // bytes of one list
	deliver      func([]membership.Change) // returns once they are in force
	onApplied    func(revision int64)      // called once all of a list is in force
	onSwitch     func(address string)      // called when the list of another address takes the place of the one before
	ctx          context.Context
	close        context.CancelFunc

	mu      sync.Mutex       // held while a list is delivered, so that lists come in order
	current *discoverySource // whose list is in force
	pending *discoverySource // which has told nothing yet
	view    *membership.View
}

type discoverySource struct {
	address string
	cancel  context.CancelFunc
}

// newDiscoverySources starts from the view given.
func newDiscoverySources(timing discoveryTiming, maxListBytes int, view *membership.View, deliver func([]membership.Change)) *discoverySources {
	s := &discoverySources{timing: timing, maxListBytes: maxListBytes, view: view, deliver: deliver, onApplied: func(int64) {}, onSwitch: func(string) {}}
	s.ctx, s.close = context.WithCancel(context.Background())
	return s
}

// switchTo moves to an address. known is the list held as that address told it,
// or nil. started, if it is not nil, is called after the first try, whether it
// went well or not.
func (s *discoverySources) switchTo(address string, lastKnown *membership.List, onFirstResult func()) {
	ctx, cancel := context.WithCancel(s.ctx)
	src := &discoverySource{address, cancel}
	if !s.setPending(src) {
		cancel()
		return
	}
	client := newDiscoveryClient(address, s.timing, s.maxListBytes, func(l membership.List) { s.handleList(src, l) })
	go func() {
		client.run(ctx, lastKnown, onFirstResult)
		client.httpClient.CloseIdleConnections()
	}()
}

// setPending makes a source the next one. It returns false if its address is
// followed already: what that one tells is in force, or will be.
func (s *discoverySources) setPending(src *discoverySource) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pending != nil {
		if s.pending.address == src.address {
			return false
		}
		s.pending.cancel()
		s.pending = nil
	}
	if s.current != nil && s.current.address == src.address {
		return false
	}
	s.pending = src
	return true
}

// handleList hands on what a list of a source changes. Revisions of one address mean
// nothing at another, so a line of the old one that comes after the list of the
// new one is dropped.
func (s *discoverySources) handleList(from *discoverySource, list membership.List) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if from == s.pending {
		if s.current != nil {
			s.current.cancel()
		}
		s.current, s.pending = from, nil
		s.onSwitch(from.address)
	}
	if from != s.current {
		return
	}
	if changes := s.view.Apply(list, newPacer().pause); len(changes) > 0 {
		s.deliver(changes)
	}
	s.onApplied(list.Revision)
}
