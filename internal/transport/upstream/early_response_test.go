package upstream_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumvale/internal/standin/loopback"
	"gypsumvale/internal/transport/upstream"
)

// Guards against a part of a response that is taken as complete, since the reset of its connection was noticed by the upload only.
func TestResponseResetDuringUpload(t *testing.T) {
	t.Parallel()
	Convey("a response without a length whose connection is reset during the upload is incomplete", t, func() {
		l, err := loopback.StartResetter("HTTP/1.1 200 OK\r\nId: a\r\n\r\npart")
		So(err, ShouldBeNil)
		Reset(func() { _ = l.Close() })
		pool := upstream.NewPool(func(string, error) {})
		// The shorter bodies fit into the connection's buffers, so that their writes succeed.
		for _, size := range []int{64 << 10, 512 << 10, 8 << 20} {
			for range 30 {
				resp, err := pool.Send(context.Background(), l.Addr().String(), &upstream.Request{
					ID: "a", Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{}, Body: bytes.Repeat([]byte("x"), size),
					Match: func(int, http.Header) upstream.Match { return upstream.MatchOwn },
				})
				if err == nil {
					_, err = io.ReadAll(resp)
					resp.Close()
				}
				So(errors.Is(err, upstream.ErrIncomplete), ShouldBeTrue)
			}
		}
	})
}

// Guards against a response whose status is no status.
func TestResponseWithoutValidStatus(t *testing.T) {
	t.Parallel()
	for _, status := range []string{"000", "099", "600", "999"} {
		Convey("a response with status "+status+" is none, and neither is what follows it", t, func() {
			newServer(false, "HTTP/1.1 "+status+" \r\nId: {id}\r\nContent-Length: 0\r\n\r\n"+okResponse).expectError(upstream.ErrIncomplete)
		})
	}
}
