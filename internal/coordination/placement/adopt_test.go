package placement_test

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumvale/internal/coordination/placement"
)

// Load pattern: all engines are nearly full of running requests when another instance becomes the leader. Guards against a new leader that takes
// them for free: it filled engines to 1.3 of their memory, and running requests were preempted.
func TestLeaderChangeWithFullEngines(t *testing.T) {
	Convey("after a change of the leader with full engines", t, func() {
		old, successor := newPool(4), newPool(4)
		var running []*placement.Request
		choices := make(map[uint64]placement.Choice)
		occupied := make(map[string]int)
		for {
			req := newRequest("c"+string(rune('a'+len(running))), 19000)
			c, err := old.Place(start, req)
			if err != nil {
				break
			}
			old.FirstEvent(start, req.ID)
			running = append(running, req)
			choices[req.ID.Number] = c
			occupied[c.Endpoint] += req.Prompt + req.Output
		}
		So(len(running), ShouldBeGreaterThan, 12)
		now := start.Add(time.Second)
		for _, req := range running {
			c := choices[req.ID.Number]
			So(successor.Adopt(now, req, &c, true), ShouldBeTrue)
		}
		Convey("the new leader places nothing there that the old one would not have placed", func() {
			expectError(successor, now, newRequest("new", 19000), placement.ErrQueued)
			for endpoint := range occupied {
				So(successor.EndpointLoad(endpoint).Running, ShouldEqual, old.EndpointLoad(endpoint).Running)
			}
		})
		Convey("it places requests again as those that it was told of end", func() {
			waiting := newRequest("new", 19000)
			expectError(successor, now, waiting, placement.ErrQueued)
			successor.Done(now, running[0].ID, placement.OutcomeAnswered)
			grants := successor.ProcessQueue(now.Add(50 * time.Millisecond))
			So(grants, ShouldHaveLength, 1)
			So(grants[0].Choice.Endpoint, ShouldEqual, choices[running[0].ID.Number].Endpoint)
		})
		Convey("it knows where their contexts are", func() {
			So(successor.EndpointLoad(choices[running[0].ID.Number].Endpoint).PendingPrefill, ShouldEqual, 0)
			successor.Done(now, running[0].ID, placement.OutcomeAnswered)
			again := place(successor, now, newRequest("ca", 19000))
			So(again.Cached, ShouldEqual, 19000)
		})
		Convey("it counts each once, and none whose end it heard of before", func() {
			c := choices[running[0].ID.Number]
			So(successor.Adopt(now, running[0], &c, true), ShouldBeFalse)
			late := newRequest("late", 100)
			successor.Done(now, late.ID, placement.OutcomeWithdrawn)
			So(successor.Adopt(now, late, &c, false), ShouldBeFalse)
		})
		Convey("it ignores those of an endpoint that has restarted", func() {
			c := choices[running[0].ID.Number]
			c.StartMilli = 7
			So(successor.Adopt(now, newRequest("other", 100), &c, false), ShouldBeFalse)
		})
	})
}
