// Package jsontext scans JSON text without decoding it. A [Framer] finds the end
// of an object or array that arrives in chunks, and a [Cursor] steps through the
// values of an object or array. Errors inside a value are left to encoding/json.
package jsontext

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
)

// ErrSyntax reports text that is not valid JSON, or not JSON of the expected kind.
var ErrSyntax = errors.New("malformed or unexpected JSON")

// Whitespace holds the characters that JSON allows between tokens.
const Whitespace = " \t\r\n"

// Framer finds the end of a JSON object or array. It counts the brackets outside
// strings and checks nothing else, so the framed text may still be invalid. The
// zero value is ready to scan a text from its start.
type Framer struct {
	scanned      int // bytes scanned so far
	depth        int
	insideString bool
	escaped      bool
}

// Scan continues where the previous call stopped; text is the same text, possibly
// longer. It returns the offset behind the object or array, 0 if its end has not
// arrived yet, and -1 if the text starts with neither.
func (f *Framer) Scan(text []byte) int {
	for ; f.scanned < len(text); f.scanned++ {
		c := text[f.scanned]
		switch {
		case f.insideString:
			f.scanStringByte(c)
		case c == '"':
			f.insideString = true
		case c == '{' || c == '[':
			f.depth++
		case c == '}' || c == ']':
			f.depth--
			if f.depth <= 0 {
				f.scanned++
				return f.scanned
			}
		}
		if f.depth == 0 {
			return -1
		}
	}
	return 0
}

// scanStringByte processes one byte inside a string.
func (f *Framer) scanStringByte(c byte) {
	switch {
	case f.escaped:
		f.escaped = false
	case c == '\\':
		f.escaped = true
	case c == '"':
		f.insideString = false
	}
}

// Cursor is a read position in a JSON text.
type Cursor struct {
	Text   []byte
	Offset int
}

// SkipWhitespace advances to the next byte that is not whitespace.
func (c *Cursor) SkipWhitespace() {
	for c.Offset < len(c.Text) && strings.IndexByte(Whitespace, c.Text[c.Offset]) >= 0 {
		c.Offset++
	}
}

// Accept skips whitespace and then the byte want, if that is next. It reports
// whether it was.
func (c *Cursor) Accept(want byte) bool {
	c.SkipWhitespace()
	if c.Offset < len(c.Text) && c.Text[c.Offset] == want {
		c.Offset++
		return true
	}
	return false
}

// DecodeValue decodes the next value and advances past it.
func (c *Cursor) DecodeValue(into any) error {
	raw := c.RawValue(nil)
	if err := json.Unmarshal(raw, into); err != nil {
		return fmt.Errorf("%w: %w", ErrSyntax, err)
	}
	return nil
}

// bytesPerPause is the number of bytes scanned between two calls of pause.
const bytesPerPause = 32 << 10

// RawValue advances past the next value and returns its text. The value is
// delimited by its brackets, quotes or separators only and may be invalid JSON.
// pause, unless nil, is called at intervals while a long value is scanned.
func (c *Cursor) RawValue(pause func()) []byte {
	c.SkipWhitespace()
	start := c.Offset
	rest := c.Text[start:]
	if len(rest) > 0 && (rest[0] == '{' || rest[0] == '[') {
		c.Offset += containerLength(rest, pause)
	} else {
		c.Offset += scalarLength(rest)
	}
	return c.Text[start:c.Offset]
}

// containerLength returns the length of the object or array at the start of text,
// or the length of text if the end is missing.
func containerLength(text []byte, pause func()) int {
	var f Framer
	for seen := 0; seen < len(text); {
		if pause != nil {
			pause()
		}
		seen = min(seen+bytesPerPause, len(text))
		if end := f.Scan(text[:seen]); end > 0 {
			return end
		}
	}
	return len(text)
}

// scalarLength returns the length of the string, number or literal at the start of text.
func scalarLength(text []byte) int {
	var f Framer
	for i, c := range text {
		switch {
		case f.insideString:
			if f.scanStringByte(c); !f.insideString {
				return i + 1
			}
		case c == '"' && i == 0:
			f.insideString = true
		case strings.IndexByte(",:]}"+Whitespace, c) >= 0:
			return i
		}
	}
	return len(text)
}

// ForEachField iterates over the fields of the next object and advances past it.
// It calls field with the cursor at the value of each; field must advance past
// that value.
func (c *Cursor) ForEachField(field func(name string) error) error {
	if !c.Accept('{') {
		return ErrSyntax
	}
	if c.Accept('}') {
		return nil
	}
	for {
		var name string
		if err := c.DecodeValue(&name); err != nil || !c.Accept(':') {
			return ErrSyntax
		}
		if err := field(name); err != nil {
			return err
		}
		if c.Accept('}') {
			return nil
		}
		if !c.Accept(',') {
			return ErrSyntax
		}
	}
}

// ForEachElement iterates over the elements of the next array and advances past it.
// It calls element with the cursor at each of them; element must advance past it.
func (c *Cursor) ForEachElement(element func() error) error {
	if !c.Accept('[') {
		return ErrSyntax
	}
	if c.Accept(']') {
		return nil
	}
	for {
		if err := element(); err != nil {
			return err
		}
		if c.Accept(']') {
			return nil
		}
		if !c.Accept(',') {
			return ErrSyntax
		}
	}
}

// ExtractField removes all fields with the given name from an object; names are
// compared without regard to case, as encoding/json does. It returns the text of
// the remaining object and the value of the last field removed, nil if there was
// none. pause, unless nil, is called at intervals while a long value is scanned.
func ExtractField(text []byte, name string, pause func()) (rest, value []byte, err error) {
	c := Cursor{Text: text}
	rest = append(rest, '{')
	err = c.ForEachField(func(found string) error {
		raw := c.RawValue(pause)
		if strings.EqualFold(found, name) {
			value = raw
			return nil
		}
		if len(rest) > 1 {
			rest = append(rest, ',')
		}
		quoted, err := json.Marshal(found)
		if err != nil {
			return err
		}
		rest = append(append(append(rest, quoted...), ':'), raw...)
		return nil
	})
	if err != nil {
		return nil, nil, err
	}
	if c.SkipWhitespace(); c.Offset < len(text) {
		return nil, nil, ErrSyntax
	}
	return append(rest, '}'), value, nil
}
