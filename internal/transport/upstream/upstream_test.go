package upstream_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumvale/internal/state/clock"
	"gypsumvale/internal/transport/upstream"
)

// peer serves raw answers: one text for each request, in turn; an empty one closes the connection without an answer.
type peer struct {
	listener net.Listener
	dials    int
	pool     *upstream.Pool
}

func newPeer(reset bool, answers ...string) *peer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	So(err, ShouldBeNil)
	p := &peer{listener: l}
	p.pool = upstream.NewPool(func() { p.dials++ })
	Reset(func() { _ = l.Close() })
	next := make(chan string, len(answers))
	for _, a := range answers {
		next <- a
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(c, next, reset)
		}
	}()
	return p
}

func serve(c net.Conn, next chan string, reset bool) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		text := <-next
		_, _ = io.WriteString(c, text)
		if text == "" || reset {
			if reset {
				_ = c.(*net.TCPConn).SetLinger(0)
			}
			return
		}
	}
}

func (p *peer) send(ctx context.Context) (string, error) {
	resp, err := p.pool.Send(ctx, p.listener.Addr().String(), &upstream.Request{
		Method: http.MethodGet, Target: "/a%2Fb?x", Host: "h", Header: http.Header{"Id": {"1"}},
		Accepts: func(_ int, h http.Header) bool { return h.Get("Id") == "1" },
	})
	if err != nil {
		return "", err
	}
	defer resp.Close()
	body, err := io.ReadAll(resp)
	return string(body), err
}

const good = "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nok"

func (p *peer) expectAnswers(n int) {
	for range n {
		body, err := p.send(context.Background())
		So(err, ShouldBeNil)
		So(body, ShouldEqual, "ok")
	}
}

func (p *peer) expectError(want error) {
	_, err := p.send(context.Background())
	So(errors.Is(err, want), ShouldBeTrue)
}

func TestSend(t *testing.T) {
	Convey("a pool", t, func() {
		Convey("uses a connection again", func() {
			p := newPeer(false, good, good, good)
			p.expectAnswers(3)
			So(p.dials, ShouldEqual, 1)
		})
		Convey("doesn't use a connection again on which more came than the answer", func() {
			p := newPeer(false, good+good, good)
			p.expectAnswers(2)
			So(p.dials, ShouldEqual, 2)
		})
		Convey("doesn't use a connection again that the endpoint wants closed", func() {
			p := newPeer(false, "HTTP/1.1 200 OK\r\nId: 1\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok", good)
			p.expectAnswers(2)
			So(p.dials, ShouldEqual, 2)
		})
		Convey("passes over an answer to another request", func() {
			p := newPeer(false, "HTTP/1.1 200 OK\r\nId: 7\r\nContent-Length: 3\r\n\r\nbad"+good)
			p.expectAnswers(1)
		})
		Convey("gives up when only others' answers come", func() {
			other := "HTTP/1.1 200 OK\r\nId: 7\r\nContent-Length: 0\r\n\r\n"
			newPeer(false, other+other+other+other).expectError(upstream.ErrStrayResponse)
		})
		Convey("passes over informational answers", func() { newPeer(false, "HTTP/1.1 103 Early Hints\r\n\r\n"+good).expectAnswers(1) })
		Convey("takes no answer for broken, and sends nothing again", func() {
			p := newPeer(false, "", good)
			p.expectError(upstream.ErrIncomplete)
			So(p.dials, ShouldEqual, 1)
		})
		Convey("takes a short body for broken", func() {
			newPeer(true, "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 9\r\n\r\nok").expectError(upstream.ErrIncomplete)
		})
		Convey("takes bytes that are no answer for broken", func() { newPeer(false, "\x00\x01 nonsense\r\n\r\n").expectError(upstream.ErrIncomplete) })
		Convey("takes an answer without length for broken if it is cut off from this side", func() {
			p := newPeer(false, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nok", good)
			go func() {
				time.Sleep(50 * time.Millisecond)
				_ = p.listener.Close()
			}()
			ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
			defer cancel()
			_, err := p.send(ctx)
			So(errors.Is(err, upstream.ErrIncomplete), ShouldBeTrue)
		})
		Convey("says that nothing was sent when nobody listens", func() {
			p := newPeer(false)
			_ = p.listener.Close()
			p.expectError(upstream.ErrNotSent)
		})
		Convey("stops when its caller leaves", func() {
			p := newPeer(false)
			ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
			defer cancel()
			started := time.Now()
			_, err := p.send(ctx)
			So(errors.Is(err, upstream.ErrIncomplete), ShouldBeTrue)
			So(time.Since(started), ShouldBeLessThan, 2*time.Second)
		})
		Convey("closes connections to addresses that no endpoint has any more", func() {
			p := newPeer(false, good, good)
			p.expectAnswers(1)
			p.pool.Sweep(clock.Now(), func(string) bool { return false })
			p.expectAnswers(1)
			So(p.dials, ShouldEqual, 2)
		})
	})
}
