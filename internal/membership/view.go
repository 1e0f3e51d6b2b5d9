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
	entries map[string]*entry // by id
	holders map[string]*entry // by address: the entry whose process listens there
	told    int64             // lines so far
	round   uint64            // number of the list being taken in
}

type entry struct {
	*Member
	order     int64  // place of its line among all that were told
	round     uint64 // the last list that named it
	slot      int    // its place among the lines of that list that may change something; -1: none
	displaced bool   // another member has its address
	known     State  // as last returned
}

// MembersPerPause is how many lines are taken between two calls of a pause.
const MembersPerPause = 32

// NewView returns a view without backends.
func NewView() *View {
	return &View{entries: map[string]*entry{}, holders: map[string]*entry{}}
}

// pending is a line that may change something.
type pending struct {
	*entry
	line   *Member
	before *Member // the line before; that of a new entry is its own
	isNew  bool
	order  int64
}

// Apply takes a list in and returns what it changes: what must not be sent to
// any more comes first. pause, which may be nil, is called now and then.
func (v *View) Apply(list List, pause func()) []Change {
	v.round++
	lines := v.compare(list, pause)
	var missing []*entry
	if list.Complete {
		missing = v.missing()
	}
	for _, e := range missing {
		v.release(e)
		delete(v.entries, e.ID)
	}
	for i := range lines {
		v.renew(&lines[i])
	}
	var displaced []*entry
	for i := range lines {
		if i%MembersPerPause == 0 {
			call(pause)
		}
		if other := v.claim(lines[i].entry); other != nil {
			displaced = append(displaced, other)
		}
	}
	return changes(missing, displaced, lines)
}

// compare returns the lines that differ from what is held, the last one of each
// member, in the order of the list.
func (v *View) compare(list List, pause func()) (lines []pending) {
	for i, m := range list.Members {
		if i%MembersPerPause == 0 {
			call(pause)
		}
		v.told++
		e, isNew := v.entries[m.ID], false
		switch {
		case e == nil:
			isNew = true
			e = &entry{Member: m, slot: -1}
			v.entries[m.ID] = e
		case e.round != v.round:
			e.slot = -1
			if list.Complete && !e.displaced && same(e.Member, m) {
				e.round, e.order = v.round, v.told
				continue
			}
		case e.slot >= 0: // a later line of the same list stands
			if isNew = lines[e.slot].isNew; isNew {
				e.Member = m
			}
			lines[e.slot].entry = nil
		}
		e.round, e.slot = v.round, len(lines)
		lines = append(lines, pending{entry: e, line: m, isNew: isNew, order: v.told})
	}
	return slices.DeleteFunc(lines, func(p pending) bool { return p.entry == nil })
}

func same(a, b *Member) bool { return a == b || *a == *b }

// missing returns what the complete list just compared does not name, in the
// order in which it was told.
func (v *View) missing() (entries []*entry) {
	for _, e := range v.entries {
		if e.round != v.round {
			entries = append(entries, e)
		}
	}
	slices.SortFunc(entries, func(a, b *entry) int { return cmp.Compare(a.order, b.order) })
	return entries
}

// release frees the address of an entry.
func (v *View) release(e *entry) {
	if v.holders[e.HostPort] == e {
		delete(v.holders, e.HostPort)
	}
}

// renew gives an entry its new line. A line that names no address leaves it
// where it was.
func (v *View) renew(p *pending) {
	v.release(p.entry)
	p.before = p.entry.Member
	if p.line.HostPort == "" && p.before.HostPort != "" {
		moved := *p.line
		moved.HostPort = p.before.HostPort
		p.line = &moved
	}
	p.entry.Member, p.entry.order, p.entry.displaced = p.line, p.order, false
	if p.line.Phase == PhaseDeleted {
		delete(v.entries, p.line.ID)
	}
}

// claim settles who has an entry's address. It returns the entry that has lost it to this one.
func (v *View) claim(e *entry) (displaced *entry) {
	if e.Phase == PhaseDeleted || e.HostPort == "" {
		return nil
	}
	holder := v.holders[e.HostPort]
	switch {
	case holder == nil:
	case e.after(holder):
		holder.displaced = true
		displaced = holder
	default:
		e.displaced = true
		return nil
	}
	v.holders[e.HostPort] = e
	return displaced
}

// after tells that an entry's process has taken the other's address over.
func (e *entry) after(other *entry) bool {
	if e.UpSince != other.UpSince {
		return e.UpSince > other.UpSince
	}
	if (e.Phase == PhaseDraining) != (other.Phase == PhaseDraining) {
		return other.Phase == PhaseDraining
	}
	return e.order > other.order
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

// changes are those of all entries touched, what is not to be sent to first.
func changes(missing, displaced []*entry, lines []pending) []Change {
	all := make([]Change, 0, len(missing)+len(displaced)+len(lines))
	add := func(e *entry, state State, anew bool) {
		if state != e.known || anew && state != Gone {
			all = append(all, Change{e.Member, state})
			e.known = state
		}
	}
	for _, e := range missing {
		add(e, Gone, false)
	}
	for _, e := range displaced {
		add(e, Gone, false)
	}
	for _, p := range lines {
		if state := p.state(); state != Serving {
			add(p.entry, state, !same(p.before, p.line))
		}
	}
	for _, p := range lines {
		if p.state() == Serving {
			add(p.entry, Serving, !same(p.before, p.line))
		}
	}
	return all
}
