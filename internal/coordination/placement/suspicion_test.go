package placement_test

import (
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumvale/internal/coordination/placement"
	"gypsumvale/internal/state/clock"
	"gypsumvale/internal/state/prompt"
)

// suspicions holds the suspected parts, and one that is blocked.
type suspicions struct {
	suspected []string
	blocked   string
}

func (s *suspicions) Check(_ clock.Instant, _ string, shared []prompt.Part) (bool, []string) {
	var suspected []string
	for _, part := range shared {
		if part.ID == s.blocked {
			return true, nil
		}
		if slices.Contains(s.suspected, part.ID) {
			suspected = append(suspected, part.ID)
		}
	}
	return false, suspected
}

func TestSuspectedParts(t *testing.T) {
	Convey("a pool that suspects a part", t, func() {
		s := &suspicions{suspected: []string{"x"}, blocked: "z"}
		p := placement.NewPool(placement.Config{PrefillRate: prefillRate, Suspicions: s})
		p.SetEngine(&placement.Engine{Slots: 32, CacheTokens: 100000, TokenSeconds: 1e-6})
		p.SetEndpoints(endpoints(4))
		first := newRequest("x", 500)
		place(p, start, first)
		second := newRequest("x", 500)

		Convey("queues a second request with it until the first one's answer begins", func() {
			expectError(p, start, second, placement.ErrQueued)
			So(p.ProcessQueue(start.Add(50*time.Millisecond)), ShouldBeEmpty)
			p.FirstEvent(start.Add(90*time.Millisecond), first.ID)
			grants := p.ProcessQueue(start.Add(100 * time.Millisecond))
			So(len(grants), ShouldEqual, 1)
			So(grants[0].Err, ShouldBeNil)
		})
		Convey("rejects the queued request when the part is blocked", func() {
			expectError(p, start, second, placement.ErrQueued)
			p.Done(start.Add(90*time.Millisecond), first.ID, placement.OutcomeUnreachable)
			s.blocked = "x"
			grants := p.ProcessQueue(start.Add(100 * time.Millisecond))
			So(len(grants), ShouldEqual, 1)
			So(grants[0].Err, ShouldEqual, placement.ErrBlocked)
		})
		Convey("places other requests at once, also behind the queued one", func() {
			expectError(p, start, second, placement.ErrQueued)
			other := newRequest("c", 500)
			_, err := p.Place(start, other)
			if err != nil {
				So(err, ShouldEqual, placement.ErrQueued)
				grants := p.ProcessQueue(start.Add(time.Millisecond))
				So(len(grants), ShouldEqual, 1)
				So(grants[0].Request, ShouldEqual, other)
				So(grants[0].Err, ShouldBeNil)
			}
		})
		Convey("rejects a second request that can't wait", func() {
			second.Uncoordinated = true
			expectError(p, start, second, placement.ErrSuspected)
		})
		Convey("never places a request with a blocked part", func() { expectError(p, start, newRequest("z", 500), placement.ErrBlocked) })
	})
}
