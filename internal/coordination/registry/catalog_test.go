package registry_test

import (
	"fmt"
	"testing"

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
		Convey("tells nothing when nothing has changed", func() {
			So(c.Replace(list), ShouldBeFalse)
			changes := c.Since(since)
			So(changes.Changed, ShouldBeEmpty)
			So(changes.Removed, ShouldBeEmpty)
		})
		Convey("tells only what has changed", func() {
			next := append([]*registration.Registration{endpoint(0, 9)}, list[2:]...)
			So(c.Replace(next), ShouldBeTrue)
			changes := c.Since(since)
			So(changes.Complete, ShouldBeFalse)
			So(len(changes.Changed), ShouldEqual, 1)
			So(changes.Removed, ShouldResemble, []string{"e1"})
		})
		Convey("tells everything to who holds nothing, or a state that it never had", func() {
			So(len(c.Since(0).Changed), ShouldEqual, 3000)
			So(c.Since(since+1).Complete, ShouldBeTrue)
		})
		Convey("tells everything to who has missed too much", func() {
			small := catalogOf(list[:2]...)
			since := small.Number()
			for i := range 5000 {
				small.Replace(append([]*registration.Registration{endpoint(100000+i, 8)}, list[:2]...))
			}
			So(small.Since(since).Complete, ShouldBeTrue)
		})
	})
	Convey("holders of any older states come to the same state by changes", t, func() {
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
					t.Fatalf("sum %x, told %x", to.Sum(), changes.Sum)
				}
				number = changes.Number
			}
		})
	})
}
