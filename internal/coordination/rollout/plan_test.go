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
	Convey("a lease holder", t, func() {
		p := rollout.NewPlanner(rollout.DefaultConfig())
		p.SetLease(7, start, start.Add(time.Hour))
		Convey("sends nothing until the orders of its predecessor have ended", func() { expectOrders(p, start, replicas(5, "v1"), 0) })
		Convey("sends up to three orders at a time", func() { expectOrders(p, settled, replicas(5, "v1"), 3) })
		Convey("sends nothing while three loads are in progress", func() {
			expectOrders(p, settled, replicas(5, "v1"), 3)
			expectOrders(p, settled, replicas(5, "v1"), 0)
		})
		Convey("counts loads that it did not order", func() {
			list := replicas(5, "v1")
			list[0].Loading, list[1].Loading = true, true
			expectOrders(p, settled, list, 1)
		})
		Convey("doesn't count orders without an answer as loads, and sends them again after the others", func() {
			list := replicas(5, "v1")
			expectOrders(p, settled, list, 3)
			resendAt := settled.Add(time.Second)
			p.OrderUnanswered("m00", resendAt)
			p.OrderUnanswered("m01", resendAt)
			expectOrders(p, settled, list, 2)
			expectOrders(p, resendAt, list, 0)
			p.OrderEnded("m03")
			p.OrderEnded("m04")
			list[3].Running = "v2"
			orders := p.Plan(resendAt, list)
			So(orders, ShouldHaveLength, 2)
			So(orders[0].Endpoint, ShouldEqual, "m04")
			So(orders[0].Resend, ShouldBeFalse)
			So(orders[1].Endpoint, ShouldEqual, "m00")
			So(orders[1].Resend, ShouldBeTrue)
		})
		Convey("asks all others before endpoints that can't be reached", func() {
			asked := make(map[string]bool)
			for i := range 2 {
				now := settled.Add(time.Duration(i) * time.Second)
				for _, o := range p.Plan(now, replicas(6, "v1")) {
					asked[o.Endpoint] = true
					So(o.Resend, ShouldBeFalse)
					p.OrderFailed(o.Endpoint, now.Add(200*time.Millisecond))
				}
			}
			So(asked, ShouldHaveLength, 6)
		})
		Convey("counts an order as a load once it is answered late", func() {
			expectOrders(p, settled, replicas(5, "v1"), 3)
			p.OrderUnanswered("m00", settled)
			p.LoadStarted("m00", settled.Add(time.Second))
			expectOrders(p, settled, replicas(5, "v1"), 0)
		})
		Convey("sends nothing to replicas that run the wanted version", func() { expectOrders(p, settled, replicas(5, "v2"), 0) })
		Convey("sends nothing that could not be sent before the lease expires", func() {
			p.SetLease(7, start, settled.Add(rollout.OrderTime/2))
			expectOrders(p, settled, replicas(5, "v1"), 0)
		})
		Convey("doesn't wait again when it regains the lease of its term", func() {
			p.LoseLease()
			p.SetLease(7, start, start.Add(time.Hour))
			expectOrders(p, settled, replicas(5, "v1"), 3)
		})
		Convey("sends nothing once the lease is lost", func() {
			p.LoseLease()
			expectOrders(p, settled, replicas(5, "v1"), 0)
		})
	})
}

// TestConcurrentLoads checks that at most three orders are in progress at the same time while lease holders are paused and replaced at
// random.
func TestConcurrentLoads(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const ttl = 10 * time.Second
		now := start
		planners := []*rollout.Planner{rollout.NewPlanner(rollout.DefaultConfig()), rollout.NewPlanner(rollout.DefaultConfig())}
		holder, fence := 0, uint64(1)
		leaseUntil := now.Add(ttl)
		planners[0].SetLease(fence, now, leaseUntil)
		inProgress := map[string]time.Time{}
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(10, 3000).Draw(t, "ms")) * time.Millisecond)
			for name, end := range inProgress {
				if now.After(end) {
					delete(inProgress, name)
				}
			}
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				// The current holder renews its lease. A paused holder doesn't, and its lease expires.
				if now.Before(leaseUntil) {
					leaseUntil = now.Add(ttl)
					planners[holder].SetLease(fence, now, leaseUntil)
				}
			case 1:
				if now.After(leaseUntil) {
					holder, fence = 1-holder, fence+1
					leaseUntil = now.Add(ttl)
					planners[holder].SetLease(fence, now, leaseUntil)
				}
			default:
				// Either process plans, including a former holder that has not noticed the loss of its lease.
				p := planners[rapid.IntRange(0, 1).Draw(t, "process")]
				for _, o := range p.Plan(now, replicas(12, "v1")) {
					inProgress[fmt.Sprintf("%s/%d", o.Endpoint, o.Fence)] = o.Deadline
				}
			}
			if len(inProgress) > rollout.MaxLoads {
				t.Fatalf("%d orders in progress at the same time: %v", len(inProgress), inProgress)
			}
		}
	})
}
