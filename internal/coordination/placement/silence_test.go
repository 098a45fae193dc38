package placement_test

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumvale/internal/coordination/placement"
	"gypsumvale/internal/state/clock"
)

// ownedPool returns a pool that hears of all uses of its engines.
func ownedPool(n int) *placement.Pool {
	p := newPool(n)
	p.SetOwner(start, true)
	return p
}

// placeAt places asks of their own contexts until one goes to an endpoint.
func placeAt(p *placement.Pool, now clock.Instant, endpoint string) *placement.Request {
	for {
		a := ask("c"+now.Sub(start).String()+endpoint, 0)
		if place(p, now, a).Endpoint == endpoint {
			return a
		}
	}
}

func expectSilent(p *placement.Pool, now clock.Instant, endpoint string, silent bool) {
	for range 8 {
		c := place(p, now, ask("other", 0))
		if silent {
			So(c.Endpoint, ShouldNotEqual, endpoint)
		} else if c.Endpoint == endpoint {
			return
		}
	}
	So(silent, ShouldBeTrue)
}

// expectChange looks for what has changed of one endpoint.
func expectChange(changes []placement.LivenessChange, endpoint string, silent bool) {
	for _, c := range changes {
		if c.Endpoint == endpoint {
			So(c.Unresponsive, ShouldEqual, silent)
			return
		}
	}
	So(changes, ShouldEqual, "a change of "+endpoint)
}

func TestSilence(t *testing.T) {
	Convey("an engine with a request that waits for its first event", t, func() {
		p := ownedPool(2)
		a := placeAt(p, start, "e00")
		Convey("stays in use for as long as such requests take", func() {
			So(p.CheckLiveness(start.Add(300*time.Millisecond)), ShouldBeEmpty)
			expectSilent(p, start.Add(300*time.Millisecond), "e00", false)
		})
		Convey("gets nothing new once nothing at all has come from it", func() {
			now := start.Add(600 * time.Millisecond)
			p.ApplyCacheUpdate(now, "e01", &placement.CacheUpdate{Epoch: 1})
			expectChange(p.CheckLiveness(now), "e00", true)
			expectSilent(p, now, "e00", true)
			Convey("until it is heard again", func() {
				now = now.Add(50 * time.Millisecond)
				p.FirstEvent(now, a.ID)
				p.Done(now, a.ID, placement.OutcomeAnswered)
				p.ApplyCacheUpdate(now, "e00", &placement.CacheUpdate{Epoch: 1})
				expectChange(p.CheckLiveness(now), "e00", false)
				expectSilent(p, now, "e00", false)
			})
		})
		Convey("stays in use while it is heard of by other ways", func() {
			now := start.Add(600 * time.Millisecond)
			p.ApplyCacheUpdate(now.Add(-100*time.Millisecond), "e00", &placement.CacheUpdate{Epoch: 1})
			p.ApplyCacheUpdate(now.Add(-100*time.Millisecond), "e01", &placement.CacheUpdate{Epoch: 1})
			So(p.CheckLiveness(now), ShouldBeEmpty)
		})
	})
	Convey("engines that are all silent are the last resort", t, func() {
		p := ownedPool(2)
		placeAt(p, start, "e00")
		placeAt(p, start, "e01")
		now := start.Add(time.Second)
		So(len(p.CheckLiveness(now)), ShouldEqual, 2)
		_, err := p.Place(now, ask("c", 0))
		So(err, ShouldBeNil)
	})
	Convey("a pool that isn't the owner's believes no silence", t, func() {
		p := newPool(2)
		placeAt(p, start, "e00")
		So(p.CheckLiveness(start.Add(time.Second)), ShouldBeEmpty)
	})
}
