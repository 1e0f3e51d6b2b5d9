package membership

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"

	"cedarseam/internal/jsontext"
)

// ErrTooLong tells that a list goes on beyond the bound.
var ErrTooLong = errors.New("membership: the list is too long")

// errSyntax tells that what came is no list.
var errSyntax = fmt.Errorf("membership: %w", jsontext.ErrSyntax)

// The bytes asked for in one read: as many as have come, between these.
const (
	readLeast = 4 << 10
	readMost  = 32 << 10
)

// DecodeCache remembers the last complete list that was decoded. A line that stands
// again, letter by letter, in the next one is not decoded again. It may serve
// one Decoder after another, and its zero value is empty.
type DecodeCache struct {
	text  []byte
	lines []memoLine
	place map[string]int // of a line, by its member's id; made when it is needed
}

type memoLine struct {
	start, end int // of its text
	*Member
}

// Decoder reads lists that stand one behind another on a connection, each on
// one line or on several, with empty lines between them.
type Decoder struct {
	Pause       func() // called now and then while a list is decoded; nil: never
	OnListStart func() // called when a list begins to come; nil: never
	OnEmptyLine func() // called for an empty line; nil: never

	from io.Reader
	most int // bytes of one list
	memo *DecodeCache
	text []byte // what was read
	done int    // bytes of it that are decoded
	kept bool   // the memo has taken them
}

// NewDecoder returns a decoder of lists of so many bytes at most.
func NewDecoder(from io.Reader, most int, memo *DecodeCache) *Decoder {
	return &Decoder{from: from, most: most, memo: memo}
}

// Decode returns the list that stands alone in a text.
func Decode(text []byte, memo *DecodeCache) (List, error) {
	return NewDecoder(bytes.NewReader(text), len(text), memo).Next(0)
}

// Next returns the next list. A list that tells no revision has the one given.
func (d *Decoder) Next(revision int64) (List, error) {
	text, err := d.frame()
	if err != nil {
		return List{}, err
	}
	p := parser{Cursor: jsontext.Cursor{Text: text}, pause: d.Pause, memo: d.memo, list: List{Revision: revision}}
	if err := p.ForEachField(p.field); err != nil {
		return List{}, fmt.Errorf("membership: %w", err)
	}
	if d.kept = p.list.Complete; d.kept {
		*d.memo = DecodeCache{text: text, lines: p.lines}
	}
	return p.list, nil
}

// frame reads the text of one whole list. What came behind it stays for the next.
func (d *Decoder) frame() ([]byte, error) {
	d.discard()
	var f jsontext.Framer
	if len(d.text) > 0 {
		call(d.OnListStart)
	}
	for {
		if end := f.Scan(d.text); end > 0 {
			d.done = end
			return d.text[:end:end], nil
		} else if end < 0 {
			return nil, errSyntax
		}
		if len(d.text) > d.most {
			return nil, ErrTooLong
		}
		if err := d.read(); err != nil {
			return nil, err
		}
	}
}

// discard drops what is decoded. A list behind one that the memo has taken is
// likely to be complete, and as long.
func (d *Decoder) discard() {
	rest := bytes.TrimLeft(d.text[d.done:], jsontext.Whitespace)
	if d.kept {
		d.text = append(make([]byte, 0, max(d.done+readMost, len(rest))), rest...)
	} else {
		d.text = append(d.text[:0], rest...)
	}
	d.done, d.kept = 0, false
}

// read reads more of a list, or what stands between two.
func (d *Decoder) read() error {
	call(d.Pause)
	before := len(d.text)
	room := min(max(before, readLeast), readMost)
	d.text = slices.Grow(d.text, room)
	n, err := d.from.Read(d.text[before : before+room])
	came := d.text[before : before+n]
	d.text = d.text[:before+n]
	if before == 0 {
		d.text = append(d.text[:0], bytes.TrimLeft(came, jsontext.Whitespace)...)
		switch {
		case len(d.text) > 0:
			call(d.OnListStart)
		case bytes.IndexByte(came, '\n') >= 0:
			call(d.OnEmptyLine)
		}
	}
	if n > 0 {
		return nil // an error will come again
	}
	return err
}

func call(f func()) {
	if f != nil {
		f()
	}
}

// parser reads one list from its whole text.
type parser struct {
	jsontext.Cursor
	pause func()
	memo  *DecodeCache
	hint  int  // line of the memo that is likely to come next
	part  bool // the list has said that it is not complete
	list  List
	lines []memoLine
}

// field reads the value of a field.
func (p *parser) field(name string) error {
	switch strings.ToLower(name) {
	case "revision":
		return p.DecodeValue(&p.list.Revision)
	case "complete":
		err := p.DecodeValue(&p.list.Complete)
		p.part = !p.list.Complete
		return err
	case "members":
		return p.members()
	}
	var unknown json.RawMessage
	return p.DecodeValue(&unknown)
}

// members reads the array of lines. Null stands for none.
func (p *parser) members() error {
	p.list.Members, p.lines = nil, nil
	if p.SkipWhitespace(); p.Offset < len(p.Text) && p.Text[p.Offset] != '[' {
		var none []struct{}
		return p.DecodeValue(&none)
	}
	if !p.part {
		p.list.Members, p.lines = make([]*Member, 0, len(p.memo.lines)), make([]memoLine, 0, len(p.memo.lines))
	}
	return p.ForEachElement(func() error {
		if len(p.lines)%MembersPerPause == 0 {
			call(p.pause)
		}
		return p.line()
	})
}

// line reads one member, or takes it from the memo.
func (p *parser) line() error {
	p.SkipWhitespace()
	start := p.Offset
	m := p.remembered()
	if m == nil {
		m = &Member{}
		if err := p.DecodeValue(m); err != nil {
			return err
		}
		p.resume(m.ID)
	}
	p.list.Members = append(p.list.Members, m)
	p.lines = append(p.lines, memoLine{start, p.Offset, m})
	return nil
}

// remembered returns the member that the memo has for the text that comes, and
// goes behind it; nil if that text is another.
func (p *parser) remembered() *Member {
	if p.part || p.hint >= len(p.memo.lines) {
		return nil
	}
	l := p.memo.lines[p.hint]
	text := p.memo.text[l.start:l.end]
	if !bytes.HasPrefix(p.Text[p.Offset:], text) {
		return nil
	}
	p.hint++
	p.Offset += len(text)
	return l.Member
}

// searchFrom is how many lines a list must have before a line that was decoded
// anew is looked for in the memo: that costs as much as all of its lines, once.
const searchFrom = 64

// resume goes on in the memo behind the line of a member that was decoded anew.
func (p *parser) resume(id string) {
	lines := p.memo.lines
	switch {
	case p.part || len(lines) == 0:
	case p.hint < len(lines) && lines[p.hint].ID == id:
		p.hint++ // the line has changed in its place
	case len(p.lines) >= searchFrom:
		if place, known := p.memo.find(id); known {
			p.hint = place + 1
		}
	}
}

// find returns the place of a member's line.
func (m *DecodeCache) find(id string) (place int, known bool) {
	if m.place == nil {
		m.place = make(map[string]int, len(m.lines))
		for i, l := range m.lines {
			m.place[l.ID] = i
		}
	}
	place, known = m.place[id]
	return place, known
}
