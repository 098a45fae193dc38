package gateway_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/vmihailenco/msgpack/v5"

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

// runNetwork runs a peer network until it is stopped, at the latest at the end of the test.
func runNetwork(network *peers.Network) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		network.Run(ctx)
	}()
	stop = func() {
		cancel()
		<-done
	}
	Reset(stop)
	return stop
}

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
	runNetwork(p.network)
	return p
}

const peerCallTimeout = 2 * time.Second

// place requests a placement by its number, and returns the verdict.
func (p *testPeer) place(number uint64) peer.PlaceVerdict { return p.requestPlacement(number).Verdict }

// requestPlacement requests a placement by its number.
func (p *testPeer) requestPlacement(number uint64) peer.PlaceReply {
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
	return reply
}

// await waits for the result of a queued placement.
func (p *testPeer) await(number uint64) peer.PlaceReply {
	ctx, cancel := context.WithTimeout(context.Background(), peerCallTimeout)
	defer cancel()
	var reply peer.PlaceReply
	err := p.network.Call(ctx, p.leader.cfg.Name, p.leader.cfg.Peers, peer.KindAwaitPlacement, peer.AwaitPlacement{
		Service: "llm", Number: number,
	}, &reply)
	So(err, ShouldBeNil)
	return reply
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

func TestPlacementWithdrawnBeforeItArrives(t *testing.T) {
	Convey("a leader that handles a withdrawal before the placement that it withdraws", t, func() {
		s := startEngineSite(1)
		p := s.startPeer()
		p.update(1, placement.OutcomeWithdrawn)
		Convey("gives the slot to the next request", func() {
			So(p.place(1), ShouldEqual, peer.VerdictNotOwner)
			So(p.place(2), ShouldEqual, peer.VerdictPlaced)
		})
	})
}

// slowLeader is a leader that places every request on one endpoint, after a delay.
type slowLeader struct {
	stubPeerHandler
	endpoint *hosted.Endpoint
	delay    time.Duration
	address  string
	stop     func()
	// announcedAt is when version 2 of the weights was announced, or zero if it wasn't.
	announcedAt time.Time
	// fetchFrom is the address from which each request is to fetch its first part, or empty.
	fetchFrom string
	// change changes the answer to the placement with an index, unless it is nil.
	change func(i int, m *peer.PlaceRequest, reply *peer.PlaceReply)

	mu        sync.Mutex
	placed    []uint64
	withdrawn []uint64
	// ends holds the updates that ended placements.
	ends []peer.AssignmentUpdate
}

func (l *slowLeader) Serve(_ context.Context, _ peer.Hello, kind peer.Kind, body []byte) (any, error) {
	switch kind {
	case peer.KindPlace:
		var m peer.PlaceRequest
		if err := msgpack.Unmarshal(body, &m); err != nil {
			return nil, fmt.Errorf("decode: %w", err)
		}
		time.Sleep(l.delay)
		l.mu.Lock()
		defer l.mu.Unlock()
		l.placed = append(l.placed, m.Request.ID.Number)
		reply := peer.PlaceReply{Verdict: peer.VerdictPlaced, Choice: placement.Choice{
			Endpoint: "llm-0", Address: l.endpoint.Address(), Version: 1, CacheSpace: "v1", Expected: time.Millisecond,
		}}
		if l.fetchFrom != "" {
			reply.Choice.FetchFrom = []string{l.fetchFrom, "", ""}
		}
		if !l.announcedAt.IsZero() {
			reply.TargetVersions = []peer.TargetVersion{{Model: testModel, Version: 2, MaxAge: time.Since(l.announcedAt)}}
		}
		if l.change != nil {
			l.change(len(l.placed)-1, &m, &reply)
		}
		return reply, nil
	case peer.KindAssignmentUpdate:
		var m peer.AssignmentUpdate
		if err := msgpack.Unmarshal(body, &m); err != nil {
			return nil, fmt.Errorf("decode: %w", err)
		}
		l.mu.Lock()
		defer l.mu.Unlock()
		if m.Outcome != 0 {
			l.ends = append(l.ends, m)
		}
		if m.Outcome == placement.OutcomeWithdrawn {
			l.withdrawn = append(l.withdrawn, m.Number)
		}
	}
	return peer.Empty{}, nil
}

// lists returns the numbers of the placements so far and of those that were withdrawn.
func (l *slowLeader) lists() (placed, withdrawn []uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]uint64(nil), l.placed...), append([]uint64(nil), l.withdrawn...)
}

// crashes returns the crashes reported with the ends of placements, by the first part of the prompt.
func (l *slowLeader) crashes() map[string]*peer.CrashReport {
	l.mu.Lock()
	defer l.mu.Unlock()
	byPart := make(map[string]*peer.CrashReport)
	for _, m := range l.ends {
		if m.Crash != nil {
			byPart[m.Crash.Parts[0]] = m.Crash
		}
	}
	return byPart
}

// startSlowLeader makes a leader of a site whose entry has not been started yet.
func (s *site) startSlowLeader(delay time.Duration) *slowLeader {
	l := &slowLeader{endpoint: s.endpoints[0], delay: delay}
	secret := []byte("a secret of thirty-two bytes, yes")
	network := peers.New(peers.Config{
		Name: "leader", Incarnation: peers.NewIncarnation("leader"), Address: freeAddress(), Secret: secret,
	}, l)
	address, err := network.Listen()
	So(err, ShouldBeNil)
	l.address, l.stop = address, runNetwork(network)
	put := func(key string, record map[string]any) {
		data, err := msgpack.Marshal(record)
		So(err, ShouldBeNil)
		s.store.PutRaw(key, data)
	}
	s.store.PutRaw("gypsum/secret", secret)
	put("gypsum/lead", map[string]any{"name": "leader"})
	put("gypsum/entries/leader", map[string]any{"addr": address, "zone": "quay", "run": "leader#1", "cpu": 1.0, "link": 0.0})
	return l
}

func startSiteWithSlowLeader(delay time.Duration) (*site, *slowLeader) {
	s := newSite()
	s.putConfiguration(defaultSpec())
	s.addEndpoint(hosted.EndpointConfig{ID: "llm-0", Service: "llm", Model: testModel, Version: 1, Events: 6, Work: 5 * time.Millisecond})
	leader := s.startSlowLeader(delay)
	s.addEntry().expectReady(true)
	return s, leader
}

func TestPlacementAnsweredLate(t *testing.T) {
	Convey("an entry whose leader answers after the entry has placed the request alone", t, func() {
		s, leader := startSiteWithSlowLeader(300 * time.Millisecond)
		Convey("withdraws the placement", func() {
			eventually("the leader has placed a request", func() bool {
				s.expectAnswered(s.call(s.entries[0], http.MethodPost, "/brief/", "notes"))
				placed, _ := leader.lists()
				return len(placed) > 0
			})
			eventually("the placement is withdrawn", func() bool {
				placed, withdrawn := leader.lists()
				return len(withdrawn) > 0 && withdrawn[0] == placed[0]
			})
		})
	})
	Convey("an entry that places a request again", t, func() {
		s, leader := startSiteWithSlowLeader(0)
		s.eachEndpoint(hosted.EndpointFault{Full: true})
		Convey("gives each placement its own number", func() {
			eventually("the leader has placed a request twice", func() bool {
				s.call(s.entries[0], http.MethodPost, "/redraft/", "notes")
				placed, _ := leader.lists()
				return len(placed) > 1
			})
			placed, _ := leader.lists()
			seen := make(map[uint64]bool)
			for _, number := range placed {
				So(seen[number], ShouldBeFalse)
				seen[number] = true
			}
		})
	})
}

// silence stops a leader and accepts connections at its address that are never answered.
func (l *slowLeader) silence() {
	l.stop()
	listener, err := net.Listen("tcp", l.address)
	So(err, ShouldBeNil)
	Reset(func() { _ = listener.Close() })
}

func TestCallerWaitsForSilentLeader(t *testing.T) {
	Convey("an entry whose leader falls silent while a request runs", t, func() {
		const startDelay = 250 * time.Millisecond
		s, leader := startSiteWithSlowLeader(0)
		s.eachEndpoint(hosted.EndpointFault{StartDelay: startDelay, CrashOnPart: deadlyPart})
		// callDuring sends a prompt with a part, and returns its answer and how long after the leader fell silent it came.
		callDuring := func(part string) (response, time.Duration) {
			answered := make(chan response, 1)
			go func() {
				answered <- s.send(s.entries[0], http.MethodPost, "/brief/", "notes", "Prompt-Prefix", part+":600,own:100")
			}()
			eventually("the leader has placed the request", func() bool {
				placed, _ := leader.lists()
				return len(placed) > 0
			})
			leader.silence()
			began := time.Now()
			a := <-answered
			span := time.Since(began)
			t.Logf("status %d after %v", a.status, span)
			return a, span
		}
		Convey("doesn't delay its answer", func() {
			a, span := callDuring("a1")
			So(a.status, ShouldEqual, http.StatusOK)
			So(span, ShouldBeLessThan, startDelay+350*time.Millisecond)
		})
		Convey("doesn't delay the answer when its engine crashes", func() {
			a, span := callDuring(deadlyPart)
			So(a.status, ShouldEqual, http.StatusBadGateway)
			So(span, ShouldBeLessThan, startDelay+350*time.Millisecond)
		})
	})
}
