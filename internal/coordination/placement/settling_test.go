package placement_test

import (
	"errors"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumvale/internal/coordination/placement"
	"gypsumvale/internal/state/clock"
	"gypsumvale/internal/state/registration"
)

// Guards against streams that begin at a version before all instances have heard of it.
func TestSettlingVersion(t *testing.T) {
	Convey("while one of a service's versions settles", t, func() {
		const settlesIn = 1500 * time.Millisecond
		list := endpoints(2)
		list[0].Software, list[1].Software = "v1", "v2"
		list[0].Slots = 2
		p := placement.NewPool(placement.Config{PrefillRate: prefillRate})
		p.SetEngine(&placement.Engine{Slots: 32, CacheTokens: 100000, TokenSeconds: 1e-6})
		p.SetEndpoints(list)
		p.SetSettling(map[string]clock.Instant{"v2": start.Add(settlesIn)})
		request := func() *placement.Request {
			req := newRequest("c", 100)
			req.Stream, req.FirstEventDeadline, req.Deadline = 1, start.Add(2*time.Second), start.Add(15*time.Second)
			return req
		}
		Convey("streams begin at the other one, and wait while it is full", func() {
			for range 2 {
				c, err := p.Place(start, request())
				So(err, ShouldBeNil)
				So(c.Endpoint, ShouldEqual, list[0].ID)
			}
			_, err := p.Place(start, request())
			So(err, ShouldEqual, placement.ErrQueued)
			So(p.ProcessQueue(start.Add(time.Second)), ShouldBeEmpty)
			Convey("until the version has settled", func() {
				p.SetSettling(nil)
				grants := p.ProcessQueue(start.Add(settlesIn))
				So(grants, ShouldHaveLength, 1)
				So(grants[0].Choice.Endpoint, ShouldEqual, list[1].ID)
			})
		})
		Convey("requests that begin no such stream, and streams that began there, run on it", func() {
			used := make(map[string]bool)
			for range 4 {
				c, err := p.Place(start, newRequest("c", 100))
				So(err, ShouldBeNil)
				used[c.Endpoint] = true
			}
			So(used, ShouldContainKey, list[1].ID)
			p.SetEndpoints(list[1:])
			next := request()
			next.TakesUp, next.Software = true, "v2"
			_, err := p.PlaceNow(start, next)
			So(err, ShouldBeNil)
		})
		Convey("a stream that no other version can begin is rejected with the time at which it may, or waits for it", func() {
			p.SetEndpoints(list[1:])
			_, err := p.PlaceNow(start, request())
			var overload *placement.OverloadError
			So(errors.As(err, &overload), ShouldBeTrue)
			So(overload.RetryAt, ShouldEqual, start.Add(settlesIn))
			late := request()
			late.FirstEventDeadline = start.Add(time.Second)
			_, err = p.Place(start, late)
			So(errors.As(err, &overload), ShouldBeTrue)
			So(overload.RetryAt, ShouldEqual, start.Add(settlesIn))
			_, err = p.Place(start, request())
			So(err, ShouldEqual, placement.ErrQueued)
		})
	})
}

// Guards against a stream's version that is taken from an endpoint which has started again with other software since it was chosen.
func TestAssignedSoftware(t *testing.T) {
	Convey("an assignment keeps the software version that its endpoint had when it was chosen", t, func() {
		list := endpoints(1)
		list[0].Software = "v1"
		p := placement.NewPool(placement.Config{PrefillRate: prefillRate})
		p.SetEngine(&placement.Engine{Slots: 32, CacheTokens: 100000, TokenSeconds: 1e-6})
		p.SetEndpoints(list)
		req := newRequest("c", 100)
		So(place(p, start, req).Software, ShouldEqual, "v1")
		next := *list[0]
		next.Software, next.StartMilli = "v2", 2
		p.SetEndpoints([]*registration.Registration{&next})
		_, software := p.Assigned(req.ID)
		So(software, ShouldEqual, "v1")
	})
}
