package placement_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumvale/internal/coordination/placement"
	"gypsumvale/internal/state/clock"
	"gypsumvale/internal/state/prompt"
	"gypsumvale/internal/state/registration"
)

const (
	start       = clock.Instant(time.Hour)
	model       = "m"
	prefillRate = 60000.0
)

func endpoints(n int) []*registration.Registration {
	list := make([]*registration.Registration, n)
	for i := range list {
		list[i] = &registration.Registration{
			ID: fmt.Sprintf("e%02d", i), Service: "llm", Address: fmt.Sprintf("10.0.0.%d:80", i+1), Zone: "a", Slots: 32,
			Versions: map[string]int{model: 1}, StartMilli: 1,
		}
	}
	return list
}

func newPool(n int) *placement.Pool {
	p := placement.NewPool(placement.Config{PrefillRate: prefillRate, OldWeightsGrace: 6500 * time.Millisecond})
	p.SetEngine(&placement.Engine{Slots: 32, CacheTokens: 100000, TokenSeconds: 1e-6})
	p.SetEndpoints(endpoints(n))
	return p
}

var requestCount uint64

// newRequest returns a request with a shared context of some tokens and 1,000 tokens of its own.
func newRequest(context string, shared int) *placement.Request {
	requestCount++
	return &placement.Request{
		ID: placement.AssignmentID{Entry: "x", Number: requestCount}, Service: "llm", Zone: "a", Model: model, Prompt: shared + 1000, Output: 50,
		Parts:              []prompt.Part{{ID: context, Tokens: shared}, {ID: fmt.Sprint("own", requestCount), Tokens: 1000}},
		FirstEventDeadline: start.Add(3 * time.Second), Deadline: start.Add(15 * time.Second),
	}
}

func place(p *placement.Pool, now clock.Instant, req *placement.Request) placement.Choice {
	c, err := p.Place(now, req)
	So(err, ShouldBeNil)
	return c
}

func answer(p *placement.Pool, now clock.Instant, req *placement.Request) {
	p.FirstEvent(now, req.ID)
	p.Done(now, req.ID, placement.OutcomeAnswered)
}

func expectError(p *placement.Pool, now clock.Instant, req *placement.Request, want error) {
	_, err := p.Place(now, req)
	So(err, ShouldEqual, want)
}

func TestPlace(t *testing.T) {
	Convey("a pool of engines", t, func() {
		p := newPool(4)
		Convey("sends a context back to the endpoint that has it cached", func() {
			first := newRequest("c", 8000)
			at := place(p, start, first).Endpoint
			answer(p, start.Add(200*time.Millisecond), first)
			again := place(p, start.Add(time.Second), newRequest("c", 8000))
			So(again.Endpoint, ShouldEqual, at)
			So(again.Cached, ShouldEqual, 8000)
		})
		Convey("fetches a context instead of waiting for a busy holder", func() {
			first := newRequest("c", 8000)
			holder := place(p, start, first)
			answer(p, start.Add(200*time.Millisecond), first)
			for range 4 {
				place(p, start.Add(300*time.Millisecond), newRequest("c", 8000))
			}
			fetching := place(p, start.Add(300*time.Millisecond), newRequest("c", 8000))
			So(fetching.Endpoint, ShouldNotEqual, holder.Endpoint)
			So(fetching.FetchFrom[0], ShouldEqual, holder.Address)
			So(fetching.Fetched, ShouldEqual, 8000)
		})
		Convey("names a fallback source for a cached context, which may have been evicted", func() {
			first := newRequest("c", 8000)
			holder := place(p, start, first)
			answer(p, start.Add(200*time.Millisecond), first)
			for range 4 {
				place(p, start.Add(300*time.Millisecond), newRequest("c", 8000))
			}
			second := newRequest("c", 8000)
			So(place(p, start.Add(300*time.Millisecond), second).Endpoint, ShouldNotEqual, holder.Endpoint)
			answer(p, start.Add(500*time.Millisecond), second)
			p.DropEntry("x")
			for range 2 {
				c := place(p, start.Add(time.Second), newRequest("c", 8000))
				So(c.Cached, ShouldEqual, 8000)
				So(c.Fetched, ShouldEqual, 0)
				So(c.FetchFrom, ShouldNotBeNil)
				So(c.FetchFrom[0], ShouldNotBeEmpty)
				So(c.FetchFrom[0], ShouldNotEqual, c.Address)
			}
		})
		Convey("spreads contexts that no endpoint has", func() {
			seen := map[string]bool{}
			for i := range 4 {
				seen[place(p, start, newRequest(fmt.Sprint("new", i), 8000)).Endpoint] = true
			}
			So(len(seen), ShouldEqual, 4)
		})
		Convey("separates the caches of isolated workspaces and of weight versions", func() {
			first := newRequest("c", 8000)
			shared := place(p, start, first)
			answer(p, start.Add(200*time.Millisecond), first)
			isolated := newRequest("c", 8000)
			isolated.IsolationKey = "studio"
			c := place(p, start.Add(time.Second), isolated)
			So(c.CacheSpace, ShouldNotEqual, shared.CacheSpace)
			So(c.Cached+c.Fetched, ShouldEqual, 0)
			for _, e := range endpoints(4) {
				p.WeightsLoaded(e.ID, model, 2)
			}
			c = place(p, start.Add(2*time.Second), newRequest("c", 8000))
			So(c.Version, ShouldEqual, 2)
			So(c.CacheSpace, ShouldNotEqual, shared.CacheSpace)
			So(c.Cached+c.Fetched, ShouldEqual, 0)
		})
		Convey("avoids an unreachable endpoint, and tries it again later", func() {
			req := newRequest("c", 0)
			unreachable := place(p, start, req).Endpoint
			p.Done(start, req.ID, placement.OutcomeUnreachable)
			for range 3 {
				So(place(p, start, newRequest("d", 0)).Endpoint, ShouldNotEqual, unreachable)
			}
			So(place(p, start.Add(time.Second), newRequest("e", 0)).Endpoint, ShouldEqual, unreachable)
		})
		Convey("places nothing on an endpoint that loads weights", func() {
			for _, e := range endpoints(3) {
				p.WeightsLoading(e.ID, start.Add(time.Second))
			}
			for i := range 3 {
				So(place(p, start, newRequest(fmt.Sprint(i), 100)).Endpoint, ShouldEqual, "e03")
			}
		})
		Convey("stops using old weights in time after newer ones were announced, even if yet newer ones follow", func() {
			p.SetTargetVersion(model, placement.TargetVersion{Version: 2, AnnouncedAfter: start})
			place(p, start.Add(5*time.Second), withLaterDeadline(newRequest("c", 100)))
			p.SetTargetVersion(model, placement.TargetVersion{Version: 3, AnnouncedAfter: start.Add(6 * time.Second)})
			expectError(p, start.Add(7*time.Second), withLaterDeadline(newRequest("c", 100)), placement.ErrNoEndpoint)
		})
		Convey("uses no old weights while it is unknown when newer ones were announced, until that is learned", func() {
			p.SetTargetVersion(model, placement.TargetVersion{Version: 3, SeenAt: start})
			expectError(p, start, withLaterDeadline(newRequest("c", 100)), placement.ErrNoEndpoint)
			p.SetTargetVersion(model, placement.TargetVersion{Version: 3, AnnouncedAfter: start.Add(-time.Second)})
			place(p, start, withLaterDeadline(newRequest("d", 100)))
			Convey("but none that an intermediate version has replaced", func() {
				p.SetTargetVersion(model, placement.TargetVersion{Version: 2, AnnouncedAfter: start.Add(-time.Minute)})
				expectError(p, start, withLaterDeadline(newRequest("e", 100)), placement.ErrNoEndpoint)
			})
			Convey("and for no longer when others know less", func() {
				p.SetTargetVersion(model, placement.TargetVersion{Version: 3})
				place(p, start, withLaterDeadline(newRequest("e", 100)))
				So(p.Replaced(start.Add(6*time.Second), model, 1), ShouldBeFalse)
				So(p.Replaced(start.Add(7*time.Second), model, 1), ShouldBeTrue)
				So(p.Replaced(start.Add(7*time.Second), model, 3), ShouldBeFalse)
			})
		})
		Convey("returns ErrNoEndpoint without endpoints", func() {
			p.SetEndpoints(nil)
			expectError(p, start, newRequest("c", 0), placement.ErrNoEndpoint)
		})
		Convey("removes the assignments of an entry that is gone", func() {
			place(p, start, newRequest("c", 0))
			p.DropEntry("x")
			So(p.Running(), ShouldEqual, 0)
		})
		Convey("places no request that was withdrawn before it arrived, but the next one", func() {
			early, next := newRequest("c", 0), newRequest("c", 0)
			running := p.Running()
			p.Done(start, early.ID, placement.OutcomeWithdrawn)
			expectError(p, start.Add(time.Second), early, placement.ErrWithdrawn)
			So(p.Running(), ShouldEqual, running)
			place(p, start.Add(time.Second), next)
		})
		Convey("forgets withdrawals of requests that never arrived", func() {
			early := newRequest("c", 0)
			p.Done(start, early.ID, placement.OutcomeWithdrawn)
			p.RemoveExpired(start.Add(6 * time.Second))
			place(p, start.Add(6*time.Second), early)
		})
		Convey("removes assignments whose ends were never reported", func() {
			place(p, start, newRequest("c", 0))
			p.RemoveExpired(start.Add(time.Minute))
			So(p.Running(), ShouldEqual, 0)
		})
	})
}

func withLaterDeadline(req *placement.Request) *placement.Request {
	req.FirstEventDeadline = start.Add(time.Minute)
	return req
}

func TestQueue(t *testing.T) {
	Convey("with one busy engine", t, func() {
		p := newPool(1)
		first := newRequest("a", 40000)
		place(p, start, first)
		Convey("requests wait, the more urgent first", func() {
			slow, quick := newRequest("b", 9000), newRequest("c", 500)
			slow.Priority, quick.Priority = 5, 1
			expectError(p, start, slow, placement.ErrQueued)
			expectError(p, start, quick, placement.ErrQueued)
			So(p.ProcessQueue(start), ShouldBeEmpty)
			answer(p, start.Add(700*time.Millisecond), first)
			grants := p.ProcessQueue(start.Add(700 * time.Millisecond))
			So(grants[0].Request, ShouldEqual, quick)
		})
		Convey("requests that can still meet their targets go before those that can't, and before less urgent ones", func() {
			late, onTime, lessUrgent := newRequest("late", 4000), newRequest("on time", 4000), newRequest("less urgent", 4000)
			late.TargetDeadline, onTime.TargetDeadline = start.Add(200*time.Millisecond), start.Add(2*time.Second)
			lessUrgent.Priority, lessUrgent.TargetDeadline = 1, start.Add(2*time.Second)
			for _, req := range []*placement.Request{lessUrgent, late, onTime} {
				expectError(p, start, req, placement.ErrQueued)
			}
			So(p.ProcessQueue(start.Add(150*time.Millisecond)), ShouldBeEmpty)
			after := newRequest("after", 4000)
			after.TargetDeadline = start.Add(2 * time.Second)
			expectError(p, start.Add(160*time.Millisecond), after, placement.ErrQueued)
			answer(p, start.Add(700*time.Millisecond), first)
			var order []string
			for _, g := range p.ProcessQueue(start.Add(700 * time.Millisecond)) {
				order = append(order, g.Request.Parts[0].ID)
			}
			So(order, ShouldResemble, []string{"on time", "after", "late", "less urgent"})
		})
		Convey("requests that take up a stream go before others of their priority, also when they are late", func() {
			urgent, fresh, takeUp := newRequest("urgent", 4000), newRequest("fresh", 4000), newRequest("take-up", 4000)
			urgent.Priority, fresh.Priority, takeUp.Priority = 0, 1, 1
			takeUp.TakesUp, takeUp.TargetDeadline, fresh.TargetDeadline = true, start.Add(100*time.Millisecond), start.Add(2*time.Second)
			for _, req := range []*placement.Request{fresh, takeUp, urgent} {
				expectError(p, start, req, placement.ErrQueued)
			}
			So(p.ProcessQueue(start.Add(150*time.Millisecond)), ShouldBeEmpty)
			answer(p, start.Add(700*time.Millisecond), first)
			var order []string
			for _, g := range p.ProcessQueue(start.Add(700 * time.Millisecond)) {
				order = append(order, g.Request.Parts[0].ID)
			}
			So(order, ShouldResemble, []string{"urgent", "take-up", "fresh"})
		})
		Convey("requests that must go on at one software version are placed there only", func() {
			versions := endpoints(3)
			for i, software := range []string{"v1", "v2", "v1"} {
				versions[i].Software = software
			}
			p.SetEndpoints(versions)
			for i := range 4 {
				req := newRequest(string(rune('b'+i)), 500)
				req.Software = "v2"
				c, err := p.PlaceNow(start, req)
				So(err, ShouldBeNil)
				So(c.Endpoint, ShouldEqual, "e01")
				So(c.Software, ShouldEqual, "v2")
			}
			gone := newRequest("gone", 500)
			gone.Software = "v0"
			expectError(p, start, gone, placement.ErrNoEndpoint)
		})
		Convey("a queued request is not granted an endpoint that was removed, even if an assignment ends there", func() {
			expectError(p, start, newRequest("b", 9000), placement.ErrQueued)
			p.SetEndpoints(endpoints(2)[1:])
			p.WeightsLoading("e01", start.Add(time.Minute))
			p.ProcessQueue(start)
			answer(p, start.Add(10*time.Millisecond), first)
			for _, g := range p.ProcessQueue(start.Add(10 * time.Millisecond)) {
				So(g.Choice.Endpoint, ShouldNotEqual, "e00")
			}
		})
		Convey("a queued request can be withdrawn", func() {
			req := newRequest("b", 9000)
			expectError(p, start, req, placement.ErrQueued)
			p.Withdraw(req.ID)
			So(p.Waiting(), ShouldEqual, 0)
		})
		Convey("a queued request that is placed again waits once and is granted once", func() {
			req := newRequest("b", 9000)
			again := *req
			expectError(p, start, req, placement.ErrQueued)
			expectError(p, start, &again, placement.ErrQueued)
			So(p.Waiting(), ShouldEqual, 1)
			answer(p, start.Add(10*time.Millisecond), first)
			So(p.ProcessQueue(start.Add(10*time.Millisecond)), ShouldHaveLength, 1)
			So(p.Running(), ShouldEqual, 1)
		})
		Convey("a placed request that is placed again and has to wait leaves its endpoint", func() {
			again := *first
			ahead := newRequest("b", 9000)
			ahead.Priority = -1
			expectError(p, start, ahead, placement.ErrQueued)
			expectError(p, start, &again, placement.ErrQueued)
			So(p.Running(), ShouldEqual, 0)
		})
		Convey("a queued request is rejected when its first-event deadline has passed", func() {
			expectError(p, start, newRequest("b", 9000), placement.ErrQueued)
			grants := p.ProcessQueue(start.Add(4 * time.Second))
			So(grants, ShouldHaveLength, 1)
			So(grants[0].Err, ShouldHaveSameTypeAs, &placement.OverloadError{})
		})
		Convey("queued requests are rejected as soon as those ahead of them take too long, not at their deadlines", func() {
			waits := 0
			for i := range 40 {
				req := newRequest(fmt.Sprint("w", i), 0)
				req.Prompt = 2000
				if _, err := p.Place(start, req); err == placement.ErrQueued {
					waits++
				}
			}
			So(waits, ShouldBeGreaterThan, 10)
			p.SetEndpoints(endpoints(1))
			urgent := newRequest("u", 0)
			urgent.Prompt, urgent.Priority = 60000, -1
			expectError(p, start, urgent, placement.ErrQueued)
			rejected := 0
			for _, g := range p.ProcessQueue(start.Add(100 * time.Millisecond)) {
				if g.Err != nil {
					rejected++
				}
			}
			So(rejected, ShouldBeGreaterThan, 10)
		})
		Convey("a request is rejected at once when the expected wait exceeds its first-event deadline", func() {
			for i := range 200 {
				req := newRequest(fmt.Sprint("w", i), 0)
				req.Prompt = 2000
				if _, err := p.Place(start, req); err != placement.ErrQueued {
					So(err, ShouldHaveSameTypeAs, &placement.OverloadError{})
					So(err.(*placement.OverloadError).RetryAt, ShouldBeGreaterThan, start)
					return
				}
			}
			So("every request was queued", ShouldBeEmpty)
		})
	})
}

// Engines with free memory and no prompts to prefill may still have no slot. A request behind more requests than there are slots released
// in the time that its caller waits is rejected at once; before, it was held until that time had passed.
func TestSlotsTaken(t *testing.T) {
	Convey("with all slots taken by requests that hold them for 2 s", t, func() {
		const engines, slots, hold = 4, 32, 2 * time.Second
		p := newPool(engines)
		now := start
		var running []*placement.Request
		serve := func(until clock.Instant) {
			for ; now < until; now = now.Add(hold / (engines * slots)) {
				if len(running) == engines*slots {
					p.Done(now, running[0].ID, placement.OutcomeAnswered)
					running = running[1:]
				}
				req := smallRequest(now)
				place(p, now, req)
				p.FirstEvent(now, req.ID)
				running = append(running, req)
			}
		}
		serve(start.Add(5 * time.Second))
		queued := 0
		var overload *placement.OverloadError
		for range 600 {
			_, err := p.Place(now, smallRequest(now))
			if errors.As(err, &overload) {
				break
			}
			So(err, ShouldEqual, placement.ErrQueued)
			queued++
		}
		Convey("as many requests are queued as slots become free while a caller waits, and the next is rejected", func() {
			So(overload, ShouldNotBeNil)
			// 64 slots a second for 3 s.
			So(queued, ShouldBeBetween, 150, 240)
		})
		Convey("the retry time lies behind the wait", func() { So(overload.RetryAt, ShouldBeGreaterThan, now) })
	})
}

// smallRequest returns a request that takes little memory and prefill, and whose caller waits for 3 s.
func smallRequest(now clock.Instant) *placement.Request {
	req := newRequest("s", 100)
	req.Prompt, req.Parts[1].Tokens = 150, 50
	req.FirstEventDeadline, req.Deadline = now.Add(3*time.Second), now.Add(time.Minute)
	return req
}

// TestLinkBacklog guards against links that appear busier than they are: while many endpoints fetch from one holder, the backlog of its
// link must be the sum of the transfers.
func TestLinkBacklog(t *testing.T) {
	Convey("many fetches of one context", t, func() {
		p := newPool(8)
		first := newRequest("c", 8000)
		holder := place(p, start, first)
		answer(p, start, first)
		p.WeightsLoading(holder.Endpoint, start.Add(time.Minute))
		for transfers := 1; transfers <= 7; transfers++ {
			req := newRequest("c", 8000)
			req.Prompt = 8000
			c, err := p.PlaceNow(start, req)
			So(err, ShouldBeNil)
			So(c.Fetched, ShouldEqual, 8000)
			p.WeightsLoading(c.Endpoint, start.Add(time.Minute))
			// The link takes 1 us per token, so 8 ms per transfer. Any first event takes 40 ms, and 8 ms are left for the rest.
			So(c.Expected, ShouldBeLessThan, time.Duration(transfers)*8*time.Millisecond+48*time.Millisecond)
		}
	})
}

func ownerWithStore(now clock.Instant) *placement.Pool {
	p := newPool(2)
	p.SetStores(now, []placement.CacheStore{{Name: "d", Address: "10.1.0.1:80", Zone: "a", Capacity: 100000, TokenSeconds: 1e-6}})
	p.SetOwner(now, true)
	return p
}

// updateAll sends an update from each cache and the store, so that they count as current.
func updateAll(p *placement.Pool, now clock.Instant, events ...placement.CacheEvent) bool {
	for _, e := range endpoints(2) {
		p.ApplyCacheUpdate(now, e.ID, &placement.CacheUpdate{Epoch: 1, ClockMillis: 1000})
	}
	return p.ApplyStoreUpdate(now, "d", &placement.CacheUpdate{Epoch: 7, ClockMillis: 1000, Events: events})
}

func TestCacheStores(t *testing.T) {
	Convey("the owner of a cache store", t, func() {
		p := ownerWithStore(start)
		list := placement.StoreListing{Epoch: 7, ClockMillis: 1000}
		p.ApplyStoreListing(start, "d", &list)
		updateAll(p, start)
		ready, leaseEnd := start.Add(10*time.Second), start.Add(time.Hour)
		Convey("saves nothing until the saves of a previous owner have begun", func() {
			So(place(p, start.Add(time.Second), newRequest("c", 8000)).SaveTo, ShouldBeNil)
		})
		updateAll(p, ready)
		Convey("saves nothing from engines that may execute a weight order at any moment, until their weights have changed", func() {
			for _, e := range endpoints(2) {
				p.OrderPending(e.ID)
			}
			So(place(p, ready, withLaterDeadline(newRequest("n", 8000))).SaveTo, ShouldBeNil)
			for _, e := range endpoints(2) {
				p.WeightsLoaded(e.ID, model, 2)
			}
			So(place(p, ready, withLaterDeadline(newRequest("n", 8000))).SaveTo, ShouldNotBeNil)
		})
		first := withLaterDeadline(newRequest("c", 8000))
		first.Deadline = ready.Add(time.Minute)
		c := place(p, ready, first)
		Convey("saves a context once", func() {
			So(c.SaveTo[0], ShouldEqual, "10.1.0.1:80")
			So(c.SaveTo[1], ShouldBeEmpty)
			So(place(p, ready, withLaterDeadline(newRequest("c", 8000))).SaveTo, ShouldBeNil)
		})
		Convey("fetches only parts that the store has reported as complete", func() {
			So(place(p, ready.Add(time.Second), withLaterDeadline(isolatedRequest("c"))).FetchFrom, ShouldBeNil)
			p.Done(ready, first.ID, placement.OutcomeUnreachable)
			p.SetEndpoints(nil)
			p.SetEndpoints(endpoints(2))
			now := ready.Add(time.Second)
			updateAll(p, now)
			So(place(p, now, withLaterDeadline(newRequest("c", 8000))).FetchFrom, ShouldBeNil)
			updateAll(p, now, placement.CacheEvent{Added: true, Space: c.CacheSpace, Part: "c", Tokens: 8000})
			p.SetEndpoints(nil)
			p.SetEndpoints(endpoints(2))
			updateAll(p, now)
			fetched := place(p, now, withLaterDeadline(newRequest("c", 8000)))
			So(fetched.FetchFrom[0], ShouldEqual, "10.1.0.1:80")
			So(fetched.FetchUntil, ShouldBeGreaterThan, 1000)
		})
		Convey("fetches from an engine that is faster than the store, however long ago the engine used its copy", func() {
			answer(p, ready.Add(100*time.Millisecond), first)
			updateAll(p, ready, placement.CacheEvent{Added: true, Space: c.CacheSpace, Part: "c", Tokens: 8000})
			p.SetStores(ready, []placement.CacheStore{{
				Name: "d", Address: "10.1.0.1:80", Zone: "a", Capacity: 100000, TokenSeconds: 1e-6, FirstByte: 5 * time.Millisecond,
			}})
			now := ready.Add(3 * time.Second)
			updateAll(p, now)
			p.WeightsLoading(c.Endpoint, now.Add(time.Minute))
			So(place(p, now, withLaterDeadline(newRequest("c", 8000))).FetchFrom[0], ShouldEqual, c.Address)
		})
		Convey("grants no fetches from a restarted store, and lists it", func() {
			So(p.ApplyStoreUpdate(ready, "d", &placement.CacheUpdate{Epoch: 8}), ShouldBeTrue)
			So(p.StoreUsages(ready)[0].Usable, ShouldBeFalse)
		})
		Convey("lists a store whose events were missed", func() {
			So(p.ApplyStoreUpdate(ready, "d", &placement.CacheUpdate{Epoch: 7, Missed: true}), ShouldBeTrue)
		})
		Convey("frees contexts of weights that no endpoint runs", func() {
			updateAll(p, ready, placement.CacheEvent{Added: true, Space: c.CacheSpace, Part: "c", Tokens: 8000})
			So(p.Free(ready, leaseEnd), ShouldBeEmpty)
			for _, e := range endpoints(2) {
				p.WeightsLoaded(e.ID, model, 2)
			}
			updateAll(p, ready.Add(time.Second))
			orders := p.Free(ready.Add(time.Second), leaseEnd)
			So(orders, ShouldHaveLength, 1)
			So(orders[0].Epoch, ShouldEqual, 7)
			So(orders[0].Parts, ShouldHaveLength, 1)
		})
		Convey("orders nothing that a store may execute when another owner grants fetches", func() {
			updateAll(p, ready, placement.CacheEvent{Added: true, Space: c.CacheSpace, Part: "c", Tokens: 8000})
			for _, e := range endpoints(2) {
				p.WeightsLoaded(e.ID, model, 2)
			}
			now := ready.Add(time.Second)
			updateAll(p, now)
			So(p.Free(now, now.Add(500*time.Millisecond)), ShouldBeEmpty)
			orders := p.Free(now, now.Add(time.Second))
			So(orders, ShouldHaveLength, 1)
			So(orders[0].UntilMillis, ShouldBeLessThanOrEqualTo, 1000+time.Second.Milliseconds())
		})
		Convey("frees nothing that a granted fetch may still read", func() {
			updateAll(p, ready, placement.CacheEvent{Added: true, Space: c.CacheSpace, Part: "c", Tokens: 8000})
			p.SetEndpoints(nil)
			p.SetEndpoints(endpoints(2))
			updateAll(p, ready)
			So(place(p, ready, withLaterDeadline(newRequest("c", 8000))).FetchFrom, ShouldNotBeNil)
			for _, e := range endpoints(2) {
				p.WeightsLoaded(e.ID, model, 2)
			}
			updateAll(p, ready.Add(time.Second))
			So(p.Free(ready.Add(time.Second), leaseEnd), ShouldBeEmpty)
			updateAll(p, ready.Add(10*time.Second))
			So(p.Free(ready.Add(10*time.Second), leaseEnd), ShouldHaveLength, 1)
		})
		Convey("neither saves nor frees after losing ownership", func() {
			p.SetOwner(ready, false)
			So(place(p, ready, withLaterDeadline(newRequest("z", 8000))).SaveTo, ShouldBeNil)
			So(p.Free(ready, leaseEnd), ShouldBeNil)
		})
	})
}

func isolatedRequest(context string) *placement.Request {
	req := newRequest(context, 8000)
	req.IsolationKey = "studio"
	return req
}
