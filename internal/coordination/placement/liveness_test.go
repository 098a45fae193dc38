package placement_test

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumvale/internal/coordination/placement"
	"gypsumvale/internal/state/clock"
)

// ownerPool returns a pool that observes all assignments on its engines.
func ownerPool(n int) *placement.Pool {
	p := newPool(n)
	p.SetOwner(start, true)
	return p
}

// placeAt places requests without shared context until one is placed on an endpoint.
func placeAt(p *placement.Pool, now clock.Instant, endpoint string) *placement.Request {
	for {
		req := newRequest("c"+now.Sub(start).String()+endpoint, 0)
		if place(p, now, req).Endpoint == endpoint {
			return req
		}
	}
}

func expectUnresponsive(p *placement.Pool, now clock.Instant, endpoint string, unresponsive bool) {
	for range 8 {
		c := place(p, now, newRequest("other", 0))
		if unresponsive {
			So(c.Endpoint, ShouldNotEqual, endpoint)
		} else if c.Endpoint == endpoint {
			return
		}
	}
	So(unresponsive, ShouldBeTrue)
}

// expectChange checks the change that was reported for one endpoint.
func expectChange(changes []placement.LivenessChange, endpoint string, unresponsive bool) {
	for _, c := range changes {
		if c.Endpoint == endpoint {
			So(c.Unresponsive, ShouldEqual, unresponsive)
			return
		}
	}
	So(changes, ShouldEqual, "a change of "+endpoint)
}

func TestUnresponsiveEndpoints(t *testing.T) {
	Convey("an engine with a request waiting for its first event", t, func() {
		p := ownerPool(2)
		req := placeAt(p, start, "e00")
		Convey("stays in use for as long as such requests usually take", func() {
			So(p.CheckLiveness(start.Add(300*time.Millisecond)), ShouldBeEmpty)
			expectUnresponsive(p, start.Add(300*time.Millisecond), "e00", false)
		})
		Convey("gets no new requests once it shows no activity at all", func() {
			now := start.Add(600 * time.Millisecond)
			p.ApplyCacheUpdate(now, "e01", &placement.CacheUpdate{Epoch: 1})
			expectChange(p.CheckLiveness(now), "e00", true)
			expectUnresponsive(p, now, "e00", true)
			Convey("until it responds again", func() {
				now = now.Add(50 * time.Millisecond)
				p.FirstEvent(now, req.ID)
				p.Done(now, req.ID, placement.OutcomeAnswered)
				p.ApplyCacheUpdate(now, "e00", &placement.CacheUpdate{Epoch: 1})
				expectChange(p.CheckLiveness(now), "e00", false)
				expectUnresponsive(p, now, "e00", false)
			})
		})
		Convey("stays in use while it sends cache updates", func() {
			now := start.Add(600 * time.Millisecond)
			p.ApplyCacheUpdate(now.Add(-100*time.Millisecond), "e00", &placement.CacheUpdate{Epoch: 1})
			p.ApplyCacheUpdate(now.Add(-100*time.Millisecond), "e01", &placement.CacheUpdate{Epoch: 1})
			So(p.CheckLiveness(now), ShouldBeEmpty)
		})
	})
	Convey("unresponsive engines are still used when all are unresponsive", t, func() {
		p := ownerPool(2)
		placeAt(p, start, "e00")
		placeAt(p, start, "e01")
		now := start.Add(time.Second)
		So(len(p.CheckLiveness(now)), ShouldEqual, 2)
		_, err := p.Place(now, newRequest("c", 0))
		So(err, ShouldBeNil)
	})
	Convey("a pool that isn't the owner marks no endpoint as unresponsive", t, func() {
		p := newPool(2)
		placeAt(p, start, "e00")
		So(p.CheckLiveness(start.Add(time.Second)), ShouldBeEmpty)
	})
}
