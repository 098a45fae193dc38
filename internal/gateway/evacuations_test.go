package gateway_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/vmihailenco/msgpack/v5"

	"gypsumvale/internal/protocol/peer"
	"gypsumvale/internal/settings"
	"gypsumvale/internal/standin/hosted"
	"gypsumvale/internal/state/kv"
	"gypsumvale/internal/transport/peers"
)

// evacuationTime is how long after a change to the evacuated zones these sites' entries must have noticed it.
const evacuationTime = 1500 * time.Millisecond

// startZonedSite starts endpoints in the zones plateau and quay, and entries that are ready. The first entry leads and reads the store for the
// others.
func startZonedSite(entryCount int) *site {
	s := newSite()
	s.putConfiguration(defaultSpec())
	for i, zone := range []string{"plateau", "quay"} {
		s.addEndpoint(hosted.EndpointConfig{ID: fmt.Sprintf("cal-%d", i), Service: "calendar", Zone: zone, Work: time.Millisecond})
		s.addEndpoint(hosted.EndpointConfig{
			ID: fmt.Sprintf("llm-%d", i), Service: "llm", Model: testModel, Version: 1, Events: 6, Work: 5 * time.Millisecond, Zone: zone,
		})
	}
	for i := range entryCount {
		s.addEntryWith(func(cfg *settings.Hosted) {
			cfg.CPUCores, cfg.LinkMbps, cfg.Metrics = float64(entryCount-i), float64(100*(entryCount-i)), freeAddress()
		}).expectReady(true)
	}
	if entryCount > 0 {
		eventually("a leader is elected", func() bool { return s.leaderName() != "" })
	}
	return s
}

func (s *site) evacuate(zone string) { s.store.PutRaw("op/evacuate/"+zone, []byte("{}")) }

// arrivalsIn returns the number of requests that have arrived at the endpoints in a zone.
func (s *site) arrivalsIn(zone string) int {
	count := 0
	for i, e := range s.endpoints {
		if []string{"plateau", "quay"}[i/2] == zone {
			count += len(e.Arrivals())
		}
	}
	return count
}

// expectNoneIn sends requests of each kind through all entries for a while, and expects that all are answered and none arrives in a zone.
func (s *site) expectNoneIn(zone string) {
	before := s.arrivalsIn(zone)
	for until := time.Now().Add(700 * time.Millisecond); time.Now().Before(until); {
		for _, e := range s.entries {
			s.expectAnswered(s.call(e, http.MethodGet, "/read/", ""))
			s.expectAnswered(s.call(e, http.MethodPost, "/redraft/", "any"))
		}
	}
	So(s.arrivalsIn(zone), ShouldEqual, before)
}

// expectSomeIn expects that requests through each entry arrive in a zone before long. Entries prefer their own.
func (s *site) expectSomeIn(zone string) {
	for _, e := range s.entries {
		before := s.arrivalsIn(zone)
		eventually("requests arrive in "+zone, func() bool {
			s.call(e, http.MethodGet, "/read/", "")
			return s.arrivalsIn(zone) > before
		})
	}
}

// metricsOf returns the metrics page of an entry.
func metricsOf(e *entry) string {
	resp, err := http.Get("http://" + e.cfg.Metrics + "/metrics")
	So(err, ShouldBeNil)
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	So(err, ShouldBeNil)
	return string(text)
}

func TestRequestSentToEvacuatedZone(t *testing.T) {
	t.Parallel()
	Convey("a site with a zone that the operator evacuates", t, func() {
		s := startZonedSite(2)
		s.expectSomeIn("plateau")
		s.evacuate("plateau")
		s.store.PutRaw("op/evacuate/", []byte("{}"))
		s.store.PutRaw("op/evacuate/elsewhere", []byte{0xff})
		time.Sleep(evacuationTime)
		s.expectNoneIn("plateau")

		Convey("shows it in the metrics of each entry", func() {
			for _, e := range s.entries {
				page := metricsOf(e)
				So(page, ShouldContainSubstring, `gypsum_zone_evacuated_seconds{zone="plateau"}`)
				So(page, ShouldContainSubstring, `gypsum_zone_evacuated_seconds{zone="elsewhere"}`)
				So(page, ShouldContainSubstring, `gypsum_zone_running_requests{zone="plateau"} 0`)
				So(page, ShouldNotContainSubstring, `zone=""`)
			}
		})
		Convey("sends nothing there from an entry that restarts, also while the store is down", func() {
			s.entries[1].stop()
			s.entries = s.entries[:1]
			s.addEntryWith(func(cfg *settings.Hosted) { cfg.Name = "again" }).expectReady(true)
			s.expectNoneIn("plateau")
			s.store.SetFault(hosted.StoreFault{Down: true})
			time.Sleep(300 * time.Millisecond)
			before := s.arrivalsIn("plateau")
			for range 20 {
				s.expectAnswered(s.call(s.entries[1], http.MethodGet, "/public/", ""))
			}
			So(s.arrivalsIn("plateau"), ShouldEqual, before)
		})
		Convey("sends requests there again once the operator has removed the key", func() {
			s.store.Delete("op/evacuate/plateau")
			s.expectSomeIn("plateau")
			So(metricsOf(s.entries[1]), ShouldNotContainSubstring, `zone="plateau"`)
		})
		Convey("refuses requests with a time to return when all zones are evacuated", func() {
			s.evacuate("quay")
			time.Sleep(evacuationTime)
			for _, target := range []string{"/read/", "/redraft/"} {
				a := s.call(s.entries[1], http.MethodPost, target, "any")
				s.expectRefused(a, http.StatusServiceUnavailable, 0)
				So(a.body, ShouldContainSubstring, "zones_evacuated")
				So(a.header.Get("Retry-After"), ShouldNotBeEmpty)
			}
		})
	})
}

func TestEvacuationOfRestoredStore(t *testing.T) {
	t.Parallel()
	Convey("a site whose store is restored from a copy that is older than an evacuation", t, func() {
		s := startZonedSite(2)
		copied := s.store.Copy()
		s.evacuate("plateau")
		time.Sleep(evacuationTime)
		s.store.Restore(copied)
		s.expectNoneIn("plateau")
		Convey("goes on with it if the operator writes it again", func() {
			s.evacuate("plateau")
			time.Sleep(2500 * time.Millisecond)
			s.expectNoneIn("plateau")
		})
		Convey("ends it if the operator doesn't", func() { s.expectSomeIn("plateau") })
	})
}

func TestLeaderGrantsInEvacuatedZone(t *testing.T) {
	t.Parallel()
	Convey("an entry whose leader, of an earlier release, grants only an endpoint in an evacuated zone sends nothing there", t, func() {
		s, leader := startSiteWithSlowLeader(0)
		s.addEndpoint(hosted.EndpointConfig{
			ID: "llm-1", Service: "llm", Model: testModel, Version: 1, Events: 6, Work: 5 * time.Millisecond, Zone: "quay",
		})
		e := s.entries[0]
		eventually("the other engine is known", func() bool {
			return strings.HasPrefix(s.call(e, http.MethodPost, "/redraft/", "any", "Prompt-Prefix", "x:9").header.Get("Response-Seal"), "llm")
		})
		s.evacuate("plateau")
		time.Sleep(evacuationTime)
		before, _ := leader.lists()
		s.expectNoArrivals(e, s.endpoints[0], http.MethodPost, "/redraft/")
		granted, withdrawn := leader.lists()
		So(len(granted), ShouldBeGreaterThan, len(before))
		eventually("all placements are withdrawn", func() bool {
			_, withdrawn = leader.lists()
			return len(withdrawn) >= len(granted)-len(before)
		})
	})
}

// startStub registers a peer in a zone with a handler of its messages. It has a wider link than all entries, which makes it the zone's relay.
func (s *site) startStub(h peers.Handler, zone string) {
	secret := []byte("a secret of thirty-two bytes, yes")
	network := peers.New(peers.Config{Name: "stub", Incarnation: peers.NewIncarnation("stub"), Address: freeAddress(), Secret: secret}, h)
	address, err := network.Listen()
	So(err, ShouldBeNil)
	runNetwork(network)
	s.store.PutRaw("gypsum/secret", secret)
	record, err := msgpack.Marshal(map[string]any{"addr": address, "zone": zone, "run": "stub#1", "cpu": 1.0, "link": 1000.0})
	So(err, ShouldBeNil)
	s.store.PutRaw("gypsum/entries/stub", record)
}

// earlierRelay relays what an operator has written as an earlier release does, which doesn't know of evacuations.
type earlierRelay struct {
	stubPeerHandler
	store *hosted.Store
}

func (r *earlierRelay) Serve(_ context.Context, _ peer.Hello, kind peer.Kind, _ []byte) (any, error) {
	if kind != peer.KindSync {
		return peer.Empty{}, nil
	}
	time.Sleep(100 * time.Millisecond)
	// Higher than all that the store has given out, so that nothing that the entry has read itself is newer.
	latest, err := kv.NewRevision(1, 1<<30)
	reply := peer.SyncReply{
		Ready: true, Run: "relay#1", Delay: 100 * time.Millisecond, ReadsStore: true, OperatorRevision: uint64(latest), RegistrationsRevision: uint64(latest),
	}
	if data := r.store.Value("op/evacuate/plateau"); data != nil {
		revision, _ := kv.NewRevision(1, r.store.ModRevision("op/evacuate/plateau"))
		reply.OperatorItems = []peer.Item{{Key: "op/evacuate/plateau", Data: data, Revision: uint64(revision)}}
	}
	return reply, err
}

func TestRelayOfEarlierRelease(t *testing.T) {
	t.Parallel()
	Convey("an entry whose relay is of an earlier release follows evacuations nonetheless", t, func() {
		s := startZonedSite(0)
		s.startStub(&earlierRelay{store: s.store}, "plateau")
		s.addEntry().expectReady(true)
		time.Sleep(time.Second)
		reads := s.store.Calls("GET /-/kv-range")
		time.Sleep(time.Second)
		So(s.store.Calls("GET /-/kv-range")-reads, ShouldBeLessThanOrEqualTo, 1)
		s.evacuate("plateau")
		time.Sleep(evacuationTime)
		s.expectNoneIn("plateau")
		s.store.Delete("op/evacuate/plateau")
		s.expectSomeIn("plateau")
	})
}

// knowingPeer answers a peer that has started with a set that was read later than anything that the store has given out.
type knowingPeer struct{ stubPeerHandler }

func (knowingPeer) Serve(_ context.Context, _ peer.Hello, kind peer.Kind, _ []byte) (any, error) {
	if kind != peer.KindCatchUp {
		return peer.Empty{}, nil
	}
	latest, err := kv.NewRevision(1, 1<<30)
	return peer.CatchUpReply{Evacuated: &peer.EvacuatedZones{Revision: uint64(latest), Zones: []peer.EvacuatedZone{{Name: "plateau"}}}}, err
}

func TestStartedEntryLearnsEvacuations(t *testing.T) {
	t.Parallel()
	Convey("an entry that starts sends nothing to a zone that a peer knows to be evacuated, although the store as it reads it doesn't list it", t, func() {
		s := startZonedSite(0)
		s.startStub(knowingPeer{}, "quay")
		s.addEntry().expectReady(true)
		s.expectNoneIn("plateau")
	})
}
