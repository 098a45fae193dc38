package gateway_test

import (
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumvale/internal/settings"
	"gypsumvale/internal/standin/hosted"
)

// inRegions sets the regions of the zones in an entry's settings.
func inRegions(cfg *settings.Hosted) {
	cfg.Regions = map[string]string{"plateau": "north", "quay": "south"}
}

func TestRequestSentOutsideAllowedRegions(t *testing.T) {
	t.Parallel()
	Convey("a site in two regions", t, func() {
		s := startZonedSite(0)
		spec := defaultSpec()
		for i := range spec.Routes {
			if spec.Routes[i].Name != "public" {
				spec.Routes[i].AllowedRegions = []string{"south", "west"}
			}
		}
		tenant := func(name string, regions ...string) hosted.Tenant {
			return hosted.Tenant{Name: name, APIKeys: []string{name}, AllowedRegions: regions}
		}
		spec.Tenants = append(spec.Tenants, tenant("southern", "south"), tenant("northern", "north"))
		s.putConfiguration(spec)
		for range 2 {
			s.addEntryWith(inRegions).expectReady(true)
		}
		eventually("a leader is elected", func() bool { return s.leaderName() != "" })
		Convey("serves requests only in the regions that their route and their workspace allow", func() {
			s.expectNoneIn("plateau")
			a := s.call(s.entries[0], http.MethodGet, "/read/", "", "Credential", "northern")
			s.expectRefused(a, http.StatusServiceUnavailable, 0)
			So(a.body, ShouldContainSubstring, "no_allowed_region")
			before := s.arrivalsIn("plateau")
			for range 20 {
				s.expectAnswered(s.call(s.entries[0], http.MethodGet, "/public/", "", "Credential", "southern"))
			}
			So(s.arrivalsIn("plateau"), ShouldEqual, before)
			s.expectAnswered(s.call(s.entries[0], http.MethodGet, "/public/", ""))
		})
		Convey("serves no restricted requests where the regions of zones are unknown", func() {
			e := s.addEntry()
			e.expectReady(true)
			s.expectRefused(s.call(e, http.MethodGet, "/read/", ""), http.StatusServiceUnavailable, 0)
			s.expectAnswered(s.call(e, http.MethodGet, "/public/", ""))
		})
	})
}

func TestLeaderGrantsOutsideAllowedRegions(t *testing.T) {
	t.Parallel()
	Convey("an entry whose leader, of an earlier release, knows no regions", t, func() {
		s := newSite()
		spec := defaultSpec()
		spec.Routes[2].AllowedRegions = []string{"north"}
		s.putConfiguration(spec)
		s.addEndpoint(hosted.EndpointConfig{ID: "llm-0", Service: "llm", Model: testModel, Version: 1, Events: 6, Zone: "plateau"})
		s.addEndpoint(hosted.EndpointConfig{ID: "llm-1", Service: "llm", Model: testModel, Version: 1, Events: 6, Zone: "quay"})
		leader := s.startSlowLeader(0)
		leader.fetchFrom = "127.0.0.1:1"
		e := s.addEntryWith(inRegions)
		e.expectReady(true)
		placed := func() int {
			list, _ := leader.lists()
			return len(list)
		}
		Convey("fetches nothing from an address outside them", func() {
			eventually("the leader has placed requests", func() bool {
				a := s.call(e, http.MethodPost, "/redraft/", "any")
				s.expectAnswered(a)
				So(s.runs(a.id)[0].Header.Get("Kv-Source"), ShouldBeEmpty)
				return placed() > 3
			})
		})
		Convey("sends no request to an endpoint outside them", func() {
			spec.Version++
			spec.Routes[2].AllowedRegions = []string{"south"}
			s.putConfiguration(spec)
			time.Sleep(evacuationTime)
			before := placed()
			s.expectNoArrivals(e, s.endpoints[0], http.MethodPost, "/redraft/")
			So(placed(), ShouldBeGreaterThan, before)
		})
	})
}
