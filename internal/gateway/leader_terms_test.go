package gateway_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumvale/internal/gateway"
	"gypsumvale/internal/settings"
	"gypsumvale/internal/standin/hosted"
)

// orderLog collects the orders that endpoints accept, from their journals.
type orderLog struct {
	mu     sync.Mutex
	orders []hosted.JournalEntry
}

// Write takes one line of a journal.
func (l *orderLog) Write(line []byte) (int, error) {
	var entry hosted.JournalEntry
	if err := json.Unmarshal(bytes.TrimSpace(line), &entry); err != nil {
		return 0, fmt.Errorf("decode journal: %w", err)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if entry.Order != nil {
		l.orders = append(l.orders, entry)
	}
	return len(line), nil
}

// all returns the orders in the order in which they were accepted.
func (l *orderLog) all() []hosted.JournalEntry {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]hosted.JournalEntry(nil), l.orders...)
}

// expectOneHolder expects that no endpoint got an order with a lower fencing number than an earlier one, or orders of two holders within the
// lease time.
func (l *orderLog) expectOneHolder(lease time.Duration) {
	last := make(map[string]hosted.JournalEntry)
	for _, o := range l.all() {
		before, ordered := last[o.Endpoint]
		last[o.Endpoint] = o
		if !ordered {
			continue
		}
		So(o.Order.Fence, ShouldBeGreaterThanOrEqualTo, before.Order.Fence)
		if o.Order.Owner != before.Order.Owner {
			So(o.At, ShouldHappenOnOrAfter, before.At.Add(lease))
		}
	}
}

// storeLink is one entry's path to the store, which can be cut.
type storeLink struct {
	address string
	cut     atomic.Bool
	// renewals counts renewals of leases.
	renewals atomic.Int64
	store    http.Handler
	// intercept holds a function that reports whether a call is left without an answer.
	intercept atomic.Value
}

// newStoreLink opens a path to the store that closes connections without an answer while it is cut.
func (s *site) newStoreLink() *storeLink {
	link := &storeLink{store: s.store.Handler()}
	link.intercept.Store(func(*http.Request) bool { return false })
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if intercepts, ok := link.intercept.Load().(func(*http.Request) bool); link.cut.Load() || ok && intercepts(r) {
			panic(http.ErrAbortHandler)
		}
		link.store.ServeHTTP(w, r)
		if strings.HasPrefix(r.URL.Path, "/-/kv-keep/") {
			link.renewals.Add(1)
		}
	}))
	Reset(server.Close)
	link.address = server.Listener.Addr().String()
	return link
}

// leaderSite is a site of two entries in two zones, and engines whose orders are logged. An entry that is alone in its zone has no relay that
// tells it who leads.
type leaderSite struct {
	*site
	first, second *entry
	// link is the first entry's path to the store.
	link   *storeLink
	orders orderLog
	lease  time.Duration
}

// startLeaderSite starts a site whose first entry leads. Probes measure the entries' delays, if there are any.
func startLeaderSite(engines int, lease time.Duration, configure func(number int, cfg *settings.Hosted), probes ...*fixedDelay) *leaderSite {
	s := &leaderSite{site: newSite(), lease: lease}
	s.putConfiguration(defaultSpec())
	for i := range engines {
		s.addEndpoint(hosted.EndpointConfig{
			ID: fmt.Sprintf("llm-%d", i), Service: "llm", Model: testModel, Version: 1, Events: 6, Work: 5 * time.Millisecond, Journal: &s.orders,
		})
	}
	s.link = s.newStoreLink()
	for i, zone := range []string{"quay", "plateau"} {
		var probe gateway.DelayProbe
		if i < len(probes) {
			probe = probes[i]
		}
		s.startEntry(func(cfg *settings.Hosted) {
			cfg.Zone, cfg.Lease = zone, lease
			if i == 0 {
				cfg.Store = s.link.address
			}
			configure(i, cfg)
		}, probe).expectReady(true)
		s.expectLeader(s.entries[0])
	}
	s.first, s.second = s.entries[0], s.entries[1]
	return s
}

func (s *leaderSite) expectLeader(e *entry) {
	eventually(e.cfg.Name+" leads", func() bool { return s.leaderName() == e.cfg.Name })
}

// cutAfterRenewal cuts the first entry off from the store, directly after it has renewed a lease, or after a leader would have done so.
func (s *leaderSite) cutAfterRenewal() {
	renewals := s.link.renewals.Load()
	for until := time.Now().Add(time.Second); s.link.renewals.Load() == renewals && time.Now().Before(until); {
		time.Sleep(time.Millisecond)
	}
	s.link.cut.Store(true)
}

func (s *leaderSite) announce(version int) {
	So(s.store.Put("op/version/"+testModel, map[string]any{"Model": testModel, "Version": version}), ShouldBeNil)
}

func (s *leaderSite) expectVersion(version int) {
	eventually(fmt.Sprintf("all engines run version %d", version), func() bool {
		for _, e := range s.endpoints {
			if e.Version() != version {
				return false
			}
		}
		return true
	})
}

// A leader that was cut off from the store went on with its earlier fencing number when the store came back from a copy of before its successor.
func TestReplacedLeaderOrdersInRestoredStore(t *testing.T) {
	t.Parallel()
	Convey("a leader that was cut off and replaced, whose store is restored from a copy that names it as the leader", t, func() {
		s := startLeaderSite(4, 2*time.Second, unchanged)
		copied := s.store.Copy()
		s.link.cut.Store(true)
		s.expectLeader(s.second)
		s.announce(2)
		s.expectVersion(2)
		s.store.Restore(copied)
		s.link.cut.Store(false)
		s.announce(3)
		Convey("orders nothing under its earlier term", func() {
			s.expectVersion(3)
			s.orders.expectOneHolder(s.lease)
		})
	})
}

// A leader elected in a restored store that had lost the lease of the one before it counted its wait from its election, though the other one
// went on sending orders until its lease ended by its own count.
func TestElectedBeforeLostLeaseEnds(t *testing.T) {
	t.Parallel()
	Convey("a leader that is cut off while the store is restored from a copy of before its election", t, func() {
		s := startLeaderSite(6, 2*time.Second, func(number int, cfg *settings.Hosted) {
			// The first entry orders one engine after the other, the second all at once.
			cfg.MaxLoads = 1 + 5*number
		})
		copied := s.store.Copy().Without("gypsum/lead", "gypsum/last")
		s.announce(2)
		eventually("the first entry orders", func() bool { return len(s.orders.all()) > 0 })
		s.cutAfterRenewal()
		s.store.Restore(copied)
		s.announce(3)
		Convey("sends its last order at least a lease time before the next leader's first", func() {
			s.expectLeader(s.second)
			s.expectVersion(3)
			s.orders.expectOneHolder(s.lease)
		})
	})
}

// A leader that was elected twice in a row took its own record of the first time for proof that no other leader's orders were in progress, though
// it had stopped before the wait for these was over (review/4).
func TestLeaderElectedTwiceWaitsForEarlierOrders(t *testing.T) {
	t.Parallel()
	Convey("a leader that stops before its first order, starts again and is elected again", t, func() {
		s := startLeaderSite(3, 4*time.Second, unchanged)
		s.announce(2)
		s.expectVersion(2)
		s.first.stop()
		s.expectLeader(s.second)
		s.second.stop()
		So(s.orders.all(), ShouldHaveLength, 3)
		again := s.addEntryWith(func(cfg *settings.Hosted) { *cfg = *s.second.cfg })
		again.expectReady(true)
		s.expectLeader(again)
		s.announce(3)
		Convey("waits until the orders of the leader before it have ended", func() {
			s.expectVersion(3)
			s.orders.expectOneHolder(s.lease)
		})
	})
}

// An order that waited for its engine to finish prefills was sent with the fencing number of the term in which it had been planned, though that
// term had ended and the leader had been elected again.
func TestOrderOfEndedTerm(t *testing.T) {
	t.Parallel()
	Convey("a leader that is elected again while it drains an engine for an order", t, func() {
		s := startLeaderSite(1, 3*time.Second, unchanged)
		time.Sleep(s.lease)
		copied := s.store.Copy().Without("gypsum/lead", "gypsum/last")
		s.second.stop()
		s.eachEndpoint(hosted.EndpointFault{StartDelay: 5 * time.Second})
		waiting := make(chan response, 1)
		go func() { waiting <- s.send(s.first, http.MethodPost, "/redraft/", "waits") }()
		Reset(func() { <-waiting })
		// By then the leader has sent the request to the engine.
		time.Sleep(300 * time.Millisecond)
		s.announce(2)
		eventually("an order is planned", func() bool { return gateway.OrdersInProgress(s.first.node) > 0 })
		release := gateway.HoldPlacement(s.first.node)
		s.store.Restore(copied)
		eventually("the leader is elected again", func() bool { return s.leaderName() == s.first.cfg.Name })
		elected := time.Now()
		release()
		Convey("doesn't send the order before the new term's wait is over", func() {
			time.Sleep(time.Until(elected.Add(s.lease - 500*time.Millisecond)))
			So(s.orders.all(), ShouldBeEmpty)
		})
	})
}

// lateEnd makes a leader's path to the store close the connection of a call that ends a lease, and carry the call out later. It returns a
// channel that is closed when such a call arrives, and a function that carries it out.
func (l *storeLink) lateEnd() (arrived <-chan struct{}, carryOut func()) {
	calls := make(chan struct{})
	var once sync.Once
	var held *http.Request
	l.intercept.Store(func(r *http.Request) bool {
		if r.Method != http.MethodDelete {
			return false
		}
		once.Do(func() {
			held = r.Clone(context.Background())
			close(calls)
		})
		return true
	})
	return calls, func() { l.store.ServeHTTP(httptest.NewRecorder(), held) }
}

// A leader led on under a lease that it had tried to end in favor of a successor, since it had no answer. The store carried the call out later,
// and another leader was elected while the first one still counted on its last renewal.
func TestLeaseEndedByUnansweredHandOver(t *testing.T) {
	t.Parallel()
	Convey("a leader whose call to end its lease isn't answered, and is carried out later", t, func() {
		probes := []*fixedDelay{{}, {}}
		s := startLeaderSite(6, 2*time.Second, func(number int, cfg *settings.Hosted) { cfg.MaxLoads = 1 + 5*number }, probes...)
		ended, carryOut := s.link.lateEnd()
		probes[0].set(behindDelay)
		eventually("it hands over", func() bool {
			select {
			case <-ended:
				return true
			default:
				return false
			}
		})
		s.announce(2)
		// Long enough for a leader that goes on to renew its lease, to read the version and to send orders.
		time.Sleep(time.Second)
		s.cutAfterRenewal()
		carryOut()
		s.announce(3)
		Convey("sends its last order at least a lease time before the next leader's first", func() {
			s.expectLeader(s.second)
			s.expectVersion(3)
			s.orders.expectOneHolder(s.lease)
		})
	})
}

// Candidates that waited for a lost lease stood all at once after it, so that the first to have read the store was elected, with whatever
// processor share.
func TestSmallInstanceElectedAfterLostLease(t *testing.T) {
	t.Parallel()
	Convey("a site with a preferred leader elects that one whenever a restored store has lost its term", t, func() {
		s := startLeaderSite(1, time.Second, func(number int, cfg *settings.Hosted) { cfg.CPUCores = float64(2 - number) })
		for range 4 {
			s.store.Restore(s.store.Copy().Without("gypsum/lead", "gypsum/last"))
			eventually("a leader is elected", func() bool { return s.leaderName() != "" })
			So(s.leaderName(), ShouldEqual, s.first.cfg.Name)
		}
	})
}
