package gateway_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumvale/internal/settings"
	"gypsumvale/internal/standin/hosted"
)

// configurationWithKey returns a version of the site's configuration in which the workspace has another key.
func configurationWithKey(version int, key string) hosted.Configuration {
	spec := defaultSpec()
	spec.Version = version
	spec.Tenants[0].APIKeys = []string{key}
	return spec
}

func TestRevokedKeyInRestoredConfiguration(t *testing.T) {
	t.Parallel()
	Convey("a site whose store is restored from a copy with a key that has been revoked since", t, func() {
		s := startSite(2)
		copied := s.store.Copy()
		read := func(e *entry, key string) int {
			return s.call(e, http.MethodGet, "/read/", "", "Credential", key).status
		}
		Convey("accepts it at no entry that starts before the operator writes again", func() {
			s.putConfiguration(configurationWithKey(4, "new"))
			for _, e := range s.entries {
				eventually("the key is revoked", func() bool { return read(e, testKey) == http.StatusUnauthorized })
			}
			s.store.Restore(copied)
			started := s.addEntry()
			accepted := 0
			for until := time.Now().Add(1500 * time.Millisecond); time.Now().Before(until); time.Sleep(time.Millisecond) {
				if s.send(started, http.MethodGet, "/read/", "").status == http.StatusOK {
					accepted++
				}
			}
			So(accepted, ShouldEqual, 0)
			s.putConfiguration(configurationWithKey(4, "new"))
			eventually("the new key is accepted", func() bool { return read(started, "new") == http.StatusOK })
			So(read(started, testKey), ShouldEqual, http.StatusUnauthorized)
		})
		Convey("accepts none at entries that have missed the revocation and know a newer configuration than the copy's", func() {
			s.putConfiguration(configurationWithRoutes(4, 1))
			s.expectRoute(0)
			s.store.SetFault(hosted.StoreFault{Silent: true})
			s.putConfiguration(configurationWithKey(5, "new"))
			s.store.Restore(copied)
			s.store.SetFault(hosted.StoreFault{})
			time.Sleep(s.entries[0].cfg.MaxRevocationDelay + time.Second)
			for _, e := range s.entries {
				So(read(e, testKey), ShouldEqual, http.StatusServiceUnavailable)
			}
			s.putConfiguration(configurationWithKey(5, "new"))
			for _, e := range s.entries {
				eventually("the new key is accepted", func() bool { return read(e, "new") == http.StatusOK })
				So(read(e, testKey), ShouldEqual, http.StatusUnauthorized)
			}
		})
	})
}

func TestUndecodableConfigurationWrittenAgain(t *testing.T) {
	t.Parallel()
	Convey("entries go on accepting keys when a configuration that can't be decoded is written again to a restored store", t, func() {
		s := startSite(2)
		copied := s.store.Copy()
		undecodable := []byte("{")
		s.store.PutRaw("op/config", undecodable)
		accepted := func() {
			time.Sleep(s.entries[0].cfg.MaxRevocationDelay + time.Second)
			for _, e := range s.entries {
				s.expectAnswered(s.call(e, http.MethodGet, "/read/", ""))
			}
		}
		accepted()
		Convey("before they read the store", func() {
			s.store.SetFault(hosted.StoreFault{Silent: true})
			s.store.Restore(copied)
			s.store.PutRaw("op/config", undecodable)
			s.store.SetFault(hosted.StoreFault{})
			accepted()
		})
		Convey("after they have read the one before it again", func() {
			s.store.Restore(copied)
			time.Sleep(700 * time.Millisecond)
			s.store.PutRaw("op/config", undecodable)
			accepted()
		})
		Convey("but not until it is", func() {
			s.store.Restore(copied)
			time.Sleep(s.entries[0].cfg.MaxRevocationDelay + time.Second)
			So(s.call(s.entries[0], http.MethodGet, "/read/", "").status, ShouldEqual, http.StatusServiceUnavailable)
		})
	})
}

// cutOff starts a server in front of the store that leaves calls without an answer while the flag is set, and returns its address.
func (s *site) cutOff(cut *atomic.Bool) string {
	store := s.store.Handler()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if cut.Load() {
			// net/http detects a disconnected caller only after the request body has been read.
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
			return
		}
		store.ServeHTTP(w, r)
	}))
	Reset(server.Close)
	return server.Listener.Addr().String()
}

// expectNotAccepted expects for some time that an entry accepts no request with a key.
func (s *site) expectNotAccepted(e *entry, key string, duration time.Duration) {
	for until := time.Now().Add(duration); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		So(s.call(e, http.MethodGet, "/read/", "", "Credential", key).status, ShouldNotEqual, http.StatusOK)
	}
}

func TestConfigurationConfirmedByOutdatedRelay(t *testing.T) {
	Convey("an entry that has missed a revocation doesn't accept the key by a relay that knows no newer configuration than the restored store", t, func() {
		s := newSite()
		s.putConfiguration(defaultSpec())
		s.addEndpoint(hosted.EndpointConfig{ID: "cal-0", Service: "calendar", Work: time.Millisecond})
		var cut atomic.Bool
		address := s.cutOff(&cut)
		relay := s.addEntryWith(func(cfg *settings.Hosted) { cfg.Store, cfg.LinkMbps = address, 200 })
		follower := s.addEntryWith(func(cfg *settings.Hosted) { cfg.LinkMbps = 100 })
		relay.expectReady(true)
		follower.expectReady(true)
		copied := s.store.Copy()
		cut.Store(true)
		time.Sleep(time.Second)
		s.putConfiguration(configurationWithRoutes(4, 1))
		eventually("the follower serves the added route", func() bool {
			return s.call(follower, http.MethodGet, "/added-0/", "").status == http.StatusOK
		})
		s.store.SetFault(hosted.StoreFault{Silent: true})
		s.putConfiguration(configurationWithKey(5, "new"))
		time.Sleep(follower.cfg.MaxRevocationDelay)
		s.store.Restore(copied)
		s.store.SetFault(hosted.StoreFault{})
		cut.Store(false)
		s.expectNotAccepted(follower, testKey, 5*time.Second)
		s.putConfiguration(configurationWithKey(5, "new"))
		for _, e := range s.entries {
			eventually("the new key is accepted", func() bool {
				return s.call(e, http.MethodGet, "/read/", "", "Credential", "new").status == http.StatusOK
			})
		}
	})
}

func TestConfigurationConfirmedBeforeWrittenAgain(t *testing.T) {
	Convey("an entry that has missed a revocation, and knows the configuration that the restored store has", t, func() {
		s := newSite()
		s.putConfiguration(defaultSpec())
		s.addEndpoint(hosted.EndpointConfig{ID: "cal-0", Service: "calendar", Work: time.Millisecond})
		var cut atomic.Bool
		address := s.cutOff(&cut)
		cutOff := s.addEntryWith(func(cfg *settings.Hosted) { cfg.Store, cfg.Zone = address, "quay" })
		other := s.addEntry()
		for _, e := range s.entries {
			e.expectReady(true)
		}
		// By then both have registered and know each other.
		time.Sleep(time.Second)
		copied := s.store.Copy()
		cut.Store(true)
		time.Sleep(time.Second)
		s.putConfiguration(configurationWithKey(4, "new"))
		eventually("the key is revoked", func() bool { return s.call(other, http.MethodGet, "/read/", "").status == http.StatusUnauthorized })
		time.Sleep(cutOff.cfg.MaxRevocationDelay)
		s.store.Restore(copied)
		cut.Store(false)
		Convey("doesn't accept the key before the operator writes again", func() {
			s.expectNotAccepted(cutOff, testKey, 4*time.Second)
			s.putConfiguration(configurationWithKey(4, "new"))
			for _, e := range s.entries {
				eventually("the new key is accepted", func() bool {
					return s.call(e, http.MethodGet, "/read/", "", "Credential", "new").status == http.StatusOK
				})
				s.expectNotAccepted(e, testKey, 20*time.Millisecond)
			}
		})
	})
	Convey("entries accept keys soon after a restoration that has lost no configuration", t, func() {
		s := startSite(2)
		copied := s.store.Copy()
		s.store.SetFault(hosted.StoreFault{Silent: true})
		time.Sleep(s.entries[0].cfg.MaxRevocationDelay)
		s.store.Restore(copied)
		s.store.SetFault(hosted.StoreFault{})
		restored := time.Now()
		for _, e := range s.entries {
			eventually("the key is accepted", func() bool { return s.call(e, http.MethodGet, "/read/", "").status == http.StatusOK })
		}
		// A call without an answer ends after 0.6 s, and the next follows 0.4 s later; two polls more are 0.5 s.
		So(time.Since(restored), ShouldBeLessThan, 1700*time.Millisecond)
	})
}
