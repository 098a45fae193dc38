package document

import (
	"encoding/binary"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"gypsumvale/internal/state/route"
)

// MaxBytes is the largest document that is built from another instance's delta.
const MaxBytes = 16 << 20

// Kind is what a segment holds.
type Kind uint8

// Kinds of segments.
const (
	// KindFrame is the text around the elements of the lists.
	KindFrame Kind = iota
	KindRoute
	KindService
	KindWorkspace
)

// Segment is a part of a document's text: an element of one of its lists with the separator after it, or the text between two lists. It is immutable,
// and versions share it.
type Segment struct {
	Kind Kind
	Text []byte

	sum     uint64
	once    sync.Once
	decoded *route.TableParts
	err     error
}

// NewSegment returns a segment with a text, which it keeps.
func NewSegment(kind Kind, text []byte) *Segment {
	return &Segment{Kind: kind, Text: text, sum: xxhash.Sum64(text)}
}

// decode returns what the segment holds, which is decoded once however many versions have it.
func (s *Segment) decode(decoder Decoder) (*route.TableParts, error) {
	s.once.Do(func() { s.decoded, s.err = decoder.Element(s.Kind, s.Text) })
	return s.decoded, s.err
}

// Document is the text of a version.
type Document struct {
	Segments []*Segment

	digest uint64
	bytes  int
}

// NewDocument returns the document of some segments, which it keeps.
func NewDocument(segments []*Segment) *Document {
	d := &Document{Segments: segments}
	h := xxhash.New()
	var buf [17]byte
	for _, s := range segments {
		buf[0] = byte(s.Kind)
		binary.LittleEndian.PutUint64(buf[1:], s.sum)
		binary.LittleEndian.PutUint64(buf[9:], uint64(len(s.Text)))
		// Write on a hash never returns an error.
		_, _ = h.Write(buf[:])
		d.bytes += len(s.Text)
	}
	// Zero stands for no document.
	d.digest = max(1, h.Sum64())
	return d
}

// Digest returns a digest of the text and its division into segments, which isn't zero.
func (d *Document) Digest() uint64 { return d.digest }

// Text returns a copy of the text.
func (d *Document) Text() []byte {
	text := make([]byte, 0, d.bytes)
	for _, s := range d.Segments {
		text = append(text, s.Text...)
	}
	return text
}

// Share replaces segments by equal ones of an earlier version, so that what was decoded of them is kept and their text is held once.
func (d *Document) Share(earlier *Document) {
	known := make(map[uint64]*Segment, len(earlier.Segments))
	for _, s := range earlier.Segments {
		known[s.sum] = s
	}
	for i, s := range d.Segments {
		if e := known[s.sum]; e != nil && e.Kind == s.Kind && string(e.Text) == string(s.Text) {
			d.Segments[i] = e
		} else {
			// The text of the document, of which this is a part, isn't kept.
			d.Segments[i] = NewSegment(s.Kind, append([]byte(nil), s.Text...))
		}
	}
}

// Version is a version of the configuration: its text and the table that was built from it.
type Version struct {
	Document *Document
	Table    *route.Table
}

// Changes returns the segments that are in only one of two documents.
func Changes(from, to *Document) (removed, added []*Segment) {
	before, after := trimCommon(from.Segments, to.Segments)
	count := make(map[*Segment]int, len(before))
	for _, s := range before {
		count[s]++
	}
	for _, s := range after {
		if count[s] > 0 {
			count[s]--
		} else {
			added = append(added, s)
		}
	}
	for _, s := range before {
		if count[s] > 0 {
			count[s]--
			removed = append(removed, s)
		}
	}
	return removed, added
}

// trimCommon removes the segments that two lists begin with and those that they end with.
func trimCommon(a, b []*Segment) (restA, restB []*Segment) {
	begin := 0
	for begin < min(len(a), len(b)) && a[begin] == b[begin] {
		begin++
	}
	a, b = a[begin:], b[begin:]
	for len(a) > 0 && len(b) > 0 && a[len(a)-1] == b[len(b)-1] {
		a, b = a[:len(a)-1], b[:len(b)-1]
	}
	return a, b
}

// ErrDelta is returned for a delta that doesn't belong to a document, or that isn't valid.
var ErrDelta = errors.New("delta doesn't fit the document")
