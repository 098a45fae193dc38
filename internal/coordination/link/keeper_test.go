package link_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"gypsumvale/internal/coordination/link"
	"gypsumvale/internal/state/piece"
)

var start = time.Unix(1_800_000_000, 0)

const blockBytes = 1000

func names(context, n int) []piece.Name {
	list := make([]piece.Name, n)
	for i := range list {
		list[i] = piece.Name(fmt.Sprintf("c%d-p%d", context, i))
	}
	return list
}

func events(list []piece.Name, generation uint64) []link.Event {
	var out []link.Event
	for _, name := range list {
		out = append(out, link.Event{Name: name, Generation: generation, Digest: "d", Bytes: blockBytes})
	}
	return out
}

// newKeeper returns a keeper of a link that takes 100 ms a block.
func newKeeper() *link.Manager {
	return link.NewManager(link.DefaultConfig(10 * blockBytes))
}

func expectReserve(k *link.Manager, at time.Time, list []piece.Name, within time.Duration, blocks int, wait time.Duration) {
	got, w := k.Reserve(at, list, within)
	So(len(got), ShouldEqual, blocks)
	So(w, ShouldEqual, wait)
}

func TestKeeper(t *testing.T) {
	Convey("a keeper of two contexts of four pieces", t, func() {
		k := newKeeper()
		k.Apply(start, events(names(1, 4), 1))
		k.Apply(start, events(names(2, 4), 2))
		Convey("grants a fetch that beats recomputing", func() { expectReserve(k, start, names(1, 4), time.Second, 4, 0) })
		Convey("refuses one that doesn't", func() { expectReserve(k, start, names(1, 4), 300*time.Millisecond, 0, 0) })
		Convey("queues one behind another", func() {
			expectReserve(k, start, names(1, 4), time.Second, 4, 0)
			expectReserve(k, start, names(2, 4), time.Second, 4, 400*time.Millisecond)
		})
		Convey("refuses when the backlog makes it too late", func() {
			expectReserve(k, start, names(1, 4), time.Second, 4, 0)
			expectReserve(k, start, names(2, 4), 700*time.Millisecond, 0, 0)
		})
		Convey("offers the stored prefix only", func() {
			k.Apply(start, []link.Event{{Name: names(1, 4)[2], Generation: 1, Freed: true}})
			expectReserve(k, start, names(1, 4), time.Second, 2, 0)
		})
		Convey("ignores the freeing of an earlier generation", func() {
			k.Apply(start, []link.Event{{Name: names(1, 4)[0], Generation: 0, Freed: true}})
			expectReserve(k, start, names(1, 4), time.Second, 4, 0)
		})
		Convey("frees the oldest when the store is full, and only after its last read", func() {
			k.Reserve(start.Add(time.Second), names(1, 4), time.Second)
			k.SetSpace(95, 100)
			So(k.Evict(start.Add(2*time.Second)), ShouldNotBeEmpty)
			for _, b := range k.Evict(start.Add(2 * time.Second)) {
				So(string(b.Name), ShouldStartWith, "c2")
			}
		})
	})
}

// TestLinkNeverAbove checks that reserved transfers never overlap on the link.
func TestLinkNeverAbove(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		k := newKeeper()
		for c := range 6 {
			k.Apply(start, events(names(c, 5), uint64(c)))
		}
		now, free := start, start
		for range rapid.IntRange(1, 60).Draw(t, "asks") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
			n := rapid.IntRange(1, 5).Draw(t, "pieces")
			within := time.Duration(rapid.IntRange(1, 3000).Draw(t, "within")) * time.Millisecond
			blocks, wait := k.Reserve(now, names(rapid.IntRange(0, 5).Draw(t, "context"), n), within)
			if len(blocks) == 0 {
				continue
			}
			began := now.Add(wait)
			if began.Before(free) {
				t.Fatalf("transfer begins at %v, before the link is free at %v", began, free)
			}
			free = began.Add(time.Duration(len(blocks)) * 100 * time.Millisecond)
			if free.Sub(now) >= within {
				t.Fatalf("fetch ends after %v, and recomputing would have taken %v", free.Sub(now), within)
			}
		}
	})
}
