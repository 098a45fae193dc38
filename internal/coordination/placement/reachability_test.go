package placement_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumvale/internal/coordination/placement"
	"gypsumvale/internal/state/clock"
)

// partitionedFleet is a pool over three zones, one of which is unreachable: requests sent there fail after the time of a dial.
type partitionedFleet struct {
	pool            *placement.Pool
	unreachableZone string
	// failing holds the requests that will end as unreachable, and when.
	failing map[placement.AssignmentID]clock.Instant
	// lostRequests counts the requests sent to the unreachable zone.
	lostRequests int
}

func newPartitionedFleet(zone string) *partitionedFleet {
	f := &partitionedFleet{pool: newPool(0), unreachableZone: zone, failing: make(map[placement.AssignmentID]clock.Instant)}
	list := endpoints(60)
	for i, r := range list {
		r.Zone = string("abc"[i%3])
	}
	f.pool.SetEndpoints(list)
	return f
}

// run places a request from zone a every 10 ms by this entry's own counts, as without a leader.
func (f *partitionedFleet) run(from clock.Instant, duration time.Duration) {
	for now := from; now.Before(from.Add(duration)); now = now.Add(10 * time.Millisecond) {
		for id, at := range f.failing {
			if !now.Before(at) {
				delete(f.failing, id)
				f.pool.Done(now, id, placement.OutcomeUnreachable)
			}
		}
		req := newRequest(fmt.Sprint("c", requestCount%40), 2000)
		req.Uncoordinated, req.FirstEventDeadline, req.Deadline = true, now.Add(3*time.Second), now.Add(15*time.Second)
		c := place(f.pool, now, req)
		if zoneOf(c.Endpoint) == f.unreachableZone {
			f.lostRequests++
			f.failing[req.ID] = now.Add(150 * time.Millisecond)
			continue
		}
		answer(f.pool, now, req)
	}
}

// ownContext returns the name of a context whose requests go to a zone as long as all zones are reachable.
func ownContext(zone string) string {
	f := newPartitionedFleet("")
	for i := 0; ; i++ {
		name := fmt.Sprint("d", i)
		req := newRequest(name, 2000)
		req.Uncoordinated, req.FirstEventDeadline, req.Deadline = true, start.Add(3*time.Second), start.Add(15*time.Second)
		if zoneOf(place(f.pool, start, req).Endpoint) == zone {
			return name
		}
		f.pool.Done(start, req.ID, placement.OutcomeWithdrawn)
	}
}

func zoneOf(endpoint string) string {
	var n int
	_, err := fmt.Sscanf(endpoint, "e%d", &n)
	So(err, ShouldBeNil)
	return string("abc"[n%3])
}

func TestUnreachableZone(t *testing.T) {
	Convey("with one of three zones unreachable for three seconds, and 100 requests a second from an uncoordinated entry", t, func() {
		// The contexts of the requests decide which probe goes out when, so that several sets of them are played.
		first := requestCount
		for set := range uint64(30) {
			requestCount = first + 7*set
			f := newPartitionedFleet("")
			f.run(start, time.Second)
			f.unreachableZone = "c"
			f.run(start.Add(time.Second), 3*time.Second)
			// Few requests wait for a dial. A third of the requests goes there until the first dials have failed, which makes five; then one
			// probe follows each of four backoffs.
			So(f.lostRequests, ShouldBeLessThan, 12)

			// The zone is used again soon after it recovers.
			f.unreachableZone = ""
			f.lostRequests = 0
			from := start.Add(4 * time.Second)
			f.run(from, 2*time.Second)
			req := newRequest(ownContext("c"), 2000)
			req.Uncoordinated, req.FirstEventDeadline = true, from.Add(5*time.Second)
			So(zoneOf(place(f.pool, from.Add(2*time.Second), req).Endpoint), ShouldEqual, "c")
		}
	})
	Convey("failing endpoints in the entry's own zone don't make the zone unreachable", t, func() {
		f := newPartitionedFleet("a")
		f.run(start, time.Second)
		So(f.lostRequests, ShouldBeGreaterThan, 0)
		So(zoneOf(place(f.pool, start.Add(4*time.Second), newRequest("x", 2000)).Endpoint), ShouldEqual, "a")
	})
}

// busyFleet is a pool over three zones whose endpoints answer after a while. Endpoints that are down break what runs there at once, and refuse
// what is sent there later.
type busyFleet struct {
	pool  *placement.Pool
	reach *placement.Reachability
	// zones holds the zone of each endpoint.
	zones map[string]string
	// down reports whether an endpoint is down now.
	down func(endpoint string) bool
	// running holds the requests on the endpoints, and refused those that were refused, with when they end.
	running map[string]map[placement.AssignmentID]clock.Instant
	refused map[placement.AssignmentID]clock.Instant
	// sentDown counts the requests sent to endpoints that were down.
	sentDown int
}

func newBusyFleet(size int) *busyFleet {
	f := &busyFleet{
		reach: placement.NewReachability(), zones: make(map[string]string), down: func(string) bool { return false },
		running: make(map[string]map[placement.AssignmentID]clock.Instant), refused: make(map[placement.AssignmentID]clock.Instant),
	}
	f.pool = placement.NewPool(placement.Config{PrefillRate: prefillRate, Reachability: f.reach})
	f.pool.SetEngine(&placement.Engine{Slots: 32, CacheTokens: 100000, TokenSeconds: 1e-6})
	list := endpoints(size)
	for i, r := range list {
		r.Zone = string("abc"[i%3])
		f.zones[r.ID] = r.Zone
	}
	f.pool.SetEndpoints(list)
	return f
}

const (
	// busyAnswer is the time to an answer, and refusalTime that to a refusal.
	busyAnswer  = 300 * time.Millisecond
	refusalTime = time.Millisecond
)

// run places a request every 5 ms, as a leader with requests of zone a does, and ends those that are due. It returns the changes in
// reachability.
func (f *busyFleet) run(from clock.Instant, duration time.Duration) (changes []placement.PathChange) {
	for now := from; now.Before(from.Add(duration)); now = now.Add(time.Millisecond) {
		f.endDue(now)
		changes = append(changes, f.reach.TakeChanges()...)
		if now.Sub(from)%(5*time.Millisecond) != 0 {
			continue
		}
		req := newRequest(fmt.Sprint("c", requestCount%40), 2000)
		req.FirstEventDeadline, req.Deadline = now.Add(3*time.Second), now.Add(15*time.Second)
		c, err := f.pool.Place(now, req)
		if err != nil {
			continue
		}
		if f.down(c.Endpoint) {
			f.sentDown++
			f.refused[req.ID] = now.Add(refusalTime)
			continue
		}
		if f.running[c.Endpoint] == nil {
			f.running[c.Endpoint] = make(map[placement.AssignmentID]clock.Instant)
		}
		f.running[c.Endpoint][req.ID] = now.Add(busyAnswer)
	}
	return changes
}

func (f *busyFleet) endDue(now clock.Instant) {
	for id, at := range f.refused {
		if !now.Before(at) {
			delete(f.refused, id)
			f.pool.Done(now, id, placement.OutcomeUnreachable)
		}
	}
	for endpoint, list := range f.running {
		for id, at := range list {
			switch {
			case f.down(endpoint):
				f.pool.Done(now, id, placement.OutcomeUnreachable)
			case !now.Before(at):
				f.pool.FirstEvent(now, id)
				f.pool.Done(now, id, placement.OutcomeAnswered)
			default:
				continue
			}
			delete(list, id)
		}
	}
}

func TestCrashesLookLikeCut(t *testing.T) {
	for _, size := range []int{18, 60} {
		Convey(fmt.Sprintf("a leader that places 200 requests a second on %d endpoints of three zones", size), t, func() {
			f := newBusyFleet(size)
			f.run(start, time.Second)
			failed := start.Add(time.Second)
			Convey("avoids no zone in which two endpoints crash at once, while the others answer", func() {
				f.down = func(endpoint string) bool { return endpoint == "e02" || endpoint == "e05" }
				So(f.run(failed, 4*time.Second), ShouldBeEmpty)
			})
			Convey("avoids a zone whose endpoints all break connections and refuse new ones, until one answers", func() {
				f.down = func(endpoint string) bool { return f.zones[endpoint] == "c" }
				changes := f.run(failed, 3*time.Second)
				So(len(changes), ShouldBeGreaterThan, 0)
				t.Logf("%d endpoints: %d requests sent to the zone, first backoff until %v after the failure", size, f.sentDown, changes[0].Until.Sub(failed))
				So(changes[0].Unreachable, ShouldBeTrue)
				So(changes[0].To, ShouldEqual, "c")
				// Each endpoint refuses a request or two before the zone is avoided, and one probe follows each backoff.
				So(f.sentDown, ShouldBeLessThan, 2*size/3)

				f.down = func(string) bool { return false }
				changes = f.run(failed.Add(3*time.Second), 2500*time.Millisecond)
				So(len(changes), ShouldBeGreaterThan, 0)
				So(changes[len(changes)-1].Unreachable, ShouldBeFalse)
			})
		})
	}
}
