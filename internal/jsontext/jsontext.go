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

// Blanks are the characters that may stand between values.
const Blanks = " \t\r\n"

// Framer finds where a JSON object or array ends. It tells brackets from
// strings, and nothing else. Its zero value is at the beginning of a text.
type Framer struct {
	at      int // bytes looked at
	depth   int
	quoted  bool
	escaped bool
}

// Scan goes on in a text that may have grown. It returns where the object or
// array ends, 0 if that has not come yet, and -1 if the text begins with neither.
func (f *Framer) Scan(text []byte) int {
	for ; f.at < len(text); f.at++ {
		c := text[f.at]
		switch {
		case f.quoted:
			f.inString(c)
		case c == '"':
			f.quoted = true
		case c == '{' || c == '[':
			f.depth++
		case c == '}' || c == ']':
			f.depth--
			if f.depth <= 0 {
				f.at++
				return f.at
			}
		}
		if f.depth == 0 {
			return -1
		}
	}
	return 0
}

// inString takes a byte inside a string.
func (f *Framer) inString(c byte) {
	switch {
	case f.escaped:
		f.escaped = false
	case c == '\\':
		f.escaped = true
	case c == '"':
		f.quoted = false
	}
}

// Cursor is a place in a text.
type Cursor struct {
	Text []byte
	At   int
}

// SkipBlanks goes on to what is not blank.
func (c *Cursor) SkipBlanks() {
	for c.At < len(c.Text) && strings.IndexByte(Blanks, c.Text[c.At]) >= 0 {
		c.At++
	}
}

// Next goes behind a character, if that comes next but for blanks.
func (c *Cursor) Next(want byte) bool {
	c.SkipBlanks()
	if c.At < len(c.Text) && c.Text[c.At] == want {
		c.At++
		return true
	}
	return false
}

// Value decodes the value that comes next, and goes behind it.
func (c *Cursor) Value(into any) error {
	raw := c.Raw(nil)
	if err := json.Unmarshal(raw, into); err != nil {
		return fmt.Errorf("%w: %w", ErrSyntax, err)
	}
	return nil
}

// pauseEvery is how many bytes are passed between two calls of a pause.
const pauseEvery = 32 << 10

// Raw goes behind the value that comes next, and returns its text as far as its
// form tells. pause, if it is not nil, is called now and then.
func (c *Cursor) Raw(pause func()) []byte {
	c.SkipBlanks()
	start := c.At
	rest := c.Text[start:]
	if len(rest) > 0 && (rest[0] == '{' || rest[0] == '[') {
		c.At += bracketed(rest, pause)
	} else {
		c.At += plainLength(rest)
	}
	return c.Text[start:c.At]
}

// bracketed is the length of an object or array, or that of the text if it does not end.
func bracketed(text []byte, pause func()) int {
	var f Framer
	for seen := 0; seen < len(text); {
		if pause != nil {
			pause()
		}
		seen = min(seen+pauseEvery, len(text))
		if end := f.Scan(text[:seen]); end > 0 {
			return end
		}
	}
	return len(text)
}

// plainLength is the length of a string, a number or a word.
func plainLength(text []byte) int {
	var f Framer
	for i, c := range text {
		switch {
		case f.quoted:
			if f.inString(c); !f.quoted {
				return i + 1
			}
		case c == '"' && i == 0:
			f.quoted = true
		case strings.IndexByte(",:]}"+Blanks, c) >= 0:
			return i
		}
	}
	return len(text)
}

// Object goes through the fields of the object that comes next, and behind it.
// field is called at the value of each, and has to go behind that.
func (c *Cursor) Object(field func(name string) error) error {
	if !c.Next('{') {
		return ErrSyntax
	}
	if c.Next('}') {
		return nil
	}
	for {
		var name string
		if err := c.Value(&name); err != nil || !c.Next(':') {
			return ErrSyntax
		}
		if err := field(name); err != nil {
			return err
		}
		if c.Next('}') {
			return nil
		}
		if !c.Next(',') {
			return ErrSyntax
		}
	}
}

// Array goes through the elements of the array that comes next, and behind it.
// element is called at each, and has to go behind it.
func (c *Cursor) Array(element func() error) error {
	if !c.Next('[') {
		return ErrSyntax
	}
	if c.Next(']') {
		return nil
	}
	for {
		if err := element(); err != nil {
			return err
		}
		if c.Next(']') {
			return nil
		}
		if !c.Next(',') {
			return ErrSyntax
		}
	}
}

// Without returns the text of an object less the fields of one name, in any
// case of its letters, and the value of the last of these; nil if there is none.
func Without(text []byte, name string, pause func()) (rest, value []byte, err error) {
	c := Cursor{Text: text}
	rest = append(rest, '{')
	err = c.Object(func(found string) error {
		raw := c.Raw(pause)
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
	if c.SkipBlanks(); c.At < len(text) {
		return nil, nil, ErrSyntax
	}
	return append(rest, '}'), value, nil
}
