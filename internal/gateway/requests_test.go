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

		Convey("forwards an endpoint's response", func() {
			a := s.call(e, http.MethodGet, "/read/x%2Fy/../z?q=a%20b", "")
			s.expectAnswered(a)
			So(a.body, ShouldEqual, hosted.Body(a.id))
			So(s.runs(a.id)[0].Target, ShouldEqual, "/read/x%2Fy/../z?q=a%20b")
		})
		Convey("sends the workspace's name, and strips the API key and reserved headers", func() {
			a := s.call(e, http.MethodPost, "/book/", "slot 4", "Tenant-Id", "another", "Cache-Salt", "x", "Hold", "h", "Connection", "Request-Id")
			s.expectAnswered(a)
			run := s.runs(a.id)[0]
			So(run.Workspace, ShouldEqual, "atelier")
			So(run.Body, ShouldEqual, "slot 4")
			for _, name := range []string{"Credential", "Cache-Salt", "Hold"} {
				So(run.Header.Get(name), ShouldBeEmpty)
			}
		})
		Convey("rejects an unknown key", func() {
			s.expectRefused(s.call(e, http.MethodGet, "/read/", "", "Credential", "no"), http.StatusUnauthorized, 0)
		})
		Convey("rejects an unknown path", func() { s.expectRefused(s.call(e, http.MethodGet, "/reads/", ""), http.StatusNotFound, 0) })
		Convey("rejects a body over the limit", func() {
			s.expectRefused(s.call(e, http.MethodPost, "/book/", strings.Repeat("x", 1<<17)), http.StatusRequestEntityTooLarge, 0)
		})
		Convey("delivers the rejection of an oversized body to a caller that is still sending it", func() {
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
		Convey("answers a request with a body whose deadline passes while an endpoint works, instead of closing the connection", func() {
			s.eachEndpoint(hosted.EndpointFault{StartDelay: 2 * time.Second})
			for range 4 {
				a := s.call(e, http.MethodPost, "/book/", "slot 4", "Deadline-Ms", "300")
				So(a.status, ShouldEqual, http.StatusGatewayTimeout)
			}
		})
		Convey("serves public routes without a key", func() { s.expectAnswered(s.call(e, http.MethodGet, "/public/", "", "Credential", "")) })
		Convey("forwards a stream", func() {
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

		Convey("never retries a non-idempotent request that may have run", func() {
			s.eachEndpoint(hosted.EndpointFault{DropAnswers: true})
			s.expectRefused(s.call(e, http.MethodPost, "/book/", ""), http.StatusBadGateway, 1)
		})
		Convey("retries an idempotent request at another endpoint", func() {
			s.endpoints[0].SetFault(hosted.EndpointFault{DropAnswers: true})
			for range 4 {
				s.expectAnswered(s.call(e, http.MethodGet, "/read/", ""))
			}
		})
		Convey("sends an idempotent request to two endpoints at most", func() {
			s.eachEndpoint(hosted.EndpointFault{DropAnswers: true})
			s.expectRefused(s.call(e, http.MethodGet, "/read/", ""), http.StatusBadGateway, 2)
		})
		Convey("sends Retry-After with the rejection of a request that did not run", func() {
			s.eachEndpoint(hosted.EndpointFault{Full: true})
			a := s.call(e, http.MethodPost, "/book/", "")
			s.expectRefused(a, http.StatusServiceUnavailable, 0)
			So(a.header.Get("Retry-After"), ShouldNotBeEmpty)
		})
		Convey("never reports a request that may have run as not run", func() {
			for _, status := range []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout} {
				s.eachEndpoint(hosted.EndpointFault{Status: status})
				s.expectRefused(s.call(e, http.MethodPost, "/book/", ""), http.StatusBadGateway, 1)
			}
		})
		Convey("never reports a request that has run as not run, however long the endpoint's response is", func() {
			for _, status := range []int{http.StatusServiceUnavailable, http.StatusTooManyRequests} {
				s.eachEndpoint(hosted.EndpointFault{Status: status, StatusBody: 300 << 10})
				s.expectRefused(s.call(e, http.MethodPost, "/book/", ""), http.StatusBadGateway, 1)
			}
		})
		Convey("ends a stream whose event never ends, without reading on", func() {
			s.eachEndpoint(hosted.EndpointFault{EndlessEvent: true})
			started := time.Now()
			a := s.send(e, http.MethodPost, "/redraft/", "plan")
			// The deadline is 3.5 s.
			So(time.Since(started), ShouldBeLessThan, 2500*time.Millisecond)
			So(a.complete, ShouldBeFalse)
			So(a.body, ShouldEqual, hosted.Stream(1))
			for _, endpoint := range s.endpoints {
				// The limit of one event, and what the connection's buffers hold.
				So(endpoint.EndlessBytes(), ShouldBeLessThan, 16<<20)
			}
		})
		Convey("forwards an endpoint's error response with its signature", func() {
			s.eachEndpoint(hosted.EndpointFault{Status: http.StatusInternalServerError})
			a := s.call(e, http.MethodPost, "/book/", "")
			So(a.status, ShouldEqual, http.StatusInternalServerError)
			So(a.header.Get("Response-Seal"), ShouldNotBeEmpty)
		})
		Convey("ignores a response to another request", func() {
			s.eachEndpoint(hosted.EndpointFault{Stray: true})
			a := s.call(e, http.MethodPost, "/book/", "")
			s.expectAnswered(a)
			So(a.body, ShouldEqual, hosted.Body(a.id))
		})
		Convey("ends a long response that breaks off for its caller, without another endpoint's response after it", func() {
			const length = 600_000
			s.eachEndpoint(hosted.EndpointFault{LongBody: length, CutAfter: 1})
			a := s.call(e, http.MethodGet, "/read/", "")
			So(a.status, ShouldEqual, http.StatusOK)
			So(a.complete, ShouldBeFalse)
			So(len(a.body), ShouldBeLessThanOrEqualTo, length/2)
			So(len(s.runs(a.id)), ShouldEqual, 1)
			So(a.header.Get("Content-Length"), ShouldEqual, fmt.Sprint(length))
		})
		Convey("forwards a long response with its length", func() {
			s.eachEndpoint(hosted.EndpointFault{LongBody: 600_000})
			a := s.call(e, http.MethodGet, "/read/", "")
			s.expectAnswered(a)
			So(len(a.body), ShouldEqual, 600_000)
			So(a.header.Get("Content-Length"), ShouldEqual, "600000")
		})
		Convey("discards bytes that follow a response", func() {
			s.eachEndpoint(hosted.EndpointFault{Trailing: true})
			for range 3 {
				a := s.call(e, http.MethodPost, "/book/", "")
				s.expectAnswered(a)
				So(a.body, ShouldEqual, hosted.Body(a.id))
			}
		})
		Convey("doesn't accept a success without signature", func() {
			s.eachEndpoint(hosted.EndpointFault{Unsealed: true})
			s.expectRefused(s.call(e, http.MethodPost, "/book/", ""), http.StatusBadGateway, 1)
		})
		Convey("blocks a request after it has crashed two endpoints", func() {
			s.eachEndpoint(hosted.EndpointFault{CrashOn: "poison"})
			s.call(e, http.MethodGet, "/read/", "poison")
			a := s.call(e, http.MethodGet, "/read/", "poison")
			for range 3 {
				a = s.call(e, http.MethodGet, "/read/", "poison")
			}
			// Status 500 from the entry itself: it doesn't state that the request has not run, so callers don't retry it.
			s.expectRefused(a, http.StatusInternalServerError, 0)
		})
		Convey("counts a crash although no other request is sent to the endpoint", func() {
			s.eachEndpoint(hosted.EndpointFault{CrashOn: "poison"})
			for range 2 {
				s.expectRefused(s.call(e, http.MethodPost, "/brief/", "poison"), http.StatusBadGateway, 1)
			}
			s.expectRefused(s.call(e, http.MethodPost, "/brief/", "poison"), http.StatusInternalServerError, 0)
		})
	})
}

func TestSilentEndpoint(t *testing.T) {
	Convey("an endpoint that stops responding while its connections stay open", t, func() {
		s := newSite()
		s.putConfiguration(defaultSpec())
		address, backend := freeAddress(), freeAddress()
		silent := s.addEndpoint(hosted.EndpointConfig{
			ID: "llm-0", Service: "llm", Model: testModel, Version: 1, Events: 30, Work: 30 * time.Millisecond, Listen: backend, Advertise: address,
		})
		link, err := proxy.Start(address, backend)
		So(err, ShouldBeNil)
		Reset(link.Close)
		e := s.addEntry()
		e.expectReady(true)
		responses := make(chan response, 1)
		sendThenSilence := func(path string) {
			go func() { responses <- s.send(e, http.MethodPost, path, "text") }()
			eventually("the request is running", func() bool { return len(silent.Runs()) > 0 })
			time.Sleep(150 * time.Millisecond)
			link.SetFault(proxy.Fault{HoldUp: true, HoldDown: true})
			link.StopListening()
			s.addEndpoint(hosted.EndpointConfig{ID: "llm-1", Service: "llm", Model: testModel, Version: 1, Events: 30, Work: 10 * time.Millisecond})
		}
		Convey("has its resumable streams resumed at another endpoint", func() {
			sendThenSilence("/redraft/")
			a := <-responses
			So(a.status, ShouldEqual, http.StatusOK)
			So(a.complete, ShouldBeTrue)
			So(a.body, ShouldEqual, hosted.Stream(30))
			So(len(s.runs(a.id)), ShouldEqual, 2)
		})
		Convey("has its non-resumable streams cut, not run again", func() {
			sendThenSilence("/brief/")
			a := <-responses
			So(a.complete, ShouldBeFalse)
			So(len(s.runs(a.id)), ShouldEqual, 1)
		})
	})
}

func TestStreams(t *testing.T) {
	Convey("an interrupted stream", t, func() {
		s := startSite(1)
		e := s.entries[0]

		Convey("resumes at another endpoint after the last complete event", func() {
			for _, endpoint := range s.endpoints[2:4] {
				endpoint.SetFault(hosted.EndpointFault{CutAfter: 3})
			}
			for range 6 {
				a := s.call(e, http.MethodPost, "/redraft/", "plan")
				if !a.complete {
					// The stream was cut at both endpoints that the route's two attempts allow.
					So(len(s.runs(a.id)), ShouldEqual, 2)
					So(strings.HasPrefix(hosted.Stream(6), a.body), ShouldBeTrue)
					continue
				}
				s.expectAnswered(a)
				So(a.body, ShouldEqual, hosted.Stream(6))
			}
		})
		Convey("ends incomplete for the caller if the route isn't resumable", func() {
			s.eachEndpoint(hosted.EndpointFault{CutAfter: 3})
			a := s.call(e, http.MethodPost, "/brief/", "notes")
			So(a.complete, ShouldBeFalse)
			So(a.body, ShouldEqual, hosted.Stream(3))
			So(len(s.runs(a.id)), ShouldEqual, 1)
		})
		Convey("resumes after the caller's Last-Event-Id", func() {
			a := s.call(e, http.MethodPost, "/redraft/", "plan", "Last-Event-Id", "4")
			So(a.body, ShouldEqual, hosted.Event(5)+hosted.Event(6))
		})
	})
}

// An answer may have neither a length nor chunks, and end with its connection.
func TestStreamWithoutLength(t *testing.T) {
	Convey("answers that end with their connections", t, func() {
		s := startSite(1)
		e := s.entries[0]

		Convey("are delivered whole", func() {
			s.eachEndpoint(hosted.EndpointFault{Unframed: true})
			a := s.call(e, http.MethodPost, "/redraft/", "plan")
			s.expectAnswered(a)
			So(a.body, ShouldEqual, hosted.Stream(6))
			a = s.call(e, http.MethodGet, "/read/", "")
			s.expectAnswered(a)
			So(a.body, ShouldEqual, hosted.Body(a.id))
		})
		Convey("are broken off if they end inside an event, and are resumed elsewhere", func() {
			s.endpoints[2].SetFault(hosted.EndpointFault{Unframed: true, CutAfter: 3})
			s.endpoints[3].SetFault(hosted.EndpointFault{Unframed: true, CutAfter: 3})
			for range 6 {
				a := s.call(e, http.MethodPost, "/redraft/", "plan")
				So(strings.HasPrefix(hosted.Stream(6), a.body), ShouldBeTrue)
				if a.complete {
					So(a.body, ShouldEqual, hosted.Stream(6))
				}
			}
		})
		Convey("never look complete if they end inside an event", func() {
			s.eachEndpoint(hosted.EndpointFault{Unframed: true, CutAfter: 3})
			a := s.call(e, http.MethodPost, "/brief/", "notes")
			So(a.complete, ShouldBeFalse)
			So(a.body, ShouldEqual, hosted.Stream(3))
		})
		Convey("are broken off if they end before their first event", func() {
			s.eachEndpoint(hosted.EndpointFault{Unframed: true, CrashOnPart: deadlyPart})
			a := s.call(e, http.MethodPost, "/brief/", "notes", "Prompt-Prefix", "a1:600,"+deadlyPart+":50,own:100")
			s.expectRefused(a, http.StatusBadGateway, 1)
		})
	})
}

// A killed process closes its connections as one does that has sent all.
func TestAnswerWithoutLengthOfCrashedEndpoint(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name    string
		restart time.Duration
	}{{"that stays down", 0}, {"that is back at once", time.Millisecond}} {
		Convey("an answer without length and chunks that ends with the crash of an engine "+c.name, t, func() {
			s := startSite(1)
			e := s.entries[0]
			crash := hosted.EndpointFault{Unframed: true, CrashAfter: 3, RestartAfter: c.restart}

			Convey("goes on at another engine if its route is resumable", func() {
				s.eachEndpoint(hosted.EndpointFault{Unframed: true})
				first := s.call(e, http.MethodPost, "/redraft/", "plan")
				s.expectAnswered(first)
				for _, endpoint := range s.endpoints {
					if len(endpoint.Runs()) > 0 {
						// It has the prompt's context, and gets the next request too.
						endpoint.SetFault(crash)
					}
				}
				a := s.call(e, http.MethodPost, "/redraft/", "plan")
				s.expectAnswered(a)
				So(a.body, ShouldEqual, hosted.Stream(6))
				So(len(s.runs(a.id)), ShouldEqual, 2)
			})
			Convey("isn't complete for the caller if its route isn't resumable", func() {
				s.eachEndpoint(crash)
				a := s.call(e, http.MethodPost, "/brief/", "notes")
				So(a.complete, ShouldBeFalse)
				So(a.body, ShouldEqual, hosted.Stream(3))
			})
		})
	}
	Convey("a part of a plain call's answer that ends with its endpoint's crash", t, func() {
		s := startSite(1)
		e := s.entries[0]
		crash := hosted.EndpointFault{Unframed: true, CrashAfter: 1}

		Convey("isn't delivered if the call may not be repeated", func() {
			s.eachEndpoint(crash)
			s.expectRefused(s.call(e, http.MethodPost, "/book/", "stage"), http.StatusBadGateway, 1)
		})
		Convey("is replaced by that of another endpoint if it may be", func() {
			s.endpoints[0].SetFault(crash)
			for range 4 {
				a := s.call(e, http.MethodGet, "/read/", "")
				s.expectAnswered(a)
				So(a.body, ShouldEqual, hosted.Body(a.id))
			}
			So(s.endpoints[0].Runs(), ShouldNotBeEmpty)
		})
	})
}
