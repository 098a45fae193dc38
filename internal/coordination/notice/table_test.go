package notice_test

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"gypsumvale/internal/coordination/notice"
	"gypsumvale/internal/state/clock"
	"gypsumvale/internal/state/registration"
)

const start = clock.Instant(time.Hour)

func incarnation(id string, startMilli int64) registration.Incarnation {
	return registration.Incarnation{ID: id, StartMilli: startMilli}
}

func registeredAs(list ...registration.Incarnation) func(registration.Incarnation) bool {
	return func(e registration.Incarnation) bool {
		for _, r := range list {
			if r == e {
				return true
			}
		}
		return false
	}
}

func TestTable(t *testing.T) {
	Convey("a table", t, func() {
		table := notice.NewTable()
		a1, a2 := incarnation("a", 1), incarnation("a", 2)
		reason := func(now clock.Instant, entry string, e registration.Incarnation) notice.Reason {
			r, _ := table.Check(now, entry, e)
			return r
		}

		Convey("bars a leaving incarnation for all entries, and no other one", func() {
			So(table.RecordLeaving(a1), ShouldBeTrue)
			So(table.RecordLeaving(a1), ShouldBeFalse)
			So(reason(start, "x", a1), ShouldEqual, notice.Leaving)
			So(reason(start, "y", a1), ShouldEqual, notice.Leaving)
			So(reason(start, "x", a2), ShouldEqual, notice.None)
		})
		Convey("bars a leaving incarnation that is listed again after another one", func() {
			table.RecordLeaving(a1)
			for i := range 100 {
				table.Sweep(start.Add(time.Duration(i)*time.Hour), registeredAs(a2))
			}
			So(table.Leaves(a1), ShouldBeTrue)
		})
		Convey("forgets a leaving endpoint without a start time once it is not registered", func() {
			e := incarnation("b", 0)
			table.RecordLeaving(e)
			table.Sweep(start, registeredAs(e))
			So(table.Leaves(e), ShouldBeTrue)
			table.Sweep(start, registeredAs())
			So(table.Leaves(e), ShouldBeFalse)
		})
		Convey("bars a paused endpoint for the entry that it asked, also after a restart, until the latest end", func() {
			So(table.RecordPause(start, "x", "a", start.Add(2*time.Second)), ShouldEqual, 2*time.Second)
			So(table.RecordPause(start, "x", "a", start.Add(time.Second)), ShouldEqual, 0)
			So(table.RecordPause(start, "x", "a", start.Add(3*time.Second)), ShouldEqual, time.Second)
			So(reason(start, "x", a2), ShouldEqual, notice.Paused)
			So(reason(start, "y", a1), ShouldEqual, notice.None)
			_, until := table.Check(start, "x", a1)
			So(until, ShouldEqual, start.Add(3*time.Second))
			So(reason(start.Add(3*time.Second), "x", a1), ShouldEqual, notice.None)
			So(table.Empty(), ShouldBeFalse)
			table.Sweep(start.Add(3*time.Second), registeredAs(a1))
			So(table.Empty(), ShouldBeTrue)
		})
		Convey("remembers a limited number of incarnations that are no longer registered, the latest ones", func() {
			for i := range int64(10000) {
				table.RecordLeaving(incarnation("n", i+1))
				if (i+1)%1000 == 0 {
					table.Sweep(start.Add(time.Duration(i)), registeredAs(a1))
				}
			}
			held := 0
			for i := range int64(10000) {
				if table.Leaves(incarnation("n", i+1)) {
					held++
				}
			}
			So(held, ShouldEqual, 4096)
			So(table.Leaves(incarnation("n", 10000)), ShouldBeTrue)
		})
	})
}

// TestTableFollowsAnswers compares a table with the complete history of what endpoints have said.
func TestTableFollowsAnswers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := notice.NewTable()
		entries, ids := []string{"x", "y"}, []string{"a", "b"}
		type pause struct {
			entry, id string
			until     clock.Instant
		}
		left := make(map[registration.Incarnation]bool)
		current := map[string]int64{"a": 1, "b": 1}
		var pauses []pause
		now := start
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 800).Draw(t, "ms")) * time.Millisecond)
			id, entry := rapid.SampledFrom(ids).Draw(t, "endpoint"), rapid.SampledFrom(entries).Draw(t, "entry")
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				// The answer may come from an incarnation that has been replaced since.
				e := incarnation(id, rapid.Int64Range(1, current[id]).Draw(t, "incarnation"))
				table.RecordLeaving(e)
				left[e] = true
			case 1:
				until := now.Add(time.Duration(rapid.IntRange(-500, 3000).Draw(t, "pause")) * time.Millisecond)
				table.RecordPause(now, entry, id, until)
				pauses = append(pauses, pause{entry, id, until})
			case 2:
				current[id]++
			case 3:
				// An older reading of the registrations may list any incarnation.
				listed := incarnation(id, rapid.Int64Range(1, current[id]).Draw(t, "listed"))
				table.Sweep(now, registeredAs(listed))
			}
			for _, id := range ids {
				for _, entry := range entries {
					for startMilli := int64(1); startMilli <= current[id]; startMilli++ {
						e := incarnation(id, startMilli)
						want, end := notice.None, clock.Instant(0)
						for _, p := range pauses {
							if p.entry == entry && p.id == id && now.Before(p.until) {
								want, end = notice.Paused, max(end, p.until)
							}
						}
						if left[e] {
							want, end = notice.Leaving, 0
						}
						if reason, until := table.Check(now, entry, e); reason != want || until != end {
							t.Fatalf("%s from %s at %d: %s until %d, want %s until %d", id, entry, now, reason, until, want, end)
						}
					}
				}
			}
		}
	})
}
