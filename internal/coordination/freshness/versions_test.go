package freshness_test

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumvale/internal/coordination/freshness"
	"gypsumvale/internal/state/kv"
)

func expectGap(tracker *freshness.VersionTracker, after, until kv.Revision, open bool) {
	a, u, o := tracker.Gap()
	So(o, ShouldEqual, open)
	if open {
		So(a, ShouldEqual, after)
		So(u, ShouldEqual, until)
	}
}

func TestVersionTracker(t *testing.T) {
	Convey("a version that can't be decoded opens a gap", t, func() {
		var tracker freshness.VersionTracker
		tracker.RecordDecoded(5)
		expectGap(&tracker, 0, 0, false)
		So(tracker.UndecodableIsNewest(), ShouldBeFalse)
		tracker.RecordUndecodable(9)
		So(tracker.UndecodableIsNewest(), ShouldBeTrue)
		expectGap(&tracker, 5, 9, true)
		So(tracker.RequestAfter(9), ShouldEqual, kv.Revision(5))
		Convey("until the versions up to it are known", func() {
			tracker.RecordDecoded(7)
			expectGap(&tracker, 7, 9, true)
			tracker.MarkKnown(9)
			expectGap(&tracker, 0, 0, false)
			So(tracker.RequestAfter(9), ShouldEqual, kv.Revision(9))
			tracker.RecordUndecodable(11)
			expectGap(&tracker, 7, 11, true)
		})
		Convey("until a later version is decoded", func() {
			tracker.RecordDecoded(12)
			expectGap(&tracker, 0, 0, false)
		})
	})
}
