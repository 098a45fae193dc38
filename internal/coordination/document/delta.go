package document

import "fmt"

// Delta is what makes one document out of another, as it is sent.
type Delta struct {
	_msgpack struct{} `msgpack:",as_array"`
	// Base is the digest of the document that the delta belongs to, or zero for the empty one, and Digest that of the result.
	Base, Digest uint64
	Runs         []Run
}

// Run takes Count segments from a position of the base, and then new ones.
type Run struct {
	_msgpack    struct{} `msgpack:",as_array"`
	From, Count int
	New         []NewText
}

// NewText is a segment that the base doesn't have.
type NewText struct {
	_msgpack struct{} `msgpack:",as_array"`
	Kind     Kind
	Text     []byte
}

// Diff returns the delta from one document, or nil for the empty one, to another. Segments are the same only if the documents share them.
func Diff(from, to *Document) *Delta {
	delta := &Delta{Digest: to.digest}
	at := make(map[*Segment]int)
	if from != nil {
		delta.Base = from.digest
		for i, s := range from.Segments {
			at[s] = i
		}
	}
	var run Run
	for _, s := range to.Segments {
		i, shared := at[s]
		if shared && len(run.New) == 0 && (run.Count == 0 || run.From+run.Count == i) {
			if run.Count == 0 {
				run.From = i
			}
			run.Count++
			continue
		}
		if shared {
			delta.Runs = append(delta.Runs, run)
			run = Run{From: i, Count: 1}
			continue
		}
		run.New = append(run.New, NewText{Kind: s.Kind, Text: s.Text})
	}
	delta.Runs = append(delta.Runs, run)
	return delta
}

// Apply returns the document that a delta makes out of its base, or of nothing if base is nil. Errors wrap ErrDelta, also if the result has another
// digest than the delta says.
func (d *Delta) Apply(base *Document) (*Document, error) {
	var from []*Segment
	var digest uint64
	if base != nil {
		from, digest = base.Segments, base.digest
	}
	if digest != d.Base {
		return nil, fmt.Errorf("delta from %x, document has %x: %w", d.Base, digest, ErrDelta)
	}
	segments, size := make([]*Segment, 0, len(from)+1), 0
	add := func(s *Segment) error {
		if size += len(s.Text); size > MaxBytes || len(segments) >= MaxBytes/minSegmentBytes {
			return fmt.Errorf("more than %d bytes or %d segments: %w", MaxBytes, MaxBytes/minSegmentBytes, ErrDelta)
		}
		segments = append(segments, s)
		return nil
	}
	for _, run := range d.Runs {
		if run.From < 0 || run.Count < 0 || run.From > len(from) || run.Count > len(from)-run.From {
			return nil, fmt.Errorf("%d segments from %d of %d: %w", run.Count, run.From, len(from), ErrDelta)
		}
		for _, s := range from[run.From : run.From+run.Count] {
			if err := add(s); err != nil {
				return nil, err
			}
		}
		for _, n := range run.New {
			if err := add(NewSegment(n.Kind, n.Text)); err != nil {
				return nil, err
			}
		}
	}
	result := NewDocument(segments)
	if result.digest != d.Digest {
		return nil, fmt.Errorf("digest is %x, want %x: %w", result.digest, d.Digest, ErrDelta)
	}
	return result, nil
}

// minSegmentBytes bounds the number of segments of a document of MaxBytes.
const minSegmentBytes = 16
