package proxy_test

import (
	"bufio"
	"io"
	"net"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumvale/internal/standin/loopback"
	"gypsumvale/internal/standin/proxy"
)

// echo starts a server that sends back all it receives.
func echo() net.Listener {
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
				defer func() { _ = c.Close() }()
				_, _ = io.Copy(c, c)
			}()
		}
	}()
	return l
}

func dial(l net.Listener, address string) (*proxy.Proxy, net.Conn) {
	p, err := proxy.Start(address, l.Addr().String())
	So(err, ShouldBeNil)
	Reset(p.Close)
	c, err := net.Dial("tcp", address)
	So(err, ShouldBeNil)
	Reset(func() { _ = c.Close() })
	return p, c
}

func expectEcho(c net.Conn, within time.Duration, want bool) {
	_, err := io.WriteString(c, "ping\n")
	So(err, ShouldBeNil)
	So(c.SetReadDeadline(time.Now().Add(within)), ShouldBeNil)
	line, err := bufio.NewReader(c).ReadString('\n')
	So(err == nil && line == "ping\n", ShouldEqual, want)
}

func TestProxy(t *testing.T) {
	Convey("a proxy", t, func() {
		address, err := loopback.FreeAddress()
		So(err, ShouldBeNil)
		p, c := dial(echo(), address)
		expectEcho(c, time.Second, true)
		Convey("stalls one direction, and delivers the bytes once the fault is cleared", func() {
			p.SetFault(proxy.Fault{HoldDown: true})
			expectEcho(c, 100*time.Millisecond, false)
			p.SetFault(proxy.Fault{})
			So(c.SetReadDeadline(time.Now().Add(time.Second)), ShouldBeNil)
			line, err := bufio.NewReader(c).ReadString('\n')
			So(err, ShouldBeNil)
			So(line, ShouldEqual, "ping\n")
		})
		Convey("stalls the connections of one client, and those that it opens then", func() {
			p.SetFault(proxy.Fault{HoldFrom: []string{"ping"}})
			expectEcho(c, 100*time.Millisecond, false)
			other, err := net.Dial("tcp", address)
			So(err, ShouldBeNil)
			defer func() { _ = other.Close() }()
			expectEcho(other, 100*time.Millisecond, false)
			p.SetFault(proxy.Fault{HoldFrom: []string{"pong"}})
			So(other.SetReadDeadline(time.Now().Add(time.Second)), ShouldBeNil)
			line, err := bufio.NewReader(other).ReadString('\n')
			So(err, ShouldBeNil)
			So(line, ShouldEqual, "ping\n")
		})
		Convey("delays both directions", func() {
			p.SetFault(proxy.Fault{Delay: 100 * time.Millisecond})
			started := time.Now()
			expectEcho(c, time.Second, true)
			So(time.Since(started), ShouldBeGreaterThanOrEqualTo, 200*time.Millisecond)
		})
		Convey("resets open connections, and accepts new ones", func() {
			p.Reset()
			So(c.SetReadDeadline(time.Now().Add(time.Second)), ShouldBeNil)
			_, err := c.Read(make([]byte, 1))
			So(err, ShouldNotBeNil)
			again, err := net.Dial("tcp", address)
			So(err, ShouldBeNil)
			defer func() { _ = again.Close() }()
			expectEcho(again, time.Second, true)
		})
	})
}
