package membership

import (
	"fmt"
	"maps"
	"reflect"
	"testing"

	"pgregory.net/rapid"
)

// rebuilt is the plain way to follow lists, against which the view is held: it
// keeps every line, and looks at all of them for each.
type rebuilt struct {
	lines []rebuiltLine // in the order in which they were told
}

type rebuiltLine struct {
	Member
	displaced bool
}

func (r *rebuilt) apply(list List) {
	told := map[string]Member{}
	var order []string
	for _, m := range list.Members {
		line := *m
		if line.HostPort == "" {
			line.HostPort = r.address(m.ID)
		}
		if _, again := told[m.ID]; again {
			order = remove(order, m.ID)
		}
		told[m.ID], order = line, append(order, m.ID)
	}
	var kept []rebuiltLine
	for _, l := range r.lines {
		if _, anew := told[l.ID]; !anew && !list.Complete {
			kept = append(kept, l)
		}
	}
	r.lines = kept
	for _, id := range order {
		if told[id].Phase != PhaseDeleted {
			r.add(told[id])
		}
	}
}

func (r *rebuilt) address(id string) string {
	for _, l := range r.lines {
		if l.ID == id {
			return l.HostPort
		}
	}
	return ""
}

func remove(order []string, id string) (rest []string) {
	for _, other := range order {
		if other != id {
			rest = append(rest, other)
		}
	}
	return rest
}

// add takes the newest line. The process that started last has the address; of
// equals the one that serves, then the one told last.
func (r *rebuilt) add(m Member) {
	line := rebuiltLine{Member: m}
	for i := range r.lines {
		other := &r.lines[i]
		if other.displaced || other.HostPort != m.HostPort || m.HostPort == "" {
			continue
		}
		older := other.UpSince > m.UpSince ||
			other.UpSince == m.UpSince && m.Phase == PhaseDraining && other.Phase != PhaseDraining
		if older {
			line.displaced = true
		} else {
			other.displaced = true
		}
	}
	r.lines = append(r.lines, line)
}

// seen is what one who only hears changes knows of a backend.
type seen struct {
	Member
	State State
}

func (r *rebuilt) state() map[string]seen {
	all := map[string]seen{}
	for _, l := range r.lines {
		switch {
		case l.displaced:
		case l.Phase == PhaseDraining:
			all[l.ID] = seen{l.Member, Draining}
		default:
			all[l.ID] = seen{l.Member, Serving}
		}
	}
	return all
}

// hear takes changes as one who only hears these.
func hear(t fataler, known map[string]seen, changes []Change) {
	serving := false
	for _, c := range changes {
		if c.State == Serving {
			serving = true
		} else if serving {
			t.Fatalf("%v comes behind what may be sent to", c.Member)
		}
		if c.State == Gone {
			if _, there := known[c.ID]; !there {
				t.Fatalf("%s is gone that never was", c.ID)
			}
			delete(known, c.ID)
			continue
		}
		if was, there := known[c.ID]; there && was == (seen{*c.Member, c.State}) {
			t.Fatalf("%+v is no change", was)
		}
		known[c.ID] = seen{*c.Member, c.State}
	}
}

type fataler interface{ Fatalf(string, ...any) }

// drawMember draws a line of few backends at few addresses, so that they meet.
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

// Any sequence of lists and changes, with addresses used again and backends that
// start again, ends in the same state as when all is rebuilt from the lines.
func TestViewEqualsThePlainRebuild(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		view, plain, known := NewView(), &rebuilt{}, map[string]seen{}
		var list List
		for range rapid.IntRange(1, 12).Draw(t, "lists") {
			if rapid.IntRange(0, 3).Draw(t, "again") > 0 || len(list.Members) == 0 {
				list = drawList(t, rapid.Bool().Draw(t, "complete"))
			}
			hear(t, known, view.Apply(list, nil))
			plain.apply(list)
			if want := plain.state(); !maps.Equal(known, want) {
				t.Fatalf("after %+v the changes come to\n%+v, want\n%+v", list, known, want)
			}
		}
	})
}

// A complete list stands for itself, whatever was told before, and changes
// nothing when it is told again.
func TestCompleteListLeavesNothingOfWhatWas(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		view, known := NewView(), map[string]seen{}
		for range rapid.IntRange(0, 6).Draw(t, "lists") {
			hear(t, known, view.Apply(drawList(t, rapid.Bool().Draw(t, "complete")), nil))
		}
		last := drawList(t, true)
		for _, m := range last.Members {
			if m.HostPort == "" {
				m.HostPort = "a:9" // else it would be where it was
			}
		}
		fresh := map[string]seen{}
		hear(t, fresh, NewView().Apply(last, nil))
		hear(t, known, view.Apply(last, nil))
		if !maps.Equal(known, fresh) {
			t.Fatalf("the changes come to\n%+v, a fresh start to\n%+v", known, fresh)
		}
		if again := view.Apply(last, nil); len(again) > 0 {
			t.Fatalf("told again, it changes %+v", again)
		}
	})
}

// The same lists give the same changes in the same order.
func TestChangesDoNotHangOnTheOrderOfMaps(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		one, two := NewView(), NewView()
		for range rapid.IntRange(1, 6).Draw(t, "lists") {
			list := drawList(t, rapid.Bool().Draw(t, "complete"))
			if a, b := one.Apply(list, nil), two.Apply(list, nil); !reflect.DeepEqual(a, b) {
				t.Fatalf("%+v and %+v", a, b)
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

// One change costs as many allocations in a large fleet as in a small one, and a
// complete list as many as what it changes.
func TestListCostsWhatItChanges(t *testing.T) {
	allocations := func(size int) (one, whole float64) {
		view := NewView()
		list := fleet(size)
		view.Apply(list, nil)
		phases := []string{PhaseDraining, PhaseServing}
		turn := 0
		change := func() *Member {
			turn++
			return &Member{ID: "s1", HostPort: "a:1", Phase: phases[turn%2], Size: 1}
		}
		one = testing.AllocsPerRun(100, func() { view.Apply(List{Members: []*Member{change()}}, nil) })
		whole = testing.AllocsPerRun(100, func() {
			list.Members[1] = change()
			if n := len(view.Apply(list, nil)); n != 1 {
				t.Fatalf("one changed line gives %d changes", n)
			}
		})
		return one, whole
	}
	oneSmall, wholeSmall := allocations(100)
	oneLarge, wholeLarge := allocations(10_000)
	if oneLarge > oneSmall || wholeLarge > wholeSmall {
		t.Errorf("a change takes %v allocations of 100 backends and %v of 10,000; a whole list %v and %v",
			oneSmall, oneLarge, wholeSmall, wholeLarge)
	}
}

// Work on a long list is interrupted often enough to let others run.
func TestLongListIsTakenInWithPauses(t *testing.T) {
	const size = 1000
	view, pauses := NewView(), 0
	view.Apply(fleet(size), func() { pauses++ })
	if pauses < 2*size/MembersPerPause {
		t.Errorf("%d pauses for %d lines, want one in %d lines, twice", pauses, size, MembersPerPause)
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
