package placement_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumvale/internal/coordination/placement"
	"gypsumvale/internal/state/clock"
)

// cutSite is a pool over three zones, one of which can't be reached: what is sent there fails after the time of a dial.
type cutSite struct {
	pool *placement.Pool
	cut  string
	// failing are the uses that end as unreachable, and when.
	failing map[placement.AssignmentID]clock.Instant
	// lost counts what was sent to the cut zone.
	lost int
}

func newCutSite(cut string) *cutSite {
	s := &cutSite{pool: newPool(0), cut: cut, failing: make(map[placement.AssignmentID]clock.Instant)}
	list := endpoints(60)
	for i, r := range list {
		r.Zone = string("abc"[i%3])
	}
	s.pool.SetEndpoints(list)
	return s
}

// run sends an ask from zone a every 10 ms, by this entry's own counts as without a leader.
func (s *cutSite) run(from clock.Instant, span time.Duration) {
	for now := from; now.Before(from.Add(span)); now = now.Add(10 * time.Millisecond) {
		for id, at := range s.failing {
			if !now.Before(at) {
				delete(s.failing, id)
				s.pool.Done(now, id, placement.OutcomeUnreachable)
			}
		}
		a := ask(fmt.Sprint("c", uses%40), 2000)
		a.Uncoordinated, a.FirstEventDeadline, a.Deadline = true, now.Add(3*time.Second), now.Add(15*time.Second)
		c := place(s.pool, now, a)
		if zoneOf(c.Endpoint) == s.cut {
			s.lost++
			s.failing[a.ID] = now.Add(150 * time.Millisecond)
			continue
		}
		answer(s.pool, now, a)
	}
}

func zoneOf(endpoint string) string {
	var n int
	_, err := fmt.Sscanf(endpoint, "e%d", &n)
	So(err, ShouldBeNil)
	return string("abc"[n%3])
}

func TestCutZone(t *testing.T) {
	Convey("with a zone of three cut off for three seconds, 100 asks a second by an entry that places alone", t, func() {
		s := newCutSite("")
		s.run(start, time.Second)
		s.cut = "c"
		s.run(start.Add(time.Second), 3*time.Second)
		Convey("few pay for a dial: those of the first dial's time, and one for each rest", func() {
			// A third of the asks goes there until the first dials have failed, five, and four rests follow.
			So(s.lost, ShouldBeLessThan, 12)
		})
		Convey("the zone is used again soon after its return", func() {
			s.cut = ""
			s.lost = 0
			from := start.Add(4 * time.Second)
			s.run(from, 2*time.Second)
			used := false
			for range 10 {
				a := ask(fmt.Sprint("d", uses), 2000)
				a.Uncoordinated, a.FirstEventDeadline = true, from.Add(5*time.Second)
				used = used || zoneOf(place(s.pool, from.Add(2*time.Second), a).Endpoint) == "c"
			}
			So(used, ShouldBeTrue)
		})
	})
	Convey("endpoints of the own zone that fail don't close it", t, func() {
		s := newCutSite("a")
		s.run(start, time.Second)
		So(s.lost, ShouldBeGreaterThan, 0)
		So(zoneOf(place(s.pool, start.Add(4*time.Second), ask("x", 2000)).Endpoint), ShouldEqual, "a")
	})
}
