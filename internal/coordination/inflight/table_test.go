package inflight_test

import (
	"slices"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumvale/internal/coordination/inflight"
	"gypsumvale/internal/coordination/placement"
)

func numbers(runs []inflight.Run) []uint64 {
	list := make([]uint64, 0, len(runs))
	for i := range runs {
		list = append(list, runs[i].Request.ID.Number)
	}
	slices.Sort(list)
	return list
}

// Guards against a new leader that takes occupied engines for free ones, and against load that it counts for ever because the end of a request
// overtook the report of it.
func TestReportRunningRequests(t *testing.T) {
	Convey("running requests", t, func() {
		table := inflight.NewTable()
		place := func(number uint64, owner string) {
			table.Placed(&placement.Request{ID: placement.AssignmentID{Number: number}}, &placement.Choice{Endpoint: "e"}, owner)
		}
		place(1, "a")
		place(2, "b")
		place(3, "")
		Convey("are reported to a leader that hasn't placed them, once", func() {
			So(numbers(table.BeginReport("b", false)), ShouldResemble, []uint64{1, 3})
			So(table.EndReport(), ShouldBeEmpty)
			So(table.BeginReport("b", false), ShouldBeEmpty)
		})
		Convey("are all reported to a leader that has lost what it knew", func() {
			So(numbers(table.BeginReport("b", true)), ShouldResemble, []uint64{1, 2, 3})
		})
		Convey("that were placed without the leader are due to be reported, once", func() {
			So(table.ReportDue(), ShouldBeTrue)
			table.BeginReport("b", false)
			table.EndReport()
			So(table.ReportDue(), ShouldBeFalse)
			place(4, "b")
			So(table.ReportDue(), ShouldBeFalse)
			place(5, "")
			So(table.ReportDue(), ShouldBeTrue)
			So(numbers(table.BeginReport("b", false)), ShouldResemble, []uint64{5})
		})
		Convey("are reported to one leader at a time", func() {
			table.BeginReport("b", false)
			So(table.BeginReport("c", false), ShouldBeNil)
			table.EndReport()
			So(numbers(table.BeginReport("c", false)), ShouldResemble, []uint64{1, 2, 3})
		})
		Convey("name the instances that count them when they end", func() {
			table.BeginReport("b", false)
			table.EndReport()
			So(table.FirstEvent(1), ShouldResemble, []string{"a", "b"})
			So(table.End(1), ShouldResemble, []string{"a", "b"})
			So(table.End(1), ShouldBeNil)
			So(table.End(2), ShouldResemble, []string{"b"})
			So(table.Len(), ShouldEqual, 1)
		})
		Convey("that end while a report is on its way are returned after it", func() {
			table.BeginReport("b", false)
			table.End(3)
			So(numbers(table.EndReport()), ShouldResemble, []uint64{3})
			So(table.EndReport(), ShouldBeEmpty)
		})
		Convey("are told to the first owner and the latest leaders only", func() {
			for _, leader := range []string{"b", "c", "d"} {
				table.BeginReport(leader, false)
				table.EndReport()
			}
			So(table.End(1), ShouldResemble, []string{"a", "c", "d"})
		})
	})
}
