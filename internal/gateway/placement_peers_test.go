package gateway_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumvale/internal/coordination/placement"
	"gypsumvale/internal/protocol/peer"
	"gypsumvale/internal/standin/hosted"
	"gypsumvale/internal/state/prompt"
	"gypsumvale/internal/transport/peers"
)

// testPeer is another instance, which sends a leader any messages in any order.
type testPeer struct {
	leader  *entry
	network *peers.Network
}

// stubPeerHandler answers every message with an empty one.
type stubPeerHandler struct{}

func (stubPeerHandler) Serve(context.Context, peer.Hello, peer.Kind, []byte) (any, error) {
	return peer.Empty{}, nil
}
func (stubPeerHandler) ConnectionClosed(peer.Hello, bool) {}
func (stubPeerHandler) ConnectionRejected(string, error)  {}

// startPeer returns a peer of a site's only entry, once that leads.
func (s *site) startPeer() *testPeer {
	e := s.entries[0]
	e.expectReady(true)
	eventually("a leader is elected", func() bool { return s.store.Value("gypsum/lead") != nil })
	p := &testPeer{leader: e, network: peers.New(peers.Config{
		Name: "peer", Incarnation: peers.NewIncarnation("peer"), Address: "127.0.0.1:0", Secret: s.store.Value("gypsum/secret"),
	}, stubPeerHandler{})}
	_, err := p.network.Listen()
	So(err, ShouldBeNil)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		p.network.Run(ctx)
	}()
	Reset(func() {
		cancel()
		<-done
	})
	return p
}

const peerCallTimeout = 2 * time.Second

// place requests a placement by its number, and returns the verdict.
func (p *testPeer) place(number uint64) peer.PlaceVerdict {
	ctx, cancel := context.WithTimeout(context.Background(), peerCallTimeout)
	defer cancel()
	var reply peer.PlaceReply
	err := p.network.Call(ctx, p.leader.cfg.Name, p.leader.cfg.Peers, peer.KindPlace, peer.PlaceRequest{
		Request: placement.Request{
			ID: placement.AssignmentID{Number: number}, Service: "llm", Zone: "plateau", Model: testModel, Prompt: 1000, Output: 6,
			Parts: []prompt.Part{{ID: fmt.Sprint("own", number), Tokens: 1000}},
		},
		Deadline: 30 * time.Second, FirstEventTimeout: 20 * time.Second,
	}, &reply)
	So(err, ShouldBeNil)
	return reply.Verdict
}

// update reports the end of a placement.
func (p *testPeer) update(number uint64, outcome placement.Outcome) {
	ctx, cancel := context.WithTimeout(context.Background(), peerCallTimeout)
	defer cancel()
	So(p.network.Call(ctx, p.leader.cfg.Name, p.leader.cfg.Peers, peer.KindAssignmentUpdate, peer.AssignmentUpdate{
		Service: "llm", Number: number, Outcome: outcome,
	}, &peer.Empty{}), ShouldBeNil)
}

// startEngineSite starts one entry and one engine with some slots.
func startEngineSite(slots int) *site {
	s := newSite()
	spec := defaultSpec()
	spec.Services[1] = hosted.EngineService("llm", testModel, slots)
	s.putConfiguration(spec)
	s.addEndpoint(hosted.EndpointConfig{
		ID: "llm-0", Service: "llm", Model: testModel, Version: 1, Events: 6, Work: 5 * time.Millisecond, Slots: slots,
	})
	s.addEntry()
	return s
}

func TestPlacementRequestedTwice(t *testing.T) {
	Convey("a leader whose answers are late, and which is asked twice for the same placement", t, func() {
		s := startEngineSite(2)
		p := s.startPeer()
		So(p.place(1), ShouldEqual, peer.VerdictPlaced)
		So(p.place(2), ShouldEqual, peer.VerdictPlaced)
		So(p.place(3), ShouldEqual, peer.VerdictQueued)
		So(p.place(3), ShouldEqual, peer.VerdictQueued)
		Convey("goes on placing after nobody has fetched the grant", func() {
			p.update(1, placement.OutcomeAnswered)
			p.update(2, placement.OutcomeAnswered)
			s.expectAnswered(s.call(s.entries[0], http.MethodPost, "/brief/", "notes"))
		})
	})
}
