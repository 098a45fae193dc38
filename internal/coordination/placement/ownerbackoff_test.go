package placement_test

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumvale/internal/coordination/placement"
)

func TestOwnerBackoff(t *testing.T) {
	Convey("an owner that did not answer", t, func() {
		var b placement.OwnerBackoff
		b.RecordFailure(start, "a", start.Add(-80*time.Millisecond))
		Convey("is tried again soon", func() {
			So(b.Active(start.Add(100*time.Millisecond), "a"), ShouldBeTrue)
			So(b.Active(start.Add(200*time.Millisecond), "a"), ShouldBeFalse)
		})
		Convey("is tried less often the longer it doesn't answer, at least once a second", func() {
			now, tries := start, 0
			for ; now < start.Add(10*time.Second); now = now.Add(10 * time.Millisecond) {
				if !b.Active(now, "a") {
					tries++
					b.RecordFailure(now.Add(80*time.Millisecond), "a", now)
				}
			}
			So(tries, ShouldBeBetween, 8, 14)
		})
		Convey("counts requests that were under way together once", func() {
			for range 5 {
				b.RecordFailure(start.Add(10*time.Millisecond), "a", start.Add(-70*time.Millisecond))
			}
			So(b.Active(start.Add(200*time.Millisecond), "a"), ShouldBeFalse)
		})
		Convey("does not keep requests from another owner, or from itself once it has answered", func() {
			So(b.Active(start, "b"), ShouldBeFalse)
			b.RecordAnswer("a")
			So(b.Active(start, "a"), ShouldBeFalse)
		})
	})
}
