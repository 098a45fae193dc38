package upstream_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumvale/internal/transport/upstream"
)

// Guards against a request that reaches another process than the one that was asked who it is.
func TestInquiryBeforeRequest(t *testing.T) {
	t.Parallel()
	const state = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst"
	other := strings.Replace(strings.Replace(state, "first", "second", 1), "5", "6", 1)
	late := strings.ReplaceAll(okResponse, "{id}", "b")
	closing := strings.Replace(state, "\r\n\r\n", "\r\nConnection: close\r\n\r\n", 1)
	begin := func(s *server) (*upstream.Response, error) {
		return s.pool.Send(context.Background(), s.listener.Addr().String(), &upstream.Request{
			ID: "a", Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{"Id": {"a"}},
			Match: func(int, http.Header) upstream.Match { return upstream.MatchOwn },
			Inquiry: &upstream.Inquiry{
				Target: "/state", Header: http.Header{},
				Match: func(_ int, h http.Header) upstream.Match {
					if h.Get("Id") != "" {
						return upstream.MatchOther
					}
					return upstream.MatchOwn
				},
				Read: func(body io.Reader) (int64, error) {
					text, err := io.ReadAll(body)
					return int64(len(text)), err
				},
				Process: int64(len("first")),
			},
		})
	}
	send := func(s *server) error {
		resp, err := begin(s)
		if err != nil {
			return err
		}
		resp.Close()
		return nil
	}
	for _, c := range []struct {
		name      string
		responses []string
		dials     int
		sent      bool
	}{
		{"a request follows the answer on its connection", []string{state, okResponse}, 1, true},
		{"an answer to another request is skipped", []string{late + state, okResponse}, 1, true},
		{"a connection that ends after the answer is replaced", []string{closing, state, okResponse}, 2, true},
		{"a request isn't sent if each connection ends after the answer", []string{closing, closing, okResponse}, 2, false},
		{"a request isn't sent after another process's answer", []string{other, okResponse}, 1, false},
		{"a request isn't sent without an answer", []string{"", okResponse}, 1, false},
		{"a request isn't sent if more follows the answer", []string{state + late, state + late, okResponse}, 2, false},
	} {
		Convey(c.name, t, func() {
			s := newServer(false, c.responses...)
			err := send(s)
			So(s.dials, ShouldEqual, c.dials)
			if c.sent {
				So(err, ShouldBeNil)
				return
			}
			So(errors.Is(err, upstream.ErrNotSent), ShouldBeTrue)
			So(errors.Is(err, upstream.ErrUnidentified), ShouldBeTrue)
		})
	}
	const unfinished = "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 9\r\n\r\nhalf"
	Convey("a connection beside another open one needs no inquiry", t, func() {
		s := newServer(false, state, unfinished, okResponse)
		first, err := begin(s)
		So(err, ShouldBeNil)
		defer first.Close()
		_, err = io.ReadFull(first, make([]byte, len("half")))
		So(err, ShouldBeNil)
		So(send(s), ShouldBeNil)
		So(s.dials, ShouldEqual, 2)
	})
	Convey("a connection needs an inquiry once the other one has ended", t, func() {
		s := newServer(false, state, strings.Replace(unfinished, "\r\n\r\n", "\r\nConnection: close\r\n\r\n", 1), state, okResponse)
		first, err := begin(s)
		So(err, ShouldBeNil)
		defer first.Close()
		_, err = io.ReadAll(first)
		So(errors.Is(err, upstream.ErrIncomplete), ShouldBeTrue)
		So(send(s), ShouldBeNil)
		So(s.dials, ShouldEqual, 2)
	})
	Convey("a pooled connection that ends without an answer is replaced", t, func() {
		s := newServer(false, okResponse, "", state, okResponse)
		resp, err := s.pool.Send(context.Background(), s.listener.Addr().String(), &upstream.Request{
			ID: "b", Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{"Id": {"b"}},
			Match: func(int, http.Header) upstream.Match { return upstream.MatchOwn },
		})
		So(err, ShouldBeNil)
		_, err = io.ReadAll(resp)
		So(err, ShouldBeNil)
		resp.Close()
		So(send(s), ShouldBeNil)
		So(s.dials, ShouldEqual, 2)
	})
}
