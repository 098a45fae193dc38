package peers_test

import (
	"context"
	"crypto/rand"
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/vmihailenco/msgpack/v5"

	"gypsumvale/internal/coordination/transfer"
	"gypsumvale/internal/duty"
	"gypsumvale/internal/protocol/peer"
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
	bytesPerSecond atomic.Int64

	mu     sync.Mutex
	freeAt time.Time
}

const (
	linkBuffer = 16 << 10
	packet     = 1460
)

// newThinLink returns a link of thinBytesPerSecond.
func newThinLink() *thinLink {
	l := &thinLink{}
	l.bytesPerSecond.Store(thinBytesPerSecond)
	return l
}

// take waits until the link takes n bytes, or reports false at a deadline.
func (l *thinLink) take(n int, deadline time.Time) bool {
	rate := l.bytesPerSecond.Load()
	if rate == 0 {
		time.Sleep(time.Until(deadline))
		return false
	}
	cost := func(n int) time.Duration { return time.Duration(n) * time.Second / time.Duration(rate) }
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
	return c.SetReadDeadline(t)
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

// startThinNetwork starts the network of instance b, which answers over a link.
func startThinNetwork(ctx context.Context, h peers.Handler, link *thinLink) (network *peers.Network, address string) {
	network = peers.New(peers.Config{Name: "b", Incarnation: "b#1", Address: "127.0.0.1:0", Secret: []byte("secret")}, h)
	address, err := network.Listen()
	So(err, ShouldBeNil)
	peers.WrapListener(network, func(l net.Listener) net.Listener { return thinListener{l, link} })
	go network.Run(ctx)
	return network, address
}

// A configuration that a thin link takes longer for than a fixed time-out of a write closed the connection, and all other calls on it failed.
func TestLargeReplyOverThinLink(t *testing.T) {
	Convey("a reply of 300 KB over 10 Mbit/s", t, func() {
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
		Reset(cancel)
		h := newLargeAnswerer()
		b, address := startThinNetwork(ctx, h, newThinLink())
		a, _ := startNetwork("a")
		So(a.Connect(ctx, "b", address), ShouldBeNil)
		var reply []byte
		arrived := make(chan error, 1)
		go func() { arrived <- a.Call(ctx, "b", address, peer.KindSync, peer.Empty{}, &reply) }()
		<-h.queried
		// The reply is under way.
		time.Sleep(20 * time.Millisecond)

		Convey("arrives whole, and its connection stays open", func() {
			So(<-arrived, ShouldBeNil)
			So(string(reply) == string(h.body), ShouldBeTrue)
			So(b.Connections(), ShouldEqual, 1)
		})
		Convey("doesn't hold up a small call on the same connection", func() {
			for range 5 {
				So(a.Call(ctx, "b", address, peer.KindPlace, peer.Empty{}, &peer.Empty{}), ShouldBeNil)
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

// A query whose reply was arriving ended at a total time, and what had arrived was thrown away.
func TestReplySlowerThanTimeout(t *testing.T) {
	Convey("a call over a thin link", t, func() {
		const timeout = 150 * time.Millisecond
		h, link := newLargeAnswerer(), newThinLink()
		background, end := context.WithTimeout(context.Background(), 20*time.Second)
		Reset(end)
		_, address := startThinNetwork(background, h, link)
		a, _ := startNetwork("a")
		So(a.Connect(background, "b", address), ShouldBeNil)
		ctx, cancel := duty.WithProgress(background, timeout, timeout)
		Reset(cancel)
		var reply []byte
		Convey("goes on while its reply arrives", func() {
			So(a.Call(ctx, "b", address, peer.KindSync, peer.Empty{}, &reply), ShouldBeNil)
			So(string(reply) == string(h.body), ShouldBeTrue)
		})
		Convey("ends once nothing arrives any more", func() {
			go func() {
				<-h.queried
				time.Sleep(20 * time.Millisecond)
				link.bytesPerSecond.Store(0)
			}()
			So(errors.Is(a.Call(ctx, "b", address, peer.KindSync, peer.Empty{}, &reply), duty.ErrStalled), ShouldBeTrue)
		})
	})
}

// dialAs connects to a network as an instance of another release would, with the fields of its hello.
func dialAs(address string, hello peer.Hello) net.Conn {
	c, err := net.Dial("tcp", address)
	So(err, ShouldBeNil)
	Reset(func() { _ = c.Close() })
	So(c.SetDeadline(time.Now().Add(20*time.Second)), ShouldBeNil)
	exchange := func() (theirs peer.Hello) {
		sendFrame(c, &peer.Frame{}, hello)
		f, err := peer.Read(c, peer.MaxHelloBytes)
		So(err, ShouldBeNil)
		So(msgpack.Unmarshal(f.Body, &theirs), ShouldBeNil)
		return theirs
	}
	theirs := exchange()
	hello.Proof = peer.Prove([]byte("secret"), theirs.Challenge, hello.Name, hello.Incarnation)
	exchange()
	return c
}

func sendFrame(c net.Conn, f *peer.Frame, msg any) {
	body, err := msgpack.Marshal(msg)
	So(err, ShouldBeNil)
	f.Body = body
	data, err := peer.Append(nil, f)
	So(err, ShouldBeNil)
	_, err = c.Write(data)
	So(err, ShouldBeNil)
}

// An instance of an earlier release would close the connection at the first slice.
func TestLargeReplyToEarlierRelease(t *testing.T) {
	Convey("an instance that doesn't read slices gets a large reply in one frame, also over a thin link", t, func() {
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
		Reset(cancel)
		h := newLargeAnswerer()
		_, address := startThinNetwork(ctx, h, newThinLink())
		c := dialAs(address, peer.Hello{Version: peer.Version, Name: "a", Incarnation: "a#1", Challenge: make([]byte, peer.ChallengeBytes)})
		sendFrame(c, &peer.Frame{Kind: peer.KindSync, Call: 1}, peer.Empty{})
		<-h.queried
		sendFrame(c, &peer.Frame{Kind: peer.KindPlace, Call: 2}, peer.Empty{})
		sizes := make(map[uint64]int)
		for range 2 {
			f, err := peer.Read(c, peer.MaxFrameBytes)
			So(err, ShouldBeNil)
			So(f.Kind, ShouldEqual, peer.KindReply)
			sizes[f.Call] = len(f.Body)
		}
		So(sizes[1], ShouldBeGreaterThan, largeBytes)
		So(sizes[2], ShouldBeBetween, 0, 10)
	})
}

// closedObserver receives the causes for which connections end.
type closedObserver struct{ causes chan error }

func (closedObserver) FrameSent(peers.FrameReport) {}
func (o closedObserver) ConnectionEnded(_ peer.Hello, _ bool, cause error) {
	o.causes <- cause
}

// A frame that a peer doesn't finish, or that expands without end, would take memory for as long as the peer lives.
func TestBadSlicesCloseConnection(t *testing.T) {
	Convey("a peer", t, func() {
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
		Reset(cancel)
		o := closedObserver{make(chan error, 1)}
		var held atomic.Int64
		n := peers.New(peers.Config{
			Name: "b", Incarnation: "b#1", Address: "127.0.0.1:0", Secret: []byte("secret"), Observer: o, CountFrame: func(n int64) { held.Add(n) },
		}, answerer{})
		address, err := n.Listen()
		So(err, ShouldBeNil)
		go n.Run(ctx)
		c := dialAs(address, peer.Hello{
			Version: peer.Version, Name: "a", Incarnation: "a#1", Challenge: make([]byte, peer.ChallengeBytes), Slices: true,
		})
		Convey("that sends a frame that expands beyond the limit loses its connection", func() {
			data, ok := peer.Compress(make([]byte, 2*peer.MaxFrameBytes))
			So(ok, ShouldBeTrue)
			sendFrame(c, &peer.Frame{Kind: peer.KindSlice, Call: 1}, peer.Slice{Length: len(data), Compressed: true, Data: data})
			So(errors.Is(<-o.causes, peer.ErrFrame), ShouldBeTrue)
		})
		Convey("that announces more than the limit loses its connection", func() {
			sendFrame(c, &peer.Frame{Kind: peer.KindSlice, Call: 1}, peer.Slice{Length: peer.MaxFrameBytes + 1, Data: []byte("a")})
			So(errors.Is(<-o.causes, transfer.ErrSlice), ShouldBeTrue)
		})
		Convey("that goes away in the middle of a frame leaves no bytes counted", func() {
			sendFrame(c, &peer.Frame{Kind: peer.KindSlice, Call: 1}, peer.Slice{Length: 100_000, Data: make([]byte, 50_000)})
			for held.Load() == 0 && ctx.Err() == nil {
				time.Sleep(time.Millisecond)
			}
			So(held.Load(), ShouldEqual, 50_000)
			So(c.Close(), ShouldBeNil)
			So(<-o.causes, ShouldNotBeNil)
			So(held.Load(), ShouldEqual, 0)
		})
	})
}

// Without a bound, a peer that is frozen would hold what is to be sent to it for as long as its connection lives.
func TestPeerThatStopsReading(t *testing.T) {
	t.Parallel()
	Convey("a peer that takes no bytes loses its connection", t, func() {
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
		Reset(cancel)
		h, link := newLargeAnswerer(), newThinLink()
		b, address := startThinNetwork(ctx, h, link)
		a, _ := startNetwork("a")
		So(a.Connect(ctx, "b", address), ShouldBeNil)
		link.bytesPerSecond.Store(0)
		So(errors.Is(a.Call(ctx, "b", address, peer.KindSync, peer.Empty{}, &peer.Empty{}), peers.ErrClosed), ShouldBeTrue)
		for b.Connections() > 0 && ctx.Err() == nil {
			time.Sleep(time.Millisecond)
		}
		So(ctx.Err(), ShouldBeNil)
	})
}
