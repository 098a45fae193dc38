package upstream_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumvale/internal/state/clock"
	"gypsumvale/internal/transport/upstream"
)

// server writes one raw response per request, in order, with the request's identifier for "{id}". An empty response closes the connection
// without a response.
type server struct {
	listener net.Listener
	dials    int
	sent     int
	pool     *upstream.Pool
}

func newServer(reset bool, responses ...string) *server {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	So(err, ShouldBeNil)
	s := &server{listener: l}
	s.pool = upstream.NewPool(func(_ string, err error) {
		if err == nil {
			s.dials++
		}
	})
	Reset(func() { _ = l.Close() })
	pending := make(chan string, len(responses))
	for _, response := range responses {
		pending <- response
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serveConn(c, pending, reset)
		}
	}()
	return s
}

func serveConn(c net.Conn, pending chan string, reset bool) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		text := strings.ReplaceAll(<-pending, "{id}", req.Header.Get("Id"))
		_, _ = io.WriteString(c, text)
		if strings.Contains(text, "\r\nConnection: close\r\n\r\n") {
			return
		}
		if text == "" || reset {
			if reset {
				_ = c.(*net.TCPConn).SetLinger(0)
			}
			return
		}
	}
}

// send sends a new request.
func (s *server) send(ctx context.Context) (string, error) {
	s.sent++
	return s.sendWithID(ctx, "n"+strconv.Itoa(s.sent))
}

func (s *server) sendWithID(ctx context.Context, id string) (string, error) {
	return s.exchange(ctx, http.MethodGet, id)
}

func (s *server) exchange(ctx context.Context, method, id string) (string, error) {
	resp, err := s.pool.Send(ctx, s.listener.Addr().String(), &upstream.Request{
		ID: id, Method: method, Target: "/a%2Fb?x", Host: "h", Header: http.Header{"Id": {id}},
		Match: func(_ int, h http.Header) upstream.Match {
			switch h.Get("Id") {
			case id:
				return upstream.MatchOwn
			case "":
				return upstream.MatchUnknown
			}
			return upstream.MatchOther
		},
	})
	if err != nil {
		return "", err
	}
	defer resp.Close()
	body, err := io.ReadAll(resp)
	return string(body), err
}

// unframedHead starts a response without a length, after which the server closes the connection.
const unframedHead = "HTTP/1.1 200 OK\r\nId: {id}\r\nConnection: close\r\n\r\n"

const (
	okResponse = "HTTP/1.1 200 OK\r\nId: {id}\r\nContent-Length: 2\r\n\r\nok"
	refusal    = "HTTP/1.1 503 Service Unavailable\r\nId: {id}\r\nContent-Length: 0\r\n\r\n"
)

func (s *server) expectAnswers(n int) {
	for range n {
		body, err := s.send(context.Background())
		So(err, ShouldBeNil)
		So(body, ShouldEqual, "ok")
	}
}

func (s *server) expectError(want error) {
	_, err := s.send(context.Background())
	So(errors.Is(err, want), ShouldBeTrue)
}

func TestSend(t *testing.T) {
	Convey("a pool", t, func() {
		Convey("reuses a connection", func() {
			s := newServer(false, okResponse, okResponse, okResponse)
			s.expectAnswers(3)
			So(s.dials, ShouldEqual, 1)
		})
		Convey("doesn't reuse a connection on which data follows the response", func() {
			s := newServer(false, okResponse+okResponse, okResponse)
			s.expectAnswers(2)
			So(s.dials, ShouldEqual, 2)
		})
		Convey("doesn't reuse a connection after Connection: close", func() {
			s := newServer(false, "HTTP/1.1 200 OK\r\nId: {id}\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok", okResponse)
			s.expectAnswers(2)
			So(s.dials, ShouldEqual, 2)
		})
		Convey("skips a response to another request", func() {
			s := newServer(false, "HTTP/1.1 200 OK\r\nId: 7\r\nContent-Length: 3\r\n\r\nbad"+okResponse)
			s.expectAnswers(1)
		})
		Convey("doesn't send a request again on a connection that has carried it, but others", func() {
			for _, first := range []string{refusal, okResponse} {
				s := newServer(false, first, okResponse, refusal, okResponse)
				for _, id := range []string{"1", "1", "2", "3"} {
					_, err := s.sendWithID(context.Background(), id)
					So(err, ShouldBeNil)
				}
				So(s.dials, ShouldEqual, 2)
			}
		})
		Convey("closes a connection that has carried as many requests as it can remember", func() {
			const remembered = 128
			s := newServer(false, slices.Repeat([]string{okResponse}, remembered+1)...)
			s.expectAnswers(remembered)
			So(s.dials, ShouldEqual, 1)
			s.expectAnswers(1)
			So(s.dials, ShouldEqual, 2)
		})
		Convey("accepts a response without identifier only on a connection that has carried nothing else", func() {
			const anonymous = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
			s := newServer(false, anonymous, okResponse, anonymous)
			_, err := s.send(context.Background())
			So(err, ShouldBeNil)
			s.expectAnswers(1)
			s.expectError(upstream.ErrStrayResponse)
			newServer(false, "HTTP/1.1 200 OK\r\nId: 7\r\nContent-Length: 0\r\n\r\n"+anonymous).expectError(upstream.ErrStrayResponse)
		})
		Convey("doesn't take the body of a skipped response for a response", func() {
			forged := "HTTP/1.1 503 Service Unavailable\r\nId: 2\r\nContent-Length: 0\r\n\r\n"
			copied := "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: " + strconv.Itoa(len(forged)) + "\r\n\r\n" + forged
			s := newServer(false, copied, copied+okResponse)
			_, err := s.sendWithID(context.Background(), "1")
			So(err, ShouldBeNil)
			_, err = s.exchange(context.Background(), http.MethodHead, "2")
			So(errors.Is(err, upstream.ErrStrayResponse), ShouldBeTrue)
		})
		Convey("fails when all responses belong to other requests", func() {
			stray := "HTTP/1.1 200 OK\r\nId: 7\r\nContent-Length: 0\r\n\r\n"
			newServer(false, stray+stray+stray+stray).expectError(upstream.ErrStrayResponse)
		})
		Convey("skips informational responses", func() { newServer(false, "HTTP/1.1 103 Early Hints\r\n\r\n"+okResponse).expectAnswers(1) })
		Convey("returns ErrIncomplete when the connection closes without a response, and doesn't retry", func() {
			s := newServer(false, "", okResponse)
			s.expectError(upstream.ErrIncomplete)
			So(s.dials, ShouldEqual, 1)
		})
		Convey("returns ErrIncomplete for a truncated body", func() {
			newServer(true, "HTTP/1.1 200 OK\r\nId: {id}\r\nContent-Length: 9\r\n\r\nok").expectError(upstream.ErrIncomplete)
		})
		Convey("reads a body of unknown length until the connection ends", func() {
			s := newServer(false, unframedHead+"ok", okResponse)
			s.expectAnswers(2)
			So(s.dials, ShouldEqual, 2)
		})
		Convey("returns ErrIncomplete when the connection is reset within a body of unknown length", func() {
			newServer(true, "HTTP/1.1 200 OK\r\nId: {id}\r\n\r\nok").expectError(upstream.ErrIncomplete)
		})
		Convey("returns ErrIncomplete for bytes that are not HTTP", func() {
			newServer(false, "\x00\x01 nonsense\r\n\r\n").expectError(upstream.ErrIncomplete)
		})
		Convey("returns ErrIncomplete when the context ends within a body of unknown length", func() {
			s := newServer(false, "HTTP/1.1 200 OK\r\nId: {id}\r\n\r\nok", okResponse)
			go func() {
				time.Sleep(50 * time.Millisecond)
				_ = s.listener.Close()
			}()
			ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
			defer cancel()
			_, err := s.send(ctx)
			So(errors.Is(err, upstream.ErrIncomplete), ShouldBeTrue)
		})
		Convey("returns ErrNotSent when the connection is refused", func() {
			s := newServer(false)
			_ = s.listener.Close()
			s.expectError(upstream.ErrNotSent)
		})
		Convey("stops waiting when the context ends", func() {
			s := newServer(false)
			ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
			defer cancel()
			started := time.Now()
			_, err := s.send(ctx)
			So(errors.Is(err, upstream.ErrIncomplete), ShouldBeTrue)
			So(time.Since(started), ShouldBeLessThan, 2*time.Second)
		})
		Convey("closes connections to addresses that are no longer in use", func() {
			s := newServer(false, okResponse, okResponse)
			s.expectAnswers(1)
			s.pool.Sweep(clock.Now(), func(string) bool { return false })
			s.expectAnswers(1)
			So(s.dials, ShouldEqual, 2)
		})
	})
}

// endlessServer answers each connection with the same bytes again and again until it is closed, and counts them.
func endlessServer(first, repeated string) (pool *upstream.Pool, address string, written *atomic.Int64) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	So(err, ShouldBeNil)
	Reset(func() { _ = l.Close() })
	written = &atomic.Int64{}
	block := strings.Repeat(repeated, 1+1024/len(repeated))
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				_, _ = io.WriteString(c, first)
				for {
					n, err := io.WriteString(c, block)
					written.Add(int64(n))
					if err != nil {
						return
					}
				}
			}()
		}
	}()
	return upstream.NewPool(func(string, error) {}), l.Addr().String(), written
}

// Bytes that are no answer may come without end, until the caller closes the connection.
func TestEndlessHead(t *testing.T) {
	Convey("200 responses whose heads never end", t, func() {
		const connections = 200
		for name, text := range map[string][2]string{
			"a status line":           {"HTTP/1.1 200 ", "O"},
			"a header's value":        {"HTTP/1.1 200 OK\r\nId: ", "1"},
			"headers":                 {"HTTP/1.1 200 OK\r\n", "A: b\r\n"},
			"bytes that are not HTTP": {"", "\x00\x01"},
			"informational responses": {"", "HTTP/1.1 100 Continue\r\n\r\n"},
		} {
			Convey("end with an error, and their connections are closed: "+name, func() {
				pool, address, written := endlessServer(text[0], text[1])
				ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
				defer cancel()
				var late, answered atomic.Int64
				var wg sync.WaitGroup
				for range connections {
					wg.Go(func() {
						_, err := pool.Send(ctx, address, &upstream.Request{
							Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{"Id": {"1"}},
							Match: func(int, http.Header) upstream.Match { return upstream.MatchOwn },
						})
						switch {
						case err == nil:
							answered.Add(1)
						case ctx.Err() != nil:
							late.Add(1)
						}
					})
				}
				wg.Wait()
				So(answered.Load(), ShouldEqual, 0)
				So(late.Load(), ShouldEqual, 0)
				// The limit of a head, and what a connection's buffers hold.
				So(written.Load(), ShouldBeLessThan, connections*(8<<20))
			})
		}
	})
}
