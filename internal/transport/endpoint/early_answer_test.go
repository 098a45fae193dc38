package endpoint_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumvale/internal/transport/endpoint"
)

// startResetting starts a server that answers each request once it has read a little of it, and then resets the connection.
func startResetting(answer string) (address string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	So(err, ShouldBeNil)
	Reset(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.ReadFull(c, make([]byte, 64<<10))
				_, _ = io.WriteString(c, answer)
				_ = c.(*net.TCPConn).SetLinger(0)
				_ = c.Close()
			}()
		}
	}()
	return l.Addr().String()
}

// Guards against a part of an answer that is taken as complete, since the reset of its connection was noticed by the upload only.
func TestAnswerResetDuringUpload(t *testing.T) {
	t.Parallel()
	Convey("an answer without a length whose connection is reset during the upload is incomplete", t, func() {
		address := startResetting("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\npart")
		client := endpoint.New("test")
		for range 50 {
			result, err := client.Do(context.Background(), address, &endpoint.Call{
				Method: http.MethodPost, Path: "/", Header: http.Header{}, Body: bytes.Repeat([]byte("x"), 8<<20), AtMostOnce: true,
			})
			So(fmt.Sprint(result), ShouldEqual, "<nil>")
			So(errors.Is(err, endpoint.ErrIncomplete), ShouldBeTrue)
		}
	})
}

// Guards against an answer whose status is no status.
func TestAnswerWithoutValidStatus(t *testing.T) {
	t.Parallel()
	for _, status := range []string{"000", "099", "600", "999"} {
		Convey("an answer with status "+status+" is none", t, func() {
			address := startResetting("HTTP/1.1 " + status + " \r\nContent-Length: 2\r\n\r\nok")
			result, err := endpoint.New("test").Do(context.Background(), address, &endpoint.Call{
				Method: http.MethodPost, Path: "/", Header: http.Header{}, Body: bytes.Repeat([]byte("x"), 64<<10),
			})
			So(fmt.Sprint(result), ShouldEqual, "<nil>")
			So(errors.Is(err, endpoint.ErrIncomplete), ShouldBeTrue)
		})
	}
}
