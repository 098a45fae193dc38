package gateway_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/vmihailenco/msgpack/v5"

	"gypsumvale/internal/coordination/placement"
	"gypsumvale/internal/protocol/peer"
	"gypsumvale/internal/settings"
	"gypsumvale/internal/standin/hosted"
	"gypsumvale/internal/state/kv"
	"gypsumvale/internal/transport/peers"
)

// replacement is a site whose engines don't carry out orders to load weights.
type replacement struct {
	*site
	grace time.Duration
	// end is the end of the time in which older weights may be used, once a version is announced.
	end time.Time
}

// startReplacement starts a site of six engines and some entries, which may use older weights for the given time after the announcement of
// newer ones.
func startReplacement(entryCount int, grace time.Duration, configure func(number int, cfg *settings.Hosted)) *replacement {
	s := &replacement{site: newSite(), grace: grace}
	s.putConfiguration(defaultSpec())
	for i := range 6 {
		s.addEndpoint(hosted.EndpointConfig{ID: fmt.Sprintf("llm-%d", i), Service: "llm", Model: testModel, Version: 1, Events: 6, Work: 5 * time.Millisecond})
	}
	s.eachEndpoint(hosted.EndpointFault{OrderDelay: time.Hour})
	for i := range entryCount {
		s.addEntryWith(func(cfg *settings.Hosted) {
			cfg.OldWeightsGrace = grace
			configure(i, cfg)
		})
	}
	for _, e := range s.entries {
		e.expectReady(true)
	}
	eventually("a leader is elected", func() bool { return s.store.Value("gypsum/lead") != nil })
	for _, e := range s.entries {
		s.expectAnswered(s.call(e, http.MethodPost, "/redraft/", "first"))
	}
	return s
}

func unchanged(int, *settings.Hosted) {}

func (s *replacement) announce(version int) {
	So(s.store.Put("op/version/"+testModel, map[string]any{"Model": testModel, "Version": version}), ShouldBeNil)
	s.end = time.Now().Add(s.grace)
}

// replace stops an entry and starts another process with its settings.
func (s *replacement) replace(e *entry) *entry {
	e.stop()
	return s.startAgain(e)
}

func (s *replacement) startAgain(e *entry) *entry {
	again := s.addEntryWith(func(cfg *settings.Hosted) { *cfg = *e.cfg })
	again.expectReady(true)
	return again
}

// expectNoRuns sends requests to entries for some time, and expects that none begins on an engine.
func (s *replacement) expectNoRuns(entries []*entry, duration time.Duration) {
	begun := func() int {
		runs := 0
		for _, e := range s.endpoints {
			runs += len(e.Runs())
		}
		return runs
	}
	before := begun()
	for until := time.Now().Add(duration); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		for _, e := range entries {
			a := s.call(e, http.MethodPost, "/redraft/", "late")
			if a.status == http.StatusOK {
				So(fmt.Sprintf("answered %s after older weights were no longer allowed", time.Since(s.end)), ShouldBeEmpty)
			}
			So(a.header.Get("Retry-After"), ShouldNotBeEmpty)
		}
	}
	So(begun(), ShouldEqual, before)
}

// A started entry finds a target version in the store that may have been announced long ago. Requests that wait at an engine with older weights
// must not begin there later than the leader allows, which knows the announcement.
func TestStartedEntryLimitsWaitByLeadersBound(t *testing.T) {
	t.Parallel()
	Convey("an entry that has started after new weights were announced, whose leader knows the announcement", t, func() {
		const grace = 5 * time.Second
		s := newSite()
		s.putConfiguration(defaultSpec())
		s.addEndpoint(hosted.EndpointConfig{ID: "llm-0", Service: "llm", Model: testModel, Version: 1, Events: 6, Work: 5 * time.Millisecond})
		leader := s.startSlowLeader(0)
		So(s.store.Put("op/version/"+testModel, map[string]any{"Model": testModel, "Version": 2}), ShouldBeNil)
		const age = 3 * time.Second
		leader.announcedAt = time.Now().Add(-age)
		s.addEntryWith(func(cfg *settings.Hosted) { cfg.OldWeightsGrace = grace }).expectReady(true)
		eventually("the leader places requests", func() bool {
			return s.call(s.entries[0], http.MethodPost, "/redraft/", "soon").status == http.StatusOK
		})
		// The leader's bound ends before the engine starts, the one that the entry would take from its own first read of the version after it.
		start := leader.announcedAt.Add(grace + age/2)
		s.eachEndpoint(hosted.EndpointFault{OrderDelay: time.Hour, StartDelay: time.Until(start)})
		Convey("withdraws a request that the engine hasn't started in time", func() {
			a := s.send(s.entries[0], http.MethodPost, "/brief/", "waits")
			So(time.Now(), ShouldHappenBefore, start)
			s.expectRefused(a, http.StatusBadGateway, 0)
		})
	})
	Convey("a leader that chooses older weights", t, func() {
		s := startEngineSite(1)
		p := s.startPeer()
		So(p.requestPlacement(1).TargetVersions, ShouldBeEmpty)
		s.eachEndpoint(hosted.EndpointFault{OrderDelay: time.Hour})
		// By then the leader no longer waits for orders of an earlier one, and the engine has left its order unanswered when it is asked for.
		time.Sleep(s.entries[0].cfg.Lease)
		So(s.store.Put("op/version/"+testModel, map[string]any{"Model": testModel, "Version": 2}), ShouldBeNil)
		announced := time.Now()
		expectAge := func(request func(uint64) peer.PlaceReply) {
			least := time.Since(announced)
			reply := request(2)
			So(reply.Verdict, ShouldEqual, peer.VerdictPlaced)
			So(reply.TargetVersions, ShouldHaveLength, 1)
			So(reply.TargetVersions[0].Version, ShouldEqual, 2)
			So(reply.TargetVersions[0].MaxAge, ShouldBeBetweenOrEqual, least, time.Since(announced)+2*time.Second)
		}
		// The leader reads the store at least once a second.
		time.Sleep(1500 * time.Millisecond)
		Convey("tells how long ago newer ones were announced", func() {
			p.update(1, placement.OutcomeAnswered)
			expectAge(p.requestPlacement)
		})
		Convey("tells it of a request that was queued too", func() {
			So(p.place(2), ShouldEqual, peer.VerdictQueued)
			p.update(1, placement.OutcomeAnswered)
			expectAge(p.await)
		})
	})
}

func TestReplacedWeights(t *testing.T) {
	const grace = 7 * time.Second

	Convey("entries that were all restarted begin no request on weights that had been replaced before", t, func() {
		s := startReplacement(3, grace, unchanged)
		s.announce(2)
		time.Sleep(time.Until(s.end))
		var stopped sync.WaitGroup
		for _, e := range s.entries {
			stopped.Go(e.stop)
		}
		stopped.Wait()
		var again []*entry
		for _, e := range s.entries[:3] {
			again = append(again, s.startAgain(e))
		}
		s.expectNoRuns(again, 2*time.Second)
	})
	Convey("a leader that was restarted chooses no weights that had been replaced before", t, func() {
		s := startReplacement(2, grace, func(number int, cfg *settings.Hosted) {
			if number == 0 {
				// This entry leads, again after its restart.
				cfg.CPUCores = 2
			}
		})
		s.announce(2)
		time.Sleep(time.Until(s.end))
		s.expectNoRuns([]*entry{s.replace(s.entries[0]), s.entries[1]}, 2*time.Second)
	})
	Convey("entries that couldn't read the store when weights were replaced begin no request on these later than others", t, func() {
		s := startReplacement(2, 8*time.Second, func(_ int, cfg *settings.Hosted) { cfg.MaxRevocationDelay = time.Minute })
		s.store.SetFault(hosted.StoreFault{Silent: true})
		s.announce(2)
		time.Sleep(time.Until(s.end))
		s.store.SetFault(hosted.StoreFault{})
		// A call without an answer ends after 0.6 s, and the next follows 0.4 s later.
		time.Sleep(1800 * time.Millisecond)
		s.expectNoRuns(s.entries, time.Second)
	})
	Convey("entries whose store was restored to before the announcement begin no request on replaced weights later than others", t, func() {
		s := startReplacement(2, 8*time.Second, func(_ int, cfg *settings.Hosted) { cfg.MaxRevocationDelay = time.Minute })
		copied := s.store.Copy()
		s.store.SetFault(hosted.StoreFault{Silent: true})
		s.announce(2)
		end := s.end
		time.Sleep(3 * time.Second)
		s.store.Restore(copied)
		s.store.SetFault(hosted.StoreFault{})
		// By then the entries have read the copy.
		time.Sleep(1500 * time.Millisecond)
		s.announce(2)
		s.end = end
		time.Sleep(time.Until(end))
		s.expectNoRuns(s.entries, time.Second)
	})
	Convey("an entry sends no request to weights that it knows to be replaced, whatever the leader chooses", t, func() {
		s := startReplacement(2, 2*time.Second, func(number int, cfg *settings.Hosted) {
			if number == 0 {
				// Only this entry leads.
				cfg.CPUCores, cfg.OldWeightsGrace = 2, time.Minute
			}
		})
		s.announce(2)
		time.Sleep(time.Until(s.end))
		s.expectAnswered(s.call(s.entries[0], http.MethodPost, "/redraft/", "at the leader"))
		s.expectNoRuns(s.entries[1:], time.Second)
	})
	Convey("requests that wait at an engine when its weights may no longer be used", t, func() {
		s := startReplacement(1, 4*time.Second, unchanged)
		s.announce(2)
		send := func(path string, wait time.Duration) response {
			s.eachEndpoint(hosted.EndpointFault{OrderDelay: time.Hour, StartDelay: wait})
			time.Sleep(time.Until(s.end.Add(-2 * time.Second)))
			return s.send(s.entries[0], http.MethodPost, path, "waits")
		}
		Convey("don't begin there if they may be repeated", func() {
			a := send("/redraft/", 2300*time.Millisecond)
			s.expectRefused(a, http.StatusBadGateway, 0)
		})
		Convey("don't begin there if they may not be repeated", func() {
			a := send("/brief/", 2300*time.Millisecond)
			s.expectRefused(a, http.StatusBadGateway, 0)
		})
		Convey("are served if they begin in time", func() { s.expectAnswered(send("/brief/", time.Second)) })
	})
	Convey("entries that were restarted one by one use older weights as long as these are allowed", t, func() {
		s := startReplacement(3, 8*time.Second, unchanged)
		s.announce(2)
		var again []*entry
		for _, e := range s.entries[:3] {
			e := s.replace(e)
			again = append(again, e)
			eventually("a request is served on older weights", func() bool { return s.call(e, http.MethodPost, "/redraft/", "soon").status == http.StatusOK })
		}
		// The entries keep a margin of 1.5 s for requests that wait at an engine.
		So(time.Now(), ShouldHappenBefore, s.end.Add(-1800*time.Millisecond))
		for _, e := range again {
			s.expectAnswered(s.call(e, http.MethodPost, "/redraft/", "still"))
		}
		time.Sleep(time.Until(s.end))
		s.expectNoRuns(again, 200*time.Millisecond)
	})
}

func TestReplacedWeightsAfterTwoRestorations(t *testing.T) {
	Convey("entries whose store was restored twice begin no request on replaced weights later than others", t, func() {
		s := startReplacement(2, 8*time.Second, func(_ int, cfg *settings.Hosted) { cfg.MaxRevocationDelay = time.Minute })
		copied := s.store.Copy()
		s.store.SetFault(hosted.StoreFault{Silent: true})
		s.announce(2)
		end := s.end
		time.Sleep(3 * time.Second)
		s.store.Restore(copied)
		s.store.SetFault(hosted.StoreFault{})
		// By then the entries have read the copy, and the operator still has time to write again.
		time.Sleep(1700 * time.Millisecond)
		s.store.Restore(copied)
		time.Sleep(800 * time.Millisecond)
		s.announce(2)
		s.end = end
		time.Sleep(time.Until(end))
		s.expectNoRuns(s.entries, time.Second)
	})
}

// relayStub is a relay whose replies are set by a test.
type relayStub struct {
	stubPeerHandler

	mu    sync.Mutex
	reply peer.SyncReply
	// silent is true if queries get no reply.
	silent bool
}

func (h *relayStub) Serve(ctx context.Context, _ peer.Hello, kind peer.Kind, _ []byte) (any, error) {
	if kind != peer.KindSync {
		return peer.Empty{}, nil
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.silent {
		h.mu.Unlock()
		<-ctx.Done()
		h.mu.Lock()
		return nil, ctx.Err()
	}
	h.reply.Seen++
	return h.reply, nil
}

// set sets the replies: the operator's items and their revision, and that of the registrations.
func (h *relayStub) set(ready bool, operator, registrations kv.Revision, items ...peer.Item) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.reply = peer.SyncReply{
		Ready: ready, Run: "relay#1", Seen: h.reply.Seen, ReadsStore: true, OperatorRevision: uint64(operator),
		RegistrationsRevision: uint64(registrations), OperatorItems: items,
	}
}

// addRelay registers a stub as the relay of the entries' zone.
func (s *site) addRelay() *relayStub { return s.addRelayNamed("relay") }

func (s *site) addRelayNamed(name string) *relayStub {
	stub := &relayStub{}
	s.addRelayWith(name, "plateau", stub)
	return stub
}

// addRelayWith registers a relay of a zone whose messages are handled by a test.
func (s *site) addRelayWith(name, zone string, h peers.Handler) {
	address := freeAddress()
	network := peers.New(peers.Config{
		Name: name, Incarnation: peers.NewIncarnation(name), Address: address, Secret: s.store.Value("gypsum/secret"),
	}, h)
	_, err := network.Listen()
	So(err, ShouldBeNil)
	runNetwork(network)
	record, err := msgpack.Marshal(map[string]any{"addr": address, "zone": zone, "run": "relay#1", "cpu": 0.5, "link": 1000.0})
	So(err, ShouldBeNil)
	s.store.PutRaw("gypsum/entries/"+name, record)
}

func TestReplacedWeightsByRelayWithLateRegistrations(t *testing.T) {
	Convey("an entry whose relay has read the restored store's configuration, but not its registrations yet", t, func() {
		s := startReplacement(1, 8*time.Second, func(_ int, cfg *settings.Hosted) { cfg.MaxRevocationDelay = time.Minute })
		at := func(era, number uint64) kv.Revision {
			revision, err := kv.NewRevision(era, number)
			So(err, ShouldBeNil)
			return revision
		}
		relay := s.addRelay()
		relay.set(true, at(1, 1000), at(1, 1000))
		time.Sleep(time.Second)
		s.store.SetFault(hosted.StoreFault{Silent: true})
		time.Sleep(time.Second)
		// The version is announced while the relay can't read the store, and lost.
		relay.set(false, 0, 0)
		s.announce(2)
		time.Sleep(3 * time.Second)
		relay.set(true, at(2, 50), at(1, 1000))
		time.Sleep(600 * time.Millisecond)
		data := s.store.Value("op/version/" + testModel)
		relay.set(true, at(2, 61), at(2, 60), peer.Item{Key: "op/version/" + testModel, Data: data, Revision: uint64(at(2, 61))})
		Convey("begins no request on replaced weights later than others", func() {
			time.Sleep(time.Until(s.end))
			s.expectNoRuns(s.entries, time.Second)
		})
	})
}
