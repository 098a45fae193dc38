package placement_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumvale/internal/coordination/placement"
	"gypsumvale/internal/state/clock"
)

const (
	near = "10.1.0.1:80"
	far  = "10.1.0.2:80"
)

// twoStores returns a pool of two engines beside a near and a far store, both of which keep the contexts c0 to c39; a transfer from the
// near one should take 40 ms, from the far one 80 ms.
func twoStores(now clock.Instant) *placement.Pool {
	p := newPool(2)
	p.SetStores(now, []placement.CacheStore{
		{Name: "near", Address: near, Zone: "a", Capacity: 1000000, TokenSeconds: 5e-6},
		{Name: "far", Address: far, Zone: "b", Capacity: 1000000, TokenSeconds: 5e-6},
	})
	p.SetOwner(now, true)
	list := &placement.StoreListing{Epoch: 7, ClockMillis: 1000}
	for i := range 40 {
		list.Complete = append(list.Complete, placement.ListedPart{Space: "w1", Part: fmt.Sprint("c", i), Tokens: 8000})
	}
	p.ApplyStoreListing(now, "near", list)
	p.ApplyStoreListing(now, "far", list)
	return p
}

// fetchOne places a request for a context, has its first event come later than expected by a time for each named source, and returns
// the source.
func fetchOne(p *placement.Pool, now clock.Instant, n int, late map[string]time.Duration) string {
	for _, e := range endpoints(2) {
		p.ApplyCacheUpdate(now, e.ID, &placement.CacheUpdate{Epoch: 1, ClockMillis: 1000})
	}
	for _, name := range []string{"near", "far"} {
		p.ApplyStoreUpdate(now, name, &placement.CacheUpdate{Epoch: 7, ClockMillis: 1000})
	}
	a := ask(fmt.Sprint("c", n), 8000)
	a.FirstEventDeadline, a.Deadline = now.Add(3*time.Second), now.Add(15*time.Second)
	c := place(p, now, a)
	So(c.Fetched, ShouldEqual, 8000)
	source := c.FetchFrom[0]
	first := now.Add(c.Expected + late[source])
	p.FirstEvent(first, a.ID)
	p.Done(first, a.ID, placement.OutcomeAnswered)
	return source
}

func TestSlowLinks(t *testing.T) {
	Convey("two stores that keep the same contexts", t, func() {
		now := start
		p := twoStores(now)
		fetch := func(n int, late map[string]time.Duration) string {
			now = now.Add(500 * time.Millisecond)
			return fetchOne(p, now, n, late)
		}
		Convey("are used by what their links should take", func() {
			for i := range 20 {
				So(fetch(i, nil), ShouldEqual, near)
			}
		})
		slow := map[string]time.Duration{near: 400 * time.Millisecond}
		Convey("are used by what they do take, once one is slow", func() {
			sources := make(map[string]int)
			for i := range 10 {
				sources[fetch(i, slow)]++
			}
			So(sources[near], ShouldBeLessThanOrEqualTo, 3)
			Convey("and again once that is forgotten", func() {
				now = now.Add(5 * time.Second)
				So(fetch(30, nil), ShouldEqual, near)
			})
		})
	})
}
