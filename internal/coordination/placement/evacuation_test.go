package placement_test

import (
	"errors"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumvale/internal/coordination/placement"
	"gypsumvale/internal/state/registration"
)

// evacuatedZones are evacuated zones by name.
type evacuatedZones map[string]bool

func (z evacuatedZones) Empty() bool                { return len(z) == 0 }
func (z evacuatedZones) Evacuated(zone string) bool { return z[zone] }

func TestPlacementInEvacuatedZone(t *testing.T) {
	Convey("a pool of engines in two zones", t, func() {
		zones := evacuatedZones{}
		p := placement.NewPool(placement.Config{PrefillRate: prefillRate, Evacuations: zones})
		p.SetEngine(&placement.Engine{Slots: 32, CacheTokens: 100000, TokenSeconds: 1e-6})
		list := endpoints(4)
		byID := make(map[string]*registration.Registration)
		for i, r := range list {
			r.Zone = []string{"a", "b"}[i%2]
			byID[r.ID] = r
		}
		p.SetEndpoints(list)
		placedIn := func(req *placement.Request) string {
			c := place(p, start.Add(time.Second), req)
			So(c.Zone, ShouldEqual, byID[c.Endpoint].Zone)
			return c.Zone
		}

		Convey("places nothing in an evacuated one, which stays a source of its contexts", func() {
			first := newRequest("c", 8000)
			holder := place(p, start, first)
			So(holder.Zone, ShouldEqual, "a")
			answer(p, start.Add(200*time.Millisecond), first)
			zones["a"] = true
			fetching := place(p, start.Add(time.Second), newRequest("c", 8000))
			So(fetching.Zone, ShouldEqual, "b")
			So(fetching.FetchFrom[0], ShouldEqual, holder.Address)
			for range 10 {
				So(placedIn(newRequest("c", 8000)), ShouldEqual, "b")
			}
		})
		Convey("without a leader sends all requests of a context to one home in the others, whatever else an entry runs", func() {
			zones["a"] = true
			other := placement.NewPool(placement.Config{PrefillRate: prefillRate, Evacuations: zones})
			// On slow links, a fetch from the home is no alternative to it.
			other.SetEngine(&placement.Engine{Slots: 32, CacheTokens: 100000, TokenSeconds: 1e-4})
			other.SetEndpoints(list[1:2])
			place(other, start, newRequest("busy", 0))
			other.SetEndpoints(list)
			alone := func(p *placement.Pool, context string) string {
				req := newRequest(context, 8000)
				req.Uncoordinated = true
				c := place(p, start, req)
				So(c.Zone, ShouldEqual, "b")
				p.Done(start, req.ID, placement.OutcomeWithdrawn)
				return c.Endpoint
			}
			for _, context := range []string{"c", "d", "e", "f", "g", "h"} {
				So(alone(p, context), ShouldEqual, alone(other, context))
			}
		})
		Convey("doesn't use one as the last resort", func() {
			zones["a"] = true
			for _, r := range list {
				p.WeightsLoading(r.ID, start.Add(time.Minute))
			}
			p.WeightsLoading(list[0].ID, 0)
			_, err := p.PlaceNow(start, newRequest("c", 8000))
			So(err, ShouldEqual, placement.ErrNoEndpoint)
		})
		Convey("queues what the others have no capacity for, and grants nothing in it", func() {
			zones["a"] = true
			queued := 0
			for range 100 {
				if _, err := p.Place(start, newRequest("own", 0)); errors.Is(err, placement.ErrQueued) {
					queued++
				}
			}
			So(queued, ShouldBeGreaterThan, 0)
			for _, g := range p.ProcessQueue(start.Add(50 * time.Millisecond)) {
				So(g.Choice.Zone, ShouldNotEqual, "a")
			}
			Convey("and rejects it at once when the others are evacuated too", func() {
				waiting := p.Waiting()
				zones["b"] = true
				grants := p.ProcessQueue(start.Add(100 * time.Millisecond))
				So(grants, ShouldHaveLength, waiting)
				for _, g := range grants {
					So(g.Err, ShouldEqual, placement.ErrZonesEvacuated)
				}
			})
		})
		Convey("rejects a request at once when all are evacuated", func() {
			zones["a"], zones["b"] = true, true
			expectError(p, start, newRequest("c", 8000), placement.ErrZonesEvacuated)
			So(errors.Is(placement.ErrZonesEvacuated, placement.ErrNoEndpoint), ShouldBeTrue)
		})
	})
}

func TestSavesInEvacuatedZone(t *testing.T) {
	Convey("a pool saves no parts to a store in an evacuated zone, and fetches from it", t, func() {
		zones := evacuatedZones{}
		p := placement.NewPool(placement.Config{PrefillRate: prefillRate, Evacuations: zones})
		p.SetEngine(&placement.Engine{Slots: 32, CacheTokens: 100000, TokenSeconds: 1e-6})
		p.SetEndpoints(endpoints(2))
		p.SetOwner(start, true)
		p.SetStores(start, []placement.CacheStore{{Name: "s", Address: "10.0.1.1:80", Zone: "b", Capacity: 100000, TokenSeconds: 1e-6}})
		later := start.Add(20 * time.Second)
		p.ApplyStoreListing(later, "s", &placement.StoreListing{
			Epoch: 1, ClockMillis: 1000, Complete: []placement.ListedPart{{Space: "w1", Part: "stored", Tokens: 8000}},
		})
		for _, id := range []string{"e00", "e01"} {
			p.ApplyCacheUpdate(later, id, &placement.CacheUpdate{ClockMillis: 1000})
		}
		request := func(context string) *placement.Request {
			req := newRequest(context, 8000)
			req.FirstEventDeadline, req.Deadline = later.Add(time.Minute), later.Add(time.Minute)
			return req
		}
		So(place(p, later, request("c")).SaveTo, ShouldNotBeEmpty)
		zones["b"] = true
		So(place(p, later, request("d")).SaveTo, ShouldBeEmpty)
		So(place(p, later, request("stored")).FetchFrom, ShouldContain, "10.0.1.1:80")
	})
}
