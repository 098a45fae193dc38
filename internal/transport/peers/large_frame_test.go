package peers_test

import (
	"context"
	"crypto/rand"
	"fmt"
	"net"
	"os"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumvale/internal/protocol/peer"
	"gypsumvale/internal/red"
	"gypsumvale/internal/transport/peers"
)

// thinListener accepts connections whose answers share a link of so many bytes per second.
type thinListener struct {
	net.Listener
	link *thinLink
}

func (l thinListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &thinConn{Conn: c, link: l.link}, nil
}

// thinLink is a link with a buffer of linkBuffer bytes before it. It stands still if bytesPerSecond is zero.
type thinLink struct {
	bytesPerSecond int

	mu     sync.Mutex
	freeAt time.Time
}

const (
	linkBuffer = 16 << 10
	packet     = 1460
)

// take waits until the link takes n bytes, or reports false at a deadline.
func (l *thinLink) take(n int, deadline time.Time) bool {
	if l.bytesPerSecond == 0 {
		time.Sleep(time.Until(deadline))
		return false
	}
	cost := func(n int) time.Duration { return time.Duration(n) * time.Second / time.Duration(l.bytesPerSecond) }
	l.mu.Lock()
	now := time.Now()
	if l.freeAt.Before(now) {
		l.freeAt = now
	}
	takenAt := l.freeAt.Add(cost(n) - cost(linkBuffer))
	if !deadline.IsZero() && takenAt.After(deadline) {
		l.mu.Unlock()
		time.Sleep(time.Until(deadline))
		return false
	}
	l.freeAt = l.freeAt.Add(cost(n))
	l.mu.Unlock()
	time.Sleep(time.Until(takenAt))
	return true
}

type thinConn struct {
	net.Conn
	link *thinLink

	mu       sync.Mutex
	deadline time.Time
}

func (c *thinConn) SetDeadline(t time.Time) error {
	_ = c.SetWriteDeadline(t)
	return c.Conn.SetReadDeadline(t)
}

func (c *thinConn) SetWriteDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	return nil
}

func (c *thinConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	deadline := c.deadline
	c.mu.Unlock()
	sent := 0
	for sent < len(b) {
		block := b[sent:min(len(b), sent+packet)]
		if !c.link.take(len(block), deadline) {
			return sent, os.ErrDeadlineExceeded
		}
		if _, err := c.Conn.Write(block); err != nil {
			return sent, err
		}
		sent += len(block)
	}
	return sent, nil
}

// thinBytesPerSecond is a link of 10 Mbit/s; largeBytes take 240 ms there, and can't be compressed.
const (
	thinBytesPerSecond = 10_000_000 / 8
	largeBytes         = 300_000
)

// largeAnswerer answers queries with largeBytes, and everything else with an empty message.
type largeAnswerer struct {
	answerer
	body []byte
	// queried is closed when a query is answered.
	queried chan struct{}
}

func newLargeAnswerer() *largeAnswerer {
	body := make([]byte, largeBytes)
	_, _ = rand.Read(body)
	return &largeAnswerer{body: body, queried: make(chan struct{})}
}

func (a *largeAnswerer) Serve(_ context.Context, _ peer.Hello, kind peer.Kind, _ []byte) (any, error) {
	if kind != peer.KindSync {
		return peer.Empty{}, nil
	}
	close(a.queried)
	return a.body, nil
}

// A configuration that a thin link takes longer for than a fixed time-out of a write closed the connection, and all other calls on it failed.
func TestLargeReplyOverThinLink(t *testing.T) {
	Convey("a reply of 300 KB over 10 Mbit/s", t, func() {
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
		Reset(cancel)
		h := newLargeAnswerer()
		b := peers.New(peers.Config{Name: "b", Incarnation: "b#1", Address: "127.0.0.1:0", Secret: []byte("secret")}, h)
		address, err := b.Listen()
		So(err, ShouldBeNil)
		peers.WrapListener(b, func(l net.Listener) net.Listener { return thinListener{l, &thinLink{bytesPerSecond: thinBytesPerSecond}} })
		go b.Run(ctx)
		a, _ := startNetwork("a")
		So(a.Connect(ctx, "b", address), ShouldBeNil)
		var reply []byte
		arrived := make(chan error, 1)
		go func() { arrived <- a.Call(ctx, "b", address, peer.KindSync, peer.Empty{}, &reply) }()
		<-h.queried
		// The reply is under way.
		time.Sleep(20 * time.Millisecond)

		Convey("arrives whole, and its connection stays open", func() {
			err := <-arrived
			if err != nil && red.Known("TestLargeReplyOverThinLink", "arrives whole") {
				fmt.Println("KNOWN RED: TestLargeReplyOverThinLink:", err)
				return
			}
			So(err, ShouldBeNil)
			So(string(reply) == string(h.body), ShouldBeTrue)
			So(b.Connections(), ShouldEqual, 1)
		})
		Convey("doesn't hold up a small call on the same connection", func() {
			for range 5 {
				err := a.Call(ctx, "b", address, peer.KindPlace, peer.Empty{}, &peer.Empty{})
				if err != nil && red.Known("TestLargeReplyOverThinLink", "doesn't hold up a small call") {
					fmt.Println("KNOWN RED: TestLargeReplyOverThinLink:", err)
					return
				}
				So(err, ShouldBeNil)
			}
			select {
			case err := <-arrived:
				So(err, ShouldBeNil)
				So("the small calls", ShouldEqual, "before the large reply")
			default:
			}
			So(<-arrived, ShouldBeNil)
		})
	})
}
