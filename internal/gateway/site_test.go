package gateway_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumvale/internal/event"
	"gypsumvale/internal/gateway"
	"gypsumvale/internal/settings"
	"gypsumvale/internal/standin/hosted"
	"gypsumvale/internal/standin/loopback"
	"gypsumvale/platform"
)

const (
	testHost  = "studio.example"
	testKey   = "key-of-the-atelier"
	testModel = "redraft"
	patience  = 6 * time.Second
)

func usualSpec() hosted.Configuration {
	route := func(name, kind, service string, attempts int, resumable bool) hosted.Route {
		return hosted.Route{
			Name: name, Hostname: testHost, PathPrefix: "/" + name + "/", Type: kind, Backend: service, TimeoutMs: 4000, TargetLatencyMs: 400,
			MaxAttempts: attempts, Resumable: resumable, Sticky: service == "llm",
		}
	}
	public := route("public", "idempotent", "calendar", 2, false)
	public.Public = true
	return hosted.Configuration{
		Version: 3,
		Routes: []hosted.Route{
			route("read", "idempotent", "calendar", 2, false), route("book", "non_idempotent", "calendar", 1, false),
			route("redraft", "streaming", "llm", 2, true), route("brief", "streaming", "llm", 1, false), public,
		},
		Services: []map[string]any{hosted.PlainService("calendar"), hosted.EngineService("llm", testModel, 16)},
		Limits:   map[string]int{"MaxHeaderBytes": 16384, "MaxBodyBytes": 1 << 16, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		Tenants:  []hosted.Tenant{{Name: "atelier", APIKeys: []string{testKey}, Priority: 1}},
	}
}

// site is a store with endpoints and entries, all on loopback.
type site struct {
	store     *hosted.Store
	server    *httptest.Server
	endpoints []*hosted.Endpoint
	entries   []*entry
	requests  atomic.Int64
}

type entry struct {
	cfg    *settings.Hosted
	cancel context.CancelFunc
	done   chan struct{}
	// ended is what the run returned; it may be read once done is closed.
	ended error
}

func newSite() *site {
	s := &site{store: hosted.NewStore()}
	s.server = httptest.NewServer(s.store.Handler())
	Reset(s.close)
	return s
}

func (s *site) close() {
	for _, e := range s.entries {
		e.cancel()
	}
	for _, e := range s.entries {
		<-e.done
	}
	for _, e := range s.endpoints {
		e.Stop()
	}
	s.server.CloseClientConnections()
	s.server.Close()
}

func (e *entry) stop() {
	e.cancel()
	<-e.done
}

func (s *site) operate(spec hosted.Configuration) { So(s.store.Put("op/config", spec), ShouldBeNil) }

// start brings up a usual site: two calendars, three engines and some entries in one zone.
func startSite(entries int) *site {
	s := newSite()
	s.operate(usualSpec())
	for i := range 2 {
		s.addEndpoint(hosted.EndpointConfig{ID: fmt.Sprintf("cal-%d", i), Service: "calendar", Work: time.Millisecond})
	}
	for i := range 3 {
		s.addEndpoint(hosted.EndpointConfig{ID: fmt.Sprintf("llm-%d", i), Service: "llm", Model: testModel, Version: 1, Events: 6, Work: 5 * time.Millisecond})
	}
	for range entries {
		s.addEntry()
	}
	for _, e := range s.entries {
		e.expectReady(true)
	}
	return s
}

func (s *site) addEndpoint(cfg hosted.EndpointConfig) *hosted.Endpoint {
	cfg.Zone = "plateau"
	if cfg.Slots == 0 {
		cfg.Slots = 16
	}
	e, err := hosted.StartEndpoint(cfg, s.store)
	So(err, ShouldBeNil)
	s.endpoints = append(s.endpoints, e)
	return e
}

func freeAddress() string {
	address, err := loopback.FreeAddress()
	So(err, ShouldBeNil)
	return address
}

func (s *site) addEntry() *entry { return s.addEntryWith(func(*settings.Hosted) {}) }

func (s *site) addEntryWithGrace(grace time.Duration) *entry {
	return s.addEntryWith(func(cfg *settings.Hosted) { cfg.StopTimeout = grace })
}

// addEntryWith starts an entry whose settings differ from the usual ones.
func (s *site) addEntryWith(differ func(*settings.Hosted)) *entry {
	peers := freeAddress()
	cfg := &settings.Hosted{
		Name: fmt.Sprintf("entry-%d", len(s.entries)), Zone: "plateau", Callers: freeAddress(), Readiness: freeAddress(), Peers: peers, Advertise: peers,
		Store: s.server.Listener.Addr().String(), MaxRevocationDelay: 1500 * time.Millisecond, MaxLeavingDelay: time.Second, StopTimeout: time.Second,
		Lease: time.Second, OldWeightsGrace: 8 * time.Second, RetryShare: 0.2, RetryReserve: 1000, PrefillRate: 60000, MaxLoads: 2, MemoryMB: 128, CPUCores: 1,
	}
	differ(cfg)
	ctx, cancel := context.WithCancel(context.Background())
	e := &entry{cfg: cfg, cancel: cancel, done: make(chan struct{})}
	node := gateway.New(cfg, event.Discard(), gateway.Dependencies{
		Store: platform.NewStoreClient(cfg.Store), Schema: platform.StoreSchema{}, Headers: platform.HeaderCodec{},
		Engines: platform.NewEngineClient(), Caches: platform.NewCacheClient(),
	})
	go func() {
		defer close(e.done)
		e.ended = node.Run(ctx)
	}()
	s.entries = append(s.entries, e)
	return e
}

// expectSoon waits until a condition holds.
func expectSoon(what string, holds func() bool) {
	deadline := time.Now().Add(patience)
	for !holds() {
		if time.Now().After(deadline) {
			So(what, ShouldEqual, "came true in time")
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func (e *entry) ready() bool {
	resp, err := http.Get("http://" + e.cfg.Readiness + "/")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (e *entry) expectReady(want bool) {
	expectSoon(fmt.Sprintf("ready: %v", want), func() bool {
		select {
		case <-e.done:
			So(e.ended, ShouldBeNil)
		default:
		}
		return e.ready() == want
	})
}

// answer is what a caller got.
type answer struct {
	id     string
	status int
	header http.Header
	body   string
	// whole says that the answer came to its end.
	whole bool
	// fault says that the request could not be made.
	fault error
}

// call sends one request with a header of the caller's own, and returns its answer; status zero is none.
func (s *site) call(e *entry, method, target, body string, headers ...string) answer {
	a := s.send(e, method, target, body, headers...)
	So(a.fault, ShouldBeNil)
	return a
}

// send is call without checks, for goroutines.
func (s *site) send(e *entry, method, target, body string, headers ...string) answer {
	id := fmt.Sprintf("r%d", s.requests.Add(1))
	r, err := http.NewRequest(method, "http://"+e.cfg.Callers+target, strings.NewReader(body))
	if err != nil {
		return answer{fault: err}
	}
	r.Host = testHost
	r.Header.Set("Request-Id", id)
	r.Header.Set("Credential", testKey)
	r.Header.Set("Deadline-Ms", "3500")
	if strings.HasPrefix(target, "/redraft/") || strings.HasPrefix(target, "/brief/") {
		r.Header.Set("Model", testModel)
		r.Header.Set("Token-Usage", "1000,6")
		r.Header.Set("Prompt-Prefix", "a1:600,b2:300,c"+id[1:]+":100")
	}
	for i := 0; i+1 < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	resp, err := client.Do(r)
	if err != nil {
		return answer{id: id}
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return answer{id: id, status: resp.StatusCode, header: resp.Header, body: string(data), whole: err == nil}
}

func (s *site) eachEndpoint(f hosted.EndpointFault) {
	for _, e := range s.endpoints {
		e.SetFault(f)
	}
}

// runs returns how often a request began to run, over all endpoints.
func (s *site) runs(id string) []hosted.Run {
	var list []hosted.Run
	for _, e := range s.endpoints {
		for _, r := range e.Runs() {
			if r.RequestID == id {
				list = append(list, r)
			}
		}
	}
	return list
}

func (s *site) expectAnswered(a answer) {
	So(a.status, ShouldEqual, http.StatusOK)
	So(a.whole, ShouldBeTrue)
	runs := s.runs(a.id)
	So(runs, ShouldNotBeEmpty)
	sealed := false
	for _, r := range runs {
		sealed = sealed || a.header.Get("Response-Seal") == hosted.Seal(r.Endpoint, a.id)
	}
	So(sealed, ShouldBeTrue)
}

func (s *site) expectRefused(a answer, status, runs int) {
	So(a.status, ShouldEqual, status)
	So(a.header.Get("Response-Seal"), ShouldBeEmpty)
	So(len(s.runs(a.id)), ShouldEqual, runs)
}
