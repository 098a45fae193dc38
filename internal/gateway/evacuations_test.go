package gateway_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
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

// startZonedSite starts entries in the zone plateau, and endpoints there, to which they prefer to send, and in the zone quay.
func startZonedSite(spec hosted.Configuration, entryCount int) *site {
	s := newSite()
	s.putConfiguration(spec)
	for i, zone := range []string{"plateau", "quay"} {
		s.addEndpoint(hosted.EndpointConfig{ID: fmt.Sprintf("llm-%d", i), Service: "llm", Model: testModel, Version: 1, Events: 6, Zone: zone})
		s.addEndpoint(hosted.EndpointConfig{ID: fmt.Sprintf("cal-%d", i), Service: "calendar", Work: time.Millisecond, Zone: zone})
	}
	for range entryCount {
		s.addZonedEntry()
	}
	return s
}

// addZonedEntry starts an entry that knows the regions of both zones.
func (s *site) addZonedEntry() *entry {
	e := s.addEntryWith(func(cfg *settings.Hosted) {
		cfg.Metrics, cfg.Regions = freeAddress(), map[string]string{"plateau": "north", "quay": "south"}
	})
	e.expectReady(true)
	return e
}

func (s *site) evacuate(zone string) { s.store.PutRaw("op/evacuate/"+zone, []byte("{}")) }

// arrivals returns the number of requests that have arrived at the endpoints in the zone plateau.
func (s *site) arrivals() int { return len(s.endpoints[0].Arrivals()) + len(s.endpoints[1].Arrivals()) }

// expectNoArrivalsInPlateau sends requests of each kind through all entries for a while, and expects that all are answered elsewhere.
func (s *site) expectNoArrivalsInPlateau() {
	before := s.arrivals()
	for until := time.Now().Add(700 * time.Millisecond); time.Now().Before(until); {
		for _, e := range s.entries {
			s.expectAnswered(s.call(e, http.MethodGet, "/read/", ""))
			s.expectAnswered(s.call(e, http.MethodPost, "/redraft/", "any"))
		}
	}
	So(s.arrivals(), ShouldEqual, before)
}

// expectArrivalsInPlateau expects that requests through each entry arrive there before long.
func (s *site) expectArrivalsInPlateau() {
	for _, e := range s.entries {
		before := s.arrivals()
		eventually("requests arrive in the zone plateau", func() bool {
			s.call(e, http.MethodGet, "/read/", "")
			return s.arrivals() > before
		})
	}
}

func TestRequestSentToEvacuatedZone(t *testing.T) {
	t.Parallel()
	Convey("a site with a zone that the operator evacuates", t, func() {
		s := startZonedSite(defaultSpec(), 2)
		copied := s.store.Copy()
		s.expectArrivalsInPlateau()
		s.evacuate("plateau")
		s.evacuate("")
		s.store.PutRaw("op/evacuate/elsewhere", []byte{0xff})
		time.Sleep(evacuationTime)
		s.expectNoArrivalsInPlateau()

		Convey("sends nothing there from an entry that restarts, and shows it in its metrics", func() {
			s.entries[1].stop()
			s.entries = s.entries[:1]
			resp, err := http.Get("http://" + s.addZonedEntry().cfg.Metrics + "/metrics")
			So(err, ShouldBeNil)
			page, err := io.ReadAll(resp.Body)
			_ = resp.Body.Close()
			So(err, ShouldBeNil)
			So(string(page), ShouldContainSubstring, `gypsum_zone_running_requests{zone="plateau"} 0`)
			So(string(page), ShouldContainSubstring, `gypsum_zone_evacuated_seconds{zone="elsewhere"}`)
			So(string(page), ShouldNotContainSubstring, `zone=""`)
			s.expectNoArrivalsInPlateau()
		})
		Convey("sends requests there again once the operator has removed the key", func() {
			s.store.Delete("op/evacuate/plateau")
			s.expectArrivalsInPlateau()
		})
		Convey("refuses requests with a time to return when all zones are evacuated", func() {
			s.evacuate("quay")
			time.Sleep(evacuationTime)
			for i, target := range []string{"/read/", "/redraft/", "/read/", "/redraft/"} {
				a := s.call(s.entries[i/2], http.MethodPost, target, "any")
				s.expectRefused(a, http.StatusServiceUnavailable, 0)
				So(a.body, ShouldContainSubstring, "zones_evacuated")
				So(a.header.Get("Retry-After"), ShouldNotBeEmpty)
			}
		})
		Convey("goes on with it for a while when the store is restored from an earlier copy, and if the operator writes it again", func() {
			s.store.Restore(copied)
			s.expectNoArrivalsInPlateau()
			s.evacuate("plateau")
			time.Sleep(2500 * time.Millisecond)
			s.expectNoArrivalsInPlateau()
			s.store.Restore(copied)
			s.expectArrivalsInPlateau()
		})
	})
}

func TestRequestSentOutsideAllowedRegions(t *testing.T) {
	t.Parallel()
	Convey("a site in two regions serves requests only in those that their route and their workspace allow", t, func() {
		spec := defaultSpec()
		for i := range spec.Routes[:4] {
			spec.Routes[i].AllowedRegions = []string{"south", "west"}
		}
		spec.Tenants = append(spec.Tenants, hosted.Tenant{Name: "northern", APIKeys: []string{"northern"}, AllowedRegions: []string{"north"}})
		s := startZonedSite(spec, 2)
		s.expectNoArrivalsInPlateau()
		a := s.call(s.entries[0], http.MethodGet, "/read/", "", "Credential", "northern")
		s.expectRefused(a, http.StatusServiceUnavailable, 0)
		So(a.body, ShouldContainSubstring, "no_allowed_region")
		before := s.arrivals()
		s.expectAnswered(s.call(s.entries[0], http.MethodGet, "/public/", "", "Credential", "northern"))
		So(s.arrivals(), ShouldEqual, before+1)
		e := s.addEntry()
		e.expectReady(true)
		// It doesn't know the regions of zones.
		s.expectRefused(s.call(e, http.MethodGet, "/read/", ""), http.StatusServiceUnavailable, 0)
	})
}

func TestLeaderOfEarlierRelease(t *testing.T) {
	t.Parallel()
	Convey("an entry whose leader knows no evacuations and no regions", t, func() {
		spec := defaultSpec()
		s := startZonedSite(spec, 0)
		leader := s.startSlowLeader(0)
		leader.fetchFrom = "127.0.0.1:1"
		e := s.addZonedEntry()
		// grants calls a function, and returns how many requests the leader has placed meanwhile.
		grants := func(call func()) int {
			before, _ := leader.lists()
			call()
			after, _ := leader.lists()
			return len(after) - len(before)
		}
		expectNoArrivals := func() { s.expectNoArrivals(e, s.endpoints[0], http.MethodPost, "/redraft/") }
		Convey("sends nothing to an evacuated zone", func() {
			s.evacuate("plateau")
			time.Sleep(evacuationTime)
			So(grants(expectNoArrivals), ShouldBeGreaterThan, 0)
		})
		Convey("sends nothing outside the allowed regions, and names no sources there", func() {
			spec.Version++
			spec.Routes[2].AllowedRegions = []string{"south"}
			spec.Routes[3].AllowedRegions = []string{"north"}
			s.putConfiguration(spec)
			time.Sleep(evacuationTime)
			So(grants(expectNoArrivals), ShouldBeGreaterThan, 0)
			So(grants(func() {
				for range 5 {
					a := s.call(e, http.MethodPost, "/brief/", "any")
					So(s.runs(a.id)[0].Header.Get("Kv-Source"), ShouldBeEmpty)
				}
			}), ShouldBeGreaterThan, 0)
		})
	})
}

// stubPeer is a peer that answers as an earlier release does to a relay's followers, and as one that knows of an evacuation to entries that have
// just started.
type stubPeer struct {
	stubPeerHandler
	store *hosted.Store
	// knows is true if the peer knows that a zone is evacuated.
	knows bool
}

func (p *stubPeer) Serve(_ context.Context, _ peer.Hello, kind peer.Kind, _ []byte) (any, error) {
	const key = "op/evacuate/plateau"
	// Higher than all that the store has given out, so that nothing that the entry has read itself is newer.
	latest, err := kv.NewRevision(1, 1<<30)
	switch {
	case kind == peer.KindCatchUp && p.knows:
		return peer.CatchUpReply{Evacuated: &peer.EvacuatedZones{Revision: uint64(latest), Zones: []peer.EvacuatedZone{{Name: "plateau"}}}}, err
	case kind == peer.KindSync:
		time.Sleep(100 * time.Millisecond)
		reply := peer.SyncReply{Ready: true, Run: "stub#1", ReadsStore: true, OperatorRevision: uint64(latest), RegistrationsRevision: uint64(latest)}
		if data := p.store.Value(key); data != nil {
			revision, _ := kv.NewRevision(1, p.store.ModRevision(key))
			reply.OperatorItems = []peer.Item{{Key: key, Data: data, Revision: uint64(revision)}}
		}
		return reply, err
	}
	return peer.Empty{}, nil
}

// startStubPeer starts a peer with a wider link than all entries, which is the relay of its zone.
func (s *site) startStubPeer(zone string, knows bool) {
	secret := []byte("a secret of thirty-two bytes, yes")
	network := peers.New(peers.Config{Name: "stub", Incarnation: peers.NewIncarnation("stub"), Address: freeAddress(), Secret: secret},
		&stubPeer{store: s.store, knows: knows})
	address, err := network.Listen()
	So(err, ShouldBeNil)
	runNetwork(network)
	s.store.PutRaw("gypsum/secret", secret)
	record, err := msgpack.Marshal(map[string]any{"addr": address, "zone": zone, "run": "stub#1", "cpu": 1.0, "link": 1000.0})
	So(err, ShouldBeNil)
	s.store.PutRaw("gypsum/entries/stub", record)
}

func TestEvacuationsFromPeers(t *testing.T) {
	t.Parallel()
	Convey("an entry whose relay is of an earlier release follows evacuations nonetheless", t, func() {
		s := startZonedSite(defaultSpec(), 0)
		s.startStubPeer("plateau", false)
		s.addZonedEntry()
		time.Sleep(time.Second)
		reads := s.store.Calls("GET /-/kv-range")
		time.Sleep(time.Second)
		So(s.store.Calls("GET /-/kv-range")-reads, ShouldBeLessThanOrEqualTo, 1)
		s.evacuate("plateau")
		time.Sleep(evacuationTime)
		s.expectNoArrivalsInPlateau()
		s.store.Delete("op/evacuate/plateau")
		s.expectArrivalsInPlateau()
	})
	Convey("an entry that starts sends nothing to a zone that a peer knows to be evacuated, although the store as it reads it doesn't list it", t, func() {
		s := startZonedSite(defaultSpec(), 0)
		s.startStubPeer("quay", true)
		s.addZonedEntry()
		s.expectNoArrivalsInPlateau()
	})
}
