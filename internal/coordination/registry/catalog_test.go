package registry_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"gypsumvale/internal/coordination/registry"
	"gypsumvale/internal/state/registration"
)

func catalogOf(list ...*registration.Registration) *registry.Catalog {
	c := registry.NewCatalog()
	c.Replace(list)
	return c
}

func endpoint(n, slots int) *registration.Registration {
	return &registration.Registration{ID: fmt.Sprint("e", n), Service: "llm", Slots: slots, Versions: map[string]int{"m": 1}, StartMilli: 1}
}

func TestCatalog(t *testing.T) {
	Convey("a catalog of 3,000 endpoints", t, func() {
		list := make([]*registration.Registration, 3000)
		for i := range list {
			list[i] = endpoint(i, 8)
		}
		c := catalogOf(list...)
		since := c.Number()
		Convey("sends nothing if nothing has changed", func() {
			So(c.Replace(list), ShouldBeFalse)
			changes := c.Since(since)
			So(changes.Changed, ShouldBeEmpty)
			So(changes.Removed, ShouldBeEmpty)
		})
		Convey("sends only what has changed", func() {
			next := append([]*registration.Registration{endpoint(0, 9)}, list[2:]...)
			So(c.Replace(next), ShouldBeTrue)
			changes := c.Since(since)
			So(changes.Complete, ShouldBeFalse)
			So(len(changes.Changed), ShouldEqual, 1)
			So(changes.Removed, ShouldResemble, []string{"e1"})
		})
		Convey("sends the complete list for change number 0 and for one that it never reached", func() {
			So(len(c.Since(0).Changed), ShouldEqual, 3000)
			So(c.Since(since+1).Complete, ShouldBeTrue)
		})
		Convey("sends the complete list for a change number older than the remembered removals", func() {
			small := catalogOf(list[:2]...)
			since := small.Number()
			for i := range 5000 {
				small.Replace(append([]*registration.Registration{endpoint(100000+i, 8)}, list[:2]...))
			}
			So(small.Since(since).Complete, ShouldBeTrue)
		})
	})
	Convey("a catalog that an instance of an earlier release has filled, without software versions", t, func() {
		c := catalogOf(endpoint(0, 8), endpoint(1, 8))
		So(c.LacksSoftware(), ShouldBeTrue)
		named := catalogOf(endpoint(0, 8), endpoint(1, 8))
		for _, r := range named.List() {
			r.Software = "v1"
		}
		Convey("takes the versions over with the complete list, whose digest is the same", func() {
			all := named.Since(0)
			So(c.Apply(&all), ShouldBeTrue)
			So(c.LacksSoftware(), ShouldBeFalse)
			So(c.List()[0].Software, ShouldEqual, "v1")
			Convey("and keeps them when a list comes without", func() {
				without := catalogOf(endpoint(0, 8), endpoint(1, 8)).Since(0)
				So(c.Apply(&without), ShouldBeTrue)
				So(c.LacksSoftware(), ShouldBeFalse)
			})
		})
	})
	Convey("a catalog whose endpoint becomes cold", t, func() {
		read := func(left time.Duration) *registration.Registration {
			r := endpoint(0, 8)
			r.WarmupTime = left
			return r
		}
		c, held := catalogOf(read(0)), catalogOf(read(0))
		sum, warmupSum := c.Sum(), c.WarmupSum()
		Convey("changes when it does and when it is warm again, but not with each heartbeat", func() {
			So(c.Replace([]*registration.Registration{read(3 * time.Second)}), ShouldBeTrue)
			So(c.WarmupSum(), ShouldNotEqual, warmupSum)
			So(c.Replace([]*registration.Registration{read(1800 * time.Millisecond)}), ShouldBeFalse)
			So(c.Replace([]*registration.Registration{read(0)}), ShouldBeTrue)
			So(c.WarmupSum(), ShouldEqual, warmupSum)
		})
		Convey("changes when it becomes cold again before it was warm, and a holder is told", func() {
			c.Replace([]*registration.Registration{read(3 * time.Second)})
			c.Replace([]*registration.Registration{read(time.Second)})
			So(c.Replace([]*registration.Registration{read(2900 * time.Millisecond)}), ShouldBeTrue)
			changes := c.Since(1)
			So(held.Apply(&changes), ShouldBeTrue)
			So(held.WarmupSum(), ShouldEqual, c.WarmupSum())
			So(held.List()[0].WarmupTime, ShouldEqual, 2900*time.Millisecond)
		})
		Convey("keeps the sum that the release before knows, and accepts changes of that release, which has no other", func() {
			c.Replace([]*registration.Registration{read(3 * time.Second)})
			So(c.Sum(), ShouldEqual, sum)
			changes := c.Since(0)
			changes.WarmupSum, changes.Changed[0].WarmupTime = 0, 0
			So(held.Apply(&changes), ShouldBeTrue)
		})
	})
	Convey("applying the changes since any older state leads to the same state", t, func() {
		rapid.Check(t, func(t *rapid.T) {
			from, to := registry.NewCatalog(), registry.NewCatalog()
			number := uint64(0)
			for range rapid.IntRange(1, 20).Draw(t, "steps") {
				var list []*registration.Registration
				for i := range 6 {
					if rapid.Bool().Draw(t, "there") {
						list = append(list, endpoint(i, rapid.IntRange(1, 3).Draw(t, "slots")))
					}
				}
				from.Replace(list)
				if !rapid.Bool().Draw(t, "asks") {
					continue
				}
				changes := from.Since(number)
				if !to.Apply(&changes) {
					t.Fatalf("sum %x, want %x", to.Sum(), changes.Sum)
				}
				number = changes.Number
			}
		})
	})
}
