package rollout_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"gypsumvale/internal/coordination/rollout"
)

var start = time.Unix(1_800_000_000, 0)

func replicas(n int, running string) []rollout.Replica {
	list := make([]rollout.Replica, n)
	for i := range list {
		list[i] = rollout.Replica{Name: fmt.Sprintf("m%02d", i), Running: running, Wanted: "v2"}
	}
	return list
}

func expectOrders(p *rollout.Planner, at time.Time, list []rollout.Replica, want int) {
	So(len(p.Plan(at, list)), ShouldEqual, want)
}

func TestPlan(t *testing.T) {
	settled := start.Add(rollout.OrderTime)
	Convey("a holder", t, func() {
		p := rollout.NewPlanner(rollout.DefaultConfig())
		p.SetLease(start, 7, start.Add(time.Hour))
		Convey("waits out the orders of the one before", func() { expectOrders(p, start, replicas(5, "v1"), 0) })
		Convey("sends three orders at once", func() { expectOrders(p, settled, replicas(5, "v1"), 3) })
		Convey("sends none while three run", func() {
			expectOrders(p, settled, replicas(5, "v1"), 3)
			expectOrders(p, settled, replicas(5, "v1"), 0)
		})
		Convey("counts loads that it did not order", func() {
			list := replicas(5, "v1")
			list[0].Loading, list[1].Loading = true, true
			expectOrders(p, settled, list, 1)
		})
		Convey("leaves alone what runs the wanted version", func() { expectOrders(p, settled, replicas(5, "v2"), 0) })
		Convey("sends nothing that would outlast its lease", func() {
			p.SetLease(start, 7, settled.Add(rollout.OrderTime/2))
			expectOrders(p, settled, replicas(5, "v1"), 0)
		})
		Convey("sends nothing once the lease is lost", func() {
			p.LoseLease()
			expectOrders(p, settled, replicas(5, "v1"), 0)
		})
	})
}

// TestThreeLoads checks, with holders that are paused and succeeded at random, that at most three orders are open at once.
func TestThreeLoads(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const ttl = 10 * time.Second
		now := start
		planners := []*rollout.Planner{rollout.NewPlanner(rollout.DefaultConfig()), rollout.NewPlanner(rollout.DefaultConfig())}
		holder, fence := 0, uint64(1)
		leaseUntil := now.Add(ttl)
		planners[0].SetLease(now, fence, leaseUntil)
		open := map[string]time.Time{}
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(10, 3000).Draw(t, "ms")) * time.Millisecond)
			for name, end := range open {
				if now.After(end) {
					delete(open, name)
				}
			}
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				// The present holder renews; a paused one does nothing and its lease lapses.
				if now.Before(leaseUntil) {
					leaseUntil = now.Add(ttl)
					planners[holder].SetLease(now, fence, leaseUntil)
				}
			case 1:
				if now.After(leaseUntil) {
					holder, fence = 1-holder, fence+1
					leaseUntil = now.Add(ttl)
					planners[holder].SetLease(now, fence, leaseUntil)
				}
			default:
				// Either process plans, also one that still believes it holds the lease.
				p := planners[rapid.IntRange(0, 1).Draw(t, "process")]
				for _, o := range p.Plan(now, replicas(12, "v1")) {
					open[fmt.Sprintf("%s/%d", o.Endpoint, o.Fence)] = o.Deadline
				}
			}
			if len(open) > rollout.MaxLoads {
				t.Fatalf("%d orders open at once: %v", len(open), open)
			}
		}
	})
}
