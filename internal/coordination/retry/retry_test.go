package retry_test

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumvale/internal/coordination/retry"
	"gypsumvale/internal/state/clock"
)

const now = clock.Instant(time.Hour)

func request(repeatable bool, maxRuns int) *retry.Request {
	return &retry.Request{Repeatable: repeatable, MaxRuns: maxRuns, Deadline: now.Add(time.Second)}
}

// expectAction records outcomes in order and checks the action after the last one.
func expectAction(r *retry.Request, budget int, want retry.Action, outcomes ...retry.Outcome) {
	var action retry.Action
	for _, o := range outcomes {
		action = r.RecordAttempt(now, o, func() bool { budget--; return budget >= 0 })
	}
	So(action, ShouldEqual, want)
}

func TestRecordAttempt(t *testing.T) {
	Convey("a complete response is delivered", t, func() { expectAction(request(false, 1), 0, retry.Deliver, retry.Answered) })
	Convey("a request that was not sent is retried without the budget", t, func() {
		expectAction(request(false, 1), 0, retry.RetryElsewhere, retry.NotSent)
	})
	Convey("a request that did not run is retried within the budget", t, func() {
		expectAction(request(false, 1), 1, retry.RetryElsewhere, retry.NotRun)
		expectAction(request(false, 1), 0, retry.Reject, retry.NotRun)
	})
	Convey("a non-repeatable request is not sent again once it may have run", t, func() {
		expectAction(request(false, 3), 9, retry.Abandon, retry.Broken)
		expectAction(request(false, 3), 9, retry.Deliver, retry.Failed)
		expectAction(request(false, 3), 9, retry.Abandon, retry.NotRun, retry.Broken)
	})
	Convey("a repeatable request runs on a limited number of endpoints", t, func() {
		expectAction(request(true, 2), 9, retry.RetryElsewhere, retry.Broken)
		expectAction(request(true, 2), 9, retry.Abandon, retry.Broken, retry.Broken)
		expectAction(request(true, 2), 9, retry.Deliver, retry.Failed, retry.Failed)
		expectAction(request(true, 2), 0, retry.Abandon, retry.Broken)
	})
	Convey("a request that may have run is never reported as not run", t, func() {
		expectAction(request(true, 1), 9, retry.Abandon, retry.Broken, retry.NotRun)
	})
	Convey("the number of attempts is limited", t, func() {
		expectAction(request(true, 2), 9, retry.Reject, retry.NotSent, retry.NotSent, retry.NotSent, retry.NotSent)
	})
	Convey("a request is not retried shortly before its deadline", t, func() {
		r := request(true, 2)
		r.Deadline = now.Add(time.Millisecond)
		expectAction(r, 9, retry.Reject, retry.NotRun)
	})
	Convey("a request is not retried once a part of a response was sent, since the second response would be appended to the first", t, func() {
		for _, o := range []retry.Outcome{retry.Broken, retry.Failed} {
			r := request(true, 3)
			So(r.CanRerun(), ShouldBeTrue)
			r.RecordResponseSent(false)
			So(r.CanRerun(), ShouldBeFalse)
			expectAction(r, 9, retry.Abandon, o)
		}
	})
	Convey("a stream of which complete events were sent is resumed", t, func() {
		r := request(true, 2)
		r.RecordResponseSent(true)
		expectAction(r, 9, retry.RetryElsewhere, retry.Broken)
		So(r.ResponseSent(), ShouldBeTrue)
	})
}
