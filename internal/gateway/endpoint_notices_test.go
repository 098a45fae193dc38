package gateway_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumvale/internal/coordination/placement"
	"gypsumvale/internal/protocol/peer"
	"gypsumvale/internal/settings"
	"gypsumvale/internal/standin/hosted"
	"gypsumvale/internal/state/prompt"
)

// placeWith requests a placement in time for a caller that waits a second, and reports what endpoints have said.
func (p *testPeer) placeWith(number uint64, notices ...peer.EndpointNotice) peer.PlaceReply {
	ctx, cancel := context.WithTimeout(context.Background(), peerCallTimeout)
	defer cancel()
	var reply peer.PlaceReply
	So(p.network.Call(ctx, p.leader.cfg.Name, p.leader.cfg.Peers, peer.KindPlace, peer.PlaceRequest{
		Request: placement.Request{
			ID: placement.AssignmentID{Number: number}, Service: "llm", Zone: "plateau", Model: testModel, Prompt: 1000, Output: 6,
			Parts: []prompt.Part{{ID: "own", Tokens: 1000}},
		},
		Deadline: 10 * time.Second, FirstEventTimeout: time.Second, Notices: notices,
	}, &reply), ShouldBeNil)
	return reply
}

func (p *testPeer) report(m peer.EndpointNotice) {
	ctx, cancel := context.WithTimeout(context.Background(), peerCallTimeout)
	defer cancel()
	So(p.network.Call(ctx, p.leader.cfg.Name, p.leader.cfg.Peers, peer.KindEndpointNotice, m, &peer.Empty{}), ShouldBeNil)
}

// started returns the start time in an endpoint's registration.
func (s *site) started(id string) int64 {
	var body struct {
		Born int64 `json:"born"`
	}
	So(json.Unmarshal(s.store.Value("servers/"+id), &body), ShouldBeNil)
	return body.Born
}

func TestLeaderIgnoresAnswersToItsOwnCalls(t *testing.T) {
	t.Parallel()
	Convey("a leader that follows the caches of engines", t, func() {
		s := startSite(1)
		e := s.entries[0]
		eventually("a leader is elected", func() bool { return s.store.Value("gypsum/lead") != nil })
		engine := s.usedEngine(e)

		Convey("sends no prompts to an engine that says in its answer to a call that it leaves", func() {
			calls := engine.Calls()
			engine.SetFault(hosted.EndpointFault{Leaving: true})
			eventually("the leader has called twice", func() bool { return engine.Calls() >= calls+3 })
			s.expectNoArrivals(e, engine, http.MethodPost, "/redraft/")
		})
		Convey("makes no calls to an engine while that wants nothing", func() {
			eventually("the leader follows the engine", func() bool { return engine.Calls() > 0 })
			engine.SetFault(hosted.EndpointFault{RetryAfter: 3500 * time.Millisecond})
			s.expectAnswered(s.call(e, http.MethodPost, "/redraft/", "any"))
			rejected := time.Now()
			// A call that waits at the engine isn't broken off.
			time.Sleep(1300 * time.Millisecond)
			calls := engine.Calls()
			time.Sleep(time.Until(rejected.Add(3400 * time.Millisecond)))
			So(engine.Calls(), ShouldEqual, calls)
			engine.SetFault(hosted.EndpointFault{})
			eventually("the leader follows the engine again", func() bool { return engine.Calls() > calls })
		})
	})
}

func TestLeaderInsistsOnAnEndpoint(t *testing.T) {
	t.Parallel()
	for what, fault := range map[string]hosted.EndpointFault{"leaves": {Leaving: true}, "wants no requests": {RetryAfter: 5 * time.Second}} {
		Convey("an entry whose leader grants only an endpoint that "+what+" places requests alone", t, func() {
			s, leader := startSiteWithSlowLeader(0)
			engine := s.endpoints[0]
			s.addEndpoint(hosted.EndpointConfig{ID: "llm-1", Service: "llm", Model: testModel, Version: 1, Events: 6, Work: 5 * time.Millisecond})
			eventually("the leader has placed a request", func() bool {
				s.call(s.entries[0], http.MethodPost, "/redraft/", "any")
				placed, _ := leader.lists()
				return len(placed) > 0
			})
			engine.SetFault(fault)
			s.callUntilArrival(s.entries[0], engine, http.MethodPost, "/redraft/")
			eventually("the other engine is known", func() bool {
				return s.call(s.entries[0], http.MethodPost, "/redraft/", "any").status == http.StatusOK
			})
			s.expectNoArrivals(s.entries[0], engine, http.MethodPost, "/redraft/")
		})
	}
}

func TestBarredEndpointsAreCounted(t *testing.T) {
	t.Parallel()
	Convey("an entry counts the endpoints that it may not use", t, func() {
		s := newSite()
		s.putConfiguration(defaultSpec())
		for _, id := range []string{"cal-0", "cal-1", "cal-2"} {
			s.addEndpoint(hosted.EndpointConfig{ID: id, Service: "calendar", Work: time.Millisecond})
		}
		e := s.addEntryWith(func(cfg *settings.Hosted) { cfg.Metrics = freeAddress() })
		e.expectReady(true)
		shows := func(line string) func() bool {
			return func() bool {
				resp, err := http.Get("http://" + e.cfg.Metrics + "/metrics")
				if err != nil {
					return false
				}
				defer func() { _ = resp.Body.Close() }()
				text, err := io.ReadAll(resp.Body)
				return err == nil && strings.Contains(string(text), line+"\n")
			}
		}
		s.endpoints[0].SetFault(hosted.EndpointFault{Leaving: true})
		s.endpoints[1].SetFault(hosted.EndpointFault{RetryAfter: 3 * time.Second})
		s.callUntilArrival(e, s.endpoints[0], http.MethodGet, "/read/")
		s.callUntilArrival(e, s.endpoints[1], http.MethodGet, "/read/")
		s.endpoints[1].SetFault(hosted.EndpointFault{})
		eventually("a leaving endpoint is counted", shows(`gypsum_endpoints_barred{reason="leaving"} 1`))
		eventually("a paused endpoint is counted", shows(`gypsum_endpoints_barred{reason="paused"} 1`))
		eventually("the end of the pause shows", shows(`gypsum_endpoints_barred{reason="paused"} 0`))
		So(shows(`gypsum_endpoints_barred{reason="leaving"} 1`)(), ShouldBeTrue)
	})
}

func TestLeaderGrantsWhatAnEntryMayNotUse(t *testing.T) {
	t.Parallel()
	Convey("a leader", t, func() {
		s := startEngineSite(4)
		p := s.startPeer()
		placed := p.placeWith(1)
		So(placed.Verdict, ShouldEqual, peer.VerdictPlaced)
		p.update(1, placement.OutcomeAnswered)

		Convey("grants nothing at an endpoint that has told an entry that it leaves", func() {
			p.report(peer.EndpointNotice{Endpoint: "llm-0", StartMilli: s.started("llm-0"), Leaving: true})
			So(p.placeWith(2).Verdict, ShouldEqual, peer.VerdictNoEndpoint)
			s.expectRefused(s.call(s.entries[0], http.MethodPost, "/redraft/", "any"), http.StatusServiceUnavailable, 0)
		})
		Convey("grants at the incarnation after the one that has told an entry that it leaves", func() {
			p.report(peer.EndpointNotice{Endpoint: "llm-0", StartMilli: s.started("llm-0") - 1, Leaving: true})
			So(p.placeWith(2).Verdict, ShouldEqual, peer.VerdictPlaced)
		})
		Convey("grants nothing to an entry of which an endpoint wants no requests, and goes on granting to others", func() {
			p.report(peer.EndpointNotice{Endpoint: "llm-0", Pause: 5 * time.Second})
			reply := p.placeWith(2)
			So(reply.Verdict, ShouldEqual, peer.VerdictOverloaded)
			So(reply.Paused, ShouldBeTrue)
			So(reply.RetryAfter, ShouldBeBetween, 4*time.Second, 8*time.Second)
			s.expectAnswered(s.call(s.entries[0], http.MethodPost, "/redraft/", "any"))
		})
		Convey("is told with a request what it hasn't been told before", func() {
			So(p.placeWith(2, peer.EndpointNotice{Endpoint: "llm-0", Pause: 5 * time.Second}).Verdict, ShouldEqual, peer.VerdictOverloaded)
		})
	})
	Convey("a leader that an entry has told of a pause grants other engines to that entry, without a withdrawal", t, func() {
		s := newSite()
		s.putConfiguration(defaultSpec())
		for _, id := range []string{"llm-0", "llm-1"} {
			s.addEndpoint(hosted.EndpointConfig{ID: id, Service: "llm", Model: testModel, Version: 1, Events: 6, Work: 5 * time.Millisecond})
		}
		s.addEntryWith(func(cfg *settings.Hosted) { cfg.CPUCores = 2 })
		s.addEntry()
		for _, e := range s.entries {
			e.expectReady(true)
		}
		eventually("a leader is elected", func() bool { return s.store.Value("gypsum/lead") != nil })
		leader, e := s.entries[0], s.entries[1]
		var engine *hosted.Endpoint
		var before int
		eventually("an engine asks for a pause", func() bool {
			engine = s.usedEngine(e)
			used := len(engine.Arrivals())
			engine.SetFault(hosted.EndpointFault{RetryAfter: 2 * time.Second})
			s.expectAnswered(s.call(e, http.MethodPost, "/redraft/", "first"))
			before = len(engine.Arrivals())
			if before == used {
				// The leader has chosen the other engine.
				engine.SetFault(hosted.EndpointFault{})
			}
			return before > used
		})
		for range 20 {
			s.expectAnswered(s.call(e, http.MethodPost, "/redraft/", "next"))
		}
		So(len(engine.Arrivals()), ShouldEqual, before)
		Convey("and so does its successor", func() {
			leader.stop()
			until := time.Now().Add(1500 * time.Millisecond)
			for time.Now().Before(until) {
				So(s.call(e, http.MethodPost, "/redraft/", "next").status, ShouldBeIn, http.StatusOK, http.StatusServiceUnavailable)
			}
			for _, at := range engine.Arrivals()[before:] {
				So(at, ShouldHappenOnOrAfter, engine.Arrivals()[before-1].Add(2*time.Second))
			}
		})
	})
}
