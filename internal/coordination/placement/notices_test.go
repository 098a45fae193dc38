package placement_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumvale/internal/coordination/notice"
	"gypsumvale/internal/coordination/placement"
	"gypsumvale/internal/state/clock"
)

func TestPlacementIgnoresWhatEndpointsSay(t *testing.T) {
	Convey("a pool of engines that say what they want", t, func() {
		const pause = time.Second
		table := notice.NewTable()
		p := placement.NewPool(placement.Config{PrefillRate: prefillRate, Notices: table})
		p.SetEngine(&placement.Engine{Slots: 32, CacheTokens: 100000, TokenSeconds: 1e-6})
		list := endpoints(3)
		p.SetEndpoints(list)
		pauseAll := func(entry string, d time.Duration) {
			for _, r := range list {
				table.RecordPause(start, entry, r.ID, start.Add(d))
			}
		}
		from := func(entry string) *placement.Request {
			req := newRequest("c", 8000)
			req.ID.Entry = entry
			return req
		}
		rejection := func(now clock.Instant, req *placement.Request) *placement.OverloadError {
			_, err := p.Place(now, req)
			var overload *placement.OverloadError
			So(errors.As(err, &overload), ShouldBeTrue)
			So(overload.Paused, ShouldBeTrue)
			return overload
		}

		Convey("places nothing where an engine leaves, also if it holds the context", func() {
			first := from("x")
			at := place(p, start, first)
			answer(p, start.Add(200*time.Millisecond), first)
			So(at.StartMilli, ShouldEqual, list[0].StartMilli)
			for _, r := range list {
				if r.ID == at.Endpoint {
					table.RecordLeaving(r.Incarnation())
				}
			}
			for range 6 {
				So(place(p, start.Add(time.Second), from("x")).Endpoint, ShouldNotEqual, at.Endpoint)
			}
		})
		Convey("rejects at once when all leave", func() {
			for _, r := range list {
				table.RecordLeaving(r.Incarnation())
			}
			expectError(p, start, from("x"), placement.ErrNoEndpoint)
		})
		Convey("places requests of other entries where an engine wants none of one", func() {
			table.RecordPause(start, "x", list[0].ID, start.Add(pause))
			table.RecordPause(start, "x", list[1].ID, start.Add(pause))
			So(place(p, start, from("x")).Endpoint, ShouldEqual, list[2].ID)
			used := make(map[string]bool)
			for range 12 {
				used[place(p, start, newRequestOf("y")).Endpoint] = true
			}
			So(used[list[0].ID] || used[list[1].ID], ShouldBeTrue)
		})
		Convey("queues a request whose deadline is later than the first pause ends, and grants it then", func() {
			pauseAll("x", 2*pause)
			table.RecordLeaving(list[2].Incarnation())
			table.RecordPause(start, "x", list[1].ID, start.Add(2*pause+500*time.Millisecond))
			req := from("x")
			expectError(p, start, req, placement.ErrQueued)
			for d := time.Duration(0); d < 2*pause; d += 20 * time.Millisecond {
				So(p.ProcessQueue(start.Add(d)), ShouldBeEmpty)
			}
			grants := p.ProcessQueue(start.Add(2 * pause))
			So(len(grants), ShouldEqual, 1)
			So(grants[0].Err, ShouldBeNil)
			So(grants[0].Choice.Endpoint, ShouldEqual, list[0].ID)
		})
		Convey("doesn't grant all that waits at once when a pause ends", func() {
			table.RecordLeaving(list[1].Incarnation())
			table.RecordLeaving(list[2].Incarnation())
			table.RecordPause(start, "x", list[0].ID, start.Add(pause))
			queued := 0
			for i := range 12 {
				if _, err := p.Place(start, newRequest(fmt.Sprint("context", i), 8000)); errors.Is(err, placement.ErrQueued) {
					queued++
				}
			}
			granted := 0
			for _, g := range p.ProcessQueue(start.Add(pause)) {
				if g.Err == nil {
					granted++
				}
			}
			So(granted, ShouldBeBetween, 0, queued)
		})
		Convey("rejects a queued request when its pause is prolonged beyond its deadline", func() {
			pauseAll("x", pause)
			expectError(p, start, from("x"), placement.ErrQueued)
			pauseAll("x", time.Minute)
			grants := p.ProcessQueue(start.Add(50 * time.Millisecond))
			So(len(grants), ShouldEqual, 1)
			So(grants[0].Err, ShouldNotBeNil)
			So(p.Waiting(), ShouldEqual, 0)
		})
		Convey("rejects a request whose deadline is earlier, and lets successive ones return spread over time after the pause", func() {
			pauseAll("x", 4*pause)
			quarters := make(map[int]int)
			for range 40 {
				late := rejection(start, from("x")).RetryAt.Sub(start.Add(4 * pause))
				So(late, ShouldBeBetweenOrEqual, 0, 2*pause)
				quarters[int(late/(500*time.Millisecond))]++
			}
			for i := range 4 {
				So(quarters[i], ShouldBeBetweenOrEqual, 8, 12)
			}
		})
		Convey("rejects a request that can't wait", func() {
			pauseAll("x", pause)
			req := from("x")
			req.Uncoordinated = true
			So(rejection(start, req).RetryAt, ShouldBeGreaterThanOrEqualTo, start.Add(pause))
		})
	})
}

// newRequestOf returns a request of an entry with a context of its own.
func newRequestOf(entry string) *placement.Request {
	req := newRequest("own", 0)
	req.ID.Entry = entry
	return req
}
