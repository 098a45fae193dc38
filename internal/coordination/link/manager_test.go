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
	pieces := make([]piece.Name, n)
	for i := range pieces {
		pieces[i] = piece.Name(fmt.Sprintf("c%d-p%d", context, i))
	}
	return pieces
}

func events(pieces []piece.Name, generation uint64) []link.Event {
	var list []link.Event
	for _, name := range pieces {
		list = append(list, link.Event{Name: name, Generation: generation, Digest: "d", Bytes: blockBytes})
	}
	return list
}

// newManager returns a manager for a link on which the transfer of one block takes 100 ms.
func newManager() *link.Manager {
	return link.NewManager(link.DefaultConfig(10 * blockBytes))
}

func expectReserve(m *link.Manager, now time.Time, pieces []piece.Name, recomputeAll time.Duration, blocks int, wait time.Duration) {
	reserved, gotWait := m.Reserve(now, pieces, recomputeAll)
	So(len(reserved), ShouldEqual, blocks)
	So(gotWait, ShouldEqual, wait)
}

func TestManager(t *testing.T) {
	Convey("a store with two contexts of four pieces each", t, func() {
		m := newManager()
		m.Apply(start, events(names(1, 4), 1))
		m.Apply(start, events(names(2, 4), 2))
		Convey("reserves a fetch that is faster than recomputing", func() { expectReserve(m, start, names(1, 4), time.Second, 4, 0) })
		Convey("refuses a fetch that isn't faster", func() { expectReserve(m, start, names(1, 4), 300*time.Millisecond, 0, 0) })
		Convey("schedules one transfer after another", func() {
			expectReserve(m, start, names(1, 4), time.Second, 4, 0)
			expectReserve(m, start, names(2, 4), time.Second, 4, 400*time.Millisecond)
		})
		Convey("refuses a fetch that the backlog would make slower than recomputing", func() {
			expectReserve(m, start, names(1, 4), time.Second, 4, 0)
			expectReserve(m, start, names(2, 4), 700*time.Millisecond, 0, 0)
		})
		Convey("returns only the stored prefix", func() {
			m.Apply(start, []link.Event{{Name: names(1, 4)[2], Generation: 1, Freed: true}})
			expectReserve(m, start, names(1, 4), time.Second, 2, 0)
		})
		Convey("ignores an event that frees an earlier generation", func() {
			m.Apply(start, []link.Event{{Name: names(1, 4)[0], Generation: 0, Freed: true}})
			expectReserve(m, start, names(1, 4), time.Second, 4, 0)
		})
		Convey("evicts the least recently used blocks when the store is full, and only after their last read", func() {
			m.Reserve(start.Add(time.Second), names(1, 4), time.Second)
			m.SetSpace(95, 100)
			So(m.Evict(start.Add(2*time.Second)), ShouldNotBeEmpty)
			for _, b := range m.Evict(start.Add(2 * time.Second)) {
				So(string(b.Name), ShouldStartWith, "c2")
			}
		})
	})
}

// TestReservationsDoNotOverlap checks that reserved transfers never overlap on the link and always end before recomputing would.
func TestReservationsDoNotOverlap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newManager()
		for c := range 6 {
			m.Apply(start, events(names(c, 5), uint64(c)))
		}
		now, linkFreeAt := start, start
		for range rapid.IntRange(1, 60).Draw(t, "asks") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
			n := rapid.IntRange(1, 5).Draw(t, "pieces")
			recomputeAll := time.Duration(rapid.IntRange(1, 3000).Draw(t, "within")) * time.Millisecond
			blocks, wait := m.Reserve(now, names(rapid.IntRange(0, 5).Draw(t, "context"), n), recomputeAll)
			if len(blocks) == 0 {
				continue
			}
			began := now.Add(wait)
			if began.Before(linkFreeAt) {
				t.Fatalf("transfer starts at %v, before the link is free at %v", began, linkFreeAt)
			}
			linkFreeAt = began.Add(time.Duration(len(blocks)) * 100 * time.Millisecond)
			if linkFreeAt.Sub(now) >= recomputeAll {
				t.Fatalf("fetch ends after %v, but recomputing would have taken only %v", linkFreeAt.Sub(now), recomputeAll)
			}
		}
	})
}
