package placement_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumvale/internal/coordination/placement"
)

func TestLargeFleet(t *testing.T) {
	const fleetSize = 3000
	Convey("a pool of 3,000 engines", t, func() {
		p := newPool(fleetSize)
		Convey("evaluates few endpoints per request, and spreads requests over all", func() {
			used := make(map[string]bool)
			for i := range 600 {
				used[place(p, start, newRequest(fmt.Sprint("c", i), 2000)).Endpoint] = true
			}
			So(p.Evaluations(), ShouldBeLessThanOrEqualTo, 600*50)
			So(len(used), ShouldBeGreaterThan, 500)
		})
		Convey("sends a context back to the endpoint that has it cached", func() {
			first := newRequest("c", 8000)
			at := place(p, start, first).Endpoint
			answer(p, start.Add(200*time.Millisecond), first)
			for i := range 20 {
				again := newRequest("c", 8000)
				c := place(p, start.Add(time.Duration(i+1)*time.Second), again)
				So(c.Endpoint, ShouldEqual, at)
				answer(p, start.Add(time.Duration(i+1)*time.Second+100*time.Millisecond), again)
			}
		})
		Convey("finds the only engine whose weights may still be used", func() {
			p.SetTargetVersion(model, placement.TargetVersion{Version: 2, AnnouncedAfter: start})
			p.WeightsLoaded("e1234", model, 2)
			So(place(p, start.Add(10*time.Second), newRequest("c", 100)).Endpoint, ShouldEqual, "e1234")
		})
	})
}
