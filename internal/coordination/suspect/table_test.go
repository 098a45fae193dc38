package suspect_test

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumvale/internal/coordination/suspect"
)

var start = time.Unix(1_800_000_000, 0)

func expectStatus(t *suspect.Table, digest string, want suspect.Standing) {
	So(t.Standing(start.Add(10*time.Second), digest), ShouldEqual, want)
}

func TestTable(t *testing.T) {
	Convey("crashes", t, func() {
		table := suspect.NewTable()
		table.Note(start, "x", "e1")
		table.Note(start, "a", "e1")
		Convey("make suspects of all requests in flight", func() {
			expectStatus(table, "x", suspect.Suspected)
			expectStatus(table, "a", suspect.Suspected)
			expectStatus(table, "b", suspect.Clear)
		})
		Convey("reported by two instances count once", func() {
			So(table.Note(start.Add(time.Second), "x", "e1"), ShouldBeFalse)
			expectStatus(table, "x", suspect.Suspected)
		})
		Convey("block a request at the second crash", func() {
			table.Note(start.Add(5*time.Second), "x", "e2")
			expectStatus(table, "x", suspect.Convicted)
			table.Acquit("x")
			expectStatus(table, "x", suspect.Convicted)
		})
		Convey("don't count any more after the request completed", func() {
			table.Acquit("a")
			expectStatus(table, "a", suspect.Clear)
		})
		Convey("don't count any more after the retention period", func() {
			So(table.Standing(start.Add(time.Hour), "x"), ShouldEqual, suspect.Clear)
		})
	})
}
