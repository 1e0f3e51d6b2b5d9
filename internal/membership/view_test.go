package membership

import (
	"fmt"
	"maps"
	"reflect"
	"testing"

	"pgregory.net/rapid"
)

// referenceView is a simple implementation of View that tests compare View with. It
// searches all entries for each member of a list.
type referenceView struct {
	entries []referenceEntry // in the order in which they were last announced
}

type referenceEntry struct {
	Member
	displaced bool
}

func (r *referenceView) apply(list List) {
	updated := map[string]Member{}
	var order []string
	for _, m := range list.Members {
		member := *m
		if member.HostPort == "" {
			member.HostPort = r.addressOf(m.ID)
		}
		if _, repeated := updated[m.ID]; repeated {
			order = removeID(order, m.ID)
		}
		updated[m.ID], order = member, append(order, m.ID)
	}
	var kept []referenceEntry
	for _, e := range r.entries {
		if _, inList := updated[e.ID]; !inList && !list.Complete {
			kept = append(kept, e)
		}
	}
	r.entries = kept
	for _, id := range order {
		if updated[id].Phase != PhaseDeleted {
			r.add(updated[id])
		}
	}
}

func (r *referenceView) addressOf(id string) string {
	for _, e := range r.entries {
		if e.ID == id {
			return e.HostPort
		}
	}
	return ""
}

func removeID(order []string, id string) (rest []string) {
	for _, other := range order {
		if other != id {
			rest = append(rest, other)
		}
	}
	return rest
}

// add adds the member announced last. An address belongs to the member that started
// last; of equals to one that is not draining, then to the one announced last.
func (r *referenceView) add(m Member) {
	added := referenceEntry{Member: m}
	for i := range r.entries {
		other := &r.entries[i]
		if other.displaced || other.HostPort != m.HostPort || m.HostPort == "" {
			continue
		}
		otherOwns := other.UpSince > m.UpSince ||
			other.UpSince == m.UpSince && m.Phase == PhaseDraining && other.Phase != PhaseDraining
		if otherOwns {
			added.displaced = true
		} else {
			other.displaced = true
		}
	}
	r.entries = append(r.entries, added)
}

// observedBackend is a backend as known from the changes that Apply returned.
type observedBackend struct {
	Member
	State State
}

func (r *referenceView) observable() map[string]observedBackend {
	all := map[string]observedBackend{}
	for _, e := range r.entries {
		switch {
		case e.displaced:
		case e.Phase == PhaseDraining:
			all[e.ID] = observedBackend{e.Member, Draining}
		default:
			all[e.ID] = observedBackend{e.Member, Serving}
		}
	}
	return all
}

// applyChanges applies changes to the observed backends. It fails the test on a
// change that is out of order, redundant, or removes an unknown backend.
func applyChanges(t fatalReporter, known map[string]observedBackend, changes []Change) {
	serving := false
	for _, c := range changes {
		if c.State == Serving {
			serving = true
		} else if serving {
			t.Fatalf("change of %v follows a serving backend, want serving backends last", c.Member)
		}
		if c.State == Gone {
			if _, tracked := known[c.ID]; !tracked {
				t.Fatalf("unknown backend %s is reported as gone", c.ID)
			}
			delete(known, c.ID)
			continue
		}
		if previous, tracked := known[c.ID]; tracked && previous == (observedBackend{*c.Member, c.State}) {
			t.Fatalf("%+v is reported again without a change", previous)
		}
		known[c.ID] = observedBackend{*c.Member, c.State}
	}
}

type fatalReporter interface{ Fatalf(string, ...any) }

// drawMember draws one of a few backends at one of a few addresses, so that they collide.
func drawMember(t *rapid.T) *Member {
	return &Member{
		ID:       fmt.Sprint("s", rapid.IntRange(0, 5).Draw(t, "id")),
		HostPort: rapid.SampledFrom([]string{"", "a:1", "a:2", "a:3"}).Draw(t, "address"),
		Phase:    rapid.SampledFrom([]string{PhaseServing, PhaseServing, PhaseDraining, PhaseDeleted}).Draw(t, "phase"),
		Size:     float64(rapid.IntRange(1, 2).Draw(t, "size")),
		UpSince:  int64(rapid.IntRange(0, 2).Draw(t, "start")),
	}
}

func drawList(t *rapid.T, complete bool) List {
	return List{Complete: complete, Members: rapid.SliceOfN(rapid.Custom(drawMember), 0, 8).Draw(t, "members")}
}

// Any sequence of complete lists and deltas, with reused addresses and restarted
// backends, leads to the same state as the reference implementation.
func TestViewMatchesReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		view, reference, known := NewView(), &referenceView{}, map[string]observedBackend{}
		var list List
		for range rapid.IntRange(1, 12).Draw(t, "lists") {
			if rapid.IntRange(0, 3).Draw(t, "again") > 0 || len(list.Members) == 0 {
				list = drawList(t, rapid.Bool().Draw(t, "complete"))
			}
			applyChanges(t, known, view.Apply(list, nil))
			reference.apply(list)
			if want := reference.observable(); !maps.Equal(known, want) {
				t.Fatalf("after list %+v the observed backends are\n%+v, want\n%+v", list, known, want)
			}
		}
	})
}

// A complete list leads to the same state whatever lists came before, and applying
// it a second time changes nothing.
func TestCompleteListReplacesState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		view, known := NewView(), map[string]observedBackend{}
		for range rapid.IntRange(0, 6).Draw(t, "lists") {
			applyChanges(t, known, view.Apply(drawList(t, rapid.Bool().Draw(t, "complete")), nil))
		}
		last := drawList(t, true)
		for _, m := range last.Members {
			if m.HostPort == "" {
				m.HostPort = "a:9" // an empty address would keep the previous one
			}
		}
		fresh := map[string]observedBackend{}
		applyChanges(t, fresh, NewView().Apply(last, nil))
		applyChanges(t, known, view.Apply(last, nil))
		if !maps.Equal(known, fresh) {
			t.Fatalf("the observed backends are\n%+v, with a new view\n%+v", known, fresh)
		}
		if repeated := view.Apply(last, nil); len(repeated) > 0 {
			t.Fatalf("the second application changes %+v", repeated)
		}
	})
}

// The same lists give the same changes in the same order, whatever the iteration order of maps.
func TestChangesAreDeterministic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		first, second := NewView(), NewView()
		for range rapid.IntRange(1, 6).Draw(t, "lists") {
			list := drawList(t, rapid.Bool().Draw(t, "complete"))
			if a, b := first.Apply(list, nil), second.Apply(list, nil); !reflect.DeepEqual(a, b) {
				t.Fatalf("two views return different changes: %+v and %+v", a, b)
			}
		}
	})
}

func fleet(size int) List {
	list := List{Complete: true}
	for i := range size {
		list.Members = append(list.Members, &Member{ID: fmt.Sprint("s", i), HostPort: fmt.Sprint("a:", i), Phase: PhaseServing, Size: 1})
	}
	return list
}

// Applying one changed member, as a delta or in a complete list, takes no more
// allocations with many backends than with few.
func TestApplyAllocations(t *testing.T) {
	allocations := func(size int) (one, whole float64) {
		view := NewView()
		list := fleet(size)
		view.Apply(list, nil)
		phases := []string{PhaseDraining, PhaseServing}
		iteration := 0
		change := func() *Member {
			iteration++
			return &Member{ID: "s1", HostPort: "a:1", Phase: phases[iteration%2], Size: 1}
		}
		one = testing.AllocsPerRun(100, func() { view.Apply(List{Members: []*Member{change()}}, nil) })
		whole = testing.AllocsPerRun(100, func() {
			list.Members[1] = change()
			if n := len(view.Apply(list, nil)); n != 1 {
				t.Fatalf("one changed member gives %d changes", n)
			}
		})
		return one, whole
	}
	oneSmall, wholeSmall := allocations(100)
	oneLarge, wholeLarge := allocations(10_000)
	if oneLarge > oneSmall || wholeLarge > wholeSmall {
		t.Errorf("a delta takes %v allocations with 100 backends and %v with 10,000; a complete list %v and %v",
			oneSmall, oneLarge, wholeSmall, wholeLarge)
	}
}

// Applying a long list must not keep the processor from other goroutines.
func TestApplyCallsPause(t *testing.T) {
	const size = 1000
	view, pauses := NewView(), 0
	view.Apply(fleet(size), func() { pauses++ })
	if pauses < 2*size/MembersPerPause {
		t.Errorf("%d pauses for %d members, want 2 per %d", pauses, size, MembersPerPause)
	}
}

func BenchmarkApply(b *testing.B) {
	for _, size := range []int{1500, 12_000, 24_000} {
		list := fleet(size)
		b.Run(fmt.Sprint("unchanged/", size), func(b *testing.B) {
			view := NewView()
			view.Apply(list, nil)
			b.ReportAllocs()
			for b.Loop() {
				view.Apply(list, nil)
			}
		})
		b.Run(fmt.Sprint("one/", size), func(b *testing.B) {
			view := NewView()
			view.Apply(list, nil)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				m := *list.Members[i%size]
				m.Size = float64(i)
				view.Apply(List{Members: []*Member{&m}}, nil)
			}
		})
	}
}
