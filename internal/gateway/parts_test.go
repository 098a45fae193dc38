package gateway_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
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

const (
	// deadlyPart crashes each engine that begins to answer a prompt with it.
	deadlyPart = "d7"
	// partContact is how long after the fifth crash requests with the part may still reach engines.
	partContact = time.Second
)

// startPartSite starts entries before eight engines, which crash on deadlyPart and are back after 0.8 s.
func startPartSite(entryCount int) *site {
	s := newSite()
	s.putConfiguration(defaultSpec())
	for i := range 8 {
		e := s.addEndpoint(hosted.EndpointConfig{ID: fmt.Sprintf("llm-%d", i), Service: "llm", Model: testModel, Version: 1, Events: 6, Work: 20 * time.Millisecond})
		e.SetFault(hosted.EndpointFault{CrashOnPart: deadlyPart, RestartAfter: 800 * time.Millisecond})
	}
	for range entryCount {
		s.addEntry()
	}
	for _, e := range s.entries {
		e.expectReady(true)
	}
	eventually("a leader is elected", func() bool { return s.store.Value("gypsum/lead") != nil })
	return s
}

// partRuns returns how many requests whose prompts have a part have reached engines.
func (s *site) partRuns(part string) int {
	n := 0
	for _, e := range s.endpoints {
		for _, r := range e.Runs() {
			if strings.Contains(r.Header.Get("Prompt-Prefix"), part+":") {
				n++
			}
		}
	}
	return n
}

// sendSteadily sends requests at intervals until stopped, at the entries in turn, and counts those sent and those answered. The last part of
// each prompt is its own.
func (s *site) sendSteadily(wg *sync.WaitGroup, stop <-chan struct{}, interval time.Duration, shared string, sent, answered *atomic.Int64) {
	wg.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(interval):
			}
			e := s.entries[i%len(s.entries)]
			sent.Add(1)
			wg.Go(func() {
				own := fmt.Sprintf("e%d", s.requests.Add(1))
				if a := s.send(e, http.MethodPost, "/redraft/", own, "Prompt-Prefix", shared+","+own+":100"); a.status == http.StatusOK && a.complete {
					answered.Add(1)
				}
			})
		}
	})
}

func TestPartThatCrashesEngines(t *testing.T) {
	Convey("requests that differ but share a part that crashes engines", t, func() {
		s := startPartSite(3)
		var wg sync.WaitGroup
		stop := make(chan struct{})
		var deadly, deadlyAnswered, sound, soundAnswered atomic.Int64
		stopped := false
		end := func() {
			if !stopped {
				stopped = true
				close(stop)
				wg.Wait()
			}
		}
		Reset(end)
		// The sound ones have their first part and their workspace's part in common with the others.
		s.sendSteadily(&wg, stop, 15*time.Millisecond, "a1:600,b2:300", &sound, &soundAnswered)
		time.Sleep(500 * time.Millisecond)
		s.sendSteadily(&wg, stop, 40*time.Millisecond, "a1:600,b2:300,"+deadlyPart+":50", &deadly, &deadlyAnswered)

		deadline := time.Now().Add(2 * time.Second)
		for s.partRuns(deadlyPart) < 5 && time.Now().Before(deadline) {
			time.Sleep(10 * time.Millisecond)
		}
		Convey("reach engines three times at most after the fifth crash, and sound requests are served meanwhile", func() {
			time.Sleep(partContact)
			runs, sentBefore, answeredBefore := s.partRuns(deadlyPart), sound.Load(), soundAnswered.Load()
			time.Sleep(2 * time.Second)
			later := s.partRuns(deadlyPart) - runs
			sentLater, answeredLater := sound.Load()-sentBefore, soundAnswered.Load()-answeredBefore
			end()
			t.Logf("%d of %d requests with the part reached engines, %d of them late; %d of %d sound ones answered meanwhile",
				s.partRuns(deadlyPart), deadly.Load(), later, answeredLater, sentLater)
			So(later, ShouldBeLessThanOrEqualTo, 3)
			So(deadlyAnswered.Load(), ShouldEqual, 0)
			So(float64(answeredLater), ShouldBeGreaterThanOrEqualTo, 0.5*float64(sentLater))
		})
	})
}

func TestBlockedPartAfterRestart(t *testing.T) {
	Convey("entries that have all been restarted send no request with a blocked part to an engine", t, func() {
		s := startPartSite(2)
		call := func(e *entry, i int) response {
			return s.call(e, http.MethodPost, "/redraft/", fmt.Sprint(i), "Prompt-Prefix", fmt.Sprintf("a1:600,b2:300,%s:50,f%d:100", deadlyPart, i))
		}
		for i := range 4 {
			call(s.entries[i%2], i)
		}
		So(call(s.entries[0], 4).status, ShouldEqual, http.StatusInternalServerError)
		time.Sleep(time.Second)
		for _, e := range s.entries {
			e.stop()
		}
		runs := s.partRuns(deadlyPart)
		e := s.addEntry()
		e.expectReady(true)
		for i := range 3 {
			So(call(e, 10+i).status, ShouldEqual, http.StatusInternalServerError)
		}
		So(s.partRuns(deadlyPart), ShouldEqual, runs)
		Convey("and serve sound ones", func() { s.expectAnswered(s.call(e, http.MethodPost, "/redraft/", "sound")) })
	})
}

// blockPrefix begins the keys of the blocks that entries keep in the store.
const blockPrefix = "gypsum/blocked/"

// putBlock stores a block of two sound parts under another key than the leader's, and waits until the leader has replaced the key and all
// entries have read that.
func (s *site) putBlock() {
	const key = blockPrefix + "00"
	data, err := msgpack.Marshal(map[string]any{"service": "llm", "parts": []string{"a1", "b2"}})
	So(err, ShouldBeNil)
	s.store.PutRaw(key, data)
	eventually("the leader replaces the key", func() bool { return s.store.Value(key) == nil })
	time.Sleep(time.Second)
}

// callBlocked sends a prompt with the parts of putBlock's block. Prompts are sent only once the block applies: an answer would refute it.
func (s *site) callBlocked(e *entry) int {
	own := fmt.Sprintf("f%d", s.requests.Add(1))
	return s.call(e, http.MethodPost, "/redraft/", own, "Prompt-Prefix", "a1:600,b2:300,"+own+":100").status
}

func TestBlockEndsWithReplacedKey(t *testing.T) {
	Convey("a block applies at all entries after the leader has replaced its key", t, func() {
		s := startPartSite(2)
		s.putBlock()
		So(s.store.Keys(blockPrefix), ShouldHaveLength, 1)
		for _, e := range s.entries {
			So(s.callBlocked(e), ShouldEqual, http.StatusInternalServerError)
		}
	})
}

func TestBlockOutlivesItsKey(t *testing.T) {
	Convey("entries that have adopted a block of sound parts serve prompts with them once the block is gone from the store", t, func() {
		s := startPartSite(2)
		s.putBlock()
		for _, e := range s.entries {
			So(s.callBlocked(e), ShouldEqual, http.StatusInternalServerError)
		}
		for _, key := range s.store.Keys(blockPrefix) {
			s.store.Delete(key)
		}
		for _, e := range s.entries {
			eventually("prompts with the parts are served", func() bool { return s.callBlocked(e) == http.StatusOK })
		}
	})
}

func TestBlocksOfRestoredStore(t *testing.T) {
	Convey("a block that a copy lacks from which the store is restored goes on to apply", t, func() {
		s := startPartSite(2)
		copied := s.store.Copy()
		s.putBlock()
		s.store.Restore(copied)
		eventually("the leader writes the block again", func() bool { return len(s.store.Keys(blockPrefix)) == 1 })
		time.Sleep(time.Second)
		for _, e := range s.entries {
			So(s.callBlocked(e), ShouldEqual, http.StatusInternalServerError)
		}
	})
	Convey("a block that had been lifted before the store was restored from a copy with it", t, func() {
		s := startPartSite(2)
		s.putBlock()
		copied := s.store.Copy()
		for _, key := range s.store.Keys(blockPrefix) {
			s.store.Delete(key)
		}
		for _, e := range s.entries {
			eventually("prompts with the parts are served", func() bool { return s.callBlocked(e) == http.StatusOK })
		}
		s.store.Restore(copied)
		Convey("doesn't apply again", func() {
			for until := time.Now().Add(2 * time.Second); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
				for _, e := range s.entries {
					So(s.callBlocked(e), ShouldEqual, http.StatusOK)
				}
			}
		})
		Convey("is removed from the store", func() {
			eventually("the block is gone", func() bool { return len(s.store.Keys(blockPrefix)) == 0 })
		})
	})
}

func TestErrorsClearNoParts(t *testing.T) {
	Convey("engines that answer with errors, beside others that crash on a part", t, func() {
		s := startPartSite(2)
		for i, e := range s.endpoints {
			if i%2 == 0 {
				e.SetFault(hosted.EndpointFault{Status: http.StatusInternalServerError, StatusBody: 10})
			}
		}
		crashes := func() int {
			n := 0
			for i, e := range s.endpoints {
				if i%2 == 1 {
					n += len(e.Runs())
				}
			}
			return n
		}
		Convey("don't lift the suspicion of the part", func() {
			for i := range 60 {
				own := fmt.Sprint("f", i)
				s.call(s.entries[i%2], http.MethodPost, "/redraft/", own, "Prompt-Prefix", "a1:600,"+deadlyPart+":50,"+own+":100")
				time.Sleep(20 * time.Millisecond)
			}
			So(crashes(), ShouldBeLessThanOrEqualTo, 5)
		})
	})
}

// reportCrash reports that an engine has just crashed with a prompt whose answer was beginning.
func (p *testPeer) reportCrash(endpoint string, parts ...string) {
	p.reportOldCrash(endpoint, 10*time.Millisecond, parts...)
}

// reportOldCrash reports that an engine crashed some time ago with a prompt whose answer was beginning.
func (p *testPeer) reportOldCrash(endpoint string, age time.Duration, parts ...string) {
	ctx, cancel := context.WithTimeout(context.Background(), peerCallTimeout)
	defer cancel()
	So(p.network.Call(ctx, p.leader.cfg.Name, p.leader.cfg.Peers, peer.KindCrashReport, peer.CrashReport{
		Digest: endpoint, Endpoint: endpoint, Service: "llm", Parts: parts, Answering: true,
		SentAge: age + 290*time.Millisecond, BrokenAge: age,
	}, &peer.Empty{}), ShouldBeNil)
}

// reportCleared reports that an answer to a prompt with some parts began some time ago.
func (p *testPeer) reportCleared(age time.Duration, parts ...string) {
	ctx, cancel := context.WithTimeout(context.Background(), peerCallTimeout)
	defer cancel()
	So(p.network.Call(ctx, p.leader.cfg.Name, p.leader.cfg.Peers, peer.KindPartsCleared, peer.PartsCleared{
		Service: "llm", Parts: parts, Age: age,
	}, &peer.Empty{}), ShouldBeNil)
}

// placePart requests a placement of a prompt with a shared part.
func (p *testPeer) placePart(number uint64, part string) peer.PlaceVerdict {
	ctx, cancel := context.WithTimeout(context.Background(), peerCallTimeout)
	defer cancel()
	var reply peer.PlaceReply
	So(p.network.Call(ctx, p.leader.cfg.Name, p.leader.cfg.Peers, peer.KindPlace, peer.PlaceRequest{
		Request: placement.Request{
			ID: placement.AssignmentID{Number: number}, Service: "llm", Zone: "plateau", Model: testModel, Prompt: 1000, Output: 6,
			Parts: []prompt.Part{{ID: part, Tokens: 900}, {ID: fmt.Sprint("own", number), Tokens: 100}},
		},
		Deadline: 15 * time.Second, FirstEventTimeout: 3 * time.Second,
	}, &reply), ShouldBeNil)
	return reply.Verdict
}

// clearedRecorder records the parts that a leader reports as cleared.
type clearedRecorder struct {
	stubPeerHandler

	mu      sync.Mutex
	cleared []peer.PartsCleared
}

func (c *clearedRecorder) Serve(_ context.Context, _ peer.Hello, kind peer.Kind, body []byte) (any, error) {
	if kind == peer.KindPartsCleared {
		var m peer.PartsCleared
		if err := msgpack.Unmarshal(body, &m); err != nil {
			return nil, fmt.Errorf("decode: %w", err)
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		c.cleared = append(c.cleared, m)
	}
	return peer.Empty{}, nil
}

func (c *clearedRecorder) list() []peer.PartsCleared {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]peer.PartsCleared(nil), c.cleared...)
}

// startRecorder registers another instance, and waits until the leader knows it.
func (s *site) startRecorder() *clearedRecorder {
	c := &clearedRecorder{}
	network := peers.New(peers.Config{
		Name: "recorder", Incarnation: "recorder#1", Address: "127.0.0.1:0", Secret: s.store.Value("gypsum/secret"),
	}, c)
	address, err := network.Listen()
	So(err, ShouldBeNil)
	runNetwork(network)
	data, err := msgpack.Marshal(map[string]any{"addr": address, "zone": "quay", "run": "recorder#1", "cpu": 1.0, "link": 0.0})
	So(err, ShouldBeNil)
	s.store.PutRaw("gypsum/entries/recorder", data)
	time.Sleep(1500 * time.Millisecond)
	return c
}

// reportFirstEvent reports the first event of a placement.
func (p *testPeer) reportFirstEvent(number uint64) {
	ctx, cancel := context.WithTimeout(context.Background(), peerCallTimeout)
	defer cancel()
	So(p.network.Call(ctx, p.leader.cfg.Name, p.leader.cfg.Peers, peer.KindAssignmentUpdate, peer.AssignmentUpdate{
		Service: "llm", Number: number,
	}, &peer.Empty{}), ShouldBeNil)
}

// An entry whose request was answered before it hears of a crash has nothing to report, so that other entries would keep the part charged.
func TestAnswerPrecedesCrashReport(t *testing.T) {
	Convey("a leader tells its peers which parts an answer has cleared", t, func() {
		s := startPartSite(1)
		p := s.startPeer()
		c := s.startRecorder()
		expectCleared := func(parts ...string) {
			eventually("parts are reported as cleared", func() bool { return len(c.list()) > 0 })
			So(c.list()[0].Service, ShouldEqual, "llm")
			So(c.list()[0].Parts, ShouldResemble, parts)
		}
		Convey("when the crash is reported after the answer has begun", func() {
			So(p.placePart(1, "b2"), ShouldEqual, peer.VerdictPlaced)
			p.reportFirstEvent(1)
			answered := time.Now()
			time.Sleep(200 * time.Millisecond)
			reported := time.Since(answered)
			p.reportOldCrash("llm-8", time.Second, "b2", "c3")
			expectCleared("b2")
			So(c.list()[0].Age, ShouldBeBetweenOrEqual, reported, reported+time.Second)

			p.reportOldCrash("llm-8", time.Second, "b2")
			time.Sleep(200 * time.Millisecond)
			So(c.list(), ShouldHaveLength, 1)
		})
		Convey("when the instance that was answered doesn't know the crash", func() {
			So(p.placePart(1, "b2"), ShouldEqual, peer.VerdictPlaced)
			p.reportCrash("llm-8", "b2")
			p.reportFirstEvent(1)
			expectCleared("b2")
		})
		Convey("but not when the crash is later", func() {
			So(p.placePart(1, "b2"), ShouldEqual, peer.VerdictPlaced)
			p.reportFirstEvent(1)
			time.Sleep(200 * time.Millisecond)
			p.reportCrash("llm-8", "b2")
			time.Sleep(200 * time.Millisecond)
			So(c.list(), ShouldBeEmpty)
		})
	})
	Convey("an entry that hears of an answer between two crashes blocks no part with it", t, func() {
		s := startPartSite(1)
		p := s.startPeer()
		p.reportOldCrash("llm-8", 900*time.Millisecond, "b2")
		p.reportCleared(500*time.Millisecond, "b2")
		p.reportCrash("llm-9", "b2")
		So(p.placePart(1, "b2"), ShouldEqual, peer.VerdictPlaced)
	})
	Convey("an entry that hears late of an answer before the last two crashes goes on blocking the part", t, func() {
		s := startPartSite(1)
		p := s.startPeer()
		p.reportOldCrash("llm-8", 900*time.Millisecond, "b2")
		p.reportCrash("llm-9", "b2")
		p.reportCleared(time.Second, "b2")
		So(p.placePart(1, "b2"), ShouldEqual, peer.VerdictBlocked)
	})
}

func TestFrozenEntryHoldsPart(t *testing.T) {
	Convey("callers with sound requests are served while an entry is frozen whose request with one of their parts has been placed", t, func() {
		s := startPartSite(1)
		p := s.startPeer()
		p.reportCrash("llm-8", "a1", "b2")
		So(p.placePart(1, "b2"), ShouldEqual, peer.VerdictPlaced)
		began := time.Now()
		for i := range 3 {
			own := fmt.Sprint("f", i)
			a := s.call(s.entries[0], http.MethodPost, "/redraft/", own, "Prompt-Prefix", "a1:600,b2:300,"+own+":100")
			t.Logf("status %d after %v", a.status, time.Since(began))
			s.expectAnswered(a)
		}
	})
}

func TestEndOvertakesCrashReport(t *testing.T) {
	Convey("a leader that learns of the end of a request with a suspected part before the report of the crash that ended it", t, func() {
		s := startPartSite(1)
		p := s.startPeer()
		ctx, cancel := context.WithTimeout(context.Background(), peerCallTimeout)
		defer cancel()
		call := func(kind peer.Kind, msg, reply any) {
			So(p.network.Call(ctx, p.leader.cfg.Name, p.leader.cfg.Peers, kind, msg, reply), ShouldBeNil)
		}
		p.reportCrash("llm-8", "b2")
		So(p.placePart(1, "b2"), ShouldEqual, peer.VerdictPlaced)
		So(p.placePart(2, "b2"), ShouldEqual, peer.VerdictQueued)
		Convey("places no other request with the part", func() {
			call(peer.KindAssignmentUpdate, peer.AssignmentUpdate{
				Service: "llm", Number: 1, Outcome: placement.OutcomeUnreachable, Crash: &peer.CrashReport{
					Digest: "d", Endpoint: "llm-7", Service: "llm", Parts: []string{"b2"}, Answering: true,
					SentAge: 5 * time.Millisecond, BrokenAge: time.Millisecond,
				},
			}, &peer.Empty{})
			var reply peer.PlaceReply
			call(peer.KindAwaitPlacement, peer.AwaitPlacement{Service: "llm", Number: 2}, &reply)
			So(reply.Verdict, ShouldEqual, peer.VerdictBlocked)
			So(p.placePart(3, "b2"), ShouldEqual, peer.VerdictBlocked)
		})
		Convey("places the next one if an entry of the release before reports an end without a crash", func() {
			call(peer.KindAssignmentUpdate, struct {
				Service string
				Number  uint64
				End     placement.Outcome
			}{"llm", 1, placement.OutcomeRejected}, &peer.Empty{})
			var reply peer.PlaceReply
			call(peer.KindAwaitPlacement, peer.AwaitPlacement{Service: "llm", Number: 2}, &reply)
			So(reply.Verdict, ShouldEqual, peer.VerdictPlaced)
		})
	})
	Convey("an entry whose engine crashes with two requests", t, func() {
		s, leader := startSiteWithSlowLeader(0)
		s.eachEndpoint(hosted.EndpointFault{StartDelay: 200 * time.Millisecond, CrashOnPart: deadlyPart})
		var wg sync.WaitGroup
		for _, part := range []string{deadlyPart, "a1"} {
			wg.Go(func() { s.send(s.entries[0], http.MethodPost, "/brief/", part, "Prompt-Prefix", part+":600,own:100") })
			time.Sleep(100 * time.Millisecond)
		}
		wg.Wait()
		Convey("reports the crash with the end of each, whichever of them has noticed it first", func() {
			eventually("both ends have been reported", func() bool { return len(leader.crashes()) == 2 })
			crashes := leader.crashes()
			So(crashes[deadlyPart].Answering, ShouldBeTrue)
			So(crashes["a1"].Answering, ShouldBeFalse)
			So(crashes["a1"].Endpoint, ShouldEqual, "llm-0")
			So(crashes["a1"].SentAge, ShouldBeGreaterThan, crashes["a1"].BrokenAge)
		})
	})
}
