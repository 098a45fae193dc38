package gateway_test

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/vmihailenco/msgpack/v5"

	"gypsumvale/internal/coordination/succession"
	"gypsumvale/internal/gateway"
	"gypsumvale/internal/protocol/peer"
	"gypsumvale/internal/settings"
	"gypsumvale/internal/standin/hosted"
	"gypsumvale/internal/transport/peers"
)

// fixedDelay is a probe that measures the same delay until it is set to another.
type fixedDelay struct{ delay atomic.Int64 }

func (d *fixedDelay) set(delay time.Duration) { d.delay.Store(int64(delay)) }

// Measure implements gateway.DelayProbe.
func (d *fixedDelay) Measure(ctx context.Context, record func(time.Duration)) error {
	ticker := time.NewTicker(succession.SamplePeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			record(time.Duration(d.delay.Load()))
		}
	}
}

// successorStub is a peer that agrees to take over the lease and never does, as if it died at that moment.
type successorStub struct {
	stubPeerHandler
	// queried is called for each query for a successor.
	queried func()
	offers  atomic.Int32
}

func (h *successorStub) Serve(_ context.Context, _ peer.Hello, kind peer.Kind, _ []byte) (any, error) {
	switch kind {
	case peer.KindSuccessor:
		h.queried()
		return peer.SuccessorReply{Willing: true}, nil
	case peer.KindHandOver:
		h.offers.Add(1)
	}
	return peer.Empty{}, nil
}

// addSuccessor registers a stub as an entry.
func (s *site) addSuccessor(queried func()) *successorStub {
	stub := &successorStub{queried: queried}
	address := freeAddress()
	network := peers.New(peers.Config{
		Name: "successor", Incarnation: peers.NewIncarnation("successor"), Address: address, Secret: s.store.Value("gypsum/secret"),
	}, stub)
	_, err := network.Listen()
	So(err, ShouldBeNil)
	runNetwork(network)
	record, err := msgpack.Marshal(map[string]any{"addr": address, "zone": "elsewhere", "run": "successor#1", "cpu": 1.0, "link": 0.0})
	So(err, ShouldBeNil)
	s.store.PutRaw("gypsum/entries/successor", record)
	return stub
}

// leaderName returns the name of the instance that holds the lease, or empty.
func (s *site) leaderName() string {
	var record struct {
		Name string `msgpack:"name"`
	}
	value := s.store.Value("gypsum/lead")
	if value == nil {
		return ""
	}
	So(msgpack.Unmarshal(value, &record), ShouldBeNil)
	return record.Name
}

func TestStoppedPlacementKeepsLease(t *testing.T) {
	Convey("a leader whose placement stops while it reads what arrives", t, func() {
		s := startSite(3)
		eventually("a leader is elected", func() bool { return s.leaderName() != "" })
		first, revision := s.leaderName(), s.store.ModRevision("gypsum/lead")
		hold := func() (release func()) {
			for _, e := range s.entries {
				if e.cfg.Name == first {
					return gateway.HoldPlacement(e.node)
				}
			}
			return nil
		}
		Convey("hands its lease over, and leaves it to the others", func() {
			release := hold()
			defer release()
			eventually("another leads", func() bool { return s.leaderName() != "" && s.leaderName() != first })
			for _, e := range s.entries {
				if e.cfg.Name != first {
					s.expectAnswered(s.call(e, http.MethodPost, "/redraft/", "notes"))
				}
			}
		})
		Convey("keeps it when placement runs again soon", func() {
			release := hold()
			time.Sleep(2 * time.Second)
			release()
			time.Sleep(handOverTime)
			So(s.store.ModRevision("gypsum/lead"), ShouldEqual, revision)
		})
	})
}

const (
	behindDelay = 40 * time.Millisecond
	// handOverTime is longer than a leader is behind before it hands over.
	handOverTime = 4500 * time.Millisecond
	// vacancyTime is the lease time and the time until the first candidate stands.
	vacancyTime = 2500 * time.Millisecond
)

func TestHandOver(t *testing.T) {
	Convey("a site of three entries", t, func() {
		s := startSite(0)
		delays := make(map[string]*fixedDelay)
		for range 3 {
			probe := &fixedDelay{}
			delays[s.startEntry(func(*settings.Hosted) {}, probe).cfg.Name] = probe
		}
		for _, e := range s.entries {
			e.expectReady(true)
		}
		eventually("a leader is elected", func() bool { return s.leaderName() != "" })
		first := s.leaderName()
		revision := s.store.ModRevision("gypsum/lead")
		others := func(name string) (list []*fixedDelay) {
			for other, d := range delays {
				if other != name {
					list = append(list, d)
				}
			}
			return list
		}
		// longestVacancy returns the longest time for which nobody held the lease until a condition held.
		longestVacancy := func(what string, holds func() bool) (longest time.Duration) {
			held := time.Now()
			eventually(what, func() bool {
				if s.leaderName() != "" {
					held = time.Now()
				}
				longest = max(longest, time.Since(held))
				return holds()
			})
			return longest
		}
		anotherLeads := func() bool { return s.leaderName() != "" && s.leaderName() != first }

		Convey("gets another leader at once when the first is behind, and keeps that", func() {
			delays[first].set(behindDelay)
			// A successor needs some store calls; a new election would take a lease time or longer.
			So(longestVacancy("another leads", anotherLeads), ShouldBeLessThan, time.Second)
			second := s.leaderName()
			delays[first].set(0)
			time.Sleep(handOverTime)
			So(s.leaderName(), ShouldEqual, second)
		})
		Convey("keeps its leader when all are behind", func() {
			for _, d := range delays {
				d.set(behindDelay)
			}
			time.Sleep(handOverTime)
			So(s.store.ModRevision("gypsum/lead"), ShouldEqual, revision)
			Convey("until one of them has caught up", func() {
				others(first)[0].set(0)
				eventually("another leads", anotherLeads)
			})
		})
		Convey("orders new weights once while the leader hands over", func() {
			s.eachEndpoint(hosted.EndpointFault{OrderDelay: 300 * time.Millisecond})
			delays[first].set(behindDelay)
			time.Sleep(handOverTime - 1500*time.Millisecond)
			So(s.store.Put("op/version/"+testModel, map[string]any{"Model": testModel, "Version": 2}), ShouldBeNil)
			eventually("another leads", anotherLeads)
			engines := s.endpoints[2:5]
			eventually("engines run version 2", func() bool {
				return engines[0].Version() == 2 && engines[1].Version() == 2 && engines[2].Version() == 2
			})
			time.Sleep(2 * time.Second)
			for _, e := range engines {
				So(fmt.Sprint(e.Orders()), ShouldEqual, "1")
			}
		})
		Convey("elects another leader when the successor dies as the lease is handed over", func() {
			stub := s.addSuccessor(func() {})
			for _, d := range others(first) {
				// The stub's delay is shorter.
				d.set(time.Millisecond)
			}
			time.Sleep(time.Second)
			delays[first].set(behindDelay)
			So(longestVacancy("another leads", anotherLeads), ShouldBeLessThan, vacancyTime)
			So(stub.offers.Load(), ShouldEqual, 1)
		})
		Convey("keeps its leader when the store fails as the lease is handed over", func() {
			var failed atomic.Bool
			stub := s.addSuccessor(func() {
				if failed.CompareAndSwap(false, true) {
					s.store.SetFault(hosted.StoreFault{Down: true})
				}
			})
			time.Sleep(time.Second)
			delays[first].set(behindDelay)
			eventually("the store fails", failed.Load)
			delays[first].set(0)
			time.Sleep(2500 * time.Millisecond)
			So(s.store.ModRevision("gypsum/lead"), ShouldEqual, revision)
			s.store.SetFault(hosted.StoreFault{})
			time.Sleep(vacancyTime)
			So(s.store.ModRevision("gypsum/lead"), ShouldEqual, revision)
			So(s.leaderName(), ShouldEqual, first)
			So(stub.offers.Load(), ShouldEqual, 0)
		})
		Convey("elects another leader when the store's answer to the end of the lease is lost", func() {
			var failed atomic.Bool
			stub := s.addSuccessor(func() {
				if failed.CompareAndSwap(false, true) {
					s.store.SetFault(hosted.StoreFault{LoseReplies: true})
				}
			})
			time.Sleep(time.Second)
			delays[first].set(behindDelay)
			eventually("replies are lost", failed.Load)
			time.Sleep(time.Second)
			s.store.SetFault(hosted.StoreFault{})
			eventually("another leads", anotherLeads)
			So(stub.offers.Load(), ShouldEqual, 0)
		})
	})
}
