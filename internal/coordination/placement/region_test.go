package placement_test

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumvale/internal/coordination/placement"
)

func TestPlacementInAllowedRegions(t *testing.T) {
	Convey("a pool of engines in two regions and in a zone of none", t, func() {
		zones := evacuatedZones{}
		p := placement.NewPool(placement.Config{
			PrefillRate: prefillRate, Regions: map[string]string{"a": "north", "b": "south"}, Evacuations: zones,
		})
		p.SetEngine(&placement.Engine{Slots: 32, CacheTokens: 100000, TokenSeconds: 1e-6})
		list := endpoints(6)
		for i, r := range list {
			r.Zone = []string{"a", "b", "c"}[i%3]
		}
		p.SetEndpoints(list)
		p.SetOwner(start, true)
		p.SetStores(start, []placement.CacheStore{{Name: "s", Address: "10.0.1.1:80", Zone: "a", Capacity: 1 << 20, TokenSeconds: 1e-6}})
		later := start.Add(20 * time.Second)
		p.ApplyStoreListing(later, "s", &placement.StoreListing{
			Epoch: 1, ClockMillis: 1000, Complete: []placement.ListedPart{{Space: "w1", Part: "stored", Tokens: 8000}},
		})
		for _, r := range list {
			p.ApplyCacheUpdate(later, r.ID, &placement.CacheUpdate{ClockMillis: 1000})
		}
		request := func(context string, regions ...string) *placement.Request {
			req := newRequest(context, 8000)
			req.AllowedRegions, req.FirstEventDeadline, req.Deadline = regions, later.Add(time.Minute), later.Add(time.Minute)
			return req
		}
		Convey("places a request only in its regions, with a leader and without one", func() {
			for range 20 {
				for _, alone := range []bool{false, true} {
					req := request("c", "south")
					req.Uncoordinated = alone
					So(place(p, later, req).Zone, ShouldEqual, "b")
					answer(p, later, req)
				}
			}
		})
		Convey("places nothing where no endpoint is in its regions", func() {
			expectError(p, later, request("c", "west"), placement.ErrNoEndpoint)
		})
		Convey("refuses a request whose regions are evacuated, and serves others", func() {
			zones["b"] = true
			expectError(p, later, request("c", "south"), placement.ErrZonesEvacuated)
			So(place(p, later, request("c", "south", "north")).Zone, ShouldEqual, "a")
		})
		Convey("fetches from and saves to nothing outside its regions", func() {
			first := request("c")
			holder := place(p, later, first)
			So(holder.Zone, ShouldEqual, "a")
			So(holder.SaveTo, ShouldContain, "10.0.1.1:80")
			answer(p, later.Add(200*time.Millisecond), first)
			elsewhere := place(p, later.Add(time.Second), request("c", "south"))
			So(elsewhere.Fetched, ShouldEqual, 0)
			So(elsewhere.FetchFrom, ShouldNotContain, holder.Address)
			So(place(p, later.Add(time.Second), request("stored", "south")).FetchFrom, ShouldBeEmpty)
			So(place(p, later.Add(time.Second), request("d", "south")).SaveTo, ShouldBeEmpty)
			So(place(p, later.Add(time.Second), request("stored", "north")).FetchFrom, ShouldContain, "10.0.1.1:80")
			So(place(p, later.Add(time.Second), request("e", "north")).SaveTo, ShouldContain, "10.0.1.1:80")
		})
	})
}
