package attempt

import (
	"strings"
	"unsafe"

	"foxtailward.example/foxtailward/internal/state/generation"
	"foxtailward.example/foxtailward/internal/state/id"
)

// pageTokens is the number of tokens in a page. The unused part of the last page
// is the only memory that a log allocates and does not use.
const pageTokens = 64

// typicalTokenBytes is the text length per token for which a page allocates
// memory. It covers most tokens; longer ones make the page's text grow.
const typicalTokenBytes = 5

// Log holds the tokens of an answer, indexed from 0. It grows in pages with one
// text buffer each, so that a token needs its text and eight bytes, and reading
// it needs no allocation.
type Log struct {
	pages []*page
	next  id.TokenIndex
	sum   generation.Checksum
	bytes int
}

type page struct {
	ids  [pageTokens]uint32
	ends [pageTokens]uint32
	// text is only appended to, so substrings taken from it remain valid.
	text strings.Builder
}

const pageBytes = int(unsafe.Sizeof(page{})) + int(unsafe.Sizeof((*page)(nil)))

// Append adds a token.
func (l *Log) Append(t generation.Token) {
	slot := int(l.next) % pageTokens
	if slot == 0 {
		l.addPage()
	}
	p := l.pages[len(l.pages)-1]
	before := p.text.Cap()
	p.text.WriteString(t.Text)
	l.bytes += p.text.Cap() - before
	p.ids[slot] = t.ID
	p.ends[slot] = uint32(p.text.Len())
	l.sum = l.sum.Add(t)
	l.next++
}

func (l *Log) addPage() {
	p := &page{}
	p.text.Grow(pageTokens * typicalTokenBytes)
	l.pages = append(l.pages, p)
	l.bytes += pageBytes + p.text.Cap()
}

// Len returns the number of tokens.
func (l *Log) Len() id.TokenIndex { return l.next }

// Checksum returns the checksum of all tokens.
func (l *Log) Checksum() generation.Checksum { return l.sum }

// Bytes returns the memory used by the log.
func (l *Log) Bytes() int { return l.bytes }

// Read appends the tokens from index from on to buf, up to the capacity of buf.
func (l *Log) Read(from id.TokenIndex, buf []generation.Token) []generation.Token {
	for i := from; i < l.next && len(buf) < cap(buf); i++ {
		buf = append(buf, l.at(i))
	}
	return buf
}

func (l *Log) at(i id.TokenIndex) generation.Token {
	p, slot := l.pages[int(i)/pageTokens], int(i)%pageTokens
	var start uint32
	if slot > 0 {
		start = p.ends[slot-1]
	}
	return generation.Token{ID: p.ids[slot], Text: p.text.String()[start:p.ends[slot]]}
}

// IDs returns the ids of all tokens, for an engine that continues after them.
func (l *Log) IDs() []uint32 {
	ids := make([]uint32, 0, l.next)
	for i := range l.next {
		ids = append(ids, l.pages[int(i)/pageTokens].ids[int(i)%pageTokens])
	}
	return ids
}
