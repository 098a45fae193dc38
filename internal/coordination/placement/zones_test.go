package placement_test

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumvale/internal/coordination/placement"
	"gypsumvale/internal/state/clock"
)

// evacuatedZones are evacuated zones by name.
type evacuatedZones map[string]bool

func (z evacuatedZones) Empty() bool                { return len(z) == 0 }
func (z evacuatedZones) Evacuated(zone string) bool { return z[zone] }

const (
	// zonesListed is when the store of a zonedPool was listed, after which it takes saves.
	zonesListed  = start + clock.Instant(20*time.Second)
	storeAddress = "10.0.1.1:80"
)

// zonedPool returns a pool of two engines each in the zones a and b, which are in the regions north and south, and in c, which is in none, and of a
// store in zone a that holds a part.
func zonedPool(zones evacuatedZones, tokenSeconds float64) *placement.Pool {
	p := placement.NewPool(placement.Config{
		PrefillRate: prefillRate, Regions: map[string]string{"a": "north", "b": "south"}, Evacuations: zones,
	})
	p.SetEngine(&placement.Engine{Slots: 32, CacheTokens: 100000, TokenSeconds: tokenSeconds})
	list := endpoints(6)
	for i, r := range list {
		r.Zone = []string{"a", "b", "c"}[i%3]
	}
	p.SetEndpoints(list)
	p.SetOwner(start, true)
	p.SetStores(start, []placement.CacheStore{{Name: "s", Address: storeAddress, Zone: "a", Capacity: 1 << 20, TokenSeconds: 1e-6}})
	p.ApplyStoreListing(zonesListed, "s", &placement.StoreListing{
		Epoch: 1, ClockMillis: 1000, Complete: []placement.ListedPart{{Space: "w1", Part: "stored", Tokens: 8000}},
	})
	for _, r := range list {
		p.ApplyCacheUpdate(zonesListed, r.ID, &placement.CacheUpdate{ClockMillis: 1000})
	}
	return p
}

// placeZoned places and ends a request that may use some regions.
func placeZoned(p *placement.Pool, alone bool, context string, regions ...string) placement.Choice {
	req := zonedRequest(context, regions...)
	req.Uncoordinated = alone
	c := place(p, zonesListed, req)
	answer(p, zonesListed, req)
	return c
}

func zonedRequest(context string, regions ...string) *placement.Request {
	req := newRequest(context, 8000)
	req.AllowedRegions, req.FirstEventDeadline, req.Deadline = regions, zonesListed.Add(time.Minute), zonesListed.Add(time.Minute)
	return req
}

func TestPlacementInEvacuatedZone(t *testing.T) {
	Convey("a pool of engines in several zones", t, func() {
		zones := evacuatedZones{}
		p := zonedPool(zones, 1e-6)
		Convey("places and saves nothing in an evacuated one, which stays a source of its contexts", func() {
			holder := placeZoned(p, false, "c")
			So(holder.Zone, ShouldEqual, "a")
			So(holder.SaveTo, ShouldContain, storeAddress)
			zones["a"] = true
			So(placeZoned(p, false, "c").FetchFrom, ShouldContain, holder.Address)
			So(placeZoned(p, false, "stored").FetchFrom, ShouldContain, storeAddress)
			So(placeZoned(p, false, "d").SaveTo, ShouldBeEmpty)
			for range 10 {
				So(placeZoned(p, false, "c").Zone, ShouldNotEqual, "a")
			}
		})
		Convey("without a leader sends a context to its home in the others, whatever else an entry runs", func() {
			zones["a"] = true
			// On slow links, a fetch from the home is no alternative to it.
			busy := zonedPool(zones, 1e-4)
			place(busy, zonesListed, zonedRequest("own"))
			for _, context := range []string{"c", "d", "e", "f", "g", "h"} {
				c := placeZoned(p, true, context)
				So(c.Zone, ShouldNotEqual, "a")
				So(placeZoned(busy, true, context).Endpoint, ShouldEqual, c.Endpoint)
			}
		})
		Convey("uses one neither as the last resort nor for what is queued", func() {
			for _, id := range []string{"e01", "e02", "e04", "e05"} {
				p.WeightsLoading(id, zonesListed.Add(time.Minute))
			}
			zones["a"] = true
			_, err := p.PlaceNow(zonesListed, zonedRequest("c"))
			So(err, ShouldEqual, placement.ErrNoEndpoint)
			delete(zones, "a")
			for p.Waiting() == 0 {
				_, _ = p.Place(zonesListed, zonedRequest("own"))
			}
			zones["a"], zones["b"], zones["c"] = true, true, true
			grants := p.ProcessQueue(zonesListed.Add(time.Second))
			So(grants, ShouldHaveLength, 1)
			So(grants[0].Err, ShouldEqual, placement.ErrZonesEvacuated)
			expectError(p, zonesListed, zonedRequest("c"), placement.ErrZonesEvacuated)
		})
	})
}

func TestPlacementInAllowedRegions(t *testing.T) {
	Convey("a pool of engines in two regions and in a zone of none", t, func() {
		zones := evacuatedZones{}
		p := zonedPool(zones, 1e-6)
		Convey("places a request only in its regions", func() {
			for range 20 {
				So(placeZoned(p, false, "c", "south").Zone, ShouldEqual, "b")
				So(placeZoned(p, true, "c", "south").Zone, ShouldEqual, "b")
			}
			expectError(p, zonesListed, zonedRequest("c", "west"), placement.ErrNoEndpoint)
			zones["b"] = true
			expectError(p, zonesListed, zonedRequest("c", "south"), placement.ErrZonesEvacuated)
			So(placeZoned(p, false, "c", "south", "north").Zone, ShouldEqual, "a")
		})
		Convey("fetches from and saves to nothing outside its regions", func() {
			holder := placeZoned(p, false, "c")
			So(holder.Zone, ShouldEqual, "a")
			So(placeZoned(p, false, "c", "south").FetchFrom, ShouldNotContain, holder.Address)
			So(placeZoned(p, false, "stored", "south").FetchFrom, ShouldBeEmpty)
			So(placeZoned(p, false, "d", "south").SaveTo, ShouldBeEmpty)
			So(placeZoned(p, false, "stored", "north").FetchFrom, ShouldContain, storeAddress)
			So(placeZoned(p, false, "e", "north").SaveTo, ShouldContain, storeAddress)
		})
	})
}
