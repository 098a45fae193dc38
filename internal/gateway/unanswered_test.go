package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumvale/internal/protocol/exchange"
	"gypsumvale/internal/settings"
	"gypsumvale/internal/standin/hosted"
	"gypsumvale/internal/state/clock"
	"gypsumvale/platform"
)

// rawCaller is a caller that writes and reads its own connection.
type rawCaller struct {
	conn *net.TCPConn
	r    *bufio.Reader
}

func (e *entry) dial() *rawCaller {
	conn, err := net.Dial("tcp", e.cfg.Callers)
	So(err, ShouldBeNil)
	Reset(func() { _ = conn.Close() })
	So(conn.SetDeadline(time.Now().Add(10*time.Second)), ShouldBeNil)
	tcp, _ := conn.(*net.TCPConn)
	return &rawCaller{tcp, bufio.NewReader(conn)}
}

// send writes a whole request with a body.
func (c *rawCaller) send(id, path string, lines string) {
	const body = "a body"
	_, err := fmt.Fprintf(c.conn, "POST %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nCredential: %s\r\n%sContent-Length: %d\r\n\r\n%s",
		path, testHost, id, testKey, lines, len(body), body)
	So(err, ShouldBeNil)
}

// receive reads a response to its end and returns its status, or zero if there is no complete one.
func (c *rawCaller) receive() int {
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.ReadAll(resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}

// net/http ends the context of a request also when its caller closes only its sending side. Such a caller waits for an answer, and must not take
// the end of the connection for one that was lost on the way.
func TestCallerThatClosesItsSendingSide(t *testing.T) {
	t.Parallel()
	Convey("a caller that closes its sending side after a whole request", t, func() {
		s := startSite(0)
		e := s.addEntryWith(func(cfg *settings.Hosted) { cfg.MaxRevocationDelay = time.Minute })
		e.expectReady(true)
		c := e.dial()
		Convey("gets 503 if the request has not been sent to an endpoint", func() {
			s.eachEndpoint(hosted.EndpointFault{Full: true})
			c.send("half-waiting", "/redraft/x", "Model: "+testModel+"\r\nToken-Usage: 1000,6\r\nPrompt-Prefix: a1:600\r\nDeadline-Ms: 3000\r\n")
			So(c.conn.CloseWrite(), ShouldBeNil)
			So(c.receive(), ShouldEqual, http.StatusServiceUnavailable)
		})
		Convey("gets 502 if the request may have run", func() {
			s.eachEndpoint(hosted.EndpointFault{StartDelay: 500 * time.Millisecond})
			c.send("half-running", "/book/x", "Deadline-Ms: 3000\r\n")
			time.Sleep(100 * time.Millisecond)
			So(c.conn.CloseWrite(), ShouldBeNil)
			So(c.receive(), ShouldEqual, http.StatusBadGateway)
		})
	})
}

// A request that is under way while configurations remove or move its route, its key, its service or its engine, or lower time-outs and limits, must
// end with a complete answer or a refusal.
func TestRequestsMeetChangedConfigurations(t *testing.T) {
	t.Parallel()
	Convey("while configurations change what requests under way depend on", t, func() {
		s := newSite()
		s.putConfiguration(defaultSpec())
		for i := range 2 {
			s.addEndpoint(hosted.EndpointConfig{ID: fmt.Sprintf("cal-%d", i), Service: "calendar", Work: 20 * time.Millisecond, Slots: 2})
		}
		for i := range 2 {
			s.addEndpoint(hosted.EndpointConfig{
				ID: fmt.Sprintf("llm-%d", i), Service: "llm", Model: testModel, Version: 1, Events: 20, Work: 20 * time.Millisecond, Slots: 4,
			})
		}
		for range 2 {
			s.addEntryWith(func(cfg *settings.Hosted) { cfg.MaxRevocationDelay = time.Minute })
		}
		for _, e := range s.entries {
			e.expectReady(true)
		}
		changes := []func(*hosted.Configuration){
			func(c *hosted.Configuration) { c.Routes = c.Routes[4:] },
			func(c *hosted.Configuration) {
				for i := range c.Routes {
					c.Routes[i].Backend = "elsewhere"
				}
			},
			func(c *hosted.Configuration) {
				// Streams end without an answer at their own time-out.
				for i := range c.Routes[:2] {
					c.Routes[i].TimeoutMs = 30
				}
			},
			func(c *hosted.Configuration) { c.Tenants = nil },
			func(c *hosted.Configuration) { c.Tenants[0].APIKeys = []string{"another"} },
			func(c *hosted.Configuration) { c.Tenants[0].Name, c.Tenants[0].Isolated = "studio", true },
			func(c *hosted.Configuration) { c.Services = c.Services[:1] },
			func(c *hosted.Configuration) { c.Services[1] = hosted.PlainService("llm") },
			func(c *hosted.Configuration) { c.Services = nil },
			func(c *hosted.Configuration) {
				c.Limits = map[string]int{"MaxHeaderBytes": 1, "MaxBodyBytes": 1, "HeaderTimeoutMs": 1, "IdleTimeoutMs": 1}
			},
		}
		const senders, requests = 12, 12
		faults := make(chan string, senders*requests)
		var answered, refused atomic.Int64
		var wg sync.WaitGroup
		for i := range senders {
			wg.Go(func() {
				for k := range requests {
					e := s.entries[(i+k)%2]
					target := []string{"/read/x", "/book/x", "/redraft/x", "/brief/x"}[i%4]
					a := s.send(e, http.MethodPost, target, strings.Repeat("b", 300))
					if a.status == http.StatusOK {
						answered.Add(1)
					} else {
						refused.Add(1)
					}
					if a.status == 0 || !a.complete {
						faults <- fmt.Sprintf("%s %s: status %d, complete %v", a.id, target, a.status, a.complete)
					}
				}
			})
		}
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			wg.Wait()
		}()
		version := 3
		for running := true; running; {
			select {
			case <-ended:
				running = false
			case <-time.After(40 * time.Millisecond):
				version++
				spec := defaultSpec()
				spec.Version = version
				if version%2 == 0 {
					changes[version/2%len(changes)](&spec)
				}
				s.putConfiguration(spec)
			}
		}
		close(faults)
		var list []string
		for f := range faults {
			list = append(list, f)
		}
		So(list, ShouldBeEmpty)
		So(answered.Load(), ShouldBeGreaterThan, 0)
		So(refused.Load(), ShouldBeGreaterThan, 0)
		t.Logf("%d answered, %d refused", answered.Load(), refused.Load())
	})
}

// faultyCodec panics when a request with the header Panic is sent to an endpoint.
type faultyCodec struct{ platform.HeaderCodec }

func (c faultyCodec) WriteHead(h http.Header, d *exchange.Dispatch, now clock.Instant) {
	if h.Get("Panic") != "" {
		panic("a fault")
	}
	c.HeaderCodec.WriteHead(h, d, now)
}

// A fault of this program closed the connection of a whole request without an answer, and was logged nowhere.
func TestPanicWhileRequestIsServed(t *testing.T) {
	t.Parallel()
	Convey("a request whose handler panics gets a status that promises nothing", t, func() {
		s := startSite(0)
		s.headers = faultyCodec{}
		e := s.addEntryWith(func(cfg *settings.Hosted) { cfg.MaxRevocationDelay = time.Minute })
		e.expectReady(true)
		c := e.dial()
		c.send("panics", "/read/x", "Panic: yes\r\nDeadline-Ms: 3000\r\n")
		So(c.receive(), ShouldEqual, http.StatusInternalServerError)
		s.expectAnswered(s.call(e, http.MethodPost, "/read/x", "a body"))
	})
}
