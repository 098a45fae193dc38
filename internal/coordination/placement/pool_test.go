package placement_test

import (
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
	start    = clock.Instant(time.Hour)
	model    = "m"
	readRate = 60000.0
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
	p := placement.NewPool(placement.Config{PrefillRate: readRate, OldWeightsGrace: 6500 * time.Millisecond})
	p.SetEngine(&placement.Engine{Slots: 32, CacheTokens: 100000, TokenSeconds: 1e-6})
	p.SetEndpoints(endpoints(n))
	return p
}

var uses uint64

// ask returns a request that shares a context of some tokens and has 1,000 of its own.
func ask(context string, shared int) *placement.Request {
	uses++
	return &placement.Request{
		ID: placement.AssignmentID{Entry: "x", Number: uses}, Service: "llm", Zone: "a", Model: model, Prompt: shared + 1000, Output: 50,
		Parts:              []prompt.Part{{ID: context, Tokens: shared}, {ID: fmt.Sprint("own", uses), Tokens: 1000}},
		FirstEventDeadline: start.Add(3 * time.Second), Deadline: start.Add(15 * time.Second),
	}
}

func place(p *placement.Pool, now clock.Instant, a *placement.Request) placement.Choice {
	c, err := p.Place(now, a)
	So(err, ShouldBeNil)
	return c
}

func answer(p *placement.Pool, now clock.Instant, a *placement.Request) {
	p.FirstEvent(now, a.ID)
	p.Done(now, a.ID, placement.OutcomeAnswered)
}

func expectError(p *placement.Pool, now clock.Instant, a *placement.Request, want error) {
	_, err := p.Place(now, a)
	So(err, ShouldEqual, want)
}

func TestPlace(t *testing.T) {
	Convey("a pool of engines", t, func() {
		p := newPool(4)
		Convey("sends a context back to where it was read", func() {
			first := ask("c", 8000)
			at := place(p, start, first).Endpoint
			answer(p, start.Add(200*time.Millisecond), first)
			again := place(p, start.Add(time.Second), ask("c", 8000))
			So(again.Endpoint, ShouldEqual, at)
			So(again.Cached, ShouldEqual, 8000)
		})
		Convey("fetches a context rather than waiting for its holder", func() {
			first := ask("c", 8000)
			holder := place(p, start, first)
			answer(p, start.Add(200*time.Millisecond), first)
			for range 4 {
				place(p, start.Add(300*time.Millisecond), ask("c", 8000))
			}
			later := place(p, start.Add(300*time.Millisecond), ask("c", 8000))
			So(later.Endpoint, ShouldNotEqual, holder.Endpoint)
			So(later.FetchFrom[0], ShouldEqual, holder.Address)
			So(later.Fetched, ShouldEqual, 8000)
		})
		Convey("names another source for what an engine is believed to hold, since it may have evicted it", func() {
			first := ask("c", 8000)
			holder := place(p, start, first)
			answer(p, start.Add(200*time.Millisecond), first)
			for range 4 {
				place(p, start.Add(300*time.Millisecond), ask("c", 8000))
			}
			second := ask("c", 8000)
			So(place(p, start.Add(300*time.Millisecond), second).Endpoint, ShouldNotEqual, holder.Endpoint)
			answer(p, start.Add(500*time.Millisecond), second)
			p.DropEntry("x")
			for range 2 {
				c := place(p, start.Add(time.Second), ask("c", 8000))
				So(c.Cached, ShouldEqual, 8000)
				So(c.Fetched, ShouldEqual, 0)
				So(c.FetchFrom, ShouldNotBeNil)
				So(c.FetchFrom[0], ShouldNotBeEmpty)
				So(c.FetchFrom[0], ShouldNotEqual, c.Address)
			}
		})
		Convey("spreads contexts that nobody has", func() {
			seen := map[string]bool{}
			for i := range 4 {
				seen[place(p, start, ask(fmt.Sprint("new", i), 8000)).Endpoint] = true
			}
			So(len(seen), ShouldEqual, 4)
		})
		Convey("keeps isolated workspaces and weight versions apart", func() {
			first := ask("c", 8000)
			shared := place(p, start, first)
			answer(p, start.Add(200*time.Millisecond), first)
			walled := ask("c", 8000)
			walled.IsolationKey = "studio"
			c := place(p, start.Add(time.Second), walled)
			So(c.CacheSpace, ShouldNotEqual, shared.CacheSpace)
			So(c.Cached+c.Fetched, ShouldEqual, 0)
			for _, e := range endpoints(4) {
				p.WeightsLoaded(e.ID, model, 2)
			}
			c = place(p, start.Add(2*time.Second), ask("c", 8000))
			So(c.Version, ShouldEqual, 2)
			So(c.CacheSpace, ShouldNotEqual, shared.CacheSpace)
			So(c.Cached+c.Fetched, ShouldEqual, 0)
		})
		Convey("rests an endpoint that can't be reached, and tries it again", func() {
			a := ask("c", 0)
			down := place(p, start, a).Endpoint
			p.Done(start, a.ID, placement.OutcomeUnreachable)
			for range 3 {
				So(place(p, start, ask("d", 0)).Endpoint, ShouldNotEqual, down)
			}
			So(place(p, start.Add(time.Second), ask("e", 0)).Endpoint, ShouldEqual, down)
		})
		Convey("gives an endpoint that loads weights nothing", func() {
			for _, e := range endpoints(3) {
				p.WeightsLoading(e.ID, start.Add(time.Second))
			}
			for i := range 3 {
				So(place(p, start, ask(fmt.Sprint(i), 100)).Endpoint, ShouldEqual, "e03")
			}
		})
		Convey("uses no weights for longer than the bound after newer ones were named, whatever is named next", func() {
			p.SetTargetVersion(model, placement.TargetVersion{Version: 2, AnnouncedAt: start})
			place(p, start.Add(5*time.Second), later(ask("c", 100)))
			p.SetTargetVersion(model, placement.TargetVersion{Version: 3, AnnouncedAt: start.Add(6 * time.Second)})
			expectError(p, start.Add(7*time.Second), later(ask("c", 100)), placement.ErrNoEndpoint)
		})
		Convey("says so when there is no endpoint", func() {
			p.SetEndpoints(nil)
			expectError(p, start, ask("c", 0), placement.ErrNoEndpoint)
		})
		Convey("forgets the uses of an entry that is gone", func() {
			place(p, start, ask("c", 0))
			p.DropEntry("x")
			So(p.Running(), ShouldEqual, 0)
		})
		Convey("reclaims uses whose ends were lost", func() {
			place(p, start, ask("c", 0))
			p.RemoveExpired(start.Add(time.Minute))
			So(p.Running(), ShouldEqual, 0)
		})
	})
}

func later(a *placement.Request) *placement.Request {
	a.FirstEventDeadline = start.Add(time.Minute)
	return a
}

func TestQueue(t *testing.T) {
	Convey("with one busy engine", t, func() {
		p := newPool(1)
		first := ask("a", 40000)
		place(p, start, first)
		Convey("an ask waits, the more urgent first", func() {
			slow, quick := ask("b", 9000), ask("c", 500)
			slow.Priority, quick.Priority = 5, 1
			expectError(p, start, slow, placement.ErrQueued)
			expectError(p, start, quick, placement.ErrQueued)
			So(p.ProcessQueue(start), ShouldBeEmpty)
			answer(p, start.Add(700*time.Millisecond), first)
			grants := p.ProcessQueue(start.Add(700 * time.Millisecond))
			So(grants[0].Request, ShouldEqual, quick)
		})
		Convey("an ask that waits may be withdrawn", func() {
			a := ask("b", 9000)
			expectError(p, start, a, placement.ErrQueued)
			p.Withdraw(a.ID)
			So(p.Waiting(), ShouldEqual, 0)
		})
		Convey("an ask is refused when its caller has waited for as long as it will", func() {
			expectError(p, start, ask("b", 9000), placement.ErrQueued)
			grants := p.ProcessQueue(start.Add(4 * time.Second))
			So(grants, ShouldHaveLength, 1)
			So(grants[0].Err, ShouldHaveSameTypeAs, &placement.OverloadError{})
		})
		Convey("an ask is refused as soon as those before it take too long, not when its caller has waited in vain", func() {
			waits := 0
			for i := range 40 {
				a := ask(fmt.Sprint("w", i), 0)
				a.Prompt = 2000
				if _, err := p.Place(start, a); err == placement.ErrQueued {
					waits++
				}
			}
			So(waits, ShouldBeGreaterThan, 10)
			p.SetEndpoints(endpoints(1))
			urgent := ask("u", 0)
			urgent.Prompt, urgent.Priority = 60000, -1
			expectError(p, start, urgent, placement.ErrQueued)
			refused := 0
			for _, g := range p.ProcessQueue(start.Add(100 * time.Millisecond)) {
				if g.Err != nil {
					refused++
				}
			}
			So(refused, ShouldBeGreaterThan, 10)
		})
		Convey("an ask is refused at once when the wait is longer than its caller will wait", func() {
			for i := range 200 {
				a := ask(fmt.Sprint("w", i), 0)
				a.Prompt = 2000
				if _, err := p.Place(start, a); err != placement.ErrQueued {
					So(err, ShouldHaveSameTypeAs, &placement.OverloadError{})
					So(err.(*placement.OverloadError).RetryAt, ShouldBeGreaterThan, start)
					return
				}
			}
			So("every ask was let wait", ShouldBeEmpty)
		})
	})
}

// TestLinkBacklog replays a crest of fetches from one holder: the backlog of its link is the sum of the transfers, so that a link
// never looks busier than it is.
func TestLinkBacklog(t *testing.T) {
	Convey("many fetches of one context", t, func() {
		p := newPool(8)
		first := ask("c", 8000)
		holder := place(p, start, first)
		answer(p, start, first)
		p.WeightsLoading(holder.Endpoint, start.Add(time.Minute))
		for transfers := 1; transfers <= 7; transfers++ {
			a := ask("c", 8000)
			a.Prompt = 8000
			c, err := p.PlaceNow(start, a)
			So(err, ShouldBeNil)
			So(c.Fetched, ShouldEqual, 8000)
			p.WeightsLoading(c.Endpoint, start.Add(time.Minute))
			// A token takes a microsecond on the link; 40 ms are those of any first event, and 8 ms leave room for the rest.
			So(c.Expected, ShouldBeLessThan, time.Duration(transfers)*8*time.Millisecond+48*time.Millisecond)
		}
	})
}

func owned(now clock.Instant) *placement.Pool {
	p := newPool(2)
	p.SetStores(now, []placement.CacheStore{{Name: "d", Address: "10.1.0.1:80", Zone: "a", Capacity: 100000, TokenSeconds: 1e-6}})
	p.SetOwner(now, true)
	return p
}

// hearAll keeps the news fresh.
func hearAll(p *placement.Pool, now clock.Instant, events ...placement.CacheEvent) bool {
	for _, e := range endpoints(2) {
		p.ApplyCacheUpdate(now, e.ID, &placement.CacheUpdate{Epoch: 1, ClockMillis: 1000})
	}
	return p.ApplyStoreUpdate(now, "d", &placement.CacheUpdate{Epoch: 7, ClockMillis: 1000, Events: events})
}

func TestDepots(t *testing.T) {
	Convey("the owner of a store", t, func() {
		p := owned(start)
		list := placement.StoreListing{Epoch: 7, ClockMillis: 1000}
		p.ApplyStoreListing(start, "d", &list)
		hearAll(p, start)
		ready := start.Add(10 * time.Second)
		Convey("saves nothing until the saves of an earlier owner have begun", func() {
			So(place(p, start.Add(time.Second), ask("c", 8000)).SaveTo, ShouldBeNil)
		})
		hearAll(p, ready)
		first := later(ask("c", 8000))
		first.Deadline = ready.Add(time.Minute)
		c := place(p, ready, first)
		Convey("saves a context once", func() {
			So(c.SaveTo[0], ShouldEqual, "10.1.0.1:80")
			So(c.SaveTo[1], ShouldBeEmpty)
			So(place(p, ready, later(ask("c", 8000))).SaveTo, ShouldBeNil)
		})
		Convey("fetches only what the store has said to be whole", func() {
			So(place(p, ready.Add(time.Second), later(walled("c"))).FetchFrom, ShouldBeNil)
			p.Done(ready, first.ID, placement.OutcomeUnreachable)
			p.SetEndpoints(nil)
			p.SetEndpoints(endpoints(2))
			now := ready.Add(time.Second)
			hearAll(p, now)
			So(place(p, now, later(ask("c", 8000))).FetchFrom, ShouldBeNil)
			hearAll(p, now, placement.CacheEvent{Added: true, Space: c.CacheSpace, Part: "c", Tokens: 8000})
			p.SetEndpoints(nil)
			p.SetEndpoints(endpoints(2))
			hearAll(p, now)
			fetched := place(p, now, later(ask("c", 8000)))
			So(fetched.FetchFrom[0], ShouldEqual, "10.1.0.1:80")
			So(fetched.FetchUntil, ShouldBeGreaterThan, 1000)
		})
		Convey("leaves to the faster of an engine and the store, however long ago the engine used its copy", func() {
			answer(p, ready.Add(100*time.Millisecond), first)
			hearAll(p, ready, placement.CacheEvent{Added: true, Space: c.CacheSpace, Part: "c", Tokens: 8000})
			p.SetStores(ready, []placement.CacheStore{{Name: "d", Address: "10.1.0.1:80", Zone: "a", Capacity: 100000, TokenSeconds: 1e-6, FirstByte: 5 * time.Millisecond}})
			now := ready.Add(3 * time.Second)
			hearAll(p, now)
			p.WeightsLoading(c.Endpoint, now.Add(time.Minute))
			So(place(p, now, later(ask("c", 8000))).FetchFrom[0], ShouldEqual, c.Address)
		})
		Convey("grants nothing from a store that has restarted, and lists it", func() {
			So(p.ApplyStoreUpdate(ready, "d", &placement.CacheUpdate{Epoch: 8}), ShouldBeTrue)
			So(p.StoreUsages(ready)[0].Usable, ShouldBeFalse)
		})
		Convey("lists a store that lost news", func() {
			So(p.ApplyStoreUpdate(ready, "d", &placement.CacheUpdate{Epoch: 7, Missed: true}), ShouldBeTrue)
		})
		Convey("frees contexts of weights that nothing runs, and no fetch of them is granted", func() {
			hearAll(p, ready, placement.CacheEvent{Added: true, Space: c.CacheSpace, Part: "c", Tokens: 8000})
			So(p.Free(ready), ShouldBeEmpty)
			for _, e := range endpoints(2) {
				p.WeightsLoaded(e.ID, model, 2)
			}
			hearAll(p, ready.Add(time.Second))
			orders := p.Free(ready.Add(time.Second))
			So(orders, ShouldHaveLength, 1)
			So(orders[0].Epoch, ShouldEqual, 7)
			So(orders[0].Parts, ShouldHaveLength, 1)
		})
		Convey("frees nothing that a granted fetch may read", func() {
			hearAll(p, ready, placement.CacheEvent{Added: true, Space: c.CacheSpace, Part: "c", Tokens: 8000})
			p.SetEndpoints(nil)
			p.SetEndpoints(endpoints(2))
			hearAll(p, ready)
			So(place(p, ready, later(ask("c", 8000))).FetchFrom, ShouldNotBeNil)
			for _, e := range endpoints(2) {
				p.WeightsLoaded(e.ID, model, 2)
			}
			hearAll(p, ready.Add(time.Second))
			So(p.Free(ready.Add(time.Second)), ShouldBeEmpty)
			hearAll(p, ready.Add(10*time.Second))
			So(p.Free(ready.Add(10*time.Second)), ShouldHaveLength, 1)
		})
		Convey("does none of it once it is no longer the owner", func() {
			p.SetOwner(ready, false)
			So(place(p, ready, later(ask("z", 8000))).SaveTo, ShouldBeNil)
			So(p.Free(ready), ShouldBeNil)
		})
	})
}

func walled(context string) *placement.Request {
	a := ask(context, 8000)
	a.IsolationKey = "studio"
	return a
}
