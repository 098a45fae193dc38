package freshness_test

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumvale/internal/coordination/freshness"
	"gypsumvale/internal/state/kv"
)

func expectGap(s *freshness.VersionTracker, after, until kv.Revision, open bool) {
	a, u, o := s.Gap()
	So(o, ShouldEqual, open)
	if open {
		So(a, ShouldEqual, after)
		So(u, ShouldEqual, until)
	}
}

func TestSequence(t *testing.T) {
	Convey("versions of which some can't be read", t, func() {
		var s freshness.VersionTracker
		s.RecordDecoded(5)
		expectGap(&s, 0, 0, false)
		s.RecordUndecodable(9)
		expectGap(&s, 5, 9, true)
		So(s.RequestAfter(9), ShouldEqual, kv.Revision(5))
		Convey("are bridged once what lies between is known", func() {
			s.RecordDecoded(7)
			expectGap(&s, 7, 9, true)
			s.MarkKnown(9)
			expectGap(&s, 0, 0, false)
			So(s.RequestAfter(9), ShouldEqual, kv.Revision(9))
			s.RecordUndecodable(11)
			expectGap(&s, 7, 11, true)
		})
		Convey("need no bridge behind a later one that was read", func() {
			s.RecordDecoded(12)
			expectGap(&s, 0, 0, false)
		})
	})
}
