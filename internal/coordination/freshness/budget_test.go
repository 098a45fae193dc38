package freshness_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumvale/internal/coordination/freshness"
	"gypsumvale/internal/state/clock"
)

func TestBudget(t *testing.T) {
	for _, bound := range []time.Duration{time.Second, 2 * time.Second, 3 * time.Second, 4 * time.Second} {
		Convey(fmt.Sprintf("the budget of a bound of %v", bound), t, func() {
			b := freshness.NewBudget(bound)
			Convey("has time for two failed reads and a third one that is as slow", func() {
				worst := b.MaxAge(false)
				for failed := range 3 {
					worst += b.ReadTimeout(failed) + b.Pause(failed)
				}
				So(worst, ShouldBeLessThan, bound)
			})
			Convey("has time for these after the reads were spread, whatever an instance's position", func() {
				confirmedAt := clock.Instant(time.Hour)
				last := b.ReadAt(confirmedAt, freshness.Source{Position: 1})
				worst := last.Sub(confirmedAt)
				for failed := range 3 {
					worst += b.ReadTimeout(failed) + b.Pause(failed)
				}
				So(worst, ShouldBeLessThan, bound)
				So(b.ReadAt(confirmedAt, freshness.Source{}).Sub(confirmedAt), ShouldEqual, b.MaxAge(false))
				So(b.ReadAt(confirmedAt, freshness.Source{Position: 0.5}), ShouldBeBetween, confirmedAt.Add(b.MaxAge(false)), last)
			})
			Convey("waits for a relay that sends, but not for long after it has stopped, and not beyond the time for a read", func() {
				confirmedAt := clock.Instant(time.Hour)
				readAt := func(progress time.Duration) time.Duration {
					return b.ReadAt(confirmedAt, freshness.Source{ProgressAt: confirmedAt.Add(progress)}).Sub(confirmedAt)
				}
				So(readAt(0), ShouldEqual, b.MaxAge(false))
				So(readAt(b.MaxAge(false)), ShouldBeBetween, b.MaxAge(false), b.MaxAge(false)+bound/5)
				So(readAt(bound)+b.ReadTimeout(0)+b.Pause(0), ShouldBeLessThan, bound)
				relay := freshness.Source{IsRelay: true, Position: 1}
				So(b.ReadAt(confirmedAt, relay).Sub(confirmedAt), ShouldEqual, b.MaxAge(true))
				relay.ProgressAt = confirmedAt.Add(b.MaxAge(true))
				So(b.ReadAt(confirmedAt, relay).Sub(confirmedAt), ShouldBeGreaterThan, b.MaxAge(true))
			})
			Convey("is exceeded by an instance that adopts a newer configuration, and not by one that only hears something", func() {
				confirmedAt := clock.Instant(time.Hour)
				late := confirmedAt.Add(bound)
				So(b.Behind(late, confirmedAt, freshness.Source{Adopting: true}), ShouldBeTrue)
				So(b.Behind(late-1, confirmedAt, freshness.Source{Adopting: true}), ShouldBeFalse)
				So(b.Behind(late, confirmedAt, freshness.Source{ProgressAt: late}), ShouldBeFalse)
			})
			Convey("asks another zone's relay after the regular reads and before its own", func() {
				readAt := b.ReadAt(0, freshness.Source{})
				So(b.AskAt(readAt), ShouldBeBetweenOrEqual, clock.Instant(b.MaxAge(true)), readAt)
			})
			Convey("leaves time for a regular read of the relay, which reads each quarter of the bound, and for its own read before its followers'", func() {
				So(b.MaxAge(true), ShouldBeGreaterThan, bound/4)
				So(b.MaxAge(false), ShouldBeGreaterThan, b.MaxAge(true))
			})
			Convey("reads slowly once the bound has passed", func() {
				So(b.Pause(3), ShouldBeGreaterThanOrEqualTo, bound/4)
			})
		})
	}
}
