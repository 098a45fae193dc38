package placement_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumvale/internal/coordination/placement"
)

// staleFleet is a pool of two engines, one of which has loaded version 2 behind its registration when version 3 is named.
type staleFleet struct {
	pool    *placement.Pool
	running map[string]int
	// named is true if engines name their version when they reject a request for it.
	named    bool
	rejected int
}

func newStaleFleet() *staleFleet {
	f := &staleFleet{pool: newPool(2), running: map[string]int{"e00": 2, "e01": 1}}
	for v, at := range []time.Duration{-time.Minute, 0, time.Second} {
		seen := start.Add(at)
		f.pool.SetTargetVersion(model, placement.TargetVersion{Version: v + 1, AnnouncedAfter: seen, SeenAt: seen})
	}
	return f
}

// run sends requests one after the other, and counts those that are rejected for their version.
func (f *staleFleet) run(n int) {
	for i := range n {
		now := start.Add(1500*time.Millisecond + time.Duration(i)*40*time.Millisecond)
		r := newRequest(fmt.Sprint("s", i), 500)
		r.FirstEventDeadline, r.Deadline = now.Add(3*time.Second), now.Add(15*time.Second)
		c, err := f.pool.Place(now, r)
		So(err, ShouldBeNil)
		if c.Version == f.running[c.Endpoint] {
			answer(f.pool, now.Add(100*time.Millisecond), r)
			continue
		}
		f.rejected++
		if f.named {
			f.pool.WeightsObserved(r.ID, f.running[c.Endpoint])
		}
		f.pool.Done(now, r.ID, placement.OutcomeStale)
	}
}

func TestStaleEngineTakenForTarget(t *testing.T) {
	Convey("an engine that has loaded a version which isn't the newest", t, func() {
		f := newStaleFleet()
		Convey("rejects one request when it names its version", func() {
			f.named = true
			f.run(100)
			So(f.rejected, ShouldEqual, 1)
		})
		Convey("rejects one request when it names none", func() {
			f.run(100)
			So(f.rejected, ShouldEqual, 1)
		})
		Convey("is used again once its registration is read, though newer versions were assumed meanwhile", func() {
			f.running["e00"] = 0
			f.run(20)
			f.running["e00"] = 2
			list := endpoints(2)
			list[0].Versions = map[string]int{model: 2}
			f.pool.SetEndpoints(list)
			f.rejected = 0
			f.run(100)
			So(f.rejected, ShouldEqual, 0)
		})
	})
}
