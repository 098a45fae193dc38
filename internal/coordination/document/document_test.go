package document_test

import (
	"errors"
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumvale/internal/coordination/document"
)

func newDocument(texts ...string) *document.Document {
	var segments []*document.Segment
	for _, text := range texts {
		segments = append(segments, document.NewSegment(document.KindRoute, []byte(text)))
	}
	return document.NewDocument(segments)
}

func TestHistory(t *testing.T) {
	Convey("an instance that holds a version", t, func() {
		first, second := newDocument("a", "b", "c"), newDocument("a", "x", "c")
		second.Share(first)
		var h document.History
		h.Add(1, first)
		Convey("makes the next one of a delta, and shares what hasn't changed", func() {
			got, err := h.Apply(document.Diff(first, second))
			So(err, ShouldBeNil)
			So(string(got.Text()), ShouldEqual, "axc")
			So(got.Segments[0], ShouldPointTo, first.Segments[0])
			removed, added := document.Changes(first, got)
			So(len(removed), ShouldEqual, 1)
			So(len(added), ShouldEqual, 1)
			Convey("and decodes nothing again when it comes a second time, from another relay or as a whole", func() {
				h.Add(2, got)
				for _, delta := range []*document.Delta{document.Diff(first, second), document.Diff(nil, second)} {
					again, err := h.Apply(delta)
					So(err, ShouldBeNil)
					So(again, ShouldPointTo, got)
				}
			})
		})
		Convey("refuses a delta from a version that it doesn't have, and one with another result", func() {
			var other document.History
			_, err := other.Apply(document.Diff(first, second))
			So(errors.Is(err, document.ErrDelta), ShouldBeTrue)
			wrong := document.Diff(first, second)
			wrong.Digest++
			_, err = h.Apply(wrong)
			So(errors.Is(err, document.ErrDelta), ShouldBeTrue)
		})
		Convey("refuses positions outside its version, and a result without end", func() {
			for _, run := range []document.Run{{From: 2, Count: 2}, {From: -1, Count: 1}, {From: 0, Count: -1}} {
				_, err := h.Apply(&document.Delta{Base: first.Digest(), Runs: []document.Run{run}})
				So(errors.Is(err, document.ErrDelta), ShouldBeTrue)
			}
			endless := &document.Delta{Base: first.Digest()}
			for range document.MaxBytes / 32 {
				endless.Runs = append(endless.Runs, document.Run{Count: 3})
			}
			_, err := h.Apply(endless)
			So(errors.Is(err, document.ErrDelta), ShouldBeTrue)
		})
		Convey("encodes each delta once, and the whole for an unknown base", func() {
			h.Add(2, second)
			encoded := 0
			encode := func(d *document.Delta) []byte {
				encoded++
				return fmt.Append(nil, d.Base == 0)
			}
			for range 3 {
				So(string(h.Encoded(2, first.Digest(), encode)), ShouldEqual, "false")
				So(string(h.Encoded(2, 12345, encode)), ShouldEqual, "true")
			}
			So(encoded, ShouldEqual, 2)
			So(h.Encoded(1, first.Digest(), encode), ShouldBeNil)
		})
	})
}
