package gateway_test

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	. "github.com/smartystreets/goconvey/convey"

	"gypsumvale/internal/coordination/origin"
	"gypsumvale/internal/coordination/rank"
	"gypsumvale/internal/gateway"
	"gypsumvale/internal/settings"
	"gypsumvale/internal/standin/hosted"
)

// journal returns the streams that are in the journal in the store.
func (s *site) journal() map[uint64]origin.Origin {
	const within = 20 * time.Second
	all := make(map[uint64]origin.Origin)
	for _, key := range s.store.Keys("gypsum-streams/") {
		streams, err := origin.ReadPage(s.store.Value(key), time.Now(), within)
		So(err, ShouldBeNil)
		for stream, o := range streams {
			all[stream] = o
		}
	}
	return all
}

// stopAll stops entries at once.
func stopAll(entries []*entry) {
	var stops sync.WaitGroup
	for _, e := range entries {
		stops.Go(e.stop)
	}
	stops.Wait()
}

// startRegistrars starts entries, and returns the one that leads, which isn't told of streams as a registrar, and the others. Of these, the second
// and the last but one aren't registrars either.
func (s *site) startRegistrars() (leader *entry, others []*entry) {
	const entryCount, registrars = 6, 3
	if len(s.entries) == 0 {
		s.addEntry().expectReady(true)
	}
	leader = s.entries[0]
	eventually("an entry leads", func() bool { return gateway.Leads(leader.node) })
	for range entryCount - 1 {
		s.addEntry().expectReady(true)
	}
	names := make([]string, 0, entryCount)
	for _, e := range s.entries {
		names = append(names, e.cfg.Name)
	}
	chosen := rank.Top("origins", names, registrars)
	for _, i := range []int{0, 2, 4} {
		So(chosen, ShouldNotContain, names[i])
	}
	So(gateway.Leads(leader.node), ShouldBeTrue)
	return leader, s.entries[1:]
}

// startVersionsKnownToLeader starts a site of two software versions as startRegistrars. The leader knows that an engine of v2 has read the text that
// the streams of breakShared have in common, so that it places these streams there; entries that place alone don't know that.
func startVersionsKnownToLeader(configure func(leader *settings.Hosted)) (s *site, leader *entry, others []*entry) {
	s = startVersions(0)
	s.addEntryWith(configure).expectReady(true)
	s.awaitSettled("v1", "v2")
	leader, others = s.startRegistrars()
	spec := defaultSpec()
	spec.Version, spec.Routes[2].MaxAttempts = 9, 1
	engine, ok := spec.Services[1]["Engine"].(map[string]any)
	So(ok, ShouldBeTrue)
	// Engines don't get the text from each other.
	engine["LinkMbps"] = 1
	s.putConfiguration(spec)
	eventually("the versions are on record", func() bool { return s.store.ModRevision("gypsum/versions") > 0 })
	time.Sleep(time.Second)
	for _, endpoint := range s.endpoints[:2] {
		endpoint.SetFault(hosted.EndpointFault{Full: true})
	}
	for i := range 4 {
		a := s.call(leader, http.MethodPost, "/redraft/", "plan", "Prompt-Prefix", fmt.Sprintf("shared:12000,first%d:100", i), "Token-Usage", "12100,6")
		So(softwareOf(s.runs(a.id)[0].Endpoint), ShouldEqual, "v2")
	}
	time.Sleep(time.Second)
	So(gateway.Leads(leader.node), ShouldBeTrue)
	return s, leader, others
}

// breakShared begins streams at entries at once, whose prompts share a text, and that are broken off after three events. It makes no assertions, so
// that it may run in a goroutine; streams that don't begin, or not as they should, are left out.
func (s *site) breakShared(entries []*entry, count int) []brokenStream {
	var calls sync.WaitGroup
	var mu sync.Mutex
	var broken []brokenStream
	for i := range count {
		calls.Go(func() {
			parts := fmt.Sprintf("shared:12000,own%d:100", i)
			a := s.send(entries[i%len(entries)], http.MethodPost, "/redraft/", "plan", "Prompt-Prefix", parts, "Token-Usage", "12100,6")
			mu.Lock()
			defer mu.Unlock()
			if runs := s.runs(a.id); len(runs) == 1 && a.body == hosted.Stream(3) {
				broken = append(broken, brokenStream{a.id, parts, 3, softwareOf(runs[0].Endpoint)})
			}
		})
	}
	calls.Wait()
	return broken
}

// breakAlone is breakShared at entries that place alone, since the leader doesn't answer in time.
func (s *site) breakAlone(leader *entry, entries []*entry, count int) (broken []brokenStream, release func()) {
	s.eachEndpoint(hosted.EndpointFault{CutAfter: 3})
	release = gateway.HoldPlacement(leader.node)
	broken = s.breakShared(entries, count)
	s.eachEndpoint(hosted.EndpointFault{})
	So(broken, ShouldHaveLength, count)
	return broken, release
}

// stopBeganAt stops the engines at which streams began, and starts one of v1 in their place.
func (s *site) stopBeganAt(broken []brokenStream) {
	gone := make(map[string]bool)
	for _, b := range broken {
		gone[s.runs(b.id)[0].Endpoint] = true
	}
	for _, endpoint := range s.endpoints {
		if gone[endpoint.ID()] {
			endpoint.Stop()
			s.store.Delete("servers/" + endpoint.ID())
		}
	}
	s.addEndpoint(hosted.EndpointConfig{
		ID: "llm-v1-2", Service: "llm", Model: testModel, Version: 1, Software: "v1", Events: 6, Work: 5 * time.Millisecond,
	})
}

// Guards against streams that go on at the version at which a leader placed them, though they began at another one.
func TestStreamPlacedElsewhere(t *testing.T) {
	t.Parallel()
	Convey("streams that the leader placed, and that entries without its reply began, some at another version", t, func() {
		const streams = 24
		s, leader, others := startVersionsKnownToLeader(func(*settings.Hosted) {})
		broken, release := s.breakAlone(leader, others, streams)
		Convey("aren't joined if all entries were restarted before the leader heard where they began", func() {
			stopAll(others)
			release()
			time.Sleep(600 * time.Millisecond)
			leader.stop()
			journal, elsewhere := s.journal(), 0
			for _, b := range broken {
				if placed := journal[xxhash.Sum64String(b.id)]; placed.Placed && placed.Software != b.software {
					elsewhere++
				}
			}
			So(elsewhere, ShouldBeGreaterThan, 0)
			s.stopBeganAt(broken)
			e := s.addEntry()
			e.expectReady(true)
			_, joined := s.takeUp(e, broken)
			So(joined, ShouldEqual, 0)
		})
		Convey("go on where they began if all entries were restarted after the leader has heard of it", func() {
			release()
			time.Sleep(time.Second)
			for _, e := range others {
				s.call(e, http.MethodPost, "/redraft/", "plan")
			}
			time.Sleep(600 * time.Millisecond)
			stopAll(s.entries)
			s.stopBeganAt(broken)
			e := s.addEntry()
			e.expectReady(true)
			wentOn, joined := s.takeUp(e, broken)
			So(joined, ShouldEqual, 0)
			So(wentOn, ShouldEqual, streams)
		})
	})
}

// Guards against take-ups that are rejected since only an entry that is gone knew of streams that began before a second version came.
func TestStreamBegunAloneBeforeSecondVersion(t *testing.T) {
	t.Parallel()
	Convey("streams that an entry began alone before a second version came go on after that entry, the leader and their engine are gone", t, func() {
		const streams = 12
		s := newSite()
		spec := defaultSpec()
		spec.Version, spec.Routes[2].MaxAttempts = 9, 1
		s.putConfiguration(spec)
		s.addVersion("v1", 2)
		leader, others := s.startRegistrars()
		eventually("the version is on record", func() bool { return s.store.ModRevision("gypsum/versions") > 0 })
		time.Sleep(time.Second)
		alone, last := others[1], others[3]
		broken, release := s.breakAlone(leader, []*entry{alone}, streams)
		release()
		recorded := s.store.ModRevision("gypsum/versions")
		s.addVersion("v2", 1)
		eventually("both versions are on record", func() bool { return s.store.ModRevision("gypsum/versions") > recorded })
		time.Sleep(time.Second)
		stopAll([]*entry{leader, alone})
		s.stopBeganAt(broken)
		time.Sleep(time.Second)
		wentOn, joined := s.takeUp(last, broken)
		So(joined, ShouldEqual, 0)
		So(wentOn, ShouldEqual, streams)
	})
}

// lossyRelay forwards connections to an address, and drops what arrives while a flag is set: requests, or replies. It returns its own address.
func lossyRelay(address string, dropRequests, dropReplies *atomic.Bool) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	So(err, ShouldBeNil)
	Reset(func() { _ = l.Close() })
	pipe := func(to, from net.Conn, drop *atomic.Bool) {
		defer func() { _ = to.Close() }()
		buf := make([]byte, 1<<16)
		for {
			n, err := from.Read(buf)
			if err != nil {
				return
			}
			if drop.Load() {
				continue
			}
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			up, err := net.Dial("tcp", address)
			if err != nil {
				_ = c.Close()
				continue
			}
			go pipe(up, c, dropRequests)
			go pipe(c, up, dropReplies)
		}
	}()
	return l.Addr().String()
}

// Guards against a leader that takes the first event of a request that an entry has placed alone for that of its own placement of the request,
// whose reply and withdrawal were lost.
func TestStreamOfLostPlacement(t *testing.T) {
	t.Parallel()
	Convey("streams that an entry began alone, while the leader still counts its own placement of them at another version", t, func() {
		const streams, begins = 16, 700 * time.Millisecond
		var dropRequests, dropReplies atomic.Bool
		s, _, others := startVersionsKnownToLeader(func(cfg *settings.Hosted) {
			cfg.Advertise = lossyRelay(cfg.Peers, &dropRequests, &dropReplies)
		})
		alone, last := others[1], others[3]
		s.eachEndpoint(hosted.EndpointFault{CutAfter: 3, StartDelay: begins})
		dropReplies.Store(true)
		var calls sync.WaitGroup
		var broken []brokenStream
		calls.Go(func() { broken = s.breakShared([]*entry{alone}, streams) })
		time.Sleep(50 * time.Millisecond)
		// The leader has placed the requests. The entry withdraws them 80 ms after it has asked.
		dropRequests.Store(true)
		time.Sleep(150 * time.Millisecond)
		dropRequests.Store(false)
		dropReplies.Store(false)
		time.Sleep(100 * time.Millisecond)
		// The entry reports its running requests once the leader answers.
		calls.Go(func() { s.send(alone, http.MethodPost, "/redraft/", "plan") })
		calls.Wait()
		s.eachEndpoint(hosted.EndpointFault{})
		So(broken, ShouldHaveLength, streams)
		time.Sleep(300 * time.Millisecond)
		wentOn, joined := s.takeUp(last, broken)
		So(joined, ShouldEqual, 0)
		So(wentOn, ShouldEqual, streams)
	})
}
