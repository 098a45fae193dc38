package placement_test

import (
	"errors"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumvale/internal/coordination/placement"
	"gypsumvale/internal/coordination/warmup"
	"gypsumvale/internal/state/clock"
	"gypsumvale/internal/state/registration"
)

// admission is what a process may admit: since when it leads alone, and its share of plain services.
type admission struct {
	since clock.Instant
	share int
}

func (a *admission) SoleSince(clock.Instant) clock.Instant { return a.since }
func (a *admission) Share(string, int) int                 { return a.share }

// coldFleet is a pool whose endpoints bear 14 requests per second while they are cold.
type coldFleet struct {
	*placement.Pool
	*admission
	list []*registration.Registration
}

func newColdFleet(n int) *coldFleet {
	f := &coldFleet{admission: &admission{since: start.Add(-time.Minute)}, list: endpoints(n)}
	f.Pool = placement.NewPool(placement.Config{PrefillRate: prefillRate, OldWeightsGrace: 6500 * time.Millisecond, ColdAdmission: f.admission})
	f.SetEngine(&placement.Engine{Slots: 32, CacheTokens: 100000, TokenSeconds: 1e-6})
	f.SetWarmupLimits(warmup.Limits{PerSecond: 14, Time: 3 * time.Second, Excess: 1.5, Tolerance: 5})
	return f
}

// register lists the endpoints anew at an instant, each with a time left.
func (f *coldFleet) register(now clock.Instant, left ...time.Duration) {
	for i, l := range left {
		r := *f.list[i]
		r.WarmupTime = l
		f.list[i] = &r
	}
	f.SetEndpoints(f.list)
	f.ObserveRegistrations(now, now)
}

// run sends a short request every 5 ms and returns how many were placed on an endpoint, by endpoint. Each is answered at once.
func (f *coldFleet) run(from clock.Instant, duration time.Duration, alone bool) map[string]int {
	placed := make(map[string]int)
	for now := from; now < from.Add(duration); now = now.Add(5 * time.Millisecond) {
		req := newRequest("c", 100)
		req.FirstEventDeadline, req.Deadline, req.Uncoordinated = now.Add(3*time.Second), now.Add(15*time.Second), alone
		if c, err := f.Place(now, req); err == nil {
			placed[c.Endpoint]++
			answer(f.Pool, now, req)
		}
		for _, g := range f.ProcessQueue(now) {
			if g.Err == nil {
				placed[g.Choice.Endpoint]++
				answer(f.Pool, now, g.Request)
			}
		}
	}
	return placed
}

func TestColdEndpoints(t *testing.T) {
	Convey("a pool whose endpoints may be cold", t, func() {
		Convey("admits at most the rate per window to one, and grants queued requests when the window frees", func() {
			f := newColdFleet(1)
			f.register(start, 3*time.Second)
			So(f.run(start, 1250*time.Millisecond, false)["e00"], ShouldEqual, 14)
			So(f.Waiting(), ShouldBeGreaterThan, 20)
			So(f.run(start.Add(1250*time.Millisecond), 1250*time.Millisecond, false)["e00"], ShouldEqual, 14)
			So(f.TakeColdDeferred(), ShouldBeGreaterThan, 100)
		})
		Convey("marks the choice of a cold one, and of no other", func() {
			f := newColdFleet(1)
			f.register(start, time.Second)
			So(place(f.Pool, start, newRequest("c", 100)).Cold, ShouldBeTrue)
			So(place(f.Pool, start.Add(1100*time.Millisecond), newRequest("c", 100)).Cold, ShouldBeFalse)
		})
		Convey("uses warm ones for what cold ones don't admit", func() {
			f := newColdFleet(2)
			f.register(start, 3*time.Second, 0)
			placed := f.run(start, time.Second, false)
			So(placed["e00"], ShouldBeLessThanOrEqualTo, 14)
			So(placed["e00"]+placed["e01"], ShouldEqual, 200)
			So(f.Waiting(), ShouldEqual, 0)
		})
		Convey("prefers a warm one for a long prompt", func() {
			f := newColdFleet(2)
			f.register(start, 3*time.Second, 0)
			busy := newRequest("b", 8000)
			So(place(f.Pool, start, busy).Endpoint, ShouldEqual, "e01")
			So(place(f.Pool, start, newRequest("d", 14000)).Endpoint, ShouldEqual, "e01")
			So(place(f.Pool, start, newRequest("e", 100)).Endpoint, ShouldEqual, "e00")
		})
		Convey("admits nothing to cold ones in the first window of a leader", func() {
			f := newColdFleet(1)
			f.register(start, 3*time.Second)
			f.since = start
			So(f.run(start, 1250*time.Millisecond, false), ShouldBeEmpty)
			So(f.run(start.Add(1250*time.Millisecond), 100*time.Millisecond, false)["e00"], ShouldEqual, 14)
		})
		Convey("admits nothing to cold ones without a lease or a leader, and rejects until the first is warm", func() {
			f := newColdFleet(2)
			f.register(start, 3*time.Second, 2*time.Second)
			f.since = 0
			So(f.run(start, time.Second, false), ShouldBeEmpty)
			req := newRequest("c", 100)
			req.Uncoordinated = true
			_, err := f.Place(start.Add(time.Second), req)
			var overload *placement.OverloadError
			So(errors.As(err, &overload), ShouldBeTrue)
			So(overload.RetryAt, ShouldEqual, start.Add(2*time.Second))
			So(len(f.run(start.Add(2*time.Second), 100*time.Millisecond, true)), ShouldEqual, 1)
		})
		Convey("limits one in doubt after a refused connection, until a registration read three seconds later says that it is warm", func() {
			f := newColdFleet(1)
			f.register(start, 0)
			req := newRequest("c", 100)
			place(f.Pool, start, req)
			f.Done(start, req.ID, placement.OutcomeUnreachable)
			So(f.run(start.Add(time.Second), 1250*time.Millisecond, false)["e00"], ShouldEqual, 14)
			f.ObserveRegistrations(start.Add(2900*time.Millisecond), start.Add(2900*time.Millisecond))
			So(f.run(start.Add(5*time.Second), 1250*time.Millisecond, false)["e00"], ShouldEqual, 14)
			f.ObserveRegistrations(start.Add(7*time.Second), start.Add(3*time.Second))
			So(f.run(start.Add(7*time.Second), time.Second, false)["e00"], ShouldBeGreaterThanOrEqualTo, 200)
		})
		Convey("uses one in doubt again after the stated time where it places alone, though no registration is read", func() {
			f := newColdFleet(1)
			f.register(start, 0)
			f.EndpointInDoubt("e00", start)
			So(f.run(start.Add(time.Second), time.Second, true), ShouldBeEmpty)
			So(f.run(start.Add(3*time.Second), time.Second, true)["e00"], ShouldEqual, 200)
		})
		Convey("treats an endpoint as cold that returns as another incarnation, and counts what was admitted before", func() {
			f := newColdFleet(1)
			f.register(start, 0)
			f.run(start, 500*time.Millisecond, false)
			restarted := *f.list[0]
			restarted.StartMilli = 2
			f.list[0] = &restarted
			f.register(start.Add(500*time.Millisecond), registration.WarmupUnknown)
			So(f.run(start.Add(500*time.Millisecond), time.Second, false)["e00"], ShouldBeLessThanOrEqualTo, 14)
			So(f.ColdEndpoints(start.Add(3400*time.Millisecond)), ShouldEqual, 1)
			So(f.ColdEndpoints(start.Add(3500*time.Millisecond)), ShouldEqual, 0)
		})
		Convey("reports each change of status once", func() {
			f := newColdFleet(2)
			f.register(start, 3*time.Second, 0)
			So(f.TakeWarmupChanges(start), ShouldResemble, []placement.WarmupChange{{Endpoint: "e00", Status: warmup.Cold, WarmAt: start.Add(3 * time.Second)}})
			So(f.TakeWarmupChanges(start.Add(time.Second)), ShouldBeEmpty)
			So(f.TakeWarmupChanges(start.Add(3*time.Second)), ShouldHaveLength, 1)
		})
		Convey("treats a zone as cold after its evacuation until a registration written since then says otherwise", func() {
			f := newColdFleet(2)
			f.list[1].Zone = "b"
			f.register(start, 0, 0)
			f.EndpointsInDoubt("b", start)
			So(f.ColdEndpoints(start), ShouldEqual, 1)
			f.ObserveRegistrations(start.Add(2*time.Second), start.Add(1500*time.Millisecond))
			So(f.ColdEndpoints(start.Add(2*time.Second)), ShouldEqual, 0)
		})
	})
}

func TestColdPlainEndpoints(t *testing.T) {
	Convey("a plain service whose endpoints may be cold", t, func() {
		f := newColdFleet(2)
		f.SetEngine(nil)
		f.share = 2
		run := func(from clock.Instant) map[string]int {
			placed := make(map[string]int)
			for i := range 100 {
				req := newRequest("c", 0)
				req.Model = ""
				if c, err := f.Place(from.Add(time.Duration(i)*time.Millisecond), req); err == nil {
					placed[c.Endpoint]++
				}
			}
			return placed
		}
		Convey("gets nothing on a cold endpoint while another is warm", func() {
			f.register(start, 5*time.Second, 0)
			So(run(start.Add(2*time.Second)), ShouldResemble, map[string]int{"e01": 100})
		})
		Convey("gets the share of this entry on each if all are cold, but nothing right after its start", func() {
			f.register(start, 5*time.Second, 5*time.Second)
			So(run(start), ShouldBeEmpty)
			So(run(start.Add(2*time.Second)), ShouldResemble, map[string]int{"e00": 2, "e01": 2})
		})
	})
}
