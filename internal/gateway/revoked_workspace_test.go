package gateway_test

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumvale/internal/gateway"
	"gypsumvale/internal/settings"
	"gypsumvale/internal/standin/hosted"
)

// An entry that can't reach the store doesn't learn that a key has been revoked, and public routes are served without a key.
func TestRevokedKeyOnPublicRoute(t *testing.T) {
	t.Parallel()
	Convey("an entry whose path to the store is cut while a key is revoked", t, func() {
		s := newSite()
		spec := defaultSpec()
		spec.Tenants[0].Isolated = true
		open := spec.Routes[2]
		open.Name, open.PathPrefix, open.Public, open.Priority = "open", "/open/", true, 2
		spec.Routes = append(spec.Routes, open)
		s.putConfiguration(spec)
		s.addEndpoint(hosted.EndpointConfig{ID: "llm-0", Service: "llm", Model: testModel, Version: 1, Events: 6, Work: time.Millisecond})
		var cut atomic.Bool
		address := s.cutOff(&cut)
		e := s.addEntryWith(func(cfg *settings.Hosted) { cfg.Store = address })
		e.expectReady(true)
		headers := []string{"Model", testModel, "Token-Usage", "1000,6", "Prompt-Prefix", "a1:600,own:100"}
		// expectWorkspace sends a request on the public route and checks in whose name it runs.
		expectWorkspace := func(a response, name, priority string) {
			s.expectAnswered(a)
			run := s.runs(a.id)[0]
			So(run.Workspace, ShouldEqual, name)
			So(run.Header.Get("Request-Priority"), ShouldEqual, priority)
		}
		before := s.call(e, http.MethodPost, "/open/", "text", headers...)
		expectWorkspace(before, "atelier", "5")
		isolated := s.runs(before.id)[0].Header.Get("Cache-Salt")
		cut.Store(true)

		Convey("serves public routes without the key's workspace, its priority and its isolation key once the bound has passed", func() {
			time.Sleep(e.cfg.MaxRevocationDelay)
			a := s.call(e, http.MethodPost, "/open/", "text", headers...)
			expectWorkspace(a, "", "8")
			So(s.runs(a.id)[0].Header.Get("Cache-Salt"), ShouldNotEqual, isolated)
		})
		Convey("doesn't use the workspace for a request that waited for its placement until the bound had passed", func() {
			release := gateway.HoldPlacement(e.node)
			answers := make(chan response, 1)
			go func() { answers <- s.send(e, http.MethodPost, "/open/", "text", headers...) }()
			time.Sleep(e.cfg.MaxRevocationDelay)
			release()
			a := <-answers
			expectWorkspace(a, "", "8")
			So(s.runs(a.id)[0].Header.Get("Cache-Salt"), ShouldNotEqual, isolated)
		})
	})
}
