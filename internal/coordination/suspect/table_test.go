package suspect_test

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumvale/internal/coordination/suspect"
)

var start = time.Unix(1_800_000_000, 0)

func expectStanding(t *suspect.Table, digest string, want suspect.Status) {
	So(t.Status(start.Add(10*time.Second), digest), ShouldEqual, want)
}

func TestTable(t *testing.T) {
	Convey("crashes", t, func() {
		table := suspect.NewTable()
		table.RecordCrash(start, "x", "e1")
		table.RecordCrash(start, "a", "e1")
		Convey("make suspects of all that was in flight", func() {
			expectStanding(table, "x", suspect.Suspected)
			expectStanding(table, "a", suspect.Suspected)
			expectStanding(table, "b", suspect.Clear)
		})
		Convey("seen by two instances are one", func() {
			So(table.RecordCrash(start.Add(time.Second), "x", "e1"), ShouldBeFalse)
			expectStanding(table, "x", suspect.Suspected)
		})
		Convey("convict at the second", func() {
			table.RecordCrash(start.Add(5*time.Second), "x", "e2")
			expectStanding(table, "x", suspect.Blocked)
			table.ClearRequest("x")
			expectStanding(table, "x", suspect.Blocked)
		})
		Convey("are forgotten after a clean end", func() {
			table.ClearRequest("a")
			expectStanding(table, "a", suspect.Clear)
		})
		Convey("are forgotten with time", func() {
			So(table.Status(start.Add(time.Hour), "x"), ShouldEqual, suspect.Clear)
		})
	})
}
