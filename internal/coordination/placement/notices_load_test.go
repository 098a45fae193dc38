package placement_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumvale/internal/coordination/notice"
	"gypsumvale/internal/coordination/placement"
	"gypsumvale/internal/state/clock"
)

// pauses is a load of requests through one entry, of which all engines want none for a while every two seconds.
type pauses struct {
	fleet
	table *notice.Table
	// wait is true if requests wait for the end of a pause as the pool decides. Otherwise they are rejected at once, and their callers return
	// when told, or earlier if that is later than a third of the time that they have left.
	wait                              bool
	served, onTime, givenUp, refusals int
	running                           map[*placement.Request]clock.Instant
}

const (
	pauseTestEngines  = 6
	pauseTestSlots    = 8
	pauseTestDuration = 20 * time.Second
	pauseTestPatience = 2 * time.Second
	pauseTestTarget   = 800 * time.Millisecond
)

// newPauses returns a load with a time between two requests. The pauses of an engine are between 0.2 and 1.7 s long; those of all engines are
// equally long if they end together.
func newPauses(wait, together bool, interval time.Duration) *pauses {
	s := &pauses{
		fleet: fleet{random: rand.New(rand.NewPCG(1, 2))}, table: notice.NewTable(), wait: wait,
		running: make(map[*placement.Request]clock.Instant),
	}
	s.pool = placement.NewPool(placement.Config{PrefillRate: prefillRate, Notices: s.table})
	s.pool.SetEngine(&placement.Engine{Slots: pauseTestSlots, CacheTokens: 100000, TokenSeconds: 1e-6})
	list := endpoints(pauseTestEngines)
	for _, r := range list {
		r.Slots = pauseTestSlots
	}
	s.pool.SetEndpoints(list)
	for at := start.Add(time.Second); at.Before(start.Add(pauseTestDuration)); at = at.Add(2 * time.Second) {
		drawPause := func() time.Duration {
			return 200*time.Millisecond + time.Duration(s.random.Int64N(int64(1500*time.Millisecond)))
		}
		common := drawPause()
		for _, r := range list {
			pause := common
			if !together {
				pause = drawPause()
			}
			s.at(at, func(now clock.Instant) { s.table.RecordPause(now, "x", r.ID, now.Add(pause)) })
		}
	}
	for at := start; at.Before(start.Add(pauseTestDuration)); at = at.Add(interval) {
		s.at(at, func(now clock.Instant) { s.place(now, now) })
	}
	for at := start; at.Before(start.Add(pauseTestDuration + 5*time.Second)); at = at.Add(10 * time.Millisecond) {
		s.at(at, func(now clock.Instant) {
			for _, g := range s.pool.ProcessQueue(now) {
				s.placed(now, g.Request, s.running[g.Request], g.Err)
			}
		})
	}
	return s
}

// place places a request whose caller first came at an instant.
func (s *pauses) place(now, arrived clock.Instant) {
	s.requestCount++
	req := &placement.Request{
		ID: placement.AssignmentID{Entry: "x", Number: s.requestCount}, Service: "llm", Zone: "a", Model: model, Prompt: 500, Output: 50,
		FirstEventDeadline: arrived.Add(pauseTestPatience), TargetDeadline: arrived.Add(pauseTestTarget), Deadline: now.Add(15 * time.Second),
	}
	s.running[req] = arrived
	first := clock.Instant(0)
	for _, r := range endpoints(pauseTestEngines) {
		reason, until := s.table.Check(now, "x", r.Incarnation())
		if reason == notice.None {
			until = now
		}
		if first == 0 || until.Before(first) {
			first = until
		}
	}
	if !s.wait && now.Before(first) {
		s.placed(now, req, arrived, &placement.OverloadError{RetryAt: first.Add(first.Sub(now) / 4), Paused: true})
		return
	}
	_, err := s.pool.Place(now, req)
	s.placed(now, req, arrived, err)
}

// placed handles the result of a placement.
func (s *pauses) placed(now clock.Instant, req *placement.Request, arrived clock.Instant, err error) {
	var overload *placement.OverloadError
	switch {
	case errors.Is(err, placement.ErrQueued):
		return
	case errors.As(err, &overload):
		delete(s.running, req)
		s.refusals++
		left := arrived.Add(pauseTestPatience).Sub(now)
		back := min(overload.RetryAt, now.Add(left/3))
		if left < 50*time.Millisecond {
			s.givenUp++
			return
		}
		s.at(back, func(now clock.Instant) { s.place(now, arrived) })
	case err == nil:
		s.at(now.Add(100*time.Millisecond), func(now clock.Instant) {
			s.pool.FirstEvent(now, req.ID)
			if now.Before(arrived.Add(pauseTestPatience)) {
				s.served++
			}
			if now.Before(arrived.Add(pauseTestTarget)) {
				s.onTime++
			}
		})
		s.at(now.Add(400*time.Millisecond), func(now clock.Instant) { s.pool.Done(now, req.ID, placement.OutcomeAnswered) })
	}
}

func (s *pauses) play() string {
	s.simulate()
	return fmt.Sprintf("%d served, %d on time, %d given up, %d refusals", s.served, s.onTime, s.givenUp, s.refusals)
}

func TestPausesOfAllEngines(t *testing.T) {
	Convey("when all engines want no requests every two seconds, at 0.5, 0.8 and 1.2 times the load that they serve without pauses", t, func() {
		for _, interval := range []time.Duration{16 * time.Millisecond, 10 * time.Millisecond, 7 * time.Millisecond} {
			for _, together := range []bool{false, true} {
				waits, rejects := newPauses(true, together, interval), newPauses(false, together, interval)
				t.Logf("%s between requests, pauses end together: %t", interval, together)
				t.Logf("waiting: %s", waits.play())
				t.Logf("rejected: %s", rejects.play())
				// Requests that wait for the end of the first pause are served sooner than those that are rejected and return.
				So(waits.onTime, ShouldBeGreaterThan, rejects.onTime)
				So(waits.refusals, ShouldBeLessThan, rejects.refusals)
			}
		}
	})
}
