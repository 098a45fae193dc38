package gateway_test

import (
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumvale/internal/protocol/peer"
	"gypsumvale/internal/standin/hosted"
	"gypsumvale/internal/state/kv"
	"gypsumvale/internal/state/route"
	"gypsumvale/platform"
)

// specWithRoute returns the default configuration with a further route, which engines serve.
func specWithRoute(version int, path string) hosted.Configuration {
	spec := defaultSpec()
	spec.Version = version
	spec.Routes = append(spec.Routes, hosted.Route{
		Name: "added", Hostname: testHost, PathPrefix: path, Type: "idempotent", Backend: "llm", TimeoutMs: 2000, MaxAttempts: 1, Public: true,
	})
	return spec
}

// servesRoute reports whether an entry serves a route of specWithRoute.
func (s *site) servesRoute(e *entry, path string) bool {
	return strings.HasPrefix(s.call(e, http.MethodGet, path, "").header.Get("Response-Seal"), "llm")
}

func revisionAt(number uint64) kv.Revision {
	revision, err := kv.NewRevision(1, number)
	So(err, ShouldBeNil)
	return revision
}

// slowSchema decodes one version of the configuration only once it is released.
type slowSchema struct {
	platform.StoreSchema
	version  uint64
	once     sync.Once
	decoding chan struct{}
	release  chan struct{}
}

// Frame decodes a configuration without its lists.
func (s *slowSchema) Frame(text []byte) (*route.TableParts, error) {
	parts, err := s.StoreSchema.Frame(text)
	if err == nil && parts.Version == s.version {
		s.once.Do(func() {
			close(s.decoding)
			<-s.release
		})
	}
	return parts, err //nolint:wrapcheck // The error is that of the schema.
}

// Guards against a configuration that replaces a newer one, read from elsewhere while it was being decoded.
func TestOlderConfigurationReplacesNewer(t *testing.T) {
	t.Parallel()
	Convey("an entry that decodes a configuration of its relay while it adopts a newer one from the store keeps the newer one", t, func() {
		s := newSite()
		schema := &slowSchema{version: 9, decoding: make(chan struct{}), release: make(chan struct{})}
		s.schema = schema
		s.putConfiguration(defaultSpec())
		s.addEndpoint(hosted.EndpointConfig{ID: "llm-0", Service: "llm", Model: testModel, Version: 1, Events: 6, Work: time.Millisecond})
		e := s.addEntry()
		e.expectReady(true)
		relay := s.addRelay()
		relay.set(true, revisionAt(1000), revisionAt(1000))
		time.Sleep(time.Second)
		s.putConfiguration(specWithRoute(9, "/older/"))
		older := peer.Item{Key: "op/config", Data: s.store.Value("op/config"), Revision: uint64(revisionAt(s.store.ModRevision("op/config")))}
		s.putConfiguration(specWithRoute(12, "/newer/"))
		relay.set(true, revisionAt(1000), revisionAt(1000), older)
		<-schema.decoding
		eventually("the newer configuration is in force", func() bool { return s.servesRoute(e, "/newer/") })
		close(schema.release)
		for range 20 {
			time.Sleep(10 * time.Millisecond)
			So(s.servesRoute(e, "/newer/"), ShouldBeTrue)
		}
	})
}
