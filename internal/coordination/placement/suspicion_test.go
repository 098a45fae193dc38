package placement_test

import (
	"errors"
	"fmt"
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

// newSuspectingPool returns a pool that suspects part x, with engines that have plenty of slots and memory.
func newSuspectingPool() *placement.Pool {
	p := placement.NewPool(placement.Config{PrefillRate: prefillRate, Suspicions: &suspicions{suspected: []string{"x"}}})
	p.SetEngine(&placement.Engine{Slots: 1000, CacheTokens: 1e8, TokenSeconds: 1e-6})
	list := endpoints(4)
	for _, r := range list {
		r.Slots = 1000
	}
	p.SetEndpoints(list)
	return p
}

// processUntil processes the queue at intervals, and returns when requests were granted; none is rejected.
func processUntil(p *placement.Pool, end time.Duration) []time.Duration {
	var granted []time.Duration
	for at := 20 * time.Millisecond; at <= end; at += 20 * time.Millisecond {
		p.RemoveExpired(start.Add(at))
		for _, g := range p.ProcessQueue(start.Add(at)) {
			So(g.Err, ShouldBeNil)
			granted = append(granted, at)
		}
	}
	return granted
}

func TestHoldWithoutFirstEvent(t *testing.T) {
	Convey("a pool that never learns of the first event of a request with a suspected part, nor of its end", t, func() {
		p := newSuspectingPool()

		Convey("places the next one with the part before its caller gives up", func() {
			place(p, start, newRequest("x", 500))
			second := newRequest("x", 500)
			second.FirstEventDeadline = start.Add(2 * time.Second)
			expectError(p, start, second, placement.ErrQueued)
			So(processUntil(p, 2*time.Second), ShouldHaveLength, 1)
		})
		Convey("places one at a time of those that wait, none within a second of the one before", func() {
			place(p, start, newRequest("x", 500))
			for range 8 {
				req := newRequest("x", 500)
				req.FirstEventDeadline = start.Add(10 * time.Second)
				expectError(p, start, req, placement.ErrQueued)
			}
			granted, last := processUntil(p, 5*time.Second), time.Duration(0)
			So(len(granted), ShouldBeBetweenOrEqual, 3, 5)
			for _, at := range granted {
				So(at-last, ShouldBeGreaterThanOrEqualTo, time.Second)
				last = at
			}
		})
		Convey("waits longer for a long prompt", func() {
			long := newRequest("x", 60000)
			expected := place(p, start, long).Expected
			second := newRequest("x", 500)
			second.FirstEventDeadline = start.Add(10 * time.Second)
			expectError(p, start, second, placement.ErrQueued)
			So(processUntil(p, 2*expected), ShouldBeEmpty)
			So(processUntil(p, 4*expected), ShouldHaveLength, 1)
		})
		Convey("holds the part until the newer one's first event, whatever becomes of the older one", func() {
			first := newRequest("x", 500)
			place(p, start, first)
			now := start.Add(1100 * time.Millisecond)
			second, third := newRequest("x", 500), newRequest("x", 500)
			place(p, now, second)
			expectError(p, now, third, placement.ErrQueued)
			p.Done(now, first.ID, placement.OutcomeWithdrawn)
			So(p.ProcessQueue(now.Add(50*time.Millisecond)), ShouldBeEmpty)
			p.FirstEvent(now.Add(60*time.Millisecond), second.ID)
			So(p.ProcessQueue(now.Add(100*time.Millisecond)), ShouldHaveLength, 1)
		})
	})
}

func TestHoldOfEndedAssignments(t *testing.T) {
	ends := map[string]func(*placement.Pool, *placement.Request){
		"has ended":                           func(p *placement.Pool, req *placement.Request) { p.Done(start, req.ID, placement.OutcomeUnreachable) },
		"has produced its first event":        func(p *placement.Pool, req *placement.Request) { p.FirstEvent(start, req.ID) },
		"was placed by an entry that is gone": func(p *placement.Pool, req *placement.Request) { p.DropEntry(req.ID.Entry) },
		"has expired":                         func(p *placement.Pool, req *placement.Request) { p.RemoveExpired(req.Deadline.Add(2 * time.Second)) },
	}
	for name, end := range ends {
		Convey("a request with a suspected part that "+name+" holds back no other", t, func() {
			p := newSuspectingPool()
			first := newRequest("x", 500)
			place(p, start, first)
			end(p, first)
			place(p, start, newRequest("x", 500))
		})
	}
}

// fastestPass returns the shortest time in which the queue is processed with 90 requests held back beside others that run.
func fastestPass(t *testing.T, running int) time.Duration {
	t.Helper()
	p := newSuspectingPool()
	for i := range running {
		req := newRequest(fmt.Sprint("c", i), 100)
		if _, err := p.Place(start, req); err != nil {
			t.Fatal(err)
		}
		p.FirstEvent(start, req.ID)
	}
	for i := range 91 {
		req := newRequest("x", 500)
		req.FirstEventDeadline = start.Add(time.Hour)
		if _, err := p.Place(start, req); i > 0 && !errors.Is(err, placement.ErrQueued) {
			t.Fatal(err)
		}
	}
	fastest := time.Hour
	for at := 41 * time.Millisecond; at < 950*time.Millisecond; at += 41 * time.Millisecond {
		began := time.Now()
		if grants := p.ProcessQueue(start.Add(at)); len(grants) > 0 {
			t.Fatalf("%d requests were not held back", len(grants))
		}
		fastest = min(fastest, time.Since(began))
	}
	return fastest
}

func TestHeldRequestsCost(t *testing.T) {
	Convey("the time to process requests that are held back doesn't grow with the number of those that run", t, func() {
		few, many := fastestPass(t, 30), fastestPass(t, 3000)
		t.Logf("90 held: %v a pass beside 30 that run, %v beside 3,000", few, many)
		So(many, ShouldBeLessThan, 4*few)
	})
}
