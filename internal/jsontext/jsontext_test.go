package jsontext

import (
	"encoding/json"
	"errors"
	"reflect"
	"testing"

	"pgregory.net/rapid"
)

// drawValue draws a value of the types that encoding/json decodes into any.
func drawValue(t *rapid.T, depth int) any {
	kinds := 6
	if depth == 0 {
		kinds = 4
	}
	switch rapid.IntRange(0, kinds-1).Draw(t, "kind") {
	case 0:
		return nil
	case 1:
		return rapid.Bool().Draw(t, "bool")
	case 2:
		return float64(rapid.IntRange(-99, 99).Draw(t, "number")) / 4
	case 3:
		return rapid.SampledFrom([]string{"", "a", `"`, `\`, `]}`, `{[,:`, "é\n"}).Draw(t, "text")
	case 4:
		list := []any{}
		for range rapid.IntRange(0, 3).Draw(t, "elements") {
			list = append(list, drawValue(t, depth-1))
		}
		return list
	}
	return drawObject(t, depth-1)
}

func drawObject(t *rapid.T, depth int) map[string]any {
	object := map[string]any{}
	for range rapid.IntRange(0, 4).Draw(t, "fields") {
		object[rapid.SampledFrom([]string{"a", "b", "known", "KNOWN", `"}`}).Draw(t, "name")] = drawValue(t, depth)
	}
	return object
}

func drawText(t *rapid.T, object map[string]any) []byte {
	text, err := json.Marshal(object)
	if rapid.Bool().Draw(t, "indented") {
		text, err = json.MarshalIndent(object, "\t", " \r\n")
	}
	if err != nil {
		t.Fatalf("%v", err)
	}
	return text
}

func TestFramerChunkedInput(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := drawText(t, drawObject(t, 3))
		all := append(append([]byte{}, text...), `{"more":1}`...)
		var f Framer
		for seen := 0; ; seen = min(len(all), seen+rapid.IntRange(1, 9).Draw(t, "chunk")) {
			if end := f.Scan(all[:seen]); end == len(text) {
				return
			} else if end != 0 || seen == len(all) {
				t.Fatalf("Scan of %q = %d after %d bytes, want %d", all, end, seen, len(text))
			}
		}
	})
}

func TestFramerRejectsOtherText(t *testing.T) {
	for _, text := range []string{"x", `"{}"`, "1", " {}"} {
		if end := new(Framer).Scan([]byte(text)); end != -1 {
			t.Errorf("Scan of %q = %d, want -1", text, end)
		}
	}
}

func TestExtractField(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		object := drawObject(t, 3)
		pauses := 0
		rest, value, err := ExtractField(drawText(t, object), "known", func() { pauses++ })
		if err != nil {
			t.Fatalf("%v", err)
		}
		lower, upper := object["known"], object["KNOWN"]
		delete(object, "known")
		delete(object, "KNOWN")
		got := map[string]any{}
		if err := json.Unmarshal(rest, &got); err != nil || !reflect.DeepEqual(got, object) {
			t.Fatalf("remaining object is %s, error %v; want %v", rest, err, object)
		}
		var known any
		if value != nil {
			if err := json.Unmarshal(value, &known); err != nil {
				t.Fatalf("%s: %v", value, err)
			}
		}
		if !reflect.DeepEqual(known, lower) && !reflect.DeepEqual(known, upper) {
			t.Fatalf("extracted value is %s, want %v or %v", value, lower, upper)
		}
	})
}

func TestExtractFieldMalformedInput(t *testing.T) {
	for _, text := range []string{"", "[]", "{", `{"a"}`, `{"a":1,}`, `{"a":1 "b":2}`, `{a:1}`, `{"a":1}x`, `{"a":1]`, `{5:1}`} {
		if rest, _, err := ExtractField([]byte(text), "known", nil); !errors.Is(err, ErrSyntax) {
			t.Errorf("ExtractField of %q = %s, error %v; want ErrSyntax", text, rest, err)
		}
	}
}

// Scanning a long value must not keep the processor from other goroutines.
func TestExtractFieldCallsPause(t *testing.T) {
	list := make([]int, 100_000)
	text, err := json.Marshal(map[string]any{"known": list, "a": 1})
	if err != nil {
		t.Fatal(err)
	}
	pauses := 0
	rest, value, err := ExtractField(text, "known", func() { pauses++ })
	if err != nil || string(rest) != `{"a":1}` || pauses < len(value)/bytesPerPause {
		t.Errorf("remaining object is %s, error %v, with %d pauses in %d bytes", rest, err, pauses, len(value))
	}
}
