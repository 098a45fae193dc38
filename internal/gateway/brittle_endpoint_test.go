package gateway_test

import (
	"net/http"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumvale/internal/standin/hosted"
)

// Guards against entries that send so much to brittle endpoints that these fall over.
func TestBrittleEndpointsFall(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name, target string
		fault        hosted.EndpointFault
	}{
		{"endpoints of a plain service with more load than slots", "/read/", hosted.EndpointFault{Brittle: 4}},
		{"endpoints of a plain service that are full", "/read/", hosted.EndpointFault{Brittle: 4, Full: true}},
		{"engines that are full", "/brief/", hosted.EndpointFault{Brittle: 4, Full: true}},
	} {
		Convey(c.name+", and say that they are brittle", t, func() {
			s := newSite()
			s.putConfiguration(defaultSpec())
			for _, id := range []string{"cal-0", "cal-1"} {
				s.addEndpoint(hosted.EndpointConfig{ID: id, Service: "calendar", Work: 40 * time.Millisecond, Slots: 2})
			}
			for _, id := range []string{"llm-0", "llm-1"} {
				s.addEndpoint(hosted.EndpointConfig{ID: id, Service: "llm", Model: testModel, Version: 1, Events: 6, Work: 5 * time.Millisecond})
			}
			for range 3 {
				s.addEntry()
			}
			for _, e := range s.entries {
				e.expectReady(true)
			}
			eventually("a leader is elected", func() bool { return s.store.Value("gypsum/lead") != nil })
			s.eachEndpoint(c.fault)
			stop := make(chan struct{})
			var clients sync.WaitGroup
			for _, e := range s.entries {
				for range 5 {
					clients.Go(func() {
						for {
							select {
							case <-stop:
								return
							case <-time.After(5 * time.Millisecond):
								s.send(e, http.MethodPost, c.target, "load")
							}
						}
					})
				}
			}
			falls := func() (n int) {
				for _, e := range s.endpoints {
					n += e.Falls()
				}
				return n
			}
			time.Sleep(time.Second)
			before := falls()
			time.Sleep(4 * time.Second)
			after := falls()
			close(stop)
			clients.Wait()
			// The platform's bound: two, and one for ten endpoints.
			So(after-before, ShouldBeLessThanOrEqualTo, 2)
			if !c.fault.Full {
				s.eachEndpoint(hosted.EndpointFault{})
				eventually("calls are served", func() bool { return s.call(s.entries[0], http.MethodGet, "/read/", "").status == http.StatusOK })
			}
		})
	}
}
