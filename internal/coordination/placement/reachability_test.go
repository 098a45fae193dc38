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
