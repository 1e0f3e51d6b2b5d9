package membership

import (
	"cmp"
	"slices"
)

// State tells whether requests may be sent to a backend.
type State int

// The states of a backend. A backend is Gone if it is unknown, deleted, or displaced
// from its address by another one.
const (
	Gone State = iota
	Draining
	Serving
)

// Change is a backend whose state or description has changed.
type Change struct {
	*Member
	State State
}

// View is the current list of backends, as put together from all lists applied so
// far. The zero value is not usable; call NewView.
//
// Only one process can listen at an address. If several members name the same
// address, it belongs to the one that started last; of equals to one that is not
// draining, then to the one announced last. The others are displaced: a request sent
// to them would reach another process. They count as gone, though discovery still
// lists them, until it announces them again.
type View struct {
	entriesByID   map[string]*entry
	addressOwners map[string]*entry // by address: the entry whose process listens there
	sequence      int64             // number of members received in all lists
	listNumber    uint64            // number of the list being applied
}

// entry is what the view holds about one backend.
type entry struct {
	*Member
	sequence    int64  // View.sequence when the member was last announced
	lastList    uint64 // number of the last list that named the member
	updateIndex int    // index among the updates of that list; -1: none
	displaced   bool   // another member owns its address
	reported    State  // the state last returned by Apply
}

// MembersPerPause is the number of members processed between two calls of a pause function.
const MembersPerPause = 32

// NewView returns an empty view.
func NewView() *View {
	return &View{entriesByID: map[string]*entry{}, addressOwners: map[string]*entry{}}
}

// update is a member of the list being applied that may change the view.
type update struct {
	*entry
	current  *Member
	previous *Member // the member before this list; for a new entry the member itself
	isNew    bool
	sequence int64
}

// Apply applies a list and returns the changes it makes. Backends to which requests
// must no longer be sent come first. pause, unless nil, is called at intervals.
func (v *View) Apply(list List, pause func()) []Change {
	v.listNumber++
	updates := v.findUpdates(list, pause)
	var missing []*entry
	if list.Complete {
		missing = v.missing()
	}
	for _, e := range missing {
		v.releaseAddress(e)
		delete(v.entriesByID, e.ID)
	}
	for i := range updates {
		v.applyUpdate(&updates[i])
	}
	var displaced []*entry
	for i := range updates {
		if i%MembersPerPause == 0 {
			callIfSet(pause)
		}
		if other := v.claimAddress(updates[i].entry); other != nil {
			displaced = append(displaced, other)
		}
	}
	return collectChanges(missing, displaced, updates)
}

// findUpdates returns the members of the list that may change the view, in the order
// of the list. Of several members with the same id only the last is returned.
func (v *View) findUpdates(list List, pause func()) (updates []update) {
	for i, m := range list.Members {
		if i%MembersPerPause == 0 {
			callIfSet(pause)
		}
		v.sequence++
		e, isNew := v.entriesByID[m.ID], false
		switch {
		case e == nil:
			isNew = true
			e = &entry{Member: m, updateIndex: -1}
			v.entriesByID[m.ID] = e
		case e.lastList != v.listNumber:
			e.updateIndex = -1
			if list.Complete && !e.displaced && equalMembers(e.Member, m) {
				e.lastList, e.sequence = v.listNumber, v.sequence
				continue
			}
		case e.updateIndex >= 0: // the list names the id again: the later member counts
			if isNew = updates[e.updateIndex].isNew; isNew {
				e.Member = m
			}
			updates[e.updateIndex].entry = nil
		}
		e.lastList, e.updateIndex = v.listNumber, len(updates)
		updates = append(updates, update{entry: e, current: m, isNew: isNew, sequence: v.sequence})
	}
	return slices.DeleteFunc(updates, func(u update) bool { return u.entry == nil })
}

func equalMembers(a, b *Member) bool { return a == b || *a == *b }

// missing returns the entries that the complete list being applied does not name, in
// the order in which they were last announced.
func (v *View) missing() (entries []*entry) {
	for _, e := range v.entriesByID {
		if e.lastList != v.listNumber {
			entries = append(entries, e)
		}
	}
	slices.SortFunc(entries, func(a, b *entry) int { return cmp.Compare(a.sequence, b.sequence) })
	return entries
}

// releaseAddress gives up the address of an entry, if the entry owns it.
func (v *View) releaseAddress(e *entry) {
	if v.addressOwners[e.HostPort] == e {
		delete(v.addressOwners, e.HostPort)
	}
}

// applyUpdate replaces the member of an entry. A member without an address keeps the
// previous address.
func (v *View) applyUpdate(u *update) {
	v.releaseAddress(u.entry)
	u.previous = u.entry.Member
	if u.current.HostPort == "" && u.previous.HostPort != "" {
		withAddress := *u.current
		withAddress.HostPort = u.previous.HostPort
		u.current = &withAddress
	}
	u.entry.Member, u.entry.sequence, u.entry.displaced = u.current, u.sequence, false
	if u.current.Phase == PhaseDeleted {
		delete(v.entriesByID, u.current.ID)
	}
}

// claimAddress decides whether an entry or the current owner gets the entry's
// address. It returns the owner if the entry has displaced it.
func (v *View) claimAddress(e *entry) (displaced *entry) {
	if e.Phase == PhaseDeleted || e.HostPort == "" {
		return nil
	}
	owner := v.addressOwners[e.HostPort]
	switch {
	case owner == nil:
	case e.supersedes(owner):
		owner.displaced = true
		displaced = owner
	default:
		e.displaced = true
		return nil
	}
	v.addressOwners[e.HostPort] = e
	return displaced
}

// supersedes reports whether an entry gets the address that another entry owns.
func (e *entry) supersedes(other *entry) bool {
	if e.UpSince != other.UpSince {
		return e.UpSince > other.UpSince
	}
	if (e.Phase == PhaseDraining) != (other.Phase == PhaseDraining) {
		return other.Phase == PhaseDraining
	}
	return e.sequence > other.sequence
}

// state returns the current state of an entry.
func (e *entry) state() State {
	switch {
	case e.displaced, e.Phase == PhaseDeleted:
		return Gone
	case e.Phase == PhaseDraining:
		return Draining
	}
	return Serving
}

// collectChanges returns the changes of all entries that were missing, displaced or
// updated, those to which requests must no longer be sent first.
func collectChanges(missing, displaced []*entry, updates []update) []Change {
	all := make([]Change, 0, len(missing)+len(displaced)+len(updates))
	add := func(e *entry, state State, updated bool) {
		if state != e.reported || updated && state != Gone {
			all = append(all, Change{e.Member, state})
			e.reported = state
		}
	}
	for _, e := range missing {
		add(e, Gone, false)
	}
	for _, e := range displaced {
		add(e, Gone, false)
	}
	for _, u := range updates {
		if state := u.state(); state != Serving {
			add(u.entry, state, !equalMembers(u.previous, u.current))
		}
	}
	for _, u := range updates {
		if u.state() == Serving {
			add(u.entry, Serving, !equalMembers(u.previous, u.current))
		}
	}
	return all
}
