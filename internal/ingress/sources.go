package ingress

import (
	"context"
	"sync"

	"cedarseam/internal/membership"
)

// discoverySources follows discovery at one address, and switches to another address
// without a gap: the former source stays in force until the new one has sent its first
// list. Lists are compared with the view here, on the goroutine of the discovery client,
// so that the loop only has to apply the changes.
type discoverySources struct {
	timing       discoveryTiming
	maxListBytes int                       // maximum size of one list
	deliver      func([]membership.Change) // returns once the changes are in force
	onApplied    func(revision int64)      // called when all of a list is in force
	onSwitch     func(address string)      // called when the first list of a new address is received
	ctx          context.Context
	close        context.CancelFunc

	mu      sync.Mutex       // held while a list is delivered, which keeps lists in order
	current *discoverySource // the source whose list is in force
	pending *discoverySource // the source to switch to, from which no list has been received
	view    *membership.View
}

// discoverySource is one address of discovery that is being followed.
type discoverySource struct {
	address string
	cancel  context.CancelFunc
}

// newDiscoverySources returns sources that compare lists with the given view.
func newDiscoverySources(
	timing discoveryTiming, maxListBytes int, view *membership.View, deliver func([]membership.Change),
) *discoverySources {
	s := &discoverySources{
		timing: timing, maxListBytes: maxListBytes, view: view, deliver: deliver,
		onApplied: func(int64) {}, onSwitch: func(string) {},
	}
	s.ctx, s.close = context.WithCancel(context.Background())
	return s
}

// switchTo starts to follow discovery at an address, unless it does already. lastKnown is
// the last list received from that address, or nil. onFirstResult, if it is not nil, is
// called after the first call, whether it succeeded or not.
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

// setPending makes a source the pending one. It returns false if its address is followed
// already, as the current or the pending source. A pending source with another address is
// cancelled in either case.
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

// handleList delivers the changes in a list from a source. A list from the former source
// that arrives after the first list of the new one is dropped, because revisions of
// different addresses cannot be compared.
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
