package endpoint_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumvale/internal/transport/endpoint"
)

// startUnframed starts a server that ends an answer without a length with its connection, and itself before that if it crashes.
func startUnframed(body string, crashes bool) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	So(err, ShouldBeNil)
	Reset(func() { _ = l.Close() })
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		_, _ = http.ReadRequest(bufio.NewReader(c))
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n"+body)
		if crashes {
			_ = l.Close()
		}
		_ = c.Close()
	}()
	return l.Addr().String()
}

// A killed process closes its connections as one does that has sent all.
func TestAnswerWithoutLengthOfCrashedEndpoint(t *testing.T) {
	t.Parallel()
	do := func(address string) (*endpoint.Result, error) {
		return endpoint.New("test").Do(context.Background(), address, &endpoint.Call{
			Method: http.MethodPost, Path: "/", Header: http.Header{}, AtMostOnce: true,
		})
	}
	Convey("an answer without a length is incomplete if its endpoint accepts no connections at its end", t, func() {
		_, err := do(startUnframed("pa", true))
		So(errors.Is(err, endpoint.ErrIncomplete), ShouldBeTrue)
		So(errors.Is(err, endpoint.ErrNotStarted), ShouldBeFalse)
	})
	Convey("an answer without a length is complete if its endpoint runs on", t, func() {
		result, err := do(startUnframed("part", false))
		So(err, ShouldBeNil)
		So(string(result.Body), ShouldEqual, "part")
	})
}
