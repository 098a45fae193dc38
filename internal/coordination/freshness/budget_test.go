package freshness_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumvale/internal/coordination/freshness"
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
