package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumvale/internal/settings"
	"gypsumvale/internal/standin/hosted"
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
