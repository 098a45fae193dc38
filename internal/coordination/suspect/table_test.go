package suspect_test

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumvale/internal/coordination/suspect"
)

var start = time.Unix(1_800_000_000, 0)

func expectStatus(t *suspect.Table, digest string, want suspect.Status) {
	So(t.Status(start.Add(10*time.Second), digest), ShouldEqual, want)
}

func TestTable(t *testing.T) {
	Convey("crashes", t, func() {
		table := suspect.NewTable()
		table.RecordCrash(start, "x", "e1")
		table.RecordCrash(start, "a", "e1")
		Convey("make suspects of all requests in flight", func() {
			expectStatus(table, "x", suspect.Suspected)
			expectStatus(table, "a", suspect.Suspected)
			expectStatus(table, "b", suspect.Clear)
		})
		Convey("reported by two instances count once", func() {
			So(table.RecordCrash(start.Add(time.Second), "x", "e1"), ShouldBeFalse)
			expectStatus(table, "x", suspect.Suspected)
		})
		Convey("block a request at the second crash", func() {
			table.RecordCrash(start.Add(5*time.Second), "x", "e2")
			expectStatus(table, "x", suspect.Blocked)
			table.ClearRequest("x")
			expectStatus(table, "x", suspect.Blocked)
		})
		Convey("don't count any more after the request completed", func() {
			table.ClearRequest("a")
			expectStatus(table, "a", suspect.Clear)
		})
		Convey("don't count any more after the retention period", func() {
			So(table.Status(start.Add(time.Hour), "x"), ShouldEqual, suspect.Clear)
		})
	})
}
