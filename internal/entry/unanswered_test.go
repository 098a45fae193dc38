package entry_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumvale/internal/standin/keyvalue"
	"gypsumvale/internal/standin/plain"
	"gypsumvale/internal/standin/roster"
)

// net/http ends the context of a request also when its caller closes only its sending side. Such a caller waits for an answer.
func TestCallerThatClosesItsSendingSide(t *testing.T) {
	in := &testInstance{service: plain.New(500 * time.Millisecond)}
	in.platform = serve(t, keyvalue.New(keyvalue.Config{}).Handler())
	in.list = serve(t, roster.New(0).Handler())
	in.run(t, "e0", "z0", "", "")
	in.configure(t, serve(t, in.service.Handler()))
	Convey("a caller that closes its sending side after a whole request gets an answer or a refusal", t, func() {
		conn, err := net.Dial("tcp", in.callers)
		So(err, ShouldBeNil)
		Reset(func() { _ = conn.Close() })
		So(conn.SetDeadline(time.Now().Add(10*time.Second)), ShouldBeNil)
		_, err = io.WriteString(conn, "POST /v1/services/bookings/slots HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer shop's key\r\nContent-Length: 2\r\n\r\n{}")
		So(err, ShouldBeNil)
		time.Sleep(100 * time.Millisecond)
		tcp, _ := conn.(*net.TCPConn)
		So(tcp.CloseWrite(), ShouldBeNil)
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		So(err, ShouldBeNil)
		_, err = io.ReadAll(resp.Body)
		So(err, ShouldBeNil)
		So(resp.Body.Close(), ShouldBeNil)
		// The call may have run.
		So(resp.StatusCode, ShouldNotBeIn, http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout)
	})
}
