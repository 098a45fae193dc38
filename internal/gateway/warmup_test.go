package gateway_test

import (
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumvale/internal/protocol/peer"
	"gypsumvale/internal/standin/hosted"
)

// coldTime is for how long the engine is cold after each start.
const coldTime = 3 * time.Second

// startColdSite starts three entries and an engine that registers as cold for 3 s after each start. Its bound, which the entries adopt while they
// run, is 26 requests in a second.
func startColdSite() (*site, *hosted.Endpoint) {
	s := newSite()
	spec := defaultSpec()
	spec.Services[1]["ColdS"], spec.Services[1]["ColdPerS"] = 3.0, 14.0
	s.putConfiguration(spec)
	for range 3 {
		s.addEntry()
	}
	for _, e := range s.entries {
		eventually("the entry has found its peers", func() bool { return s.store.Value("gypsum/entries/"+e.cfg.Name) != nil })
	}
	for _, e := range s.entries {
		e.expectReady(true)
		// The bound at the start is zero, with which nothing is admitted.
		reloaded := *e.cfg
		reloaded.WarmupExcess, reloaded.WarmupTolerance = 1.5, 5
		So(e.node.Reload(&reloaded), ShouldBeNil)
	}
	eventually("a leader is elected", func() bool { return s.store.Value("gypsum/lead") != nil })
	return s, s.addEndpoint(hosted.EndpointConfig{
		ID: "llm-0", Service: "llm", Model: testModel, Version: 1, Events: 2, Work: time.Millisecond, WarmupTime: coldTime,
	})
}

// mostInSecond returns the most arrivals within one second.
func mostInSecond(arrivals []time.Time) int {
	slices.SortFunc(arrivals, time.Time.Compare)
	most, first := 0, 0
	for i, a := range arrivals {
		for a.Sub(arrivals[first]) >= time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// TestColdEngineUnderLoad guards against more requests to an engine that has just started than it bears, before and after a crash.
func TestColdEngineUnderLoad(t *testing.T) {
	Convey("an engine that starts under load, crashes and starts again", t, func() {
		s, engine := startColdSite()
		engine.SetFault(hosted.EndpointFault{CrashOn: "crash", RestartAfter: 400 * time.Millisecond})
		var wg sync.WaitGroup
		send := func(body string) {
			e := s.entries[int(s.requests.Load())%len(s.entries)]
			wg.Go(func() { s.send(e, http.MethodPost, "/redraft/", body) })
		}
		load := func(d time.Duration) {
			for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(15 * time.Millisecond) {
				send("notes")
			}
		}
		// expectBound checks the arrivals while the engine is cold after a start.
		expectBound := func(started int64) {
			from := time.UnixMilli(started)
			arrivals := slices.DeleteFunc(engine.Arrivals(), func(at time.Time) bool { return at.Before(from) || at.After(from.Add(coldTime)) })
			t.Logf("%d arrivals at the cold engine, at most %d in a second", len(arrivals), mostInSecond(arrivals))
			So(mostInSecond(arrivals), ShouldBeLessThanOrEqualTo, 26)
			So(len(arrivals), ShouldBeGreaterThanOrEqualTo, 10)
		}
		load(3200 * time.Millisecond)
		expectBound(s.started("llm-0"))
		send("crash")
		load(3400 * time.Millisecond)
		wg.Wait()
		expectBound(s.started("llm-0"))
	})
}

// TestLapsedPlacement guards against an entry that uses a placement on a cold endpoint after the leader has admitted others in its place.
func TestLapsedPlacement(t *testing.T) {
	t.Parallel()
	Convey("an entry", t, func() {
		s, leader := startSiteWithSlowLeader(0)
		// lapse makes the first placements look as old as the given time, as if the entry had been frozen.
		warmOnly := 0
		lapse := func(placements int, age time.Duration, cold bool) {
			leader.mu.Lock()
			defer leader.mu.Unlock()
			leader.change = func(i int, m *peer.PlaceRequest, reply *peer.PlaceReply) {
				if m.Request.WarmOnly {
					warmOnly++
				}
				reply.Choice.Cold = cold
				if i < placements {
					reply.Held = -age
				}
			}
		}
		callPlaced := func() []uint64 {
			s.expectAnswered(s.call(s.entries[0], http.MethodPost, "/brief/", "notes"))
			placed, _ := leader.lists()
			return placed
		}
		eventually("the leader places requests", func() bool { return len(callPlaced()) > 0 })
		count := len(callPlaced())
		for _, test := range []struct {
			name string
			age  time.Duration
			cold bool
		}{
			{"returns a placement on a cold endpoint that is older than 200 ms, and asks again", 250 * time.Millisecond, true},
			{"returns one on a warm endpoint that is older than a second, and asks again", 1100 * time.Millisecond, false},
		} {
			Convey(test.name, func() {
				lapse(count+1, test.age, test.cold)
				placed := callPlaced()
				So(placed, ShouldHaveLength, count+2)
				eventually("the first placement is returned", func() bool {
					_, withdrawn := leader.lists()
					return slices.Contains(withdrawn, placed[count])
				})
				So(len(s.endpoints[0].Arrivals()), ShouldEqual, count+1)
			})
		}
		Convey("uses one on a cold endpoint that is newer, and one on a warm endpoint that is older than 200 ms", func() {
			lapse(count+1, 50*time.Millisecond, true)
			So(callPlaced(), ShouldHaveLength, count+1)
			lapse(count+2, 300*time.Millisecond, false)
			So(callPlaced(), ShouldHaveLength, count+2)
		})
		Convey("asks for warm endpoints only after two have lapsed, and gives up after several, without an attempt", func() {
			lapse(count+100, time.Second, true)
			a := s.call(s.entries[0], http.MethodPost, "/brief/", "notes")
			So(a.status, ShouldEqual, http.StatusServiceUnavailable)
			So(a.header.Get("Retry-After"), ShouldNotBeEmpty)
			placed, _ := leader.lists()
			So(len(placed)-count, ShouldEqual, 9)
			leader.mu.Lock()
			defer leader.mu.Unlock()
			So(warmOnly, ShouldEqual, 7)
		})
	})
}
