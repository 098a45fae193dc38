package gateway_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumvale/internal/standin/hosted"
)

// configurationWithRoutes returns a version of the site's configuration with a number of added routes, /read/0/ and so on.
func configurationWithRoutes(version, added int) hosted.Configuration {
	spec := defaultSpec()
	spec.Version = version
	for i := range added {
		spec.Routes = append(spec.Routes, hosted.Route{
			Name: fmt.Sprint("added-", i), Hostname: testHost, PathPrefix: fmt.Sprintf("/added-%d/", i), Type: "idempotent", Backend: "calendar",
			TimeoutMs: 2000, MaxAttempts: 2,
		})
	}
	return spec
}

// expectRoute expects that every entry serves an added route before long.
func (s *site) expectRoute(number int) {
	for _, e := range s.entries {
		eventually(fmt.Sprintf("%s serves route %d", e.cfg.Name, number), func() bool {
			return s.call(e, http.MethodGet, fmt.Sprintf("/added-%d/", number), "").status == http.StatusOK
		})
	}
}

// restoredSite is a site whose operator has changed the configuration many times since a copy of the store was made.
type restoredSite struct {
	*site
	copy    *hosted.Copy
	version int
	routes  int
}

func startRestoredSite(entryCount int) *restoredSite {
	s := &restoredSite{site: startSite(entryCount), version: 3}
	eventually("a leader is elected", func() bool { return s.store.Value("gypsum/lead") != nil })
	s.copy = s.store.Copy()
	for range 30 {
		s.change(0)
	}
	s.change(1)
	s.expectRoute(0)
	return s
}

// change writes the next version of the configuration, with a number of routes added in all.
func (s *restoredSite) change(routes int) {
	s.version++
	s.routes = routes
	s.putConfiguration(configurationWithRoutes(s.version, routes))
}

// restore restores the store from the copy; the operator then writes its newest configuration again.
func (s *restoredSite) restore() {
	s.store.Restore(s.copy)
	s.putConfiguration(configurationWithRoutes(s.version, s.routes))
}

func TestChangeIgnoredAfterStoreRestored(t *testing.T) {
	Convey("entries whose store was restored from a copy that lacks configurations", t, func() {
		s := startRestoredSite(3)
		s.restore()
		s.expectRoute(0)
		Convey("serve a route that is added afterwards", func() {
			s.change(2)
			s.expectRoute(1)
		})
	})
}

func TestLeaseOfRestoredStore(t *testing.T) {
	Convey("a site whose store is restored from a copy", t, func() {
		s := startSite(2)
		leader := func() string {
			for _, e := range s.entries {
				if strings.Contains(string(s.store.Value("gypsum/lead")), e.cfg.Name) {
					return e.cfg.Name
				}
			}
			return ""
		}
		eventually("a leader is elected", func() bool { return leader() != "" })
		first := leader()
		Convey("keeps its leader if the copy has the leader's lease", func() {
			copied := s.store.Copy()
			elected := s.store.ModRevision("gypsum/last")
			s.store.Restore(copied)
			for until := time.Now().Add(2500 * time.Millisecond); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
				So(leader(), ShouldEqual, first)
				So(s.store.ModRevision("gypsum/last"), ShouldEqual, elected)
			}
		})
		Convey("elects a leader if the copy lacks the leader's lease", func() {
			copied := s.store.Copy()
			for _, e := range s.entries {
				if e.cfg.Name == first {
					e.stop()
				}
			}
			eventually("another leader is elected", func() bool { return leader() != "" && leader() != first })
			second := leader()
			s.store.Restore(copied)
			So(leader(), ShouldEqual, first)
			eventually("it is elected again", func() bool { return leader() == second })
		})
	})
}
