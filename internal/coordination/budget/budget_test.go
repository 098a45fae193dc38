package budget_test

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumvale/internal/coordination/budget"
)

var start = time.Unix(1_800_000_000, 0)

func admitted(b *budget.Budget, now time.Time, priority budget.Priority, tries int) int {
	n := 0
	for range tries {
		if b.Admit(now, budget.Write, priority) {
			n++
		}
	}
	return n
}

func TestBudget(t *testing.T) {
	Convey("a budget of 100 writes per second", t, func() {
		b := budget.New(budget.Config{WritesPerSecond: 100, ReadsPerSecond: 10, Seed: 1})
		Convey("admits at most the calls of one second at once", func() { So(admitted(b, start, budget.PriorityClaim, 200), ShouldEqual, 100) })
		Convey("reserves a part for claims", func() {
			So(admitted(b, start, budget.PriorityOther, 200), ShouldEqual, 50)
			So(admitted(b, start, budget.PriorityClaim, 200), ShouldEqual, 50)
		})
		Convey("is refilled at its rate", func() {
			admitted(b, start, budget.PriorityClaim, 200)
			So(admitted(b, start.Add(100*time.Millisecond), budget.PriorityClaim, 200), ShouldEqual, 10)
		})
		Convey("rejects calls after failures, then admits one probe", func() {
			for range 3 {
				b.Admit(start, budget.Write, budget.PriorityClaim)
				b.Failed(start)
			}
			So(b.Open(start), ShouldBeTrue)
			So(admitted(b, start, budget.PriorityClaim, 10), ShouldEqual, 0)
			later := start.Add(time.Second)
			So(admitted(b, later, budget.PriorityClaim, 10), ShouldEqual, 1)
			b.Succeeded()
			So(admitted(b, later, budget.PriorityClaim, 10), ShouldEqual, 10)
		})
		Convey("resumes calls at different times with different seeds", func() {
			other := budget.New(budget.Config{WritesPerSecond: 100, ReadsPerSecond: 10, Seed: 2})
			reopen := func(b *budget.Budget) time.Duration {
				for range 3 {
					b.Failed(start)
				}
				for d := time.Duration(0); ; d += time.Millisecond {
					if !b.Open(start.Add(d)) {
						return d
					}
				}
			}
			So(reopen(b), ShouldNotEqual, reopen(other))
		})
	})
}
