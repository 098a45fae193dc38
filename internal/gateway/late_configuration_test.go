package gateway_test

import (
	"encoding/json"
	"net/http"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumvale/internal/protocol/peer"
	"gypsumvale/internal/settings"
	"gypsumvale/internal/standin/hosted"
)

// Guards against an entry that waits so long for its relay that a read of its own that fails comes too late.
func TestConfigurationLateBehindSilentRelays(t *testing.T) {
	t.Parallel()
	Convey("an entry whose relays fall silent, and whose next two reads of the store get no answer, applies a change in time", t, func() {
		const bound = 3 * time.Second
		s := startSite(0)
		e := s.addEntryWith(func(cfg *settings.Hosted) {
			cfg.MaxApplyDelay, cfg.MaxLeavingDelay, cfg.MaxRevocationDelay = bound, bound, 5*time.Second
		})
		e.expectReady(true)
		relays := []*relayStub{s.addRelayNamed("relay-1"), s.addRelayNamed("relay-2")}
		for _, relay := range relays {
			relay.set(true, revisionAt(1000), revisionAt(1000))
		}
		time.Sleep(2 * time.Second)
		for _, relay := range relays {
			relay.mu.Lock()
			relay.silent = true
			relay.mu.Unlock()
		}
		s.store.SetFault(hosted.StoreFault{SilentReads: 2})
		s.putConfiguration(specWithRoute(9, "/added/"))
		time.Sleep(bound)
		So(s.servesRoute(e, "/added/"), ShouldBeTrue)
	})
}

// Guards against reads of the store that end for good when it doesn't answer the watch for configurations before an undecodable one.
func TestUnansweredHistoryStopsReads(t *testing.T) {
	t.Parallel()
	Convey("an entry that reads an undecodable configuration, and gets no answer when it asks for those before, still learns of endpoints", t, func() {
		s := startSite(1)
		e := s.entries[0]
		s.store.SetFault(hosted.StoreFault{SilentWatches: true})
		s.store.PutRaw("op/config", []byte("{"))
		time.Sleep(time.Second)
		for _, endpoint := range s.endpoints[:2] {
			So(endpoint.Leave(), ShouldBeNil)
		}
		added := s.addEndpoint(hosted.EndpointConfig{ID: "cal-9", Service: "calendar", Work: time.Millisecond})
		eventually("a request is served by the added endpoint", func() bool {
			s.call(e, http.MethodGet, "/public/", "")
			return len(added.Runs()) > 0
		})
	})
}

// Guards against entries that all read a large configuration from the store at once when their relay falls silent.
func TestConfigurationFromRelayOfAnotherZone(t *testing.T) {
	t.Parallel()
	Convey("an entry whose relay falls silent, and whose reads get no answer, applies a change in time that the relay of another zone has", t, func() {
		const bound = 3 * time.Second
		s := startSite(0)
		e := s.addEntryWith(func(cfg *settings.Hosted) {
			cfg.MaxApplyDelay, cfg.MaxLeavingDelay, cfg.MaxRevocationDelay = bound, bound, 5*time.Second
		})
		e.expectReady(true)
		own, other := s.addRelayNamed("relay-1"), &relayStub{}
		s.addRelayWith("relay-2", "quay", other)
		own.set(true, revisionAt(1000), revisionAt(1000))
		other.set(true, revisionAt(1000), revisionAt(1000))
		time.Sleep(2 * time.Second)
		text, err := json.Marshal(specWithRoute(9, "/added/"))
		So(err, ShouldBeNil)
		own.mu.Lock()
		own.silent = true
		own.mu.Unlock()
		s.store.SetFault(hosted.StoreFault{SilentReads: 1000})
		other.set(true, revisionAt(1001), revisionAt(1001), peer.Item{Key: "op/config", Data: text, Revision: uint64(revisionAt(1001))})
		time.Sleep(bound)
		So(s.servesRoute(e, "/added/"), ShouldBeTrue)
	})
}

// Guards against requests that are handled by an old configuration while a newer one, whose time has passed, is arriving.
func TestRequestsDuringLateConfiguration(t *testing.T) {
	t.Parallel()
	Convey("an entry that has heard of a newer configuration and hasn't adopted it after the bound rejects requests until it has", t, func() {
		const bound = 2 * time.Second
		schema := &slowSchema{version: 9, decoding: make(chan struct{}), release: make(chan struct{})}
		release := sync.OnceFunc(func() { close(schema.release) })
		// The site can't be closed before.
		Reset(release)
		s := newSite()
		s.schema = schema
		s.putConfiguration(specWithRoute(7, "/first/"))
		s.addEndpoint(hosted.EndpointConfig{ID: "llm-0", Service: "llm", Model: testModel, Version: 1, Events: 6, Work: time.Millisecond})
		e := s.addEntryWith(func(cfg *settings.Hosted) {
			cfg.MaxApplyDelay, cfg.MaxLeavingDelay, cfg.MaxRevocationDelay = bound, 4*bound, time.Minute
		})
		e.expectReady(true)
		relay := s.addRelay()
		relay.set(true, revisionAt(1000), revisionAt(1000))
		eventually("the entry queries its relay", func() bool {
			relay.mu.Lock()
			defer relay.mu.Unlock()
			return relay.reply.Seen > 0
		})
		text, err := json.Marshal(specWithRoute(9, "/second/"))
		So(err, ShouldBeNil)
		s.store.SetFault(hosted.StoreFault{SilentReads: 1000})
		relay.set(true, revisionAt(1001), revisionAt(1001), peer.Item{Key: "op/config", Data: text, Revision: uint64(revisionAt(1001))})
		<-schema.decoding
		So(s.servesRoute(e, "/first/"), ShouldBeTrue)
		time.Sleep(bound)
		So(s.call(e, http.MethodGet, "/first/", "").status, ShouldEqual, http.StatusServiceUnavailable)
		release()
		eventually("the newer configuration is in force", func() bool { return s.servesRoute(e, "/second/") })
		Convey("and one whose relay is cut off from the store goes on", func() {
			relay.mu.Lock()
			relay.reply.OperatorItems, relay.reply.ConfirmAge = nil, time.Minute
			relay.mu.Unlock()
			time.Sleep(2 * bound)
			for range 20 {
				So(s.servesRoute(e, "/second/"), ShouldBeTrue)
				time.Sleep(10 * time.Millisecond)
			}
		})
		Convey("and one that hears nothing goes on", func() {
			relay.mu.Lock()
			relay.silent = true
			relay.mu.Unlock()
			time.Sleep(2 * bound)
			So(s.servesRoute(e, "/second/"), ShouldBeTrue)
		})
	})
}
