package peers_test

import (
	"context"
	"errors"
	"net"
	"syscall"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumvale/internal/protocol/peer"
	"gypsumvale/internal/standin/loopback"
	"gypsumvale/internal/standin/proxy"
	"gypsumvale/internal/transport/peers"
)

// answerer answers every message with an empty one.
type answerer struct{}

func (answerer) Serve(context.Context, peer.Hello, peer.Kind, []byte) (any, error) {
	return peer.Empty{}, nil
}
func (answerer) ConnectionClosed(peer.Hello, bool) {}
func (answerer) ConnectionRejected(string, error)  {}

// startNetwork starts the network of an instance until the test has ended.
func startNetwork(name string) (network *peers.Network, address string) {
	return startNetworkWith(name, func(l net.Listener) net.Listener { return l })
}

// startNetworkWith is startNetwork with another listener in place of the network's own.
func startNetworkWith(name string, wrap func(net.Listener) net.Listener) (network *peers.Network, address string) {
	network = peers.New(peers.Config{
		Name: name, Incarnation: peers.NewIncarnation(name), Address: "127.0.0.1:0", Secret: []byte("secret"),
	}, answerer{})
	address, err := network.Listen()
	So(err, ShouldBeNil)
	peers.WrapListener(network, wrap)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		network.Run(ctx)
	}()
	Reset(func() {
		cancel()
		<-done
	})
	return network, address
}

// startLink starts a proxy before an address.
func startLink(address string, fault proxy.Fault) (link *proxy.Proxy, through string) {
	through, err := loopback.FreeAddress()
	So(err, ShouldBeNil)
	link, err = proxy.Start(through, address)
	So(err, ShouldBeNil)
	link.SetFault(fault)
	Reset(link.Close)
	return link, through
}

// callTimeout is shorter than a handshake through the test's links.
const callTimeout = 80 * time.Millisecond

func call(n *peers.Network, address string) error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	return n.Call(ctx, "b", address, peer.KindPlace, peer.Empty{}, &peer.Empty{})
}

// When all instances connect to a new leader at once, handshakes take longer than a call may. If each call started a dial of its own and
// gave it up, none would ever complete.
func TestSlowHandshake(t *testing.T) {
	Convey("a peer whose handshake takes longer than a call", t, func() {
		a, _ := startNetwork("a")
		_, address := startNetwork("b")
		link, through := startLink(address, proxy.Fault{Delay: callTimeout})

		Convey("answers the next call, because the dial goes on", func() {
			So(errors.Is(call(a, through), peers.ErrUnreachable), ShouldBeTrue)
			link.SetFault(proxy.Fault{})
			// The pause after a failed dial is longer than this.
			time.Sleep(2 * callTimeout)
			So(call(a, through), ShouldBeNil)
		})
		Convey("answers the first call if it was connected to before", func() {
			So(a.Connect(context.Background(), "b", through), ShouldBeNil)
			link.SetFault(proxy.Fault{})
			So(call(a, through), ShouldBeNil)
		})
	})
	Convey("a call to a peer that doesn't complete its handshake ends at its deadline, also behind another call's dial", t, func() {
		a, _ := startNetwork("a")
		_, address := startNetwork("b")
		_, through := startLink(address, proxy.Fault{HoldUp: true})
		go func() { _ = a.Connect(context.Background(), "b", through) }()
		time.Sleep(20 * time.Millisecond)
		started := time.Now()
		So(errors.Is(call(a, through), context.DeadlineExceeded), ShouldBeTrue)
		So(time.Since(started), ShouldBeLessThan, 5*callTimeout)
	})
}

// If the listener is closed only after Run has returned, its address may still be in use when another network listens there.
func TestRunReturnsBeforeListenerCloses(t *testing.T) {
	Convey("a network whose Run has returned has closed its listener and its connections", t, func() {
		address, err := loopback.FreeAddress()
		So(err, ShouldBeNil)
		_, peerAddress := startNetwork("b")
		const rounds = 200
		for range rounds {
			n := peers.New(peers.Config{
				Name: "a", Incarnation: peers.NewIncarnation("a"), Address: address, Secret: []byte("secret"),
			}, answerer{})
			_, err := n.Listen()
			So(err, ShouldBeNil)
			ctx, cancel := context.WithCancel(context.Background())
			done := make(chan struct{})
			go func() {
				defer close(done)
				n.Run(ctx)
			}()
			So(n.Connect(ctx, "b", peerAddress), ShouldBeNil)
			cancel()
			<-done
			So(errors.Is(n.SendNow("b", peerAddress, peer.KindPlace, peer.Empty{}), peers.ErrUnreachable), ShouldBeTrue)
		}
	})
}

// Frames that are counted and not returned would leave no memory for callers in time.
func TestCountedFrames(t *testing.T) {
	Convey("a large frame is counted while it is handled, and a small one isn't", t, func() {
		counts := make(chan int64, 10)
		b := peers.New(peers.Config{
			Name: "b", Incarnation: "b#1", Address: "127.0.0.1:0", Secret: []byte("secret"), CountFrame: func(n int64) { counts <- n },
		}, answerer{})
		address, err := b.Listen()
		So(err, ShouldBeNil)
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
		Reset(cancel)
		go b.Run(ctx)
		a, _ := startNetwork("a")
		So(a.Call(ctx, "b", address, peer.KindPlace, peer.Empty{}, &peer.Empty{}), ShouldBeNil)
		So(a.Call(ctx, "b", address, peer.KindPlace, make([]byte, 5000), &peer.Empty{}), ShouldBeNil)
		size := <-counts
		So(size, ShouldBeGreaterThanOrEqualTo, 5000)
		So(<-counts, ShouldEqual, -size)
	})
}

// shortListener fails a number of accepts for lack of descriptors.
type shortListener struct {
	net.Listener
	failures int
}

func (l *shortListener) Accept() (net.Conn, error) {
	if l.failures > 0 {
		l.failures--
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

// A process that lacks descriptors for a moment must not be deaf to its peers until its restart.
func TestFailedAccepts(t *testing.T) {
	Convey("a network accepts peers after accepts have failed", t, func() {
		a, _ := startNetwork("a")
		_, address := startNetworkWith("b", func(l net.Listener) net.Listener { return &shortListener{l, 3} })
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		So(a.Call(ctx, "b", address, peer.KindPlace, peer.Empty{}, &peer.Empty{}), ShouldBeNil)
	})
}
