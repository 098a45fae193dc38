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
		var p freshness.Confirmation
		now := clock.Instant(time.Hour)
		Convey("is older than any limit before the first read", func() { So(p.Age(now), ShouldBeGreaterThan, 1000*time.Hour) })
		Convey("has the age of the read since it was sent", func() {
			p.Confirm(now)
			So(p.Age(now.Add(time.Second)), ShouldEqual, time.Second)
		})
		Convey("is not replaced by a read that was sent earlier", func() {
			p.Confirm(now)
			p.Confirm(now.Add(-time.Second))
			So(p.Age(now), ShouldEqual, 0)
		})
	})
}
