package gateway_test

import (
	"fmt"
	"net/http"
	"testing"

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
