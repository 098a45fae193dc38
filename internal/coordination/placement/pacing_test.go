package placement_test

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumvale/internal/coordination/placement"
)

// Load pattern: a long prompt arrives while one engine runs streams close to their gap target and another is busier with requests that have
// none. Guards against a placement that compares engines by the first event alone, which delayed the events of the streams.
func TestLongPrefillBesideStream(t *testing.T) {
	Convey("with streams on one engine and more requests without a gap target on another", t, func() {
		p := newPool(2)
		stride := 9
		placeLong := func(gap time.Duration) string {
			p.SetEngine(&placement.Engine{Slots: 32, CacheTokens: 100000, TokenSeconds: 1e-6, Stride: stride})
			var streams, others string
			for range 4 {
				stream := newRequest("s", 2000)
				stream.TargetEventGap = gap
				streams = place(p, start, stream).Endpoint
				p.FirstEvent(start, stream.ID)
			}
			for range 8 {
				other := newRequest("o", 2000)
				other.Avoid = []string{streams}
				others = place(p, start, other).Endpoint
				p.FirstEvent(start, other.ID)
			}
			So(streams, ShouldNotEqual, others)
			long := newRequest("l", 12000)
			long.TargetDeadline = start.Add(800 * time.Millisecond)
			if at := place(p, start, long).Endpoint; at != streams {
				return "others"
			}
			return "streams"
		}
		Convey("a long prompt goes where no stream misses its target", func() { So(placeLong(200*time.Millisecond), ShouldEqual, "others") })
		Convey("it goes to the engine with fewer requests", func() {
			Convey("if no stream has a target", func() { So(placeLong(0), ShouldEqual, "streams") })
			Convey("if the stride isn't known", func() {
				stride = 0
				So(placeLong(200*time.Millisecond), ShouldEqual, "streams")
			})
		})
	})
}
