package succession_test

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumvale/internal/coordination/succession"
	"gypsumvale/internal/state/clock"
)

func TestDelays(t *testing.T) {
	Convey("delays of an instance", t, func() {
		var d succession.Delays
		now := clock.Instant(1)
		record := func(delay time.Duration, samples int) (changes int) {
			for range samples {
				now = now.Add(succession.SamplePeriod)
				if d.Record(now, delay) {
					changes++
				}
			}
			return changes
		}
		record(time.Millisecond/2, 50)
		So(d.Behind(), ShouldBeFalse)
		Convey("that paused once, however long, don't make it behind", func() {
			So(record(time.Minute, 1), ShouldEqual, 0)
			So(record(time.Millisecond/2, 50), ShouldEqual, 0)
		})
		Convey("that stay long make it behind within a second", func() {
			So(record(30*time.Millisecond, 10), ShouldEqual, 1)
			So(d.Behind(), ShouldBeTrue)
			since := d.BehindSince()
			So(now.Sub(since), ShouldBeLessThan, time.Second)
			Convey("and once only, if they stay between the thresholds", func() {
				So(record(7*time.Millisecond, 100), ShouldEqual, 0)
				So(d.BehindSince(), ShouldEqual, since)
			})
			Convey("until they are short again for some seconds", func() {
				So(record(time.Millisecond/2, 30), ShouldEqual, 1)
				So(d.Behind(), ShouldBeFalse)
				So(d.BehindSince(), ShouldEqual, clock.Instant(0))
			})
		})
	})
}
