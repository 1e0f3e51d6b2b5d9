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
	minReadSize = 4 << 10
	maxReadSize = 32 << 10
)

// DecodeCache remembers the last complete list that was decoded. A line that stands
// again, letter by letter, in the next one is not decoded again. It may serve
// one Decoder after another, and its zero value is empty.
type DecodeCache struct {
	text      []byte
	members   []cachedMember
	indexByID map[string]int // of a line, by its member's id; made when it is needed
}

type cachedMember struct {
	start, end int // of its text
	*Member
}

// Decoder reads lists that stand one behind another on a connection, each on
// one line or on several, with empty lines between them.
type Decoder struct {
	Pause       func() // called now and then while a list is decoded; nil: never
	OnListStart func() // called when a list begins to come; nil: never
	OnEmptyLine func() // called for an empty line; nil: never

	reader       io.Reader
	maxListBytes int // bytes of one list
	cache        *DecodeCache
	buffer       []byte // what was read
	consumed     int    // bytes of it that are decoded
	cached       bool   // the memo has taken them
}

// NewDecoder returns a decoder of lists of so many bytes at most.
func NewDecoder(reader io.Reader, maxListBytes int, cache *DecodeCache) *Decoder {
	return &Decoder{reader: reader, maxListBytes: maxListBytes, cache: cache}
}

// Decode returns the list that stands alone in a text.
func Decode(text []byte, cache *DecodeCache) (List, error) {
	return NewDecoder(bytes.NewReader(text), len(text), cache).Next(0)
}

// Next returns the next list. A list that tells no revision has the one given.
func (d *Decoder) Next(revision int64) (List, error) {
	text, err := d.readListText()
	if err != nil {
		return List{}, err
	}
	p := parser{Cursor: jsontext.Cursor{Text: text}, pause: d.Pause, cache: d.cache, list: List{Revision: revision}}
	if err := p.ForEachField(p.parseField); err != nil {
		return List{}, fmt.Errorf("membership: %w", err)
	}
	if d.cached = p.list.Complete; d.cached {
		*d.cache = DecodeCache{text: text, members: p.members}
	}
	return p.list, nil
}

// readListText reads the text of one whole list. What came behind it stays for the next.
func (d *Decoder) readListText() ([]byte, error) {
	d.discardConsumed()
	var f jsontext.Framer
	if len(d.buffer) > 0 {
		callIfSet(d.OnListStart)
	}
	for {
		if end := f.Scan(d.buffer); end > 0 {
			d.consumed = end
			return d.buffer[:end:end], nil
		} else if end < 0 {
			return nil, errSyntax
		}
		if len(d.buffer) > d.maxListBytes {
			return nil, ErrTooLong
		}
		if err := d.readMore(); err != nil {
			return nil, err
		}
	}
}

// discardConsumed drops what is decoded. A list behind one that the memo has taken is
// likely to be complete, and as long.
func (d *Decoder) discardConsumed() {
	rest := bytes.TrimLeft(d.buffer[d.consumed:], jsontext.Whitespace)
	if d.cached {
		d.buffer = append(make([]byte, 0, max(d.consumed+maxReadSize, len(rest))), rest...)
	} else {
		d.buffer = append(d.buffer[:0], rest...)
	}
	d.consumed, d.cached = 0, false
}

// readMore reads more of a list, or what stands between two.
func (d *Decoder) readMore() error {
	callIfSet(d.Pause)
	length := len(d.buffer)
	size := min(max(length, minReadSize), maxReadSize)
	d.buffer = slices.Grow(d.buffer, size)
	n, err := d.reader.Read(d.buffer[length : length+size])
	received := d.buffer[length : length+n]
	d.buffer = d.buffer[:length+n]
	if length == 0 {
		d.buffer = append(d.buffer[:0], bytes.TrimLeft(received, jsontext.Whitespace)...)
		switch {
		case len(d.buffer) > 0:
			callIfSet(d.OnListStart)
		case bytes.IndexByte(received, '\n') >= 0:
			callIfSet(d.OnEmptyLine)
		}
	}
	if n > 0 {
		return nil // an error will come again
	}
	return err
}

func callIfSet(f func()) {
	if f != nil {
		f()
	}
}

// parser reads one list from its whole text.
type parser struct {
	jsontext.Cursor
	pause      func()
	cache      *DecodeCache
	nextCached int  // line of the memo that is likely to come next
	incomplete bool // the list has said that it is not complete
	list       List
	members    []cachedMember
}

// parseField reads the value of a parseField.
func (p *parser) parseField(name string) error {
	switch strings.ToLower(name) {
	case "revision":
		return p.DecodeValue(&p.list.Revision)
	case "complete":
		err := p.DecodeValue(&p.list.Complete)
		p.incomplete = !p.list.Complete
		return err
	case "members":
		return p.parseMembers()
	}
	var unknown json.RawMessage
	return p.DecodeValue(&unknown)
}

// parseMembers reads the array of lines. Null stands for none.
func (p *parser) parseMembers() error {
	p.list.Members, p.members = nil, nil
	if p.SkipWhitespace(); p.Offset < len(p.Text) && p.Text[p.Offset] != '[' {
		var none []struct{}
		return p.DecodeValue(&none)
	}
	if !p.incomplete {
		p.list.Members, p.members = make([]*Member, 0, len(p.cache.members)), make([]cachedMember, 0, len(p.cache.members))
	}
	return p.ForEachElement(func() error {
		if len(p.members)%MembersPerPause == 0 {
			callIfSet(p.pause)
		}
		return p.parseMember()
	})
}

// parseMember reads one member, or takes it from the memo.
func (p *parser) parseMember() error {
	p.SkipWhitespace()
	start := p.Offset
	m := p.takeCached()
	if m == nil {
		m = &Member{}
		if err := p.DecodeValue(m); err != nil {
			return err
		}
		p.resyncCache(m.ID)
	}
	p.list.Members = append(p.list.Members, m)
	p.members = append(p.members, cachedMember{start, p.Offset, m})
	return nil
}

// takeCached returns the member that the memo has for the text that comes, and
// goes behind it; nil if that text is another.
func (p *parser) takeCached() *Member {
	if p.incomplete || p.nextCached >= len(p.cache.members) {
		return nil
	}
	l := p.cache.members[p.nextCached]
	text := p.cache.text[l.start:l.end]
	if !bytes.HasPrefix(p.Text[p.Offset:], text) {
		return nil
	}
	p.nextCached++
	p.Offset += len(text)
	return l.Member
}

// minMembersForIndex is how many lines a list must have before a line that was decoded
// anew is looked for in the memo: that costs as much as all of its lines, once.
const minMembersForIndex = 64

// resyncCache goes on in the memo behind the line of a member that was decoded anew.
func (p *parser) resyncCache(id string) {
	members := p.cache.members
	switch {
	case p.incomplete || len(members) == 0:
	case p.nextCached < len(members) && members[p.nextCached].ID == id:
		p.nextCached++ // the line has changed in its place
	case len(p.members) >= minMembersForIndex:
		if index, found := p.cache.indexOf(id); found {
			p.nextCached = index + 1
		}
	}
}

// indexOf returns the place of a member's line.
func (c *DecodeCache) indexOf(id string) (index int, found bool) {
	if c.indexByID == nil {
		c.indexByID = make(map[string]int, len(c.members))
		for i, l := range c.members {
			c.indexByID[l.ID] = i
		}
	}
	index, found = c.indexByID[id]
	return index, found
}
