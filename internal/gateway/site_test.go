package gateway_test

import (
	"context"
	"fmt"
	"io"
	"net"
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
	testHost         = "studio.example"
	testKey          = "key-of-the-atelier"
	testModel        = "redraft"
	conditionTimeout = 6 * time.Second
)

func defaultSpec() hosted.Configuration {
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

// site is an installation on loopback: a simulated store, simulated endpoints and gateway entries.
type site struct {
	store     *hosted.Store
	server    *httptest.Server
	endpoints []*hosted.Endpoint
	entries   []*entry
	requests  atomic.Int64
	// schema decodes what is in the store.
	schema gateway.StoreSchema
	// headers translates the headers of requests and answers.
	headers gateway.HeaderCodec
	// dial opens the connections to endpoints of entries that are started from now on; nil selects TCP.
	dial func(ctx context.Context, network, address string) (net.Conn, error)
}

type entry struct {
	cfg    *settings.Hosted
	node   *gateway.Node
	cancel context.CancelFunc
	done   chan struct{}
	// runErr is the result of node.Run; it may be read once done is closed.
	runErr error
}

func newSite() *site {
	s := &site{store: hosted.NewStore(), schema: platform.StoreSchema{}, headers: platform.HeaderCodec{}}
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

func (s *site) putConfiguration(spec hosted.Configuration) {
	So(s.store.Put("op/config", spec), ShouldBeNil)
}

// startSite starts two calendar endpoints, three engine endpoints and the given number of entries, all in one zone, and waits until
// the entries are ready.
func startSite(entryCount int) *site {
	s := newSite()
	s.putConfiguration(defaultSpec())
	for i := range 2 {
		s.addEndpoint(hosted.EndpointConfig{ID: fmt.Sprintf("cal-%d", i), Service: "calendar", Work: time.Millisecond})
	}
	for i := range 3 {
		s.addEndpoint(hosted.EndpointConfig{ID: fmt.Sprintf("llm-%d", i), Service: "llm", Model: testModel, Version: 1, Events: 6, Work: 5 * time.Millisecond})
	}
	for range entryCount {
		s.addEntry()
	}
	for _, e := range s.entries {
		e.expectReady(true)
	}
	return s
}

func (s *site) addEndpoint(cfg hosted.EndpointConfig) *hosted.Endpoint {
	if cfg.Zone == "" {
		cfg.Zone = "plateau"
	}
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

// addEntryWith starts an entry with the default settings as changed by configure.
func (s *site) addEntryWith(configure func(*settings.Hosted)) *entry {
	return s.startEntry(configure, nil)
}

// startEntry starts an entry whose delays are measured by a probe, or nil for its own.
func (s *site) startEntry(configure func(*settings.Hosted), probe gateway.DelayProbe) *entry {
	peers := freeAddress()
	cfg := &settings.Hosted{
		Name: fmt.Sprintf("entry-%d", len(s.entries)), Zone: "plateau", Callers: freeAddress(), Readiness: freeAddress(), Peers: peers, Advertise: peers, Forwards: freeAddress(),
		Store: s.server.Listener.Addr().String(), PrefillRate: 60000, MemoryMB: 128, CPUCores: 1,
		Bounds: settings.Bounds{
			MaxRevocationDelay: 1500 * time.Millisecond, MaxApplyDelay: time.Second, MaxLeavingDelay: time.Second, StopTimeout: time.Second,
			Lease: time.Second, OldWeightsGrace: 8 * time.Second, RetryShare: 0.2, RetryReserve: 1000, MaxLoads: 2,
		},
	}
	configure(cfg)
	ctx, cancel := context.WithCancel(context.Background())
	e := &entry{cfg: cfg, cancel: cancel, done: make(chan struct{})}
	e.node = gateway.New(cfg, event.Discard(), gateway.Dependencies{
		Store: platform.NewStoreClient(cfg.Store), Schema: s.schema, Headers: s.headers,
		Engines: platform.NewEngineClient(), Caches: platform.NewCacheClient(), Delay: probe,
		DialEndpoint: s.dial,
	})
	go func() {
		defer close(e.done)
		e.runErr = e.node.Run(ctx)
	}()
	s.entries = append(s.entries, e)
	return e
}

// eventually polls a condition until it holds, and fails the test after conditionTimeout.
func eventually(what string, holds func() bool) {
	deadline := time.Now().Add(conditionTimeout)
	for !holds() {
		if time.Now().After(deadline) {
			So(what, ShouldEqual, "true within the timeout")
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
	eventually(fmt.Sprintf("ready: %v", want), func() bool {
		select {
		case <-e.done:
			So(e.runErr, ShouldBeNil)
		default:
		}
		return e.ready() == want
	})
}

// response is a response as its caller received it.
type response struct {
	id     string
	status int
	header http.Header
	body   string
	// complete is true if the body was read to its end.
	complete bool
	// requestErr is set if the request could not be built.
	requestErr error
}

// call sends one request and returns its response. headers holds names and values in turn, which override the default headers.
// The status is zero if there was no response.
func (s *site) call(e *entry, method, target, body string, headers ...string) response {
	a := s.send(e, method, target, body, headers...)
	So(a.requestErr, ShouldBeNil)
	return a
}

// send is call without assertions, for use in goroutines.
func (s *site) send(e *entry, method, target, body string, headers ...string) response {
	id := fmt.Sprintf("r%d", s.requests.Add(1))
	r, err := http.NewRequest(method, "http://"+e.cfg.Callers+target, strings.NewReader(body))
	if err != nil {
		return response{requestErr: err}
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
		return response{id: id}
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return response{id: id, status: resp.StatusCode, header: resp.Header, body: string(data), complete: err == nil}
}

func (s *site) eachEndpoint(f hosted.EndpointFault) {
	for _, e := range s.endpoints {
		e.SetFault(f)
	}
}

// runs returns the executions of a request at all endpoints.
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

func (s *site) expectAnswered(a response) {
	So(a.status, ShouldEqual, http.StatusOK)
	So(a.complete, ShouldBeTrue)
	runs := s.runs(a.id)
	So(runs, ShouldNotBeEmpty)
	signed := false
	for _, r := range runs {
		signed = signed || a.header.Get("Response-Seal") == hosted.Seal(r.Endpoint, a.id)
	}
	So(signed, ShouldBeTrue)
}

func (s *site) expectRefused(a response, status, runs int) {
	So(a.status, ShouldEqual, status)
	So(a.header.Get("Response-Seal"), ShouldBeEmpty)
	So(len(s.runs(a.id)), ShouldEqual, runs)
}
