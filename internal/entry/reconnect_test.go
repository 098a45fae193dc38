package entry_test

import (
	"context"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumvale/internal/coordination/group"
	"gypsumvale/internal/protocol/peer"
	"gypsumvale/internal/transport/peers"
)

// bookingsGroup is the group of the only endpoint in the instance's configuration, which has bookingsSlots slots.
var bookingsGroup = group.Key{Pool: "service/bookings", Zone: "z0"}

const bookingsSlots = 8

// stubPeerHandler answers every message with an empty one.
type stubPeerHandler struct{}

func (stubPeerHandler) Serve(context.Context, peer.Hello, peer.Kind, []byte) (any, error) {
	return peer.Empty{}, nil
}
func (stubPeerHandler) ConnectionClosed(peer.Hello, bool) {}
func (stubPeerHandler) ConnectionRejected(string, error)  {}

// testConnection is a connection of a process to the instance.
type testConnection struct {
	in      *testInstance
	network *peers.Network
	// close closes the connection, and returns once it is closed.
	close func()
}

// connect opens a connection of a process, which may have others.
func (in *testInstance) connect(name, incarnation string) *testConnection {
	network := peers.New(peers.Config{Name: name, Incarnation: incarnation, Address: "127.0.0.1:0", Secret: []byte(secret)}, stubPeerHandler{})
	_, err := network.Listen()
	So(err, ShouldBeNil)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		network.Run(ctx)
	}()
	c := &testConnection{in: in, network: network, close: func() {
		cancel()
		<-done
	}}
	Reset(c.close)
	So(network.Connect(ctx, "e0", in.peers), ShouldBeNil)
	return c
}

// acquire requests a slot, and reports whether it was granted within a second.
func (c *testConnection) acquire(id uint64) (granted bool, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	var reply peer.GrantReply
	err = c.network.Call(ctx, "e0", c.in.peers, peer.KindGrantRequest, peer.GrantRequest{
		Group:     bookingsGroup,
		Request:   group.GrantRequest{ID: id, Workspace: "shop", Share: 1, Cost: 10 * time.Millisecond},
		Remaining: 10 * time.Second,
	}, &reply)
	return reply.Granted, err
}

// done ends a grant.
func (c *testConnection) done(id uint64) {
	So(c.network.Send(context.Background(), "e0", c.in.peers, peer.KindGrantDone, peer.GrantUpdate{Group: bookingsGroup, ID: id}), ShouldBeNil)
}

// settleTime is longer than the instance takes to handle a message.
const settleTime = 200 * time.Millisecond

// TestRequestOfNewConnectionBeforeOldOneCloses checks that the owner of a group, which notices late that a connection has closed, keeps the
// requests that the same process has sent over a later connection.
func TestRequestOfNewConnectionBeforeOldOneCloses(t *testing.T) {
	in := newTestInstance(t)
	Convey("a process that connects again before its old connection is closed at the owner", t, func() {
		holder := in.connect("holder", peers.NewIncarnation("holder"))
		for id := range uint64(bookingsSlots - 1) {
			granted, err := holder.acquire(id + 1)
			So(err, ShouldBeNil)
			So(granted, ShouldBeTrue)
		}
		incarnation := peers.NewIncarnation("e9")
		before, after := in.connect("e9", incarnation), in.connect("e9", incarnation)
		granted, err := before.acquire(1)
		So(err, ShouldBeNil)
		So(granted, ShouldBeTrue)
		type result struct {
			granted bool
			err     error
		}
		acquire := func() <-chan result {
			results := make(chan result, 1)
			go func() {
				granted, err := after.acquire(2)
				results <- result{granted, err}
			}()
			time.Sleep(settleTime)
			return results
		}
		Convey("is granted a request that was sent over the new one and waits for a slot", func() {
			results := acquire()
			before.close()
			time.Sleep(settleTime)
			holder.done(1)
			r := <-results
			So(r.err, ShouldBeNil)
			So(r.granted, ShouldBeTrue)
		})
		Convey("frees the slots that were granted over the old one", func() {
			results := acquire()
			before.close()
			r := <-results
			So(r.err, ShouldBeNil)
			So(r.granted, ShouldBeTrue)
		})
		Convey("keeps a slot that was granted over the new one", func() {
			holder.done(1)
			time.Sleep(settleTime)
			r := <-acquire()
			So(r.err, ShouldBeNil)
			So(r.granted, ShouldBeTrue)
			before.close()
			time.Sleep(settleTime)
			// One slot is free, which the old connection held.
			granted, err := holder.acquire(bookingsSlots)
			So(err, ShouldBeNil)
			So(granted, ShouldBeTrue)
			_, err = holder.acquire(bookingsSlots + 1)
			So(err, ShouldNotBeNil)
		})
	})
}
