package gateway_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumvale/internal/protocol/peer"
	"gypsumvale/internal/settings"
	"gypsumvale/internal/standin/hosted"
	"gypsumvale/internal/state/kv"
)

// Guards against entries that keep the store busy with their own reads, so that no relay can read it in time.
func TestConfigurationLateAtBusyStore(t *testing.T) {
	t.Parallel()
	Convey("ten entries, and a store of 900 registrations whose link transfers them in 0.36 s", t, func() {
		const bound = 3 * time.Second
		s := newSite()
		s.putConfiguration(defaultSpec())
		for i := range 900 {
			So(s.store.Put(fmt.Sprintf("servers/other-%04d", i), map[string]any{
				"Backend": "other", "Address": fmt.Sprintf("10.9.%d.%d:80", i/200, i%200+1), "Zone": "plateau", "Version": "v1", "Capacity": 8,
				"State": "ready", "Sequence": 1,
			}), ShouldBeNil)
		}
		s.addEndpoint(hosted.EndpointConfig{ID: "cal-0", Service: "calendar", Work: time.Millisecond})
		s.addEndpoint(hosted.EndpointConfig{ID: "llm-0", Service: "llm", Model: testModel, Version: 1, Events: 6, Work: 5 * time.Millisecond})
		for range 10 {
			s.addEntryWith(func(cfg *settings.Hosted) { cfg.MaxLeavingDelay, cfg.MaxRevocationDelay = bound, 5*time.Second })
		}
		for _, e := range s.entries {
			e.expectReady(true)
		}
		s.store.SetFault(hosted.StoreFault{ItemTime: 400 * time.Microsecond})
		Convey("apply a new route in time once slow reads have ended", func() {
			s.store.SetFault(hosted.StoreFault{ItemTime: 400 * time.Microsecond, PageDelay: 2 * time.Second})
			time.Sleep(5 * time.Second)
			s.store.SetFault(hosted.StoreFault{ItemTime: 400 * time.Microsecond})
			time.Sleep(2 * bound)
			spec := defaultSpec()
			spec.Version = 9
			spec.Routes = append(spec.Routes, hosted.Route{
				Name: "new", Hostname: testHost, PathPrefix: "/read/new/", Type: "idempotent", Backend: "llm", TimeoutMs: 2000, MaxAttempts: 1,
			})
			s.putConfiguration(spec)
			time.Sleep(bound)
			late := 0
			for _, e := range s.entries {
				if !strings.HasPrefix(s.call(e, http.MethodGet, "/read/new/", "").header.Get("Response-Seal"), "llm") {
					late++
				}
			}
			So(late, ShouldEqual, 0)
		})
	})
}

// Guards against a configuration that is dropped since the relay's registrations are outdated.
func TestConfigurationDroppedWithOutdatedRegistrations(t *testing.T) {
	t.Parallel()
	Convey("an entry uses the configuration that its relay has read, though the relay has not read all registrations in time", t, func() {
		s := startSite(1)
		relay := s.addRelay()
		at := func(number uint64) kv.Revision {
			revision, err := kv.NewRevision(1, number)
			So(err, ShouldBeNil)
			return revision
		}
		relay.set(true, at(1000), at(1000))
		time.Sleep(time.Second)
		s.store.SetFault(hosted.StoreFault{Silent: true})
		spec := defaultSpec()
		spec.Version = 9
		spec.Routes = append(spec.Routes, hosted.Route{
			Name: "new", Hostname: testHost, PathPrefix: "/read/new/", Type: "idempotent", Backend: "llm", TimeoutMs: 2000, MaxAttempts: 1, Public: true,
		})
		s.putConfiguration(spec)
		relay.set(true, at(1001), at(1000), peer.Item{Key: "op/config", Data: s.store.Value("op/config"), Revision: uint64(at(1001))})
		relay.mu.Lock()
		relay.reply.Age = time.Minute
		relay.mu.Unlock()
		eventually("the new route is in use", func() bool {
			return strings.HasPrefix(s.call(s.entries[0], http.MethodGet, "/read/new/", "").header.Get("Response-Seal"), "llm")
		})
	})
}

// Guards against answers that callers take as final from a configuration that should have been replaced by now.
func TestFinalAnswersOfUnconfirmedConfiguration(t *testing.T) {
	t.Parallel()
	Convey("an entry that can't confirm its configuration within the time that a newer one may take", t, func() {
		s := startSite(0)
		e := s.addEntryWith(func(cfg *settings.Hosted) {
			cfg.MaxApplyDelay, cfg.MaxLeavingDelay, cfg.MaxRevocationDelay = time.Second, time.Second, 10*time.Second
		})
		e.expectReady(true)
		s.expectRefused(s.call(e, http.MethodGet, "/none/", ""), http.StatusNotFound, 0)
		s.expectRefused(s.call(e, http.MethodGet, "/read/", "", "Credential", "unknown"), http.StatusUnauthorized, 0)
		s.store.SetFault(hosted.StoreFault{Silent: true})
		time.Sleep(e.cfg.MaxApplyDelay)
		Convey("sends callers whose path or key it doesn't know away for a moment, and serves the others", func() {
			for _, refused := range []response{
				s.call(e, http.MethodGet, "/none/", ""), s.call(e, http.MethodGet, "/read/", "", "Credential", "unknown"),
			} {
				s.expectRefused(refused, http.StatusServiceUnavailable, 0)
				So(refused.header.Get("Retry-After"), ShouldNotBeEmpty)
			}
			s.expectAnswered(s.call(e, http.MethodGet, "/read/", ""))
		})
	})
}
