package entry_test

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
)

// Guards against the rest of a refused request's body being served as a request.
func TestRefusedBody(t *testing.T) {
	in := newTestInstance(t)
	Convey("the rest of a refused body that arrives late is never served as a request", t, func() {
		const hidden = "GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n"
		length := fmt.Sprintf("Content-Length: %d\r\n\r\n", len("start"+hidden))
		chunked := fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n", len("start"+hidden))
		for _, c := range []struct {
			path, lines, framing string
			status               int
		}{
			{"/v1/chat/completions", "", length, http.StatusUnauthorized},
			{"/v1/chat/completions", "", chunked, http.StatusUnauthorized},
			{"/none", "", length, http.StatusNotFound},
			{"/v1/chat/completions", "Authorization: Bearer shop's key\r\nRequest-Timeout: 0.05\r\n", chunked, http.StatusRequestTimeout},
		} {
			conn, err := net.Dial("tcp", in.callers)
			So(err, ShouldBeNil)
			So(conn.SetDeadline(time.Now().Add(20*time.Second)), ShouldBeNil)
			_, err = io.WriteString(conn, "POST "+c.path+" HTTP/1.1\r\nHost: h\r\n"+c.lines+c.framing+"start")
			So(err, ShouldBeNil)
			r := bufio.NewReader(conn)
			resp, err := http.ReadResponse(r, nil)
			So(err, ShouldBeNil)
			So(resp.StatusCode, ShouldEqual, c.status)
			text, err := io.ReadAll(resp.Body)
			So(err, ShouldBeNil)
			So(resp.Body.Close(), ShouldBeNil)
			So(strings.HasSuffix(string(text), "}\n"), ShouldBeTrue)
			time.Sleep(1200 * time.Millisecond)
			// The connection may have been reset by now.
			_, _ = io.WriteString(conn, hidden)
			rest, _ := io.ReadAll(r)
			So(string(rest), ShouldBeEmpty)
			So(conn.Close(), ShouldBeNil)
		}
	})
}
