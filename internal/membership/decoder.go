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

// ErrTooLong reports a list that exceeds the size limit of its decoder.
var ErrTooLong = errors.New("membership: list exceeds the size limit")

// errSyntax reports input that is not a list.
var errSyntax = fmt.Errorf("membership: %w", jsontext.ErrSyntax)

// Bounds on the bytes requested by one read. Between them a read requests as many
// bytes as are buffered already.
const (
	minReadBytes = 4 << 10
	maxReadBytes = 32 << 10
)

// DecodeCache holds the last complete list that was decoded. A member whose text is
// byte for byte the same in the next complete list is not decoded again. Several
// Decoders may use a cache one after another. The zero value is an empty cache.
type DecodeCache struct {
	text      []byte
	members   []cachedMember
	indexByID map[string]int // indexes of members, by id; built on first use
}

// cachedMember is a decoded member and the position of its text in the list.
type cachedMember struct {
	start, end int
	*Member
}

// Decoder reads consecutive lists from a connection. A list may span one or more
// lines, and there may be empty lines between lists.
type Decoder struct {
	Pause       func() // called at intervals while a list is read and decoded; may be nil
	OnListStart func() // called when the first byte of a list has arrived; may be nil
	OnEmptyLine func() // called for an empty line between lists; may be nil

	reader       io.Reader
	maxListBytes int
	cache        *DecodeCache
	buffer       []byte // bytes read
	consumed     int    // bytes of buffer that are decoded
	cached       bool   // the cache refers to the memory of buffer
}

// NewDecoder returns a decoder of lists of up to maxListBytes bytes each.
func NewDecoder(reader io.Reader, maxListBytes int, cache *DecodeCache) *Decoder {
	return &Decoder{reader: reader, maxListBytes: maxListBytes, cache: cache}
}

// Decode decodes a single list.
func Decode(text []byte, cache *DecodeCache) (List, error) {
	return NewDecoder(bytes.NewReader(text), len(text), cache).Next(0)
}

// Next returns the next list. If the list has no revision field, its revision is the
// one given.
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

// readListText reads the text of one list. Bytes received behind it stay in the
// buffer for the next call.
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

// discardConsumed drops the decoded bytes. A buffer that the cache refers to is
// replaced by a new one, of similar size: the list behind a complete list is likely
// to be complete and about as long.
func (d *Decoder) discardConsumed() {
	rest := bytes.TrimLeft(d.buffer[d.consumed:], jsontext.Whitespace)
	if d.cached {
		d.buffer = append(make([]byte, 0, max(d.consumed+maxReadBytes, len(rest))), rest...)
	} else {
		d.buffer = append(d.buffer[:0], rest...)
	}
	d.consumed, d.cached = 0, false
}

// readMore reads more bytes of a list, or of the whitespace between two lists.
func (d *Decoder) readMore() error {
	callIfSet(d.Pause)
	length := len(d.buffer)
	size := min(max(length, minReadBytes), maxReadBytes)
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
		return nil // the reader returns the error again at the next call
	}
	return err
}

func callIfSet(f func()) {
	if f != nil {
		f()
	}
}

// parser decodes the complete text of one list.
type parser struct {
	jsontext.Cursor
	pause      func()
	cache      *DecodeCache
	nextCached int  // index of the cached member that is likely to be next
	incomplete bool // "complete": false came before the members; the cache is not used
	list       List
	members    []cachedMember
}

// parseField decodes the value of the field with the given name.
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

// parseMembers decodes the array of members. Null is an empty array.
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

// parseMember decodes one member or takes it from the cache.
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

// takeCached returns the next cached member and advances past its text, if that is
// the text that comes next; otherwise it returns nil.
func (p *parser) takeCached() *Member {
	if p.incomplete || p.nextCached >= len(p.cache.members) {
		return nil
	}
	cached := p.cache.members[p.nextCached]
	text := p.cache.text[cached.start:cached.end]
	if !bytes.HasPrefix(p.Text[p.Offset:], text) {
		return nil
	}
	p.nextCached++
	p.Offset += len(text)
	return cached.Member
}

// minMembersForIndex is how many members of a list must be parsed before a member
// that was not cached is looked up by id. The first look-up indexes the whole cache,
// which costs time for each of its members.
const minMembersForIndex = 64

// resyncCache sets nextCached to the member behind the given one, which has just been
// decoded because its text was not the next in the cache.
func (p *parser) resyncCache(id string) {
	members := p.cache.members
	switch {
	case p.incomplete || len(members) == 0:
	case p.nextCached < len(members) && members[p.nextCached].ID == id:
		p.nextCached++ // the member has changed but kept its place
	case len(p.members) >= minMembersForIndex:
		if index, found := p.cache.indexOf(id); found {
			p.nextCached = index + 1
		}
	}
}

// indexOf returns the index of the member with the given id.
func (c *DecodeCache) indexOf(id string) (index int, found bool) {
	if c.indexByID == nil {
		c.indexByID = make(map[string]int, len(c.members))
		for i, m := range c.members {
			c.indexByID[m.ID] = i
		}
	}
	index, found = c.indexByID[id]
	return index, found
}
