package gateway_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	. "github.com/smartystreets/goconvey/convey"

	"gypsumvale/internal/coordination/origin"
	"gypsumvale/internal/coordination/rank"
	"gypsumvale/internal/gateway"
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
// the streams of breakAlone share, so that it places these streams there; entries that place alone don't know that.
func startVersionsKnownToLeader() (s *site, leader *entry, others []*entry) {
	s = startVersions(1)
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

// breakAlone begins streams at entries that place alone, since their leader doesn't answer in time, and that are broken off after three events.
func (s *site) breakAlone(leader *entry, entries []*entry, count int) (broken []brokenStream, release func()) {
	s.eachEndpoint(hosted.EndpointFault{CutAfter: 3})
	release = gateway.HoldPlacement(leader.node)
	var calls sync.WaitGroup
	var mu sync.Mutex
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
	So(broken, ShouldHaveLength, count)
	s.eachEndpoint(hosted.EndpointFault{})
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
		s, leader, others := startVersionsKnownToLeader()
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
