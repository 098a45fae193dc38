package evacuation_test

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"gypsumvale/internal/coordination/evacuation"
	"gypsumvale/internal/state/clock"
	"gypsumvale/internal/state/kv"
)

const start = clock.Instant(time.Hour)

// at returns a reading at a revision of an era, sent some time after the start.
func at(era, number uint64, sent time.Duration, zones ...string) *evacuation.Reading {
	revision, err := kv.NewRevision(era, number)
	if err != nil {
		panic(err)
	}
	r := &evacuation.Reading{Revision: revision, ReadAt: start.Add(sent), Zones: make(map[string]clock.Instant)}
	for _, zone := range zones {
		r.Zones[zone] = 0
	}
	return r
}

func names(s *evacuation.Set) []string {
	list := []string{}
	for _, z := range s.Zones() {
		list = append(list, z.Name)
	}
	return list
}

func TestSetFollowsReadings(t *testing.T) {
	Convey("a set", t, func() {
		s := evacuation.NewSet()
		began := s.Merge(start, at(1, 10, 0, "a", "b"))
		So(began, ShouldResemble, []evacuation.Change{{Kind: evacuation.Began, Zone: "a"}, {Kind: evacuation.Began, Zone: "b"}})
		Convey("reports a change once", func() {
			So(s.Merge(start.Add(time.Second), at(1, 10, time.Second, "a", "b")), ShouldBeEmpty)
		})
		Convey("loses a zone whose key was removed, also if the revision stood still, and tells when", func() {
			now := start.Add(2 * time.Second)
			So(s.Merge(now, at(1, 10, time.Second, "a")), ShouldResemble, []evacuation.Change{{Kind: evacuation.Ended, Zone: "b"}})
			So(names(s), ShouldResemble, []string{"a"})
			ended, ok := s.EndedAt("b")
			So(ok, ShouldBeTrue)
			So(ended, ShouldEqual, now)
			Convey("until the zone is evacuated again", func() {
				s.Merge(now, at(1, 11, time.Second, "b"))
				_, ok := s.EndedAt("b")
				So(ok, ShouldBeFalse)
			})
		})
		Convey("ignores what was read earlier", func() {
			So(s.Merge(start.Add(time.Second), at(1, 9, time.Second)), ShouldBeEmpty)
			So(s.Merge(start.Add(time.Second), at(1, 10, -time.Second)), ShouldBeEmpty)
			So(names(s), ShouldResemble, []string{"a", "b"})
		})
		Convey("of a restored store keeps what that has lost until the operator has written it again", func() {
			So(s.Merge(start, at(2, 5, 0, "b", "c")), ShouldResemble,
				[]evacuation.Change{{Kind: evacuation.Retained, Zone: "a"}, {Kind: evacuation.Began, Zone: "c"}})
			before := start.Add(evacuation.RewriteTime - 1)
			So(s.Merge(before, at(2, 6, time.Second, "c")), ShouldResemble, []evacuation.Change{{Kind: evacuation.Retained, Zone: "b"}})
			So(names(s), ShouldResemble, []string{"a", "b", "c"})
			Convey("and loses it then", func() {
				So(s.Advance(before.Add(1)), ShouldHaveLength, 2)
				So(names(s), ShouldResemble, []string{"c"})
			})
			Convey("and keeps what was written", func() {
				s.Merge(before, at(2, 7, time.Second, "a", "c"))
				So(s.Advance(before.Add(1)), ShouldResemble, []evacuation.Change{{Kind: evacuation.Ended, Zone: "b"}})
			})
		})
		Convey("knows since when a peer has known a zone", func() {
			earlier := at(1, 10, -time.Minute)
			earlier.Zones["a"] = start.Add(-time.Minute)
			So(s.Merge(start, earlier), ShouldBeEmpty)
			So(s.Zones()[0].Since, ShouldEqual, start.Add(-time.Minute))
		})
	})
	Convey("a set keeps what a peer retains for as long as the peer does", t, func() {
		s := evacuation.NewSet()
		s.Merge(start, at(2, 5, 0))
		until := start.Add(time.Second)
		So(s.Retain(start, "a", start.Add(-time.Minute), until), ShouldResemble, []evacuation.Change{{Kind: evacuation.Began, Zone: "a"}})
		So(s.Zones(), ShouldResemble, []evacuation.Zone{{Name: "a", Since: start.Add(-time.Minute), RetainedUntil: until}})
		So(s.Retain(start, "a", 0, start), ShouldBeEmpty)
		So(s.Advance(until-1), ShouldBeEmpty)
		So(s.Advance(until), ShouldResemble, []evacuation.Change{{Kind: evacuation.Ended, Zone: "a"}})
		So(s.Retain(until, "a", 0, until), ShouldBeEmpty)
	})
	Convey("a set that has first seen a restored store takes what a peer held before, for as long as the operator may need", t, func() {
		s := evacuation.NewSet()
		s.Merge(start, at(2, 5, 0))
		s.Merge(start.Add(time.Second), at(1, 10, 0, "a"))
		So(names(s), ShouldResemble, []string{"a"})
		s.Advance(start.Add(evacuation.RewriteTime))
		So(names(s), ShouldBeEmpty)
		s.Merge(start.Add(time.Minute), at(1, 10, 0, "a"))
		So(names(s), ShouldBeEmpty)
	})
}

// Guards against a set that depends on the order in which relays and peers deliver readings of one store.
func TestSetIsThatOfTheLastReading(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		zones := rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"a", "b", "c"}), 0, 3, rapid.ID)
		// The revision rises with some reads, and stands still between others.
		var readings []*evacuation.Reading
		revision := uint64(1)
		for i := range rapid.IntRange(1, 8).Draw(t, "readings") {
			revision += rapid.Uint64Range(0, 1).Draw(t, "step")
			readings = append(readings, at(1, revision, time.Duration(i)*time.Second, zones.Draw(t, "zones")...))
		}
		last := readings[len(readings)-1]
		s := evacuation.NewSet()
		for _, r := range rapid.Permutation(readings).Draw(t, "order") {
			s.Merge(start.Add(time.Minute), r)
		}
		if len(names(s)) != len(last.Zones) {
			t.Fatalf("%v are evacuated, %v were read last", names(s), last.Zones)
		}
		for _, zone := range names(s) {
			if _, ok := last.Zones[zone]; !ok {
				t.Fatalf("%s is evacuated, %v were read last", zone, last.Zones)
			}
		}
	})
}
