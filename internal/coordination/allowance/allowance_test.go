package allowance_test

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumvale/internal/coordination/allowance"
)

func TestAttemptBudget(t *testing.T) {
	taken := func(a *allowance.AttemptBudget, tries int) int {
		n := 0
		for range tries {
			if a.Take() {
				n++
			}
		}
		return n
	}
	Convey("a budget of 5% of the requests", t, func() {
		a := allowance.New(0.05, 5)
		Convey("starts with its reserve", func() { So(taken(a, 10), ShouldEqual, 5) })
		Convey("grows by 5% of the requests", func() {
			taken(a, 10)
			for range 61 {
				a.CountRequest()
			}
			So(taken(a, 10), ShouldEqual, 3)
		})
		Convey("never exceeds its reserve", func() {
			for range 1000 {
				a.CountRequest()
			}
			So(taken(a, 100), ShouldEqual, 5)
		})
	})
}
