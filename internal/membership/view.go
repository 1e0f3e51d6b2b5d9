package membership

import (
	"cmp"
	"slices"
)

// State is what is to be made of a backend.
type State int

// The states of a backend.
const (
	Gone State = iota
	Draining
	Serving
)

// Change is one backend whose state or whose line is no longer what it was.
type Change struct {
	*Member
	State State
}

// View is the list as it was told so far. Its zero value is not usable.
//
// One process listens at an address. Where several members name the same one,
// the one that started last has it; of equals the one that serves, then the one
// told last. The others are gone, though discovery has not noticed yet, until it
// tells them anew: what is sent to them would reach another process.
type View struct {
	entriesByID   map[string]*entry // by id
	addressOwners map[string]*entry // by address: the entry whose process listens there
	sequence      int64             // lines so far
	listNumber    uint64            // number of the list being taken in
}

type entry struct {
	*Member
	sequence    int64  // place of its line among all that were told
	lastList    uint64 // the last list that named it
	updateIndex int    // its place among the lines of that list that may change something; -1: none
	displaced   bool   // another member has its address
	reported    State  // as last returned
}

// MembersPerPause is how many lines are taken between two calls of a pause.
const MembersPerPause = 32

// NewView returns a view without backends.
func NewView() *View {
	return &View{entriesByID: map[string]*entry{}, addressOwners: map[string]*entry{}}
}

// update is a line that may change something.
type update struct {
	*entry
	current  *Member
	previous *Member // the line before; that of a new entry is its own
	isNew    bool
	sequence int64
}

// Apply takes a list in and returns what it changes: what must not be sent to
// any more comes first. pause, which may be nil, is called now and then.
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

// findUpdates returns the lines that differ from what is held, the last one of each
// member, in the order of the list.
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
		case e.updateIndex >= 0: // a later line of the same list stands
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

// missing returns what the complete list just compared does not name, in the
// order in which it was told.
func (v *View) missing() (entries []*entry) {
	for _, e := range v.entriesByID {
		if e.lastList != v.listNumber {
			entries = append(entries, e)
		}
	}
	slices.SortFunc(entries, func(a, b *entry) int { return cmp.Compare(a.sequence, b.sequence) })
	return entries
}

// releaseAddress frees the address of an entry.
func (v *View) releaseAddress(e *entry) {
	if v.addressOwners[e.HostPort] == e {
		delete(v.addressOwners, e.HostPort)
	}
}

// applyUpdate gives an entry its new line. A line that names no address leaves it
// where it was.
func (v *View) applyUpdate(u *update) {
	v.releaseAddress(u.entry)
	u.previous = u.entry.Member
	if u.current.HostPort == "" && u.previous.HostPort != "" {
		moved := *u.current
		moved.HostPort = u.previous.HostPort
		u.current = &moved
	}
	u.entry.Member, u.entry.sequence, u.entry.displaced = u.current, u.sequence, false
	if u.current.Phase == PhaseDeleted {
		delete(v.entriesByID, u.current.ID)
	}
}

// claimAddress settles who has an entry's address. It returns the entry that has lost it to this one.
func (v *View) claimAddress(e *entry) (displaced *entry) {
	if e.Phase == PhaseDeleted || e.HostPort == "" {
		return nil
	}
	holder := v.addressOwners[e.HostPort]
	switch {
	case holder == nil:
	case e.supersedes(holder):
		holder.displaced = true
		displaced = holder
	default:
		e.displaced = true
		return nil
	}
	v.addressOwners[e.HostPort] = e
	return displaced
}

// supersedes tells that an entry's process has taken the other's address over.
func (e *entry) supersedes(other *entry) bool {
	if e.UpSince != other.UpSince {
		return e.UpSince > other.UpSince
	}
	if (e.Phase == PhaseDraining) != (other.Phase == PhaseDraining) {
		return other.Phase == PhaseDraining
	}
	return e.sequence > other.sequence
}

// state is what is to be made of an entry now.
func (e *entry) state() State {
	switch {
	case e.displaced, e.Phase == PhaseDeleted:
		return Gone
	case e.Phase == PhaseDraining:
		return Draining
	}
	return Serving
}

// collectChanges are those of all entries touched, what is not to be sent to first.
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
	for _, p := range updates {
		if state := p.state(); state != Serving {
			add(p.entry, state, !equalMembers(p.previous, p.current))
		}
	}
	for _, p := range updates {
		if p.state() == Serving {
			add(p.entry, Serving, !equalMembers(p.previous, p.current))
		}
	}
	return all
}
