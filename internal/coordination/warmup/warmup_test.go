package warmup_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumvale/internal/coordination/warmup"
	"gypsumvale/internal/state/clock"
)

const start = clock.Instant(time.Hour)

// limits are those of a large deployment, whose bound is 26.
func limits() *warmup.Limits {
	return &warmup.Limits{PerSecond: 14, Time: 3 * time.Second, Excess: 1.5, Tolerance: 5}
}

func after(d time.Duration) clock.Instant { return start.Add(d) }

func TestAdmissions(t *testing.T) {
	Convey("the admissions per window are the rate, and never more than the bound", t, func() {
		So(limits().Admissions(), ShouldEqual, 14)
		So((&warmup.Limits{PerSecond: 14, Excess: 1}).Admissions(), ShouldEqual, 14)
		So((&warmup.Limits{PerSecond: 14, Excess: 0.5}).Admissions(), ShouldEqual, 7)
		So((&warmup.Limits{PerSecond: 0.5, Excess: 1, Tolerance: 1}).Admissions(), ShouldEqual, 1)
		So((&warmup.Limits{PerSecond: 0.5, Excess: 1}).Admissions(), ShouldEqual, 0)
	})
}

func TestStatus(t *testing.T) {
	Convey("an endpoint", t, func() {
		var e warmup.Endpoint
		expect := func(at time.Duration, want warmup.Status) { So(e.Status(after(at)), ShouldEqual, want) }
		Convey("that announced a time left is cold for that time, counted from when the registration was known", func() {
			e.Announce(after(time.Second), start, 3*time.Second)
			expect(3900*time.Millisecond, warmup.Cold)
			expect(4*time.Second, warmup.Warm)
		})
		Convey("that says in an answer that it is cold isn't warm by a registration read before", func() {
			e.State(after(time.Second), 3*time.Second)
			e.Announce(after(1100*time.Millisecond), after(900*time.Millisecond), 0)
			expect(1100*time.Millisecond, warmup.Cold)
			e.Announce(after(2*time.Second), after(2*time.Second), 0)
			expect(2*time.Second, warmup.Warm)
		})
		Convey("in doubt is warm by an answer that says so after the time set", func() {
			e.Doubt(start, 3*time.Second)
			e.State(after(2*time.Second), 0)
			expect(2*time.Second, warmup.InDoubt)
			e.State(after(3*time.Second), 0)
			expect(3*time.Second, warmup.Warm)
		})
	})
}

// history is a random history of one endpoint under a load of 600 requests per second, with restarts, elections and frozen entries.
type history struct {
	*rand.Rand
	limits *warmup.Limits
	// peer is what every process knows of the endpoint, and leader what the leader knows, which also counts its admissions.
	peer, leader warmup.Endpoint
	electedAt    clock.Instant
	// startedAt is when the endpoint last started; it is down before that.
	startedAt clock.Instant
	// news holds what the processes learn, and when.
	news []news
	// arrivals holds the arrivals at the cold endpoint.
	arrivals []clock.Instant
}

type news struct {
	at    clock.Instant
	apply func(e *warmup.Endpoint, now clock.Instant)
}

func (h *history) upTo(d time.Duration) time.Duration { return time.Duration(h.Int64N(int64(d))) }

func (h *history) learn(at clock.Instant, apply func(e *warmup.Endpoint, now clock.Instant)) {
	h.news = append(h.news, news{at, apply})
}

// restart takes the endpoint down for 0.3 s to 2 s. Its new incarnation is cold for 3 s and registers every 1.2 s, which is read up to 1 s later.
func (h *history) restart(now clock.Instant) {
	h.startedAt = now.Add(300*time.Millisecond + h.upTo(1700*time.Millisecond))
	startedAt := h.startedAt
	for beat := time.Duration(0); beat < 5*time.Second; beat += 1200 * time.Millisecond {
		readAt := startedAt.Add(beat + h.upTo(time.Second))
		h.learn(readAt, func(e *warmup.Endpoint, now clock.Instant) {
			if beat == 0 {
				e.Restart()
			}
			e.Announce(now, readAt, 3*time.Second-beat)
		})
	}
}

// send sends a request that was granted now. It arrives within 250 ms, unless its entry was frozen and returns the grant.
func (h *history) send(now clock.Instant) {
	held := h.upTo(250 * time.Millisecond)
	if held > warmup.GrantTimeout {
		return
	}
	arrival := now.Add(held + h.upTo(250*time.Millisecond-held))
	switch {
	case arrival.Before(h.startedAt):
		h.learn(arrival.Add(h.upTo(50*time.Millisecond)), func(e *warmup.Endpoint, now clock.Instant) { e.Doubt(now, 3*time.Second) })
	case arrival.Before(h.startedAt.Add(3 * time.Second)):
		h.arrivals = append(h.arrivals, arrival)
	}
}

func (h *history) run(steps int) {
	h.electedAt = start.Add(-time.Minute)
	for step := range steps {
		now := after(time.Duration(step) * 5 * time.Millisecond)
		if h.IntN(1000) == 0 && now.Sub(h.startedAt) > 5*time.Second {
			h.restart(now)
		}
		if h.IntN(600) == 0 {
			h.leader, h.electedAt = h.peer, now
		}
		h.news = slices.DeleteFunc(h.news, func(n news) bool {
			if now.Before(n.at) {
				return false
			}
			n.apply(&h.peer, now)
			n.apply(&h.leader, now)
			return true
		})
		for range 3 {
			if h.limits.Permits(now, &h.leader, warmup.Authority{SoleSince: h.electedAt}) {
				h.leader.Admit(now, h.limits)
				h.send(now)
			}
		}
		if h.IntN(5) == 0 && h.limits.Permits(now, &h.peer, warmup.Authority{}) {
			h.send(now)
		}
	}
}

// mostInSecond returns the most arrivals within one second.
func (h *history) mostInSecond() int {
	slices.Sort(h.arrivals)
	most, first := 0, 0
	for i, a := range h.arrivals {
		for a.Sub(h.arrivals[first]) >= time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// TestBoundInRandomHistories guards against more arrivals in a second than a cold endpoint bears, whoever is elected, frozen or delayed.
func TestBoundInRandomHistories(t *testing.T) {
	Convey("a cold endpoint never gets more requests in a second than the bound, and nearly its rate under load", t, func() {
		most, total := 0, 0
		for seed := range uint64(300) {
			h := &history{Rand: rand.New(rand.NewPCG(seed, 1)), limits: limits()}
			h.run(6000)
			most, total = max(most, h.mostInSecond()), total+len(h.arrivals)
		}
		t.Logf("%d requests arrived at cold endpoints, at most %d in a second", total, most)
		So(most, ShouldBeLessThanOrEqualTo, 26)
		So(total, ShouldBeGreaterThan, 300*30)
	})
}
