package document

import (
	"fmt"
	"runtime"
	"slices"

	"gypsumvale/internal/state/route"
)

// Decoder decodes the segments of a document.
type Decoder interface {
	// Frame decodes the text around the elements of the lists, which are empty there.
	Frame(text []byte) (*route.TableParts, error)
	// Element decodes the text of one element.
	Element(kind Kind, text []byte) (*route.TableParts, error)
}

// segmentsAtOnce is the number of segments that are decoded before other goroutines run, which takes less than a millisecond of a core.
const segmentsAtOnce = 64

// BuildTable returns the table of a document. Only segments that weren't decoded before are, and what hasn't changed since a base is taken from its
// table; the base may be empty. The error is the decoder's or route.ErrInvalid.
func BuildTable(doc *Document, base Version, decoder Decoder) (*route.Table, error) {
	var text []byte
	for _, s := range doc.Segments {
		if s.Kind == KindFrame {
			text = append(text, s.Text...)
		}
	}
	head, err := decoder.Frame(text)
	if err != nil {
		return nil, fmt.Errorf("decode frame: %w", err)
	}
	// Lists that weren't divided are part of the frame, and aren't known by their segments.
	if base.Document != nil && len(head.Routes)+len(head.Workspaces) == 0 {
		if table, err := changeTable(*head, doc, base, decoder); table != nil || err != nil {
			return table, err
		}
	}
	if err := addSegments(head, doc.Segments, decoder, KindRoute, KindService, KindWorkspace); err != nil {
		return nil, err
	}
	table, err := route.NewTable(head)
	if err != nil {
		return nil, fmt.Errorf("build table: %w", err)
	}
	return table, nil
}

// changeTable returns the base's table with what differs from it, or nil if that can't be told.
func changeTable(head route.TableParts, doc *Document, base Version, decoder Decoder) (*route.Table, error) {
	// Services are few, and their order counts.
	if err := addSegments(&head, doc.Segments, decoder, KindService); err != nil {
		return nil, err
	}
	var removed, added route.TableParts
	before, after := Changes(base.Document, doc)
	if err := addSegments(&removed, before, decoder, KindRoute, KindWorkspace); err != nil {
		return nil, err
	}
	if err := addSegments(&added, after, decoder, KindRoute, KindWorkspace); err != nil {
		return nil, err
	}
	table, err := base.Table.With(&head, &removed, &added)
	if err != nil {
		return nil, fmt.Errorf("change table: %w", err)
	}
	return table, nil
}

// addSegments adds what segments of some kinds hold to the parts of a table.
func addSegments(p *route.TableParts, segments []*Segment, decoder Decoder, kinds ...Kind) error {
	for i, s := range segments {
		if !slices.Contains(kinds, s.Kind) {
			continue
		}
		if i%segmentsAtOnce == 0 {
			// Requests go on beside the decoding of many routes.
			runtime.Gosched()
		}
		e, err := s.decode(decoder)
		if err != nil {
			return fmt.Errorf("decode element: %w", err)
		}
		p.Routes, p.Workspaces = append(p.Routes, e.Routes...), append(p.Workspaces, e.Workspaces...)
		p.Services, p.Stores = append(p.Services, e.Services...), append(p.Stores, e.Stores...)
	}
	return nil
}
