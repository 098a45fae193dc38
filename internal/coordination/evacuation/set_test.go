package evacuation_test

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumvale/internal/coordination/evacuation"
	"gypsumvale/internal/state/clock"
	"gypsumvale/internal/state/kv"
)

const start = clock.Instant(time.Hour)

// at returns a reading at a revision of an era, sent some time after the start.
func at(era, number uint64, sent time.Duration, zones ...string) *evacuation.Reading {
	revision, err := kv.NewRevision(era, number)
	So(err, ShouldBeNil)
	r := &evacuation.Reading{Revision: revision, ReadAt: start.Add(sent), Zones: make(map[string]clock.Instant)}
	for _, zone := range zones {
		r.Zones[zone] = 0
	}
	return r
}

func changes(kind evacuation.ChangeKind, zones ...string) []evacuation.Change {
	var list []evacuation.Change
	for _, zone := range zones {
		list = append(list, evacuation.Change{Kind: kind, Zone: zone})
	}
	return list
}

func TestSetFollowsReadings(t *testing.T) {
	Convey("a set", t, func() {
		s := evacuation.NewSet()
		So(s.Merge(start, at(1, 10, 0, "a", "b")), ShouldResemble, changes(evacuation.Began, "a", "b"))
		Convey("reports nothing for what it knows, nor for what was read earlier", func() {
			for _, r := range []*evacuation.Reading{at(1, 10, time.Second, "a", "b"), at(1, 9, 2*time.Second), at(1, 10, 0)} {
				So(s.Merge(start, r), ShouldBeEmpty)
			}
		})
		Convey("loses a zone whose key was removed, also if the revision stood still, and tells when, until it is evacuated again", func() {
			now := start.Add(2 * time.Second)
			So(s.Merge(now, at(1, 10, time.Second, "a")), ShouldResemble, changes(evacuation.Ended, "b"))
			ended, ok := s.EndedAt("b")
			So(ok, ShouldBeTrue)
			So(ended, ShouldEqual, now)
			So(s.Merge(now, at(1, 11, time.Second, "a", "b")), ShouldResemble, changes(evacuation.Began, "b"))
			_, ok = s.EndedAt("b")
			So(ok, ShouldBeFalse)
		})
		Convey("of a restored store keeps what that has lost until the operator has had time to write it again", func() {
			So(s.Merge(start, at(2, 5, 0, "b")), ShouldResemble, changes(evacuation.Retained, "a"))
			end := start.Add(evacuation.RewriteTime)
			So(s.Merge(end-1, at(2, 6, time.Second, "a")), ShouldResemble, changes(evacuation.Retained, "b"))
			So(s.Advance(end), ShouldResemble, changes(evacuation.Ended, "b"))
		})
	})
	Convey("a set that has first seen a restored store", t, func() {
		s := evacuation.NewSet()
		s.Merge(start, at(2, 5, 0))
		end := start.Add(evacuation.RewriteTime)
		Convey("takes what a peer held before, for as long as the operator may need", func() {
			So(s.Merge(end-1, at(1, 10, 0, "a")), ShouldResemble, changes(evacuation.Began, "a"))
			So(s.Advance(end), ShouldResemble, changes(evacuation.Ended, "a"))
			So(s.Merge(end, at(1, 10, 0, "a")), ShouldBeEmpty)
		})
		Convey("takes what a peer retains, for as long as that does, and since when it is known", func() {
			So(s.Retain(start, "a", start-1, end-1), ShouldResemble, changes(evacuation.Began, "a"))
			So(s.Zones(), ShouldResemble, []evacuation.Zone{{Name: "a", Since: start - 1, RetainedUntil: end - 1}})
			So(s.Advance(end-1), ShouldResemble, changes(evacuation.Ended, "a"))
		})
	})
}
