package intake_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/iotest"
	"time"

	"github.com/pkg/errors"
	. "github.com/smartystreets/goconvey/convey"

	"gypsumvale/internal/coordination/memory"
	"gypsumvale/internal/transport/intake"
)

// counter counts what a guard closes and refuses.
type counter struct{ n atomic.Int64 }

func (c *counter) count(string) { c.n.Add(1) }

const maxBody = 4 << 20

// pausedReader waits for a signal once it has read its first part.
type pausedReader struct {
	io.Reader
	first int
	wait  <-chan struct{}
}

func (p *pausedReader) Read(b []byte) (int, error) {
	if p.first > 0 {
		b = b[:min(len(b), p.first)]
		p.first -= len(b)
	} else {
		<-p.wait
	}
	return p.Reader.Read(b)
}

// Guards against default limits that refuse clients which respect the operator's limits.
func TestDefaultLimits(t *testing.T) {
	Convey("a machine with 136 MB and 2,870 descriptors", t, func() {
		limits := intake.DefaultLimits(136, 2870, maxBody)
		So(limits.Connections, ShouldEqual, 816)
		refused := &counter{}
		g := intake.New(limits, refused.count)
		Convey("holds 400 bodies of 8 KB and one of 4 MiB that arrive at the same time", func() {
			var wg sync.WaitGroup
			var failed atomic.Int64
			all := make(chan struct{})
			var begun sync.WaitGroup
			for i := range 401 {
				size := 8 << 10
				if i == 0 {
					size = maxBody
				}
				length := int64(size)
				if i%2 == 1 {
					length = -1
				}
				begun.Add(1)
				wg.Go(func() {
					r := &pausedReader{bytes.NewReader(make([]byte, size)), size / 2, all}
					begun.Done()
					body, held, err := g.ReadBody(r, length, maxBody, func() { failed.Add(1) })
					if err != nil || len(body) != size {
						failed.Add(1)
					}
					held.Release()
				})
			}
			begun.Wait()
			close(all)
			wg.Wait()
			So(failed.Load(), ShouldEqual, 0)
			So(refused.n.Load(), ShouldEqual, 0)
			So(g.Used(memory.Bodies), ShouldEqual, 0)
		})
	})
	Convey("the smallest process holds a body of 4 MiB", t, func() {
		g := intake.New(intake.DefaultLimits(16, 64, maxBody), func(string) {})
		for _, length := range []int64{maxBody, -1} {
			_, held, err := g.ReadBody(bytes.NewReader(make([]byte, maxBody)), length, maxBody, func() {})
			So(err, ShouldBeNil)
			held.Release()
		}
	})
}

// Guards against bodies and replies that are cut, or whose memory isn't returned.
func TestReading(t *testing.T) {
	Convey("a guard with 1 MiB", t, func() {
		g := intake.New(intake.Limits{Connections: 2, Bytes: 1 << 20}, func(string) {})
		data := bytes.Repeat([]byte("0123456789"), 10000)
		Convey("reads bodies as they are", func() {
			for _, length := range []int64{int64(len(data)), -1} {
				for _, r := range []io.Reader{bytes.NewReader(data), iotest.DataErrReader(bytes.NewReader(data)), iotest.HalfReader(bytes.NewReader(data))} {
					body, held, err := g.ReadBody(r, length, int64(len(data)), func() {})
					So(err, ShouldBeNil)
					So(bytes.Equal(body, data), ShouldBeTrue)
					held.Release()
				}
				_, _, err := g.ReadBody(bytes.NewReader(data), length, int64(len(data))-1, func() {})
				So(errors.Is(err, intake.ErrTooLarge), ShouldBeTrue)
				_, _, err = g.ReadBody(iotest.TimeoutReader(iotest.OneByteReader(bytes.NewReader(data))), length, maxBody, func() {})
				So(errors.Is(err, iotest.ErrTimeout), ShouldBeTrue)
			}
			So(g.Used(memory.Bodies), ShouldEqual, 0)
		})
		Convey("counts peers' frames", func() {
			g.CountFrame(1000)
			g.CountFrame(500)
			So(g.Used(memory.Frames), ShouldEqual, 1500)
			g.CountFrame(-1000)
			g.CountFrame(-500)
			So(g.Used(memory.Frames), ShouldEqual, 0)
		})
		Convey("refuses a body that finds no room", func() {
			_, _, err := g.ReadBody(bytes.NewReader(make([]byte, 1<<20)), -1, maxBody, func() {})
			So(errors.Is(err, intake.ErrNoMemory), ShouldBeTrue)
			So(g.Used(memory.Bodies), ShouldEqual, 0)
		})
		Convey("reads replies until their end, the limit or the end of the memory", func() {
			for _, length := range []int64{int64(len(data)), -1} {
				body, whole, held, err := g.ReadReply(bytes.NewReader(data), length, 1<<18)
				So(err, ShouldBeNil)
				So(whole, ShouldBeTrue)
				So(bytes.Equal(body, data), ShouldBeTrue)
				prefix, whole, more, err := g.ReadReply(bytes.NewReader(data), length, 50000)
				So(err, ShouldBeNil)
				So(whole, ShouldBeFalse)
				So(bytes.Equal(prefix, data[:50000]), ShouldBeTrue)
				more.Release()
				prefix, whole, more, err = g.ReadReply(bytes.NewReader(make([]byte, 1<<20)), -1, 1<<20)
				So(err, ShouldBeNil)
				So(whole, ShouldBeFalse)
				So(len(prefix), ShouldBeLessThan, 1<<19)
				more.Release()
				held.Release()
			}
			So(g.Used(memory.Responses), ShouldEqual, 0)
		})
	})
}

// failingListener fails a number of accepts.
type failingListener struct {
	net.Listener
	failures int
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.failures > 0 {
		l.failures--
		return nil, errors.New("too many open files")
	}
	return l.Listener.Accept()
}

// Guards against connections that wait unaccepted at the limit, and against a listener that ends at a failed accept.
func TestListener(t *testing.T) {
	Convey("a server with at most two connections", t, func() {
		closed := &counter{}
		g := intake.New(intake.Limits{Connections: 2, Bytes: 1 << 20}, closed.count)
		inner, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		server := &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})}
		listener := g.Protect(&failingListener{inner, 3}, server)
		record, idle := server.ConnState, make(chan struct{}, 10)
		server.ConnState = func(c net.Conn, state http.ConnState) {
			record(c, state)
			if state == http.StateIdle {
				idle <- struct{}{}
			}
		}
		go func() { _ = server.Serve(listener) }()
		Reset(func() { _ = server.Close() })
		dial := func(text string) net.Conn {
			c, err := net.Dial("tcp", inner.Addr().String())
			So(err, ShouldBeNil)
			So(c.SetReadDeadline(time.Now().Add(10*time.Second)), ShouldBeNil)
			_, err = io.WriteString(c, text)
			So(err, ShouldBeNil)
			Reset(func() { _ = c.Close() })
			return c
		}
		const request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"
		answered := func(c net.Conn) bool {
			b := make([]byte, 12)
			_, err := io.ReadFull(c, b)
			return err == nil && string(b) == "HTTP/1.1 200"
		}

		Convey("closes the one that has been idle longest, after failed accepts too", func() {
			first := dial(request)
			<-idle
			second := dial(request)
			<-idle
			So(answered(dial(request)), ShouldBeTrue)
			rest, err := io.ReadAll(first)
			So(err, ShouldBeNil)
			So(len(rest), ShouldBeGreaterThan, 0)
			So(closed.n.Load(), ShouldEqual, 1)
			So(g.Connections(), ShouldEqual, 2)
			So(second.Close(), ShouldBeNil)
		})
		Convey("closes one whose header sections take too much memory", func() {
			c := dial("GET / HTTP/1.1\r\n")
			var err error
			for i := 0; i < 3000 && err == nil; i++ {
				_, err = fmt.Fprintf(c, "h%d:\r\n", i)
			}
			So(answered(c), ShouldBeFalse)
			So(closed.n.Load(), ShouldBeGreaterThan, 0)
			So(answered(dial(request)), ShouldBeTrue)
		})
	})
}

// Guards against clients that take no answer and hold it for ever, and against a bound that cuts off slow clients for the length of an answer.
func TestSlowReaders(t *testing.T) {
	Convey("a server whose clients may stall for 500 ms", t, func() {
		g := intake.New(intake.Limits{Connections: 9, Bytes: 1 << 20, Stall: 500 * time.Millisecond}, func(string) {})
		inner, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		const size = 4 << 20
		failed := make(chan error, 2)
		server := &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, err := w.Write(make([]byte, size))
			failed <- err
		})}
		go func() { _ = server.Serve(g.Protect(inner, server)) }()
		Reset(func() { _ = server.Close() })
		conn, err := net.Dial("tcp", inner.Addr().String())
		So(err, ShouldBeNil)
		Reset(func() { _ = conn.Close() })
		_, err = io.WriteString(conn, "GET / HTTP/1.0\r\n\r\n")
		So(err, ShouldBeNil)

		Convey("disconnects one that reads nothing", func() { So(<-failed, ShouldNotBeNil) })
		Convey("serves one that reads for longer than that", func() {
			total := 0
			for b := make([]byte, size/20); ; time.Sleep(50 * time.Millisecond) {
				n, err := io.ReadFull(conn, b)
				total += n
				if err != nil {
					break
				}
			}
			So(total, ShouldBeGreaterThan, size)
			So(<-failed, ShouldBeNil)
		})
	})
}
