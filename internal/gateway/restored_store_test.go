package gateway_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/vmihailenco/msgpack/v5"

	"gypsumvale/internal/settings"
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
	t.Parallel()
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
	t.Parallel()
	Convey("a site whose store is restored from a copy", t, func() {
		s := startSite(2)
		eventually("a leader is elected", func() bool { return s.leaderName() != "" })
		first := s.leaderName()
		Convey("keeps its leader if the copy has the leader's lease", func() {
			copied := s.store.Copy()
			elected := s.store.ModRevision("gypsum/last")
			s.store.Restore(copied)
			for until := time.Now().Add(2500 * time.Millisecond); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
				So(s.leaderName(), ShouldEqual, first)
				So(s.store.ModRevision("gypsum/last"), ShouldEqual, elected)
			}
		})
		Convey("keeps its leader in a new term if the store was away for longer than the lease time", func() {
			copied := s.store.Copy()
			written, elected := s.store.ModRevision("gypsum/lead"), s.store.ModRevision("gypsum/last")
			s.store.SetFault(hosted.StoreFault{Down: true})
			time.Sleep(2 * time.Second)
			s.store.Restore(copied)
			s.store.SetFault(hosted.StoreFault{})
			for until := time.Now().Add(2500 * time.Millisecond); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
				So(s.leaderName(), ShouldEqual, first)
				So(s.store.ModRevision("gypsum/last"), ShouldEqual, elected)
			}
			So(s.store.ModRevision("gypsum/lead"), ShouldBeGreaterThan, written)
		})
		Convey("elects a leader if the copy lacks the leader's lease", func() {
			copied := s.store.Copy()
			for _, e := range s.entries {
				if e.cfg.Name == first {
					e.stop()
				}
			}
			eventually("another leader is elected", func() bool { return s.leaderName() != "" && s.leaderName() != first })
			second := s.leaderName()
			s.store.Restore(copied)
			So(s.leaderName(), ShouldEqual, first)
			eventually("it is elected again", func() bool { return s.leaderName() == second })
		})
	})
}

func TestRestoredLeaderRecordTakenForLast(t *testing.T) {
	t.Parallel()
	Convey("a leader that the restored copy names as the last one, though another has led since", t, func() {
		s := newSite()
		s.putConfiguration(defaultSpec())
		s.addEndpoint(hosted.EndpointConfig{ID: "llm-0", Service: "llm", Model: testModel, Version: 1, Events: 6, Work: 5 * time.Millisecond})
		const lease = 4 * time.Second
		for i := range 2 {
			s.addEntryWith(func(cfg *settings.Hosted) {
				// The first entry is preferred as the leader.
				cfg.Lease, cfg.CPUCores = lease, float64(2-i)
			})
		}
		first, second := s.entries[0], s.entries[1]
		first.expectReady(true)
		second.expectReady(true)
		eventually("the first entry leads", func() bool { return s.leaderName() == first.cfg.Name })
		copied := s.store.Copy()
		first.stop()
		eventually("the second entry leads", func() bool { return s.leaderName() == second.cfg.Name })
		s.addEntryWith(func(cfg *settings.Hosted) { *cfg = *first.cfg }).expectReady(true)
		So(s.leaderName(), ShouldEqual, second.cfg.Name)
		restored := time.Now()
		s.store.Restore(copied)
		elected := s.store.ModRevision("gypsum/last")
		So(s.store.Put("op/version/"+testModel, map[string]any{"Model": testModel, "Version": 2}), ShouldBeNil)
		eventually("the first entry leads again", func() bool { return s.store.ModRevision("gypsum/last") != elected })
		So(s.leaderName(), ShouldEqual, first.cfg.Name)
		Convey("sends no order while orders of the other may be in flight", func() {
			time.Sleep(time.Until(restored.Add(lease)))
			So(s.endpoints[0].Version(), ShouldEqual, 1)
			eventually("the engine runs version 2", func() bool { return s.endpoints[0].Version() == 2 })
		})
	})
}

func TestStoreRestoredToBeforeEntries(t *testing.T) {
	t.Parallel()
	Convey("entries whose store is restored from a copy that is older than they are", t, func() {
		s := newSite()
		s.putConfiguration(defaultSpec())
		s.addEndpoint(hosted.EndpointConfig{ID: "cal-0", Service: "calendar", Work: time.Millisecond})
		copied := s.store.Copy()
		for range 2 {
			s.addEntry()
		}
		for _, e := range s.entries {
			e.expectReady(true)
		}
		eventually("a leader is elected", func() bool { return s.leaderName() != "" })
		// By then all entries have read who leads.
		time.Sleep(time.Second)
		secret := s.store.Value("gypsum/secret")
		registered := s.store.Keys("gypsum/entries/")
		So(registered, ShouldHaveLength, 2)
		s.store.Restore(copied)
		restored := time.Now()
		Convey("register again before long", func() {
			eventually("both are registered", func() bool { return len(s.store.Keys("gypsum/entries/")) == 2 })
			So(time.Since(restored), ShouldBeLessThan, 2*time.Second)
		})
		Convey("keep their secret", func() {
			eventually("the secret is in the store", func() bool { return s.store.Value("gypsum/secret") != nil })
			So(s.store.Value("gypsum/secret"), ShouldResemble, secret)
		})
		Convey("elect a leader", func() {
			eventually("a leader is elected", func() bool { return s.leaderName() != "" })
		})
	})
}

// rejectGrants starts a server in front of the store that rejects as many grants of leases as the counter says, and returns its address.
func (s *site) rejectGrants(remaining *atomic.Int64) string {
	store := s.store.Handler()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/-/kv-lease" && remaining.Add(-1) >= 0 {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		store.ServeHTTP(w, r)
	}))
	Reset(server.Close)
	return server.Listener.Addr().String()
}

func TestEntryUnregisteredAfterFailedAttempt(t *testing.T) {
	Convey("an entry that follows a relay registers in the restored store although its first attempt fails", t, func() {
		s := newSite()
		var rejected atomic.Int64
		address := s.rejectGrants(&rejected)
		s.putConfiguration(defaultSpec())
		s.addEndpoint(hosted.EndpointConfig{ID: "cal-0", Service: "calendar", Work: time.Millisecond})
		s.addEntryWith(func(cfg *settings.Hosted) { cfg.CPUCores, cfg.LinkMbps = 2, 200 }).expectReady(true)
		eventually("the first entry leads", func() bool { return s.leaderName() == s.entries[0].cfg.Name })
		copied := s.store.Copy()
		s.addEntryWith(func(cfg *settings.Hosted) { cfg.Store, cfg.LinkMbps = address, 100 }).expectReady(true)
		// By then the second entry follows the first.
		time.Sleep(time.Second)
		So(s.store.Keys("gypsum/entries/"), ShouldHaveLength, 2)
		rejected.Store(1)
		s.store.Restore(copied)
		So(s.store.Keys("gypsum/entries/"), ShouldHaveLength, 1)
		eventually("both are registered", func() bool { return len(s.store.Keys("gypsum/entries/")) == 2 })
		So(rejected.Load(), ShouldBeLessThan, 0)
	})
}

func TestRetryBudgetOfRestoredStore(t *testing.T) {
	Convey("an entry whose restored store lacks the registrations of most entries takes no larger part of the retry budget", t, func() {
		s := newSite()
		s.putConfiguration(defaultSpec())
		for i := range 2 {
			s.addEndpoint(hosted.EndpointConfig{ID: fmt.Sprintf("cal-%d", i), Service: "calendar", Work: time.Millisecond})
		}
		const share, reserve, others, requests = 0.2, 480, 200, 20
		e := s.addEntryWith(func(cfg *settings.Hosted) { cfg.RetryShare, cfg.RetryReserve = share, reserve })
		e.expectReady(true)
		eventually("it leads", func() bool { return s.leaderName() == e.cfg.Name })
		copied := s.store.Copy()
		for i := range others {
			record, err := msgpack.Marshal(map[string]any{"addr": "127.0.0.1:1", "zone": "quay", "run": fmt.Sprintf("other-%d#1", i), "cpu": 0.5})
			So(err, ShouldBeNil)
			s.store.PutRaw(fmt.Sprintf("gypsum/entries/other-%d", i), record)
		}
		time.Sleep(time.Second)
		s.store.Restore(copied)
		// By then the entry has read the copy.
		time.Sleep(700 * time.Millisecond)
		s.eachEndpoint(hosted.EndpointFault{DropAnswers: true})
		repeated := 0.0
		for i := range requests {
			a := s.call(e, http.MethodGet, fmt.Sprintf("/read/%d", i), "")
			repeated += float64(max(0, len(s.runs(a.id))-1))
		}
		So(repeated, ShouldBeLessThanOrEqualTo, share*requests+float64(reserve)/others)
	})
}

func TestLeaderKeyUnderAnothersLease(t *testing.T) {
	Convey("a site elects a leader although the leader's key names an entry that doesn't lead, and doesn't expire", t, func() {
		s := startSite(2)
		eventually("a leader is elected", func() bool { return s.leaderName() != "" })
		copied := s.store.Copy()
		// In the restored store, the key has no lease of the entry's.
		s.store.Restore(copied)
		data := s.store.Value("gypsum/lead")
		s.store.Delete("gypsum/lead")
		s.store.PutRaw("gypsum/lead", data)
		written := s.store.ModRevision("gypsum/last")
		eventually("a leader is elected again", func() bool { return s.store.ModRevision("gypsum/last") != written })
	})
}
