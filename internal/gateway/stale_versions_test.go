package gateway_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumvale/internal/coordination/rank"
	"gypsumvale/internal/gateway"
	"gypsumvale/internal/settings"
	"gypsumvale/internal/standin/hosted"
)

// silentRelay forwards connections to an address, and drops all bytes both ways while the flag is set. It returns its own address.
func silentRelay(address string, silent *atomic.Bool) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	So(err, ShouldBeNil)
	Reset(func() { _ = l.Close() })
	pipe := func(to, from net.Conn) {
		defer func() { _ = to.Close() }()
		buf := make([]byte, 1<<16)
		for {
			n, err := from.Read(buf)
			if err != nil {
				return
			}
			if silent.Load() {
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
			go pipe(up, c)
			go pipe(c, up)
		}
	}()
	return l.Addr().String()
}

// addVersion starts engines of a software version.
func (s *site) addVersion(software string, count int) {
	for i := range count {
		s.addEndpoint(hosted.EndpointConfig{
			ID: fmt.Sprintf("llm-%s-%d", software, i), Service: "llm", Model: testModel, Version: 1, Software: software, Events: 6,
			Work: 5 * time.Millisecond,
		})
	}
}

// Guards against streams that go on at an old version since an entry that is cut off has heard of no other one.
func TestStreamTakenUpAtCutOffEntry(t *testing.T) {
	t.Parallel()
	Convey("streams of a version that came while an entry was cut off from store and peers", t, func() {
		// takeUpTime is longer than the entry may use what it heard before the cut.
		const takeUpTime = 6 * time.Second
		s := newSite()
		spec := defaultSpec()
		spec.Version, spec.Routes[2].MaxAttempts, spec.Routes[2].Public = 9, 1, true
		s.putConfiguration(spec)
		s.addVersion("v1", 2)
		var cut atomic.Bool
		a := s.addEntryWith(func(cfg *settings.Hosted) { cfg.Advertise = silentRelay(cfg.Peers, &cut) })
		a.expectReady(true)
		store := s.cutOff(&cut)
		b := s.addEntryWith(func(cfg *settings.Hosted) { cfg.Store, cfg.Advertise = store, silentRelay(cfg.Peers, &cut) })
		b.expectReady(true)
		eventually("the version is on record", func() bool { return s.store.ModRevision("gypsum/versions") > 0 })
		time.Sleep(2 * time.Second)
		cut.Store(true)
		s.addVersion("v2", 2)
		s.eachEndpoint(hosted.EndpointFault{CutAfter: 3})
		taken, joined := 0, 0
		for i, end := 0, time.Now().Add(takeUpTime); time.Now().Before(end); i++ {
			parts := fmt.Sprintf("a%d:600,own%d:100", i, i)
			first := s.call(a, http.MethodPost, "/redraft/", "plan", "Prompt-Prefix", parts)
			runs := s.runs(first.id)
			if len(runs) == 0 || softwareOf(runs[0].Endpoint) != "v2" || first.body != hosted.Stream(3) {
				continue
			}
			taken++
			next := s.call(b, http.MethodPost, "/redraft/", "plan", "Prompt-Prefix", parts, "Resumes", first.id, "Last-Event-Id", strconv.Itoa(3))
			for _, run := range s.runs(next.id) {
				if softwareOf(run.Endpoint) != "v2" {
					joined++
				}
			}
		}
		So(taken, ShouldBeGreaterThan, 5)
		So(joined, ShouldEqual, 0)
	})
}

// Guards against streams that a zone can't go on with while it is cut off, though one of its entries has sent them.
func TestStreamsOfCutOffZone(t *testing.T) {
	t.Parallel()
	Convey("streams that an entry of a zone has sent go on at the zone's other entries while it is cut off", t, func() {
		const (
			entryCount, zoneCount = 6, 3
			streams               = 12
		)
		var names []string
		for i := range entryCount {
			names = append(names, fmt.Sprintf("entry-%d", i))
		}
		// The registrars of the whole site are in the other zone, as is the leader, which has a larger share of a processor.
		far := rank.Top("origins", names, entryCount-zoneCount)
		s := newSite()
		spec := defaultSpec()
		spec.Version, spec.Routes[2].MaxAttempts, spec.Routes[2].Public = 9, 1, true
		s.putConfiguration(spec)
		s.addVersion("v1", 2)
		s.addVersion("v2", 2)
		var cut atomic.Bool
		store := s.cutOff(&cut)
		var zone []*entry
		for _, name := range names {
			if slices.Contains(far, name) {
				s.addEntryWith(func(cfg *settings.Hosted) { cfg.Advertise = silentRelay(cfg.Peers, &cut) })
				continue
			}
			zone = append(zone, s.addEntryWith(func(cfg *settings.Hosted) { cfg.Store, cfg.Zone, cfg.CPUCores = store, "almadies", 0.5 }))
		}
		for _, e := range s.entries {
			e.expectReady(true)
		}
		s.awaitSettled("v1", "v2")
		time.Sleep(time.Second)
		// cutOff cuts the zone off, until lists are too old to tell anything.
		cutOff := func() {
			cut.Store(true)
			time.Sleep(3 * time.Second)
		}
		Convey("if they begin meanwhile", func() {
			cutOff()
			wentOn, joined := s.takeUp(zone[1], s.breakStreams(zone[0], streams))
			So(joined, ShouldEqual, 0)
			So(wentOn, ShouldEqual, streams)
		})
		Convey("if they began before", func() {
			broken := s.breakStreams(zone[0], streams)
			cutOff()
			wentOn, joined := s.takeUp(zone[1], broken)
			So(joined, ShouldEqual, 0)
			So(wentOn, ShouldEqual, streams)
		})
	})
}

// Guards against streams that go on at another version since theirs has left, though an entry that is cut off still begins streams there.
func TestStreamOfVersionThatLeftForOthers(t *testing.T) {
	t.Parallel()
	Convey("streams that a cut-off entry begins at a version whose endpoints have lost their registrations a while ago", t, func() {
		const (
			streams = 12
			// awayTime is longer than a stream lasts, and shorter than an entry may begin streams by an old list.
			awayTime = 23 * time.Second
		)
		s := newSite()
		spec := defaultSpec()
		spec.Version, spec.Routes[2].MaxAttempts, spec.Routes[2].Public = 9, 1, true
		s.putConfiguration(spec)
		s.addVersion("v1", 2)
		s.addVersion("v2", 2)
		var cut atomic.Bool
		a := s.addEntryWith(func(cfg *settings.Hosted) { cfg.Advertise = silentRelay(cfg.Peers, &cut) })
		a.expectReady(true)
		store := s.cutOff(&cut)
		b := s.addEntryWith(func(cfg *settings.Hosted) { cfg.Store, cfg.Advertise = store, silentRelay(cfg.Peers, &cut) })
		b.expectReady(true)
		s.awaitSettled("v1", "v2")
		time.Sleep(2 * time.Second)
		cut.Store(true)
		time.Sleep(time.Second)
		for i := range 2 {
			s.store.Delete(fmt.Sprintf("servers/llm-v1-%d", i))
		}
		time.Sleep(awayTime)
		_, joined := s.takeUp(a, s.breakStreams(b, streams))
		So(joined, ShouldEqual, 0)
	})
}

// Guards against a list of endpoints that is confirmed as current though it was never put into effect.
func TestListAfterMismatchedChanges(t *testing.T) {
	t.Parallel()
	Convey("a list that is the same as changes that didn't match is put into effect", t, func() {
		s := newSite()
		s.putConfiguration(defaultSpec())
		s.addVersion("v1", 2)
		e := s.addEntry()
		e.expectReady(true)
		e.stop()
		s.addVersion("v2", 2)
		usable, err := gateway.ReadAfterMismatchedChanges(context.Background(), e.node)
		So(err, ShouldBeNil)
		So(usable, ShouldEqual, 4)
	})
}

// Guards against streams that go on at the only version whose engines an instance has heard of, though it doesn't follow the engines' caches any more.
func TestStreamByCachesNotFollowed(t *testing.T) {
	t.Parallel()
	Convey("a stream of which only the engines' caches tell goes on where the leader follows them, and nowhere else", t, func() {
		s := startVersions(1)
		e := s.entries[0]
		eventually("the entry leads", func() bool { return gateway.Leads(e.node) })
		So(gateway.TakeUpAfterRead(e.node, "llm", "v1"), ShouldEqual, "v1")
		e.stop()
		So(gateway.TakeUpAfterRead(e.node, "llm", "v1"), ShouldBeEmpty)
	})
}
