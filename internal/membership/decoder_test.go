package membership

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"reflect"
	"strings"
	"testing"
	"testing/iotest"

	"pgregory.net/rapid"

	"cedarseam/internal/jsontext"
)

const testMaxListBytes = 1 << 20

// drawText draws a list and one of the forms in which it may come.
func drawText(t *rapid.T) (text []byte, list List) {
	list = drawList(t, rapid.Bool().Draw(t, "complete"))
	list.Revision = int64(rapid.IntRange(1, 99).Draw(t, "revision"))
	for _, m := range list.Members {
		m.Locality = rapid.SampledFrom([]string{"", "a", `"}]\`, "é{"}).Draw(t, "zone")
	}
	var err error
	switch rapid.IntRange(0, 2).Draw(t, "form") {
	case 0:
		text, err = json.Marshal(list)
	case 1:
		text, err = json.MarshalIndent(list, " ", "\t")
	default:
		fields := map[string]any{"Members": list.Members, "complete": list.Complete, "REVISION": list.Revision,
			"more": map[string]any{"members": []int{1, 2}, "x": "]}"}}
		text, err = json.Marshal(fields)
	}
	if err != nil {
		t.Fatalf("%v", err)
	}
	return text, list
}

// equalLists compares what lists say. No members and an empty array are alike.
func equalLists(a, b List) bool {
	if len(a.Members) == 0 && len(b.Members) == 0 {
		a.Members, b.Members = nil, nil
	}
	return reflect.DeepEqual(a, b)
}

// Lists are read in whatever form and parts they come, with a memo of the lists
// before or without one.
func TestDecoderStream(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var stream bytes.Buffer
		var want []List
		for range rapid.IntRange(1, 6).Draw(t, "lists") {
			text, list := drawText(t)
			copies := rapid.IntRange(1, 2).Draw(t, "times")
			for range copies {
				stream.Write(text)
				stream.WriteString(rapid.SampledFrom([]string{"", "\n", "\n\n \n"}).Draw(t, "between"))
				want = append(want, list)
			}
		}
		reader := io.Reader(&stream)
		if rapid.Bool().Draw(t, "bytewise") {
			reader = iotest.OneByteReader(reader)
		}
		d := NewDecoder(reader, testMaxListBytes, &DecodeCache{})
		for i, list := range want {
			if got, err := d.Next(0); err != nil || !equalLists(got, list) {
				t.Fatalf("list %d is read as %+v, %v; want %+v", i, got, err, list)
			}
		}
		if got, err := d.Next(0); !errors.Is(err, io.EOF) {
			t.Fatalf("behind the last list comes %+v, %v", got, err)
		}
	})
}

func TestDecoderDefaultRevision(t *testing.T) {
	d := NewDecoder(strings.NewReader(`{"members":null} {}`), testMaxListBytes, &DecodeCache{})
	for range 2 {
		if l, err := d.Next(7); err != nil || l.Revision != 7 || l.Complete || len(l.Members) > 0 {
			t.Errorf("%+v, %v", l, err)
		}
	}
}

func TestDecodeMalformedInput(t *testing.T) {
	for _, text := range []string{"x", "[]", "5", `"{}"`, "{]", "{,}", `{"revision":1,}`, `{"revision" 1}`, `{"revision":1 2}`,
		`{"revision":x}`, `{"revision":"1"}`, `{"members":{}}`, `{"members":5}`, `{"members":[{},]}`, `{"members":[{} {}]}`,
		`{"members":[5]}`, `{"members":[{"id":5}]}`, `{"members":[{"id"]}]}`, `{5:6}`, `{"unknown":[}]`, `{"unknown":nul}`, "}"} {
		if l, err := Decode([]byte(text), &DecodeCache{}); !errors.Is(err, jsontext.ErrSyntax) {
			t.Errorf("%s is read as %+v, %v", text, l, err)
		}
	}
}

func TestDecodeUnterminatedList(t *testing.T) {
	endless := io.MultiReader(strings.NewReader(`{"members":[`), iotest.DataErrReader(strings.NewReader(strings.Repeat(`{},`, testMaxListBytes))))
	if _, err := NewDecoder(endless, testMaxListBytes, &DecodeCache{}).Next(0); !errors.Is(err, ErrTooLong) {
		t.Errorf("the error is %v, want ErrTooLong", err)
	}
	if _, err := Decode([]byte(`{"members":[{}`), &DecodeCache{}); !errors.Is(err, io.EOF) {
		t.Errorf("the error of half a list is %v, want io.EOF", err)
	}
}

// chunkReader gives one part at each read.
type chunkReader []string

func (p *chunkReader) Read(b []byte) (int, error) {
	if len(*p) == 0 {
		return 0, io.EOF
	}
	n := copy(b, (*p)[0])
	*p = (*p)[1:]
	return n, nil
}

// An empty line, and the start of a list, are told at once; blanks inside a list are neither.
func TestDecoderCallbacks(t *testing.T) {
	var events []string
	stream := &chunkReader{"\n", " ", "\r\n", "{", "\n", `"revision":1`, "}\n", "\n", `{"revision":2}{`, `"revision":3}`}
	d := NewDecoder(stream, testMaxListBytes, &DecodeCache{})
	d.OnEmptyLine = func() { events = append(events, "empty") }
	d.OnListStart = func() { events = append(events, "begun") }
	for {
		l, err := d.Next(0)
		if err != nil {
			break
		}
		events = append(events, fmt.Sprint(l.Revision))
	}
	if got, want := fmt.Sprint(events), "[empty empty begun 1 empty begun 2 begun 3]"; got != want {
		t.Errorf("told %s, want %s", got, want)
	}
}

// A complete list that names what the one before named costs as many allocations
// in a large fleet as in a small one.
func TestDecodeCacheReusesUnchangedMembers(t *testing.T) {
	allocations := func(size int) float64 {
		list := fleet(size)
		memo := &DecodeCache{}
		iteration := 0
		return testing.AllocsPerRun(20, func() {
			iteration++
			list.Members[size/2].Size = float64(iteration)
			text, err := json.Marshal(list)
			if err != nil {
				t.Fatal(err)
			}
			before := memo.members
			got, err := Decode(text, memo)
			if err != nil || len(got.Members) != size || got.Members[size/2].Size != float64(iteration) {
				t.Fatalf("%d members, %v", len(got.Members), err)
			}
			for i, m := range got.Members {
				if len(before) > 0 && (m == before[i].Member) != (i != size/2) {
					t.Fatalf("line %d of %d was decoded again, or not at all", i, size)
				}
			}
		})
	}
	// Both grow with the text, in steps; lines that were decoded anew would cost several each.
	if small, large := allocations(100), allocations(10_000); large > small+100 {
		t.Errorf("%v allocations for 100 lines, %v for 10,000", small, large)
	}
}

// Lines that come, go, and change places are read right beside those that stand again.
func TestDecodeCacheWithReorderedMembers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		memo := &DecodeCache{}
		for range 3 {
			list := List{Complete: true}
			for _, i := range rapid.SliceOfN(rapid.IntRange(0, 200), 0, 2*minMembersForIndex).Draw(t, "lines") {
				list.Members = append(list.Members, &Member{ID: fmt.Sprint(i), Size: float64(rapid.IntRange(0, 1).Draw(t, "size"))})
			}
			text, err := json.Marshal(list)
			if err != nil {
				t.Fatalf("%v", err)
			}
			if got, err := Decode(text, memo); err != nil || !equalLists(got, list) {
				t.Fatalf("%s is read as %+v, %v", text, got, err)
			}
		}
	})
}

// Whatever comes, a memo changes nothing of what is read.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"complete":true,"members":[{"id":"a"},{"id":"b"}]}`), []byte(`{"complete":true,"members":[{"id":"b"},{"id":"a"}]}`))
	f.Add([]byte(`{"complete":true,"members":[{"id":"a"}]}`), []byte(`{"members":[{"id":"a"}x]}`))
	f.Add([]byte(`{"complete":true,"members":[null,{}]}`), []byte(`{"members":[null],"members":[{"id":""}]}`))
	f.Fuzz(func(t *testing.T, first, second []byte) {
		memo := &DecodeCache{}
		Decode(first, memo)
		got, gotErr := Decode(second, memo)
		want, wantErr := Decode(second, &DecodeCache{})
		if (gotErr == nil) != (wantErr == nil) || !equalLists(got, want) {
			t.Errorf("with a memo %+v, %v; without %+v, %v", got, gotErr, want, wantErr)
		}
	})
}

func BenchmarkDecode(b *testing.B) {
	for _, size := range []int{1500, 12_000, 24_000} {
		text, err := json.Marshal(fleet(size))
		if err != nil {
			b.Fatal(err)
		}
		for name, memo := range map[string]*DecodeCache{"first": nil, "again": {}} {
			b.Run(fmt.Sprint(name, "/", size), func(b *testing.B) {
				b.SetBytes(int64(len(text)))
				b.ReportAllocs()
				for b.Loop() {
					used := memo
					if used == nil {
						used = &DecodeCache{}
					}
					if _, err := Decode(text, used); err != nil {
						b.Fatal(err)
					}
				}
			})
		}
	}
}
