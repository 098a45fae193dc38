package intake_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumvale/internal/transport/intake"
)

// onEnd calls a function once its reader is at its end.
type onEnd struct {
	io.ReadCloser
	ended func()
}

func (e *onEnd) Read(b []byte) (int, error) {
	n, err := e.ReadCloser.Read(b)
	if err == io.EOF && e.ended != nil { //nolint:errorlint // Readers return io.EOF as it is.
		e.ended()
		e.ended = nil
	}
	return n, err
}

// A read deadline that ends a read also ends the context of the connection. If the connection serves another request, that one is taken for one
// whose caller has left, and gets no answer.
func TestRequestAfterInterruptedBody(t *testing.T) {
	Convey("a server that refuses requests whose bodies are late or give way", t, func() {
		const capacity, bodyBytes = 1 << 20, 1000
		g := intake.New(intake.Limits{Connections: 9, Bytes: capacity}, func(string) {})
		inner, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		ended, ready := make(chan error, 1), make(chan struct{})
		// evict has the body of a request give way to another one.
		evict := func() {
			other, held, err := g.ReadBody(&endless{}, -1, 2*capacity, func() {})
			if err == nil || other != nil {
				held.Release()
			}
		}
		server := &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			switch r.URL.Path {
			case "/late":
				_, _, err := g.ReadRequest(w, r, bodyBytes, time.Now().Add(50*time.Millisecond))
				ended <- err
				<-ready
			case "/evicted":
				r.Body = &onEnd{r.Body, evict}
				_, _, err := g.ReadRequest(w, r, bodyBytes, time.Now().Add(time.Minute))
				ended <- err
			default:
				// The end of a context shows only after a while.
				time.Sleep(20 * time.Millisecond)
				if r.Context().Err() != nil {
					panic(http.ErrAbortHandler)
				}
				return
			}
			intake.Refuse(w, r, func() {
				w.Header().Set("Content-Length", "0")
				w.WriteHeader(http.StatusServiceUnavailable)
			})
		})}
		go func() { _ = server.Serve(g.Protect(inner, server)) }()
		Reset(func() { _ = server.Close() })
		conn, err := net.Dial("tcp", inner.Addr().String())
		So(err, ShouldBeNil)
		Reset(func() { _ = conn.Close() })
		So(conn.SetDeadline(time.Now().Add(10*time.Second)), ShouldBeNil)
		r := bufio.NewReader(conn)
		send := func(text string) {
			_, err := io.WriteString(conn, text)
			So(err, ShouldBeNil)
		}
		// expectNext reads the refusal and expects that it closes the connection, or that the next request is answered.
		expectNext := func() {
			refusal, err := http.ReadResponse(r, nil)
			So(err, ShouldBeNil)
			So(refusal.StatusCode, ShouldEqual, http.StatusServiceUnavailable)
			So(refusal.Body.Close(), ShouldBeNil)
			if refusal.Close {
				return
			}
			send("GET /next HTTP/1.1\r\nHost: a\r\n\r\n")
			answer, err := http.ReadResponse(r, nil)
			So(err, ShouldBeNil)
			So(answer.Body.Close(), ShouldBeNil)
		}

		Convey("doesn't leave the next one without an answer after a late body", func() {
			send(fmt.Sprintf("POST /late HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n", bodyBytes))
			So(<-ended, ShouldEqual, intake.ErrLate)
			// The rest is there when the refusal is written.
			send(string(make([]byte, bodyBytes)))
			time.Sleep(20 * time.Millisecond)
			close(ready)
			expectNext()
		})
		Convey("doesn't leave the next one without an answer after a body that was complete when it gave way", func() {
			send(fmt.Sprintf("POST /evicted HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", bodyBytes, make([]byte, bodyBytes)))
			So(<-ended, ShouldEqual, intake.ErrNoMemory)
			expectNext()
		})
	})
}

// endless is a body without end.
type endless struct{}

func (*endless) Read(b []byte) (int, error) { return len(b), nil }
