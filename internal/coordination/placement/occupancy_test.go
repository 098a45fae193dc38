package placement_test

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumvale/internal/coordination/placement"
)

// Shared parts were counted once for each request, so that engines ran fewer requests with a common context than they had memory for, and
// reservations of up to 1.2 of the memory had running requests preempted.
func TestMemoryOfSharedParts(t *testing.T) {
	Convey("on an engine with memory for 73,700 tokens, for streams with a gap target", t, func() {
		p := newPool(1)
		p.SetEngine(&placement.Engine{Slots: 32, CacheTokens: 73700, TokenSeconds: 1e-6, Stride: 9})
		now := start
		try := func(context string, hint int) (*placement.Request, error) {
			req := newRequest(context, 30000)
			req.Output, req.LengthHint, req.TargetEventGap = 20000, hint, 400*time.Millisecond
			_, err := p.Place(now, req)
			return req, err
		}
		first, err := try("c", 1000)
		So(err, ShouldBeNil)
		p.FirstEvent(now, first.ID)
		Convey("a prefilled context is counted once", func() {
			for range 10 {
				req, err := try("c", 1000)
				So(err, ShouldBeNil)
				p.FirstEvent(now, req.ID)
			}
		})
		Convey("a second context fits, and a third waits until requests have ended", func() {
			second, err := try("d", 1000)
			So(err, ShouldBeNil)
			p.FirstEvent(now, second.ID)
			third, err := try("e", 1000)
			So(err, ShouldEqual, placement.ErrQueued)
			for _, req := range []*placement.Request{first, second} {
				now = now.Add(100 * time.Millisecond)
				p.Done(now, req.ID, placement.OutcomeAnswered)
			}
			grants := p.ProcessQueue(now)
			So(grants, ShouldHaveLength, 1)
			So(grants[0].Request, ShouldEqual, third)
			So(grants[0].Err, ShouldBeNil)
		})
		Convey("without a hint the largest output is counted", func() {
			_, err := try("d", 0)
			So(err, ShouldEqual, placement.ErrQueued)
		})
	})
}
