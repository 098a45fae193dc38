package freshness_test

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumvale/internal/coordination/freshness"
	"gypsumvale/internal/state/clock"
)

func TestProof(t *testing.T) {
	Convey("a proof", t, func() {
		var p freshness.Confirmation
		now := clock.Instant(time.Hour)
		Convey("is older than any bound before the first read", func() { So(p.Age(now), ShouldBeGreaterThan, 1000*time.Hour) })
		Convey("counts from when the read was sent", func() {
			p.Confirm(now)
			So(p.Age(now.Add(time.Second)), ShouldEqual, time.Second)
		})
		Convey("isn't made older by a read that comes late", func() {
			p.Confirm(now)
			p.Confirm(now.Add(-time.Second))
			So(p.Age(now), ShouldEqual, 0)
		})
	})
}
