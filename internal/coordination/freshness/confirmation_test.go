package freshness_test

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumvale/internal/coordination/freshness"
	"gypsumvale/internal/state/clock"
)

func TestConfirmation(t *testing.T) {
	Convey("a confirmation", t, func() {
		var c freshness.Confirmation
		now := clock.Instant(time.Hour)
		Convey("is older than any limit before the first read", func() { So(c.Age(now), ShouldBeGreaterThan, 1000*time.Hour) })
		Convey("has the age of the read since it was sent", func() {
			c.Confirm(now)
			So(c.Age(now.Add(time.Second)), ShouldEqual, time.Second)
		})
		Convey("is not replaced by a read that was sent earlier", func() {
			c.Confirm(now)
			c.Confirm(now.Add(-time.Second))
			So(c.Age(now), ShouldEqual, 0)
		})
	})
}
