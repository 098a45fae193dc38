package placement_test

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumvale/internal/coordination/placement"
)

// A long prefill delayed the events of streams on its engine beyond their target, which no placement considered.
func TestLongPrefillBesideStream(t *testing.T) {
	Convey("on an engine with a stream", t, func() {
		p := newPool(1)
		stride := 9
		placeBoth := func(gap time.Duration) (*placement.Request, error) {
			p.SetEngine(&placement.Engine{Slots: 32, CacheTokens: 100000, TokenSeconds: 1e-6, Stride: stride})
			stream, long := newRequest("a", 0), newRequest("b", 12000)
			stream.TargetEventGap = gap
			long.TargetDeadline = start.Add(800 * time.Millisecond)
			place(p, start, stream)
			p.FirstEvent(start, stream.ID)
			_, err := p.Place(start, long)
			return long, err
		}
		Convey("a long prefill waits for half of the time to its own target", func() {
			long, err := placeBoth(200 * time.Millisecond)
			So(err, ShouldEqual, placement.ErrQueued)
			So(p.PredictedGap(start), ShouldBeBetween, 0, 200*time.Millisecond)
			So(p.ProcessQueue(start.Add(390*time.Millisecond)), ShouldBeEmpty)
			grants := p.ProcessQueue(start.Add(450 * time.Millisecond))
			So(grants, ShouldHaveLength, 1)
			So(grants[0].Request, ShouldEqual, long)
			So(grants[0].Err, ShouldBeNil)
			So(p.TakePacedRequests(), ShouldEqual, 1)
		})
		Convey("it doesn't wait", func() {
			Convey("if the target is met while it is prefilled", func() {
				_, err := placeBoth(500 * time.Millisecond)
				So(err, ShouldBeNil)
			})
			Convey("if the target is missed without it", func() {
				_, err := placeBoth(20 * time.Millisecond)
				So(err, ShouldBeNil)
			})
			Convey("if the stream has no target", func() {
				_, err := placeBoth(0)
				So(err, ShouldBeNil)
			})
			Convey("if the stride isn't known", func() {
				stride = 0
				_, err := placeBoth(200 * time.Millisecond)
				So(err, ShouldBeNil)
			})
		})
	})
}
