// Package jsontext finds its way through JSON text without decoding it: where an
// object ends that comes piece by piece, and where the values of one begin and
// end. What is wrong inside of a value is left to the decoder of values.
package jsontext

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
)

// ErrSyntax tells that a text is not of the form that it should have.
var ErrSyntax = errors.New("it can't be read as JSON")

// Whitespace are the characters that may stand between values.
const Whitespace = " \t\r\n"

// Framer finds where a JSON object or array ends. It tells brackets from
// strings, and nothing else. Its zero value is at the beginning of a text.
type Framer struct {
	scanned      int // bytes looked at
	depth        int
	insideString bool
	escaped      bool
}

// Scan goes on in a text that may have grown. It returns where the object or
// array ends, 0 if that has not come yet, and -1 if the text begins with neither.
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

// scanStringByte takes a byte inside a string.
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

// Cursor is a place in a text.
type Cursor struct {
	Text   []byte
	Offset int
}

// SkipWhitespace goes on to what is not blank.
func (c *Cursor) SkipWhitespace() {
	for c.Offset < len(c.Text) && strings.IndexByte(Whitespace, c.Text[c.Offset]) >= 0 {
		c.Offset++
	}
}

// Accept goes behind a character, if that comes next but for blanks.
func (c *Cursor) Accept(want byte) bool {
	c.SkipWhitespace()
	if c.Offset < len(c.Text) && c.Text[c.Offset] == want {
		c.Offset++
		return true
	}
	return false
}

// DecodeValue decodes the value that comes next, and goes behind it.
func (c *Cursor) DecodeValue(into any) error {
	raw := c.RawValue(nil)
	if err := json.Unmarshal(raw, into); err != nil {
		return fmt.Errorf("%w: %w", ErrSyntax, err)
	}
	return nil
}

// bytesPerPause is how many bytes are passed between two calls of a pause.
const bytesPerPause = 32 << 10

// RawValue goes behind the value that comes next, and returns its text as far as its
// form tells. pause, if it is not nil, is called now and then.
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

// containerLength is the length of an object or array, or that of the text if it does not end.
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

// scalarLength is the length of a string, a number or a word.
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

// ForEachField goes through the fields of the object that comes next, and behind it.
// field is called at the value of each, and has to go behind that.
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

// ForEachElement goes through the elements of the array that comes next, and behind it.
// element is called at each, and has to go behind it.
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

// ExtractField returns the text of an object less the fields of one name, in any
// case of its letters, and the value of the last of these; nil if there is none.
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
