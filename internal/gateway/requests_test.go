package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumvale/internal/standin/hosted"
	"gypsumvale/internal/standin/proxy"
)

func TestRequests(t *testing.T) {
	Convey("an entry", t, func() {
		s := startSite(1)
		e := s.entries[0]

		Convey("hands on an endpoint's answer", func() {
			a := s.call(e, http.MethodGet, "/read/x%2Fy/../z?q=a%20b", "")
			s.expectAnswered(a)
			So(a.body, ShouldEqual, hosted.Body(a.id))
			So(s.runs(a.id)[0].Target, ShouldEqual, "/read/x%2Fy/../z?q=a%20b")
		})
		Convey("names the workspace and keeps the key", func() {
			a := s.call(e, http.MethodPost, "/book/", "slot 4", "Tenant-Id", "another", "Cache-Salt", "x", "Hold", "h", "Connection", "Request-Id")
			s.expectAnswered(a)
			run := s.runs(a.id)[0]
			So(run.Workspace, ShouldEqual, "atelier")
			So(run.Body, ShouldEqual, "slot 4")
			for _, name := range []string{"Credential", "Cache-Salt", "Hold"} {
				So(run.Header.Get(name), ShouldBeEmpty)
			}
		})
		Convey("refuses an unknown key", func() {
			s.expectRefused(s.call(e, http.MethodGet, "/read/", "", "Credential", "no"), http.StatusUnauthorized, 0)
		})
		Convey("refuses an unknown path", func() { s.expectRefused(s.call(e, http.MethodGet, "/reads/", ""), http.StatusNotFound, 0) })
		Convey("refuses a body over the limit", func() {
			s.expectRefused(s.call(e, http.MethodPost, "/book/", strings.Repeat("x", 1<<17)), http.StatusRequestEntityTooLarge, 0)
		})
		Convey("lets a caller read that its body is over the limit while it sends it", func() {
			conn, err := net.Dial("tcp", e.cfg.Callers)
			So(err, ShouldBeNil)
			defer func() { _ = conn.Close() }()
			const pieces = 16
			piece := strings.Repeat("x", 8<<10)
			_, err = fmt.Fprintf(conn, "POST /book/ HTTP/1.1\r\nHost: %s\r\nRequest-Id: big\r\nCredential: %s\r\nConnection: close\r\nContent-Length: %d\r\n\r\n",
				testHost, testKey, pieces*len(piece))
			So(err, ShouldBeNil)
			for range pieces {
				time.Sleep(5 * time.Millisecond)
				_, err = io.WriteString(conn, piece)
				So(err, ShouldBeNil)
			}
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			So(err, ShouldBeNil)
			So(resp.StatusCode, ShouldEqual, http.StatusRequestEntityTooLarge)
			So(resp.Body.Close(), ShouldBeNil)
		})
		Convey("serves public routes without a key", func() { s.expectAnswered(s.call(e, http.MethodGet, "/public/", "", "Credential", "")) })
		Convey("streams", func() {
			a := s.call(e, http.MethodPost, "/redraft/", "plan")
			s.expectAnswered(a)
			So(a.body, ShouldEqual, hosted.Stream(6))
			So(s.runs(a.id)[0].Header.Get("Expect-Version"), ShouldEqual, "1")
			So(s.runs(a.id)[0].Header.Get("Cache-Salt"), ShouldNotBeEmpty)
		})
	})
}

func TestEndpointFaults(t *testing.T) {
	Convey("an entry", t, func() {
		s := startSite(1)
		e := s.entries[0]

		Convey("never repeats what may run once only", func() {
			s.eachEndpoint(hosted.EndpointFault{DropAnswers: true})
			s.expectRefused(s.call(e, http.MethodPost, "/book/", ""), http.StatusBadGateway, 1)
		})
		Convey("repeats an idempotent request at another endpoint", func() {
			s.endpoints[0].SetFault(hosted.EndpointFault{DropAnswers: true})
			for range 4 {
				s.expectAnswered(s.call(e, http.MethodGet, "/read/", ""))
			}
		})
		Convey("sends an idempotent request to two endpoints at most", func() {
			s.eachEndpoint(hosted.EndpointFault{DropAnswers: true})
			s.expectRefused(s.call(e, http.MethodGet, "/read/", ""), http.StatusBadGateway, 2)
		})
		Convey("says when to come back with what did not run", func() {
			s.eachEndpoint(hosted.EndpointFault{Full: true})
			a := s.call(e, http.MethodPost, "/book/", "")
			s.expectRefused(a, http.StatusServiceUnavailable, 0)
			So(a.header.Get("Retry-After"), ShouldNotBeEmpty)
		})
		Convey("never says of what may have run that it did not", func() {
			for _, status := range []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout} {
				s.eachEndpoint(hosted.EndpointFault{Status: status})
				s.expectRefused(s.call(e, http.MethodPost, "/book/", ""), http.StatusBadGateway, 1)
			}
		})
		Convey("hands on an endpoint's failure with its signature", func() {
			s.eachEndpoint(hosted.EndpointFault{Status: http.StatusInternalServerError})
			a := s.call(e, http.MethodPost, "/book/", "")
			So(a.status, ShouldEqual, http.StatusInternalServerError)
			So(a.header.Get("Response-Seal"), ShouldNotBeEmpty)
		})
		Convey("passes over an answer to another request", func() {
			s.eachEndpoint(hosted.EndpointFault{Stray: true})
			a := s.call(e, http.MethodPost, "/book/", "")
			s.expectAnswered(a)
			So(a.body, ShouldEqual, hosted.Body(a.id))
		})
		Convey("drops what comes behind an answer", func() {
			s.eachEndpoint(hosted.EndpointFault{Trailing: true})
			for range 3 {
				a := s.call(e, http.MethodPost, "/book/", "")
				s.expectAnswered(a)
				So(a.body, ShouldEqual, hosted.Body(a.id))
			}
		})
		Convey("takes an unsigned success for none", func() {
			s.eachEndpoint(hosted.EndpointFault{Unsealed: true})
			s.expectRefused(s.call(e, http.MethodPost, "/book/", ""), http.StatusBadGateway, 1)
		})
		Convey("stops a request that crashes endpoints after two", func() {
			s.eachEndpoint(hosted.EndpointFault{CrashOn: "poison"})
			s.call(e, http.MethodGet, "/read/", "poison")
			a := s.call(e, http.MethodGet, "/read/", "poison")
			for range 3 {
				a = s.call(e, http.MethodGet, "/read/", "poison")
			}
			// A failure of its own that promises nothing, so that the caller doesn't come back with it.
			s.expectRefused(a, http.StatusInternalServerError, 0)
		})
	})
}

func TestSilentEndpoint(t *testing.T) {
	Convey("an endpoint that is gone without a word, with its connections open", t, func() {
		s := newSite()
		s.operate(usualSpec())
		address, behind := freeAddress(), freeAddress()
		gone := s.addEndpoint(hosted.EndpointConfig{
			ID: "llm-0", Service: "llm", Model: testModel, Version: 1, Events: 30, Work: 30 * time.Millisecond, Listen: behind, Advertise: address,
		})
		link, err := proxy.Start(address, behind)
		So(err, ShouldBeNil)
		Reset(link.Close)
		e := s.addEntry()
		e.expectReady(true)
		got := make(chan answer, 1)
		begin := func(path string) {
			go func() { got <- s.send(e, http.MethodPost, path, "text") }()
			expectSoon("a run", func() bool { return len(gone.Runs()) > 0 })
			time.Sleep(150 * time.Millisecond)
			link.SetFault(proxy.Fault{HoldUp: true, HoldDown: true})
			link.StopListening()
			s.addEndpoint(hosted.EndpointConfig{ID: "llm-1", Service: "llm", Model: testModel, Version: 1, Events: 30, Work: 10 * time.Millisecond})
		}
		Convey("loses no stream that may be resumed elsewhere", func() {
			begin("/redraft/")
			a := <-got
			So(a.status, ShouldEqual, http.StatusOK)
			So(a.whole, ShouldBeTrue)
			So(a.body, ShouldEqual, hosted.Stream(30))
			So(len(s.runs(a.id)), ShouldEqual, 2)
		})
		Convey("keeps the run of what may run once only", func() {
			begin("/brief/")
			a := <-got
			So(a.whole, ShouldBeFalse)
			So(len(s.runs(a.id)), ShouldEqual, 1)
		})
	})
}

func TestStreams(t *testing.T) {
	Convey("a stream that breaks off", t, func() {
		s := startSite(1)
		e := s.entries[0]

		Convey("goes on at another endpoint behind the last whole event", func() {
			for _, cut := range s.endpoints[2:4] {
				cut.SetFault(hosted.EndpointFault{CutAfter: 3})
			}
			for range 6 {
				a := s.call(e, http.MethodPost, "/redraft/", "plan")
				if !a.whole {
					// Both endpoints that may run it broke off.
					So(len(s.runs(a.id)), ShouldEqual, 2)
					So(strings.HasPrefix(hosted.Stream(6), a.body), ShouldBeTrue)
					continue
				}
				s.expectAnswered(a)
				So(a.body, ShouldEqual, hosted.Stream(6))
			}
		})
		Convey("looks cut if it may not be resumed", func() {
			s.eachEndpoint(hosted.EndpointFault{CutAfter: 3})
			a := s.call(e, http.MethodPost, "/brief/", "notes")
			So(a.whole, ShouldBeFalse)
			So(a.body, ShouldEqual, hosted.Stream(3))
			So(len(s.runs(a.id)), ShouldEqual, 1)
		})
		Convey("goes on where the caller had left it", func() {
			a := s.call(e, http.MethodPost, "/redraft/", "plan", "Last-Event-Id", "4")
			So(a.body, ShouldEqual, hosted.Event(5)+hosted.Event(6))
		})
	})
}
