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

// drawText draws a list and one of its possible encodings.
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

// equalLists compares two lists. Null members and an empty array are equal.
func equalLists(a, b List) bool {
	if len(a.Members) == 0 && len(b.Members) == 0 {
		a.Members, b.Members = nil, nil
	}
	return reflect.DeepEqual(a, b)
}

// Lists are decoded correctly in any encoding and split into any chunks, whether or
// not an earlier list is in the cache.
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
				t.Fatalf("list %d is decoded as %+v, error %v; want %+v", i, got, err, list)
			}
		}
		if got, err := d.Next(0); !errors.Is(err, io.EOF) {
			t.Fatalf("after the last list Next = %+v, %v; want io.EOF", got, err)
		}
	})
}

func TestDecoderDefaultRevision(t *testing.T) {
	d := NewDecoder(strings.NewReader(`{"members":null} {}`), testMaxListBytes, &DecodeCache{})
	for range 2 {
		if l, err := d.Next(7); err != nil || l.Revision != 7 || l.Complete || len(l.Members) > 0 {
			t.Errorf("Next(7) = %+v, %v; want an empty delta of revision 7", l, err)
		}
	}
}

func TestDecodeMalformedInput(t *testing.T) {
	for _, text := range []string{"x", "[]", "5", `"{}"`, "{]", "{,}", `{"revision":1,}`, `{"revision" 1}`, `{"revision":1 2}`,
		`{"revision":x}`, `{"revision":"1"}`, `{"members":{}}`, `{"members":5}`, `{"members":[{},]}`, `{"members":[{} {}]}`,
		`{"members":[5]}`, `{"members":[{"id":5}]}`, `{"members":[{"id"]}]}`, `{5:6}`, `{"unknown":[}]`, `{"unknown":nul}`, "}"} {
		if l, err := Decode([]byte(text), &DecodeCache{}); !errors.Is(err, jsontext.ErrSyntax) {
			t.Errorf("%s is decoded as %+v, error %v; want ErrSyntax", text, l, err)
		}
	}
}

func TestDecodeUnterminatedList(t *testing.T) {
	endless := io.MultiReader(strings.NewReader(`{"members":[`), iotest.DataErrReader(strings.NewReader(strings.Repeat(`{},`, testMaxListBytes))))
	if _, err := NewDecoder(endless, testMaxListBytes, &DecodeCache{}).Next(0); !errors.Is(err, ErrTooLong) {
		t.Errorf("error of an endless list is %v, want ErrTooLong", err)
	}
	if _, err := Decode([]byte(`{"members":[{}`), &DecodeCache{}); !errors.Is(err, io.EOF) {
		t.Errorf("error of a truncated list is %v, want io.EOF", err)
	}
}

// chunkReader returns one chunk per read.
type chunkReader []string

func (r *chunkReader) Read(b []byte) (int, error) {
	if len(*r) == 0 {
		return 0, io.EOF
	}
	n := copy(b, (*r)[0])
	*r = (*r)[1:]
	return n, nil
}

// An empty line and the start of a list are reported as soon as they arrive.
// Whitespace inside a list is reported as neither.
func TestDecoderCallbacks(t *testing.T) {
	var events []string
	stream := &chunkReader{"\n", " ", "\r\n", "{", "\n", `"revision":1`, "}\n", "\n", `{"revision":2}{`, `"revision":3}`}
	d := NewDecoder(stream, testMaxListBytes, &DecodeCache{})
	d.OnEmptyLine = func() { events = append(events, "empty") }
	d.OnListStart = func() { events = append(events, "start") }
	for {
		l, err := d.Next(0)
		if err != nil {
			break
		}
		events = append(events, fmt.Sprint(l.Revision))
	}
	if got, want := fmt.Sprint(events), "[empty empty start 1 empty start 2 start 3]"; got != want {
		t.Errorf("events are %s, want %s", got, want)
	}
}

// Decoding a complete list with one changed member takes about as many allocations
// for a long list as for a short one.
func TestDecodeCacheReusesUnchangedMembers(t *testing.T) {
	allocations := func(size int) float64 {
		list := fleet(size)
		cache := &DecodeCache{}
		iteration := 0
		return testing.AllocsPerRun(20, func() {
			iteration++
			list.Members[size/2].Size = float64(iteration)
			text, err := json.Marshal(list)
			if err != nil {
				t.Fatal(err)
			}
			before := cache.members
			got, err := Decode(text, cache)
			if err != nil || len(got.Members) != size || got.Members[size/2].Size != float64(iteration) {
				t.Fatalf("decoded %d members, error %v", len(got.Members), err)
			}
			for i, m := range got.Members {
				if len(before) > 0 && (m == before[i].Member) != (i != size/2) {
					t.Fatalf("member %d of %d: an unchanged member was decoded again, or a changed one was not", i, size)
				}
			}
		})
	}
	// The buffers that grow with the text account for the tolerance of 100. Each member
	// that is decoded again takes several allocations.
	if small, large := allocations(100), allocations(10_000); large > small+100 {
		t.Errorf("%v allocations for 100 members, %v for 10,000", small, large)
	}
}

// Members that are added, removed, moved or repeated are decoded correctly beside cached ones.
func TestDecodeCacheWithReorderedMembers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cache := &DecodeCache{}
		for range 3 {
			list := List{Complete: true}
			for _, i := range rapid.SliceOfN(rapid.IntRange(0, 200), 0, 2*minMembersForIndex).Draw(t, "ids") {
				list.Members = append(list.Members, &Member{ID: fmt.Sprint(i), Size: float64(rapid.IntRange(0, 1).Draw(t, "size"))})
			}
			text, err := json.Marshal(list)
			if err != nil {
				t.Fatalf("%v", err)
			}
			if got, err := Decode(text, cache); err != nil || !equalLists(got, list) {
				t.Fatalf("%s is decoded as %+v, error %v", text, got, err)
			}
		}
	})
}

// For any two inputs the cache filled by the first does not affect the result of the second.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"complete":true,"members":[{"id":"a"},{"id":"b"}]}`), []byte(`{"complete":true,"members":[{"id":"b"},{"id":"a"}]}`))
	f.Add([]byte(`{"complete":true,"members":[{"id":"a"}]}`), []byte(`{"members":[{"id":"a"}x]}`))
	f.Add([]byte(`{"complete":true,"members":[null,{}]}`), []byte(`{"members":[null],"members":[{"id":""}]}`))
	f.Fuzz(func(t *testing.T, first, second []byte) {
		cache := &DecodeCache{}
		Decode(first, cache)
		got, gotErr := Decode(second, cache)
		want, wantErr := Decode(second, &DecodeCache{})
		if (gotErr == nil) != (wantErr == nil) || !equalLists(got, want) {
			t.Errorf("with a cache %+v, %v; without %+v, %v", got, gotErr, want, wantErr)
		}
	})
}

func BenchmarkDecode(b *testing.B) {
	for _, size := range []int{1500, 12_000, 24_000} {
		text, err := json.Marshal(fleet(size))
		if err != nil {
			b.Fatal(err)
		}
		for name, cache := range map[string]*DecodeCache{"first": nil, "again": {}} {
			b.Run(fmt.Sprint(name, "/", size), func(b *testing.B) {
				b.SetBytes(int64(len(text)))
				b.ReportAllocs()
				for b.Loop() {
					used := cache
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
