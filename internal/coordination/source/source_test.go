package source_test

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumvale/internal/coordination/source"
	"gypsumvale/internal/state/clock"
)

const (
	bound      = 3 * time.Second
	pollPeriod = 750 * time.Millisecond
	maxAge     = 1950 * time.Millisecond
)

func TestLimits(t *testing.T) {
	Convey("the limits of relayed data", t, func() {
		Convey("leave a poll period of the bound for leaving endpoints, also while a relay reads", func() {
			limits := source.NewLimits(bound, pollPeriod)
			So(limits.MaxAge(false), ShouldEqual, maxAge)
			So(limits.MaxAge(true), ShouldEqual, bound-pollPeriod)
		})
		Convey("are the same on sites with a short bound", func() {
			limits := source.NewLimits(time.Second, 250*time.Millisecond)
			So(limits.MaxAge(true), ShouldEqual, limits.MaxAge(false))
		})
	})
}

func TestSource(t *testing.T) {
	Convey("the source of an entry that has just started", t, func() {
		now := clock.Instant(time.Hour)
		s := source.New(now)
		Convey("suffices while the data received is new enough", func() {
			So(s.Suffices(now), ShouldBeFalse)
			s.RecordData(now, maxAge)
			So(s.Suffices(now.Add(maxAge-1)), ShouldBeTrue)
			So(s.Suffices(now.Add(maxAge)), ShouldBeFalse)
		})
		Convey("lets the entry read all pages once no data has sufficed for the fallback timeout", func() {
			So(s.MayReadAll(now.Add(source.FallbackTimeout)), ShouldBeFalse)
			So(s.MayReadAll(now.Add(source.FallbackTimeout+1)), ShouldBeTrue)
		})
		Convey("doesn't after one read of its own during which the relay's data sufficed", func() {
			s.RecordData(now.Add(2*time.Second), maxAge)
			So(s.MayReadAll(now.Add(2*time.Second)), ShouldBeFalse)
		})
		Convey("lets the entry read again after a pause that grows with the time that a read takes, up to a limit", func() {
			now = now.Add(2 * source.FallbackTimeout)
			s.RecordOwnRead(now, 100*time.Millisecond)
			So(s.MayReadAll(now.Add(800*time.Millisecond-1)), ShouldBeFalse)
			So(s.MayReadAll(now.Add(800*time.Millisecond)), ShouldBeTrue)
			s.RecordOwnRead(now, time.Minute)
			So(s.MayReadAll(now.Add(source.MaxOwnReadPause-1)), ShouldBeFalse)
			So(s.MayReadAll(now.Add(source.MaxOwnReadPause)), ShouldBeTrue)
		})
		Convey("isn't set back by a relay whose data is older", func() {
			s.RecordData(now, maxAge)
			s.RecordData(now.Add(-time.Second), maxAge)
			So(s.Suffices(now.Add(maxAge-1)), ShouldBeTrue)
		})
		Convey("suffices until a relay that reads slowly has read again, but not after one of its calls has failed", func() {
			const read = 1050 * time.Millisecond
			limits := source.NewLimits(bound, pollPeriod)
			s.RecordData(now, limits.MaxAge(true))
			So(s.Suffices(now.Add(2*read)), ShouldBeTrue)
			s.RecordData(now.Add(-time.Millisecond), limits.MaxAge(false))
			So(s.Suffices(now.Add(2*read)), ShouldBeFalse)
		})
		Convey("uses no relay that failed until it is restored, and probes it once per interval", func() {
			s.RecordFailure(now, "first", false)
			So(s.Usable([]string{"first", "second"}), ShouldResemble, []string{"second"})
			So(s.DueProbes(now.Add(source.ProbeInterval-1)), ShouldBeEmpty)
			So(s.DueProbes(now.Add(source.ProbeInterval)), ShouldResemble, []string{"first"})
			s.Restore("first")
			So(s.DueProbes(now.Add(source.ProbeInterval)), ShouldBeEmpty)
			So(s.Usable([]string{"first", "second"}), ShouldResemble, []string{"first", "second"})
		})
		Convey("tries no further relay once three had outdated data, but does after three that didn't answer", func() {
			for i, outdated := range []bool{true, true, false, false, false} {
				s.RecordFailure(now, string(rune('a'+i)), outdated)
			}
			So(s.Usable([]string{"a", "b", "c", "d", "e", "f"}), ShouldResemble, []string{"f"})
			s.RecordFailure(now, "c", true)
			So(s.Usable([]string{"a", "b", "c", "d", "e", "f"}), ShouldBeEmpty)
			So(s.Usable([]string{"a", "b", "f"}), ShouldResemble, []string{"f"})
		})
		Convey("allows a newly selected relay its first read", func() {
			So(s.RecentlySelected(now, "first"), ShouldBeTrue)
			s.Select(now, "first")
			So(s.RecentlySelected(now.Add(source.FirstReadTimeout-1), "first"), ShouldBeTrue)
			So(s.RecentlySelected(now.Add(source.FirstReadTimeout), "first"), ShouldBeFalse)
		})
		Convey("doesn't read the store at once when it follows another relay", func() {
			_, takesOver := s.Select(now, "first")
			So(takesOver, ShouldBeFalse)
			previous, takesOver := s.Select(now, "second")
			So(previous, ShouldEqual, "first")
			So(takesOver, ShouldBeFalse)
			previous, takesOver = s.Select(now, "")
			So(previous, ShouldEqual, "second")
			So(takesOver, ShouldBeTrue)
		})
		Convey("lets the relay in use hold queries for the full time, but not past the probe of another one that failed", func() {
			const limit = 900 * time.Millisecond
			So(s.Hold(now, limit), ShouldEqual, limit)
			s.RecordFailure(now, "first", false)
			So(s.Hold(now, limit), ShouldEqual, source.ProbeInterval)
			So(s.Hold(now.Add(2*source.ProbeInterval), limit), ShouldEqual, 0)
			s.Restore("first")
			So(s.Hold(now, limit), ShouldEqual, limit)
		})
	})
}
