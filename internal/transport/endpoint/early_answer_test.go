package endpoint_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumvale/internal/standin/loopback"
	"gypsumvale/internal/transport/endpoint"
)

// startResetter starts a server that answers early and resets the connection, and returns its address.
func startResetter(answer string) string {
	l, err := loopback.StartResetter(answer)
	So(err, ShouldBeNil)
	Reset(func() { _ = l.Close() })
	return l.Addr().String()
}

// Guards against a part of an answer that is taken as complete, since the reset of its connection was noticed by the upload only.
func TestAnswerResetDuringUpload(t *testing.T) {
	t.Parallel()
	Convey("an answer without a length whose connection is reset during the upload is incomplete", t, func() {
		address := startResetter("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\npart")
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
			address := startResetter("HTTP/1.1 " + status + " \r\nContent-Length: 2\r\n\r\nok")
			result, err := endpoint.New("test").Do(context.Background(), address, &endpoint.Call{
				Method: http.MethodPost, Path: "/", Header: http.Header{}, Body: bytes.Repeat([]byte("x"), 64<<10),
			})
			So(fmt.Sprint(result), ShouldEqual, "<nil>")
			So(errors.Is(err, endpoint.ErrIncomplete), ShouldBeTrue)
		})
	}
}
