package allowance_test

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumvale/internal/coordination/allowance"
)

func TestAllowance(t *testing.T) {
	taken := func(a *allowance.AttemptBudget, tries int) int {
		n := 0
		for range tries {
			if a.Take() {
				n++
			}
		}
		return n
	}
	Convey("an allowance of a twentieth", t, func() {
		a := allowance.New(0.05, 5)
		Convey("begins with its reserve", func() { So(taken(a, 10), ShouldEqual, 5) })
		Convey("grows by a twentieth of the requests", func() {
			taken(a, 10)
			for range 61 {
				a.CountRequest()
			}
			So(taken(a, 10), ShouldEqual, 3)
		})
		Convey("never holds more than its reserve", func() {
			for range 1000 {
				a.CountRequest()
			}
			So(taken(a, 100), ShouldEqual, 5)
		})
	})
}
