package gateway_test

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumvale/internal/standin/hosted"
)

func TestRequestSentToEndpointThatWantsNone(t *testing.T) {
	t.Parallel()
	const pause = 800 * time.Millisecond
	rejecting := hosted.EndpointFault{RetryAfter: pause}

	// expectPause sends requests through an entry, and expects that a rejecting endpoint gets one and no other before its pause ends, that
	// others answer all, and that it gets requests again afterwards.
	expectPause := func(s *site, e *entry, endpoint *hosted.Endpoint, target string) {
		endpoint.SetFault(rejecting)
		s.expectAnswered(s.callUntilArrival(e, endpoint, http.MethodPost, target))
		arrivals := endpoint.Arrivals()
		rejected := arrivals[len(arrivals)-1]
		for time.Since(rejected) < pause-50*time.Millisecond {
			s.expectAnswered(s.call(e, http.MethodPost, target, "next"))
		}
		for _, at := range endpoint.Arrivals()[len(arrivals):] {
			So(at, ShouldHappenOnOrAfter, rejected.Add(pause))
		}
		endpoint.SetFault(hosted.EndpointFault{})
	}
	Convey("an endpoint that rejects a request and wants none for a while", t, func() {
		s := startSite(1)
		e := s.entries[0]

		Convey("gets no calls meanwhile", func() {
			expectPause(s, e, s.endpoints[0], "/read/")
			s.callUntilArrival(e, s.endpoints[0], http.MethodGet, "/read/")
		})
		Convey("gets no prompts meanwhile", func() { expectPause(s, e, s.usedEngine(e), "/redraft/") })
		Convey("gets no calls meanwhile while the store is down", func() {
			s.store.SetFault(hosted.StoreFault{Down: true})
			expectPause(s, e, s.endpoints[0], "/public/")
		})
	})
	Convey("when all endpoints want no requests for a while", t, func() {
		s := startSite(1)
		e := s.entries[0]
		eventually("a leader is elected", func() bool { return s.store.Value("gypsum/lead") != nil })
		s.usedEngine(e)

		Convey("a prompt waits and is answered after the first pause", func() {
			s.eachEndpoint(rejecting)
			done := make(chan response, 1)
			begun := time.Now()
			go func() { done <- s.send(e, http.MethodPost, "/redraft/", "waits") }()
			time.Sleep(pause / 2)
			s.eachEndpoint(hosted.EndpointFault{})
			s.expectAnswered(<-done)
			So(time.Since(begun), ShouldBeBetween, pause, pause+500*time.Millisecond)
		})
		Convey("a prompt that can't wait so long is rejected at once with the time of the first pause's end", func() {
			s.eachEndpoint(hosted.EndpointFault{RetryAfter: 5 * time.Second})
			begun := time.Now()
			a := s.call(e, http.MethodPost, "/redraft/", "can't wait")
			s.expectRefused(a, http.StatusServiceUnavailable, 0)
			So(time.Since(begun), ShouldBeLessThan, 500*time.Millisecond)
			seconds, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
			So(err, ShouldBeNil)
			So(seconds, ShouldBeBetween, 4, 8)
		})
		Convey("a call is rejected at once with the time of the first pause's end", func() {
			s.eachEndpoint(rejecting)
			s.call(e, http.MethodGet, "/read/", "")
			a := s.call(e, http.MethodGet, "/read/", "")
			s.expectRefused(a, http.StatusServiceUnavailable, 0)
			seconds, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
			So(err, ShouldBeNil)
			So(seconds, ShouldBeBetween, 0.4, 1.5*pause.Seconds())
		})
	})
	Convey("entries that aren't the leader", t, func() {
		s := startSite(3)
		eventually("a leader is elected", func() bool { return s.store.Value("gypsum/lead") != nil })
		for _, e := range s.entries {
			Convey("send no prompts to an engine in its pause: "+e.cfg.Name, func() { expectPause(s, e, s.usedEngine(e), "/redraft/") })
		}
	})
}
