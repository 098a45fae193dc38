package gateway_test

import (
	"context"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumvale/internal/protocol/peer"
	"gypsumvale/internal/settings"
	"gypsumvale/internal/standin/hosted"
)

// sync asks for what is newer than an earlier reply.
func (p *testPeer) sync(earlier *peer.SyncReply, hold time.Duration) *peer.SyncReply {
	ctx, cancel := context.WithTimeout(context.Background(), peerCallTimeout)
	defer cancel()
	var reply peer.SyncReply
	query := peer.SyncRequest{Run: earlier.Run, Seen: earlier.Seen, MaxDelay: hold}
	So(p.network.Call(ctx, p.leader.cfg.Name, p.leader.cfg.Peers, peer.KindSync, query, &reply), ShouldBeNil)
	return &reply
}

func TestFailedReadKeptFromFollowers(t *testing.T) {
	Convey("a relay answers held queries once a read of the store has failed", t, func() {
		s := newSite()
		s.putConfiguration(defaultSpec())
		s.addEndpoint(hosted.EndpointConfig{ID: "cal-0", Service: "calendar", Work: time.Millisecond})
		s.addEntryWith(func(cfg *settings.Hosted) { cfg.MaxLeavingDelay = 4 * time.Second })
		p := s.startPeer()
		// Longer than the poll period. The next read begins half a second after a slow one has ended.
		const hold = 1100 * time.Millisecond
		s.store.SetFault(hosted.StoreFault{PageDelay: 500 * time.Millisecond})
		reply := &peer.SyncReply{}
		for range 4 {
			reply = p.sync(reply, hold)
		}
		So(reply.ReadsStore, ShouldBeTrue)
		s.store.SetFault(hosted.StoreFault{Down: true})
		for range 4 {
			if reply.ReadsStore {
				reply = p.sync(reply, hold)
			}
		}
		So(reply.Delay, ShouldBeLessThan, hold)
		So(reply.ReadsStore, ShouldBeFalse)
	})
}

func TestRevisionsOfEarlierRelease(t *testing.T) {
	Convey("a relay sends an entry of an earlier release revisions as the store has them, to which that entry compares its own reads", t, func() {
		s := newSite()
		s.putConfiguration(defaultSpec())
		s.addEndpoint(hosted.EndpointConfig{ID: "cal-0", Service: "calendar", Work: time.Millisecond})
		s.addEntry()
		p := s.startPeer()
		reply := p.sync(&peer.SyncReply{}, 0)
		So(reply.Ready, ShouldBeTrue)
		So(reply.OperatorRevision, ShouldEqual, s.store.ModRevision("op/config"))
		So(reply.OperatorItems, ShouldHaveLength, 1)
		So(reply.OperatorItems[0].Revision, ShouldEqual, s.store.ModRevision("op/config"))
		const lowest = uint64(1 << 40)
		So(reply.RegistrationsRevision, ShouldBeBetween, 0, lowest)
		So(reply.Revision, ShouldBeBetween, 0, lowest)
		So(reply.SystemKeys, ShouldNotBeEmpty)
		for _, item := range reply.SystemKeys {
			So(item.Revision, ShouldEqual, s.store.ModRevision(item.Key))
		}
		Convey("and only what is newer than the entry has", func() {
			ctx, cancel := context.WithTimeout(context.Background(), peerCallTimeout)
			defer cancel()
			query := peer.SyncRequest{OperatorRevision: reply.OperatorRevision}
			var again peer.SyncReply
			So(p.network.Call(ctx, p.leader.cfg.Name, p.leader.cfg.Peers, peer.KindSync, query, &again), ShouldBeNil)
			So(again.OperatorItems, ShouldBeEmpty)
		})
	})
}

// Guards against an entry of an earlier release that takes its configuration for unconfirmed, since its relay has started after the last key
// that the entry has seen was removed.
func TestRemovedKeyOfEarlierRelease(t *testing.T) {
	Convey("a relay tells an entry that has a removed key that nothing is newer, as far as the store has been read", t, func() {
		s := newSite()
		s.putConfiguration(defaultSpec())
		s.addEndpoint(hosted.EndpointConfig{ID: "cal-0", Service: "calendar", Work: time.Millisecond})
		s.evacuate("quay")
		removed := s.store.ModRevision("op/evacuate/quay")
		s.store.Delete("op/evacuate/quay")
		s.addEntry()
		p := s.startPeer()
		for held, want := range map[uint64]uint64{removed: removed, 1 << 30: s.store.ModRevision("op/config")} {
			ctx, cancel := context.WithTimeout(context.Background(), peerCallTimeout)
			defer cancel()
			var reply peer.SyncReply
			So(p.network.Call(ctx, p.leader.cfg.Name, p.leader.cfg.Peers, peer.KindSync, peer.SyncRequest{OperatorRevision: held}, &reply), ShouldBeNil)
			So(reply.OperatorRevision, ShouldEqual, want)
		}
	})
}
