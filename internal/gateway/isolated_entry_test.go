package gateway_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/vmihailenco/msgpack/v5"

	"gypsumvale/internal/gateway"
	"gypsumvale/internal/standin/hosted"
)

// endpointLinks are the links from one entry to all endpoints, which a test cuts.
type endpointLinks struct {
	mu    sync.Mutex
	cut   cutKind
	conns []*endpointConn
	// spared holds addresses that can be dialed nonetheless.
	spared map[string]bool
}

type cutKind string

const (
	linksWhole cutKind = ""
	// linksHang loses everything on open connections and answers no dial; linksReset resets both; linksRefuse refuses dials only.
	linksHang   cutKind = "hang"
	linksReset  cutKind = "reset"
	linksRefuse cutKind = "refuse"
)

func (l *endpointLinks) state() cutKind {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cut
}

// stateOf returns how the link to an address is cut.
func (l *endpointLinks) stateOf(address string) cutKind {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.spared[address] {
		return linksWhole
	}
	return l.cut
}

func (l *endpointLinks) set(cut cutKind) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = cut
	if cut == linksReset {
		for _, c := range l.conns {
			_ = c.SetLinger(0)
			_ = c.Close()
		}
	}
}

func (l *endpointLinks) dial(ctx context.Context, network, address string) (net.Conn, error) {
	switch l.stateOf(address) {
	case linksHang:
		<-ctx.Done()
		return nil, ctx.Err() //nolint:wrapcheck // As net.Dialer does.
	case linksReset, linksRefuse:
		return nil, &net.OpError{Op: "dial", Net: network, Err: syscall.ECONNREFUSED}
	}
	raw, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err //nolint:wrapcheck // As net.Dialer does.
	}
	c := &endpointConn{raw.(*net.TCPConn), l}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns = append(l.conns, c)
	return c, nil
}

// endpointConn is a connection to an endpoint on which everything is lost while the links hang.
type endpointConn struct {
	*net.TCPConn
	links *endpointLinks
}

// Read reads what has not been lost.
func (c *endpointConn) Read(b []byte) (int, error) {
	for {
		n, err := c.TCPConn.Read(b)
		if err != nil || c.links.state() != linksHang {
			return n, err //nolint:wrapcheck // As net.TCPConn does.
		}
	}
}

// Write writes, or loses what is written.
func (c *endpointConn) Write(b []byte) (int, error) {
	if c.links.state() == linksHang {
		return len(b), nil
	}
	return c.TCPConn.Write(b) //nolint:wrapcheck // As net.TCPConn does.
}

// addEntryWithLinks starts an entry whose links to the endpoints a test cuts.
func (s *site) addEntryWithLinks() (*entry, *endpointLinks) {
	links := &endpointLinks{}
	s.dial = links.dial
	e := s.addEntry()
	s.dial = nil
	e.expectReady(true)
	return e, links
}

// isolate cuts an entry's links and sends requests until it takes itself for isolated.
func (s *site) isolate(e *entry, links *endpointLinks, cut cutKind) {
	links.set(cut)
	eventually("the entry is isolated", func() bool {
		s.call(e, http.MethodGet, "/read/", "", "Deadline-Ms", "300")
		return gateway.Isolated(e.node)
	})
}

// Guards against entries that reject their callers' requests although others reach the endpoints.
func TestCallersOfIsolatedEntryRejected(t *testing.T) {
	t.Parallel()
	for _, cut := range []cutKind{linksHang, linksReset, linksRefuse} {
		Convey(fmt.Sprintf("an entry whose links to the endpoints are cut (%s), beside one whose links are whole", cut), t, func() {
			s := startSite(1)
			e, links := s.addEntryWithLinks()
			s.expectAnswered(s.call(e, http.MethodGet, "/read/", ""))
			s.isolate(e, links, cut)
			Convey("serves calls and streams, each of which runs once", func() {
				for i := range 5 {
					path := fmt.Sprintf("%d", i)
					for _, answer := range []response{
						s.call(e, http.MethodGet, "/read/"+path, ""), s.call(e, http.MethodPost, "/book/"+path, "body "+path),
						s.call(e, http.MethodPost, "/redraft/"+path, "text "+path), s.call(e, http.MethodPost, "/brief/"+path, "text "+path),
					} {
						s.expectAnswered(answer)
						So(s.runs(answer.id), ShouldHaveLength, 1)
						for name := range answer.header {
							So(name, ShouldNotStartWith, "Gypsum-")
						}
					}
				}
				So(s.call(e, http.MethodGet, "/read/", "", "Credential", "unknown").status, ShouldEqual, http.StatusUnauthorized)
			})
			Convey("takes streams up where callers have got to", func() {
				first := s.call(e, http.MethodPost, "/redraft/again", "text")
				s.expectAnswered(first)
				again := s.call(e, http.MethodPost, "/redraft/again", "text", "Last-Event-Id", "3", "Resumes", first.id)
				s.expectAnswered(again)
				So(again.body, ShouldNotContainSubstring, "id: 3\n")
				So(again.body, ShouldContainSubstring, "id: 4\n")
			})
			Convey("serves its callers itself once the links are whole", func() {
				links.set(linksWhole)
				eventually("the entry isn't isolated", func() bool { return !gateway.Isolated(e.node) })
				s.entries[0].stop()
				eventually("calls are served", func() bool { return s.call(e, http.MethodGet, "/read/", "").status == http.StatusOK })
				s.expectAnswered(s.call(e, http.MethodPost, "/book/", "body"))
			})
		})
	}
}

// Guards against requests that are handed over from one isolated entry to another, or that wait though nobody can serve them.
func TestIsolatedEntriesHandRequestsToEachOther(t *testing.T) {
	t.Parallel()
	Convey("two entries whose links to the endpoints are cut", t, func() {
		s := startSite(0)
		first, firstLinks := s.addEntryWithLinks()
		second, secondLinks := s.addEntryWithLinks()
		s.isolate(first, firstLinks, linksReset)
		s.isolate(second, secondLinks, linksReset)
		Convey("reject requests at once, as not run", func() {
			for range 3 {
				sent := time.Now()
				answer := s.call(first, http.MethodPost, "/book/", "body")
				s.expectRefused(answer, http.StatusServiceUnavailable, 0)
				So(answer.header.Get("Retry-After"), ShouldNotBeEmpty)
				So(time.Since(sent), ShouldBeLessThan, time.Second)
			}
		})
	})
}

// addHelper registers a server as an entry that takes requests over.
func (s *site) addHelper(name string, h http.HandlerFunc) {
	server := httptest.NewServer(h)
	Reset(server.Close)
	record, err := msgpack.Marshal(map[string]any{
		"addr": freeAddress(), "zone": "plateau", "run": name + "#1", "cpu": 1.0, "link": 0.0, "fwd": server.Listener.Addr().String(),
	})
	So(err, ShouldBeNil)
	s.store.PutRaw("gypsum/entries/"+name, record)
}

// Guards against false statements on requests whose helper fails or refuses them.
func TestHelperFailsWithRequest(t *testing.T) {
	t.Parallel()
	Convey("an isolated entry", t, func() {
		s := startSite(0)
		e, links := s.addEntryWithLinks()
		var mu sync.Mutex
		taken := 0
		count := func() {
			mu.Lock()
			defer mu.Unlock()
			taken++
		}
		run := func(h http.HandlerFunc) response {
			s.addHelper("helper", func(w http.ResponseWriter, r *http.Request) {
				count()
				w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
				h(w, r)
			})
			time.Sleep(time.Second)
			s.isolate(e, links, linksRefuse)
			mu.Lock()
			taken = 0
			mu.Unlock()
			return s.call(e, http.MethodPost, "/book/", "body")
		}
		Convey("doesn't say that a request hasn't run whose helper closed the connection", func() {
			So(run(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }).status, ShouldEqual, http.StatusBadGateway)
			mu.Lock()
			defer mu.Unlock()
			So(taken, ShouldEqual, 1)
		})
		Convey("doesn't say that an answer is complete whose helper broke it off", func() {
			answer := run(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Response-Seal", "seal")
				w.Header().Set("Content-Length", "100")
				_, _ = w.Write([]byte(strings.Repeat("x", 50)))
			})
			So(answer.status, ShouldEqual, http.StatusBadGateway)
		})
		Convey("passes on what the helper refuses, and when to come back", func() {
			answer := run(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Gypsum-Refusal", "overload")
				w.Header().Set("Retry-After", "1.500")
				w.WriteHeader(http.StatusServiceUnavailable)
			})
			s.expectRefused(answer, http.StatusServiceUnavailable, 0)
			So(answer.header.Get("Retry-After"), ShouldStartWith, "1.")
			So(answer.header.Get("Gypsum-Refusal"), ShouldBeEmpty)
		})
		Convey("asks another helper when one can't help", func() {
			s.addHelper("helper-2", func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
				w.Header().Set("Response-Seal", "seal")
			})
			answer := run(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Gypsum-Refusal", "endpoints_unreachable")
				w.WriteHeader(http.StatusServiceUnavailable)
			})
			So(answer.status, ShouldEqual, http.StatusOK)
		})
	})
}

// Guards against work that goes on at an endpoint though the caller has left the isolated entry.
func TestCallerLeavesIsolatedEntry(t *testing.T) {
	t.Parallel()
	Convey("a caller that leaves an isolated entry cancels the work at the endpoint", t, func() {
		s := startSite(1)
		e, links := s.addEntryWithLinks()
		s.eachEndpoint(hosted.EndpointFault{StartDelay: 600 * time.Millisecond})
		s.isolate(e, links, linksRefuse)
		time.Sleep(time.Second)
		ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
		defer cancel()
		r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e.cfg.Callers+"/read/left", nil)
		So(err, ShouldBeNil)
		r.Host = testHost
		r.Header.Set("Request-Id", "leaver")
		r.Header.Set("Credential", testKey)
		resp, err := http.DefaultClient.Do(r)
		So(err, ShouldNotBeNil)
		if err == nil {
			_ = resp.Body.Close()
		}
		time.Sleep(time.Second)
		So(s.runs("leaver"), ShouldBeEmpty)
	})
}

// Guards against callers that wait until their deadline for streams whose links are gone.
func TestStreamHangsAtIsolatedEntry(t *testing.T) {
	t.Parallel()
	Convey("a stream that may not be sent again ends once its entry is isolated and its endpoint silent", t, func() {
		s := startSite(1)
		s.addEndpoint(hosted.EndpointConfig{ID: "slow-0", Service: "slow", Events: 1000, Work: 20 * time.Millisecond})
		spec := defaultSpec()
		spec.Version = 9
		spec.Routes = append(spec.Routes, hosted.Route{
			Name: "slow", Hostname: testHost, PathPrefix: "/slow/", Type: "streaming", Backend: "slow", TimeoutMs: 30000, MaxAttempts: 1, Resumable: true,
		})
		s.putConfiguration(spec)
		e, links := s.addEntryWithLinks()
		ended := make(chan response, 1)
		go func() { ended <- s.send(e, http.MethodGet, "/slow/", "", "Deadline-Ms", "30000") }()
		time.Sleep(500 * time.Millisecond)
		s.isolate(e, links, linksHang)
		select {
		case answer := <-ended:
			So(answer.status, ShouldEqual, http.StatusOK)
			So(answer.complete, ShouldBeFalse)
			So(answer.body, ShouldContainSubstring, "id: 2\n")
		case <-time.After(3 * time.Second):
			So("the stream", ShouldEqual, "ended")
		}
	})
}

// Guards against a leader that reaches no endpoint and keeps the lease.
func TestIsolatedLeaderKeepsLease(t *testing.T) {
	t.Parallel()
	Convey("a leader whose links to the endpoints are cut hands its lease over, and doesn't take it back while it is isolated", t, func() {
		s := startSite(0)
		leader, links := s.addEntryWithLinks()
		eventually("the first entry leads", func() bool { return gateway.Leads(leader.node) })
		other := s.addEntry()
		other.expectReady(true)
		s.isolate(leader, links, linksRefuse)
		eventually("the other entry leads", func() bool { return gateway.Leads(other.node) && !gateway.Leads(leader.node) })
		for range 30 {
			time.Sleep(100 * time.Millisecond)
			So(gateway.Leads(leader.node), ShouldBeFalse)
		}
	})
}

// Guards against an entry that takes itself for isolated although it reaches the endpoints of its zone.
func TestZoneReachedByIsolatedEntry(t *testing.T) {
	t.Parallel()
	Convey("an entry whose links to its own zone are whole again, while those to others are cut, serves its callers", t, func() {
		s := newSite()
		s.putConfiguration(defaultSpec())
		for _, id := range []string{"cal-0", "cal-1", "cal-2"} {
			s.addEndpoint(hosted.EndpointConfig{ID: id, Service: "calendar", Work: time.Millisecond})
		}
		for id, zone := range map[string]string{"cal-6": "quay", "cal-7": "quay", "cal-8": "pier", "cal-9": "pier"} {
			s.addEndpoint(hosted.EndpointConfig{ID: id, Service: "calendar", Work: time.Millisecond, Zone: zone})
		}
		e, links := s.addEntryWithLinks()
		s.isolate(e, links, linksRefuse)
		links.mu.Lock()
		links.spared = make(map[string]bool)
		for _, endpoint := range s.endpoints[:3] {
			links.spared[endpoint.Address()] = true
		}
		links.mu.Unlock()
		eventually("the entry isn't isolated", func() bool { return !gateway.Isolated(e.node) })
		eventually("calls are served", func() bool { return s.call(e, http.MethodGet, "/read/", "").status == http.StatusOK })
	})
}

// Guards against an entry of a zone that is cut off which takes itself for isolated, since only endpoints of other zones were dialed to find out.
func TestOwnZoneLeftOutOfCheck(t *testing.T) {
	t.Parallel()
	Convey("an entry of one of five zones checks an endpoint of its own zone each time", t, func() {
		s := newSite()
		s.putConfiguration(defaultSpec())
		for i, zone := range []string{"plateau", "quay", "pier", "mole", "dock"} {
			s.addEndpoint(hosted.EndpointConfig{ID: fmt.Sprintf("cal-%d", i), Service: "calendar", Work: time.Millisecond, Zone: zone})
		}
		e := s.addEntry()
		e.expectReady(true)
		for range 50 {
			So(gateway.CheckedZones(e.node), ShouldContain, "plateau")
		}
	})
}
