package retry_test

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumvale/internal/coordination/retry"
	"gypsumvale/internal/state/clock"
)

const now = clock.Instant(time.Hour)

func request(repeatable bool, runs int) *retry.Request {
	return &retry.Request{Repeatable: repeatable, MaxRuns: runs, Deadline: now.Add(time.Second)}
}

// expectNext notes outcomes one after another and checks what follows the last.
func expectNext(r *retry.Request, budget int, want retry.Action, outcomes ...retry.Outcome) {
	var next retry.Action
	for _, o := range outcomes {
		next = r.RecordAttempt(now, o, func() bool { budget--; return budget >= 0 })
	}
	So(next, ShouldEqual, want)
}

func TestNext(t *testing.T) {
	Convey("an answer is delivered", t, func() { expectNext(request(false, 1), 0, retry.Deliver, retry.Answered) })
	Convey("a request that was not sent tries again without budget", t, func() { expectNext(request(false, 1), 0, retry.RetryElsewhere, retry.NotSent) })
	Convey("a request that was rejected tries again within the budget", t, func() {
		expectNext(request(false, 1), 1, retry.RetryElsewhere, retry.NotRun)
		expectNext(request(false, 1), 0, retry.Reject, retry.NotRun)
	})
	Convey("what may run once is never sent again after it may have run", t, func() {
		expectNext(request(false, 3), 9, retry.Abandon, retry.Broken)
		expectNext(request(false, 3), 9, retry.Deliver, retry.Failed)
		expectNext(request(false, 3), 9, retry.Abandon, retry.NotRun, retry.Broken)
	})
	Convey("what may be repeated runs on so many endpoints at most", t, func() {
		expectNext(request(true, 2), 9, retry.RetryElsewhere, retry.Broken)
		expectNext(request(true, 2), 9, retry.Abandon, retry.Broken, retry.Broken)
		expectNext(request(true, 2), 9, retry.Deliver, retry.Failed, retry.Failed)
		expectNext(request(true, 2), 0, retry.Abandon, retry.Broken)
	})
	Convey("what has run is not called not run", t, func() { expectNext(request(true, 1), 9, retry.Abandon, retry.Broken, retry.NotRun) })
	Convey("sends are bounded", t, func() {
		expectNext(request(true, 2), 9, retry.Reject, retry.NotSent, retry.NotSent, retry.NotSent, retry.NotSent)
	})
	Convey("nothing is sent when the time is up", t, func() {
		r := request(true, 2)
		r.Deadline = now.Add(time.Millisecond)
		expectNext(r, 9, retry.Reject, retry.NotRun)
	})
}
