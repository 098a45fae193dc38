package memory_test

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumvale/internal/coordination/memory"
	"gypsumvale/internal/state/clock"
)

func ignore() {}

// Guards against an account that loses bytes, lets a use exceed its share, or evicts what makes progress or is being served.
func TestAccount(t *testing.T) {
	Convey("an account of 1,000 bytes, 750 of them for bodies", t, func() {
		a := memory.NewAccount(1000)
		open := func(n int64) *memory.Charge {
			c := a.Open(memory.Bodies, ignore)
			_, ok := a.Grow(c, n)
			So(ok, ShouldBeTrue)
			return c
		}
		first, second := open(300), open(300)

		Convey("evicts the incomplete body whose last progress is oldest", func() {
			a.RecordProgress(first)
			third := a.Open(memory.Bodies, ignore)
			evicted, ok := a.Grow(third, 400)
			So(ok, ShouldBeTrue)
			So(evicted, ShouldResemble, []*memory.Charge{second})
			So(second.Evicted(), ShouldBeTrue)
			So(a.Complete(second), ShouldBeFalse)
			So(a.Used(memory.Bodies), ShouldEqual, 700)
			_, ok = a.Grow(second, 1)
			So(ok, ShouldBeFalse)
		})
		Convey("refuses a body if all others are complete", func() {
			So(a.Complete(first), ShouldBeTrue)
			So(a.Complete(second), ShouldBeTrue)
			third := a.Open(memory.Bodies, ignore)
			evicted, ok := a.Grow(third, 200)
			So(ok, ShouldBeFalse)
			So(evicted, ShouldBeEmpty)
			a.Close(first)
			_, ok = a.Grow(third, 200)
			So(ok, ShouldBeTrue)
			So(a.Used(memory.Bodies), ShouldEqual, 500)
		})
		Convey("evicts header sections before bodies when the whole runs short", func() {
			headers := a.Open(memory.Headers, ignore)
			_, ok := a.Grow(headers, 200)
			So(ok, ShouldBeTrue)
			evicted, ok := a.Grow(a.Open(memory.Responses, nil), 400)
			So(ok, ShouldBeTrue)
			So(evicted, ShouldResemble, []*memory.Charge{headers})
			stream := a.Open(memory.Streams, nil)
			evicted, ok = a.Grow(stream, 100)
			So(ok, ShouldBeTrue)
			So(evicted, ShouldResemble, []*memory.Charge{first})
			a.Close(first)
			_, ok = a.Grow(stream, 200)
			So(ok, ShouldBeFalse)
			So(a.Take(stream, 200), ShouldBeEmpty)
			So(a.Used(memory.Streams), ShouldEqual, 300)
		})
		Convey("adds nothing while evicted holders still have half of the capacity", func() {
			third := a.Open(memory.Bodies, ignore)
			_, ok := a.Grow(third, 750)
			So(ok, ShouldBeTrue)
			a.Close(third)
			_, ok = a.Grow(a.Open(memory.Bodies, ignore), 1)
			So(ok, ShouldBeFalse)
			a.Close(first)
			_, ok = a.Grow(a.Open(memory.Bodies, ignore), 1)
			So(ok, ShouldBeTrue)
		})
		Convey("has nothing left after all charges are closed, evicted ones too", func() {
			a.EvictOldest()
			a.Shrink(second, 50)
			a.Close(first)
			a.Close(first)
			a.Close(second)
			So(a.Used(memory.Bodies), ShouldEqual, 0)
			So(a.EvictOldest(), ShouldBeNil)
		})
	})
}

// Guards against the eviction of connections that are being served, and of newcomers before those that send nothing.
func TestConnections(t *testing.T) {
	Convey("at the limit of connections", t, func() {
		table, now := memory.NewConnections(3), clock.Instant(0)
		add := func() *memory.Connection {
			c, _, ok := table.Add(now, ignore)
			So(ok, ShouldBeTrue)
			return c
		}
		first, second, third := add(), add(), add()
		table.SetState(first, memory.StateServed, now)
		table.SetState(second, memory.StateIdle, now)

		Convey("one that was refused gives way first", func() {
			now = now.Add(time.Second)
			table.SetState(first, memory.StateRefused, now)
			So(table.Evict(now), ShouldEqual, first)
		})
		Convey("one that has long sent no complete header section gives way, then the idle one, then none", func() {
			now = now.Add(time.Second)
			_, victim, ok := table.Add(now, ignore)
			So(ok, ShouldBeTrue)
			So(victim, ShouldEqual, third)
			So(table.Evict(now), ShouldEqual, second)
			So(table.Evict(now), ShouldNotBeNil)
			So(table.Evict(now), ShouldBeNil)
			So(table.Count(), ShouldEqual, 1)
			table.Remove(second)
			So(table.Count(), ShouldEqual, 1)
		})
		Convey("an idle one gives way before one that has just been opened", func() {
			So(table.Evict(now), ShouldEqual, second)
			So(table.Evict(now), ShouldEqual, third)
		})
		Convey("a new one isn't added if all are served", func() {
			table.SetState(second, memory.StateServed, now)
			table.SetState(third, memory.StateServed, now)
			_, _, ok := table.Add(now, ignore)
			So(ok, ShouldBeFalse)
			So(table.Count(), ShouldEqual, 3)
		})
	})
}
