package gateway_test

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/vmihailenco/msgpack/v5"

	"gypsumvale/internal/gateway"
	"gypsumvale/internal/standin/hosted"
)

// brokenStream is a stream of which the caller has got some events.
type brokenStream struct {
	id, parts string
	lastEvent int
	// software is the version of the endpoint that sent the first event.
	software string
}

// softwareOf returns the software version of an endpoint of startVersions.
func softwareOf(endpoint string) string {
	software, _, _ := strings.Cut(strings.TrimPrefix(endpoint, "llm-"), "-")
	return software
}

// startVersions starts a site whose engines run two software versions, two engines each.
func startVersions(entryCount int) *site {
	s := newSite()
	s.putConfiguration(defaultSpec())
	for _, software := range []string{"v1", "v2"} {
		for i := range 2 {
			s.addEndpoint(hosted.EndpointConfig{
				ID: fmt.Sprintf("llm-%s-%d", software, i), Service: "llm", Model: testModel, Version: 1, Software: software, Events: 6,
				Work: 5 * time.Millisecond,
			})
		}
	}
	for range entryCount {
		s.addEntry()
	}
	for _, e := range s.entries {
		e.expectReady(true)
	}
	if entryCount > 0 {
		s.awaitSettled("v1", "v2")
	}
	return s
}

// settledTimeout is longer than an election and the time for which versions settle take on a busy machine.
const settledTimeout = 20 * time.Second

// awaitSettled waits until streams may begin at all of some versions.
func (s *site) awaitSettled(versions ...string) {
	for deadline := time.Now().Add(settledTimeout); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		var settled map[string][]string
		if msgpack.Unmarshal(s.store.Value("gypsum/settled"), &settled) == nil && slices.Equal(settled["llm"], versions) {
			return
		}
	}
	So(versions, ShouldEqual, "settled within the timeout")
}

// allowOneAttempt has each stream read by one engine only.
func (s *site) allowOneAttempt() {
	spec := defaultSpec()
	spec.Version, spec.Routes[2].MaxAttempts = 9, 1
	s.putConfiguration(spec)
}

// restart stops all entries, runs what is to happen while there are none, and starts one.
func (s *site) restart(meanwhile func()) *entry {
	for _, e := range s.entries {
		e.stop()
	}
	meanwhile()
	e := s.addEntry()
	e.expectReady(true)
	return e
}

// breakStreams begins streams at an entry that are broken off after three events.
func (s *site) breakStreams(e *entry, count int) []brokenStream {
	s.eachEndpoint(hosted.EndpointFault{CutAfter: 3})
	var broken []brokenStream
	for i := range count {
		parts := fmt.Sprintf("a1:600,own%d:100", i)
		a := s.call(e, http.MethodPost, "/redraft/", "plan", "Prompt-Prefix", parts)
		So(a.body, ShouldEqual, hosted.Stream(3))
		broken = append(broken, brokenStream{a.id, parts, 3, softwareOf(s.runs(a.id)[0].Endpoint)})
	}
	s.eachEndpoint(hosted.EndpointFault{})
	return broken
}

// takeUp takes broken streams up at an entry, and returns how many went on at the version that began them, and at another one.
func (s *site) takeUp(e *entry, broken []brokenStream) (wentOn, joined int) {
	for _, b := range broken {
		a := s.call(e, http.MethodPost, "/redraft/", "plan", "Prompt-Prefix", b.parts, "Resumes", b.id, "Last-Event-Id", strconv.Itoa(b.lastEvent))
		for _, run := range s.runs(a.id) {
			if softwareOf(run.Endpoint) != b.software {
				joined++
			}
		}
		if a.complete && a.status == http.StatusOK {
			So(a.body, ShouldEqual, hosted.Event(4)+hosted.Event(5)+hosted.Event(6))
			wentOn++
			continue
		}
		s.expectRefused(a, http.StatusServiceUnavailable, 0)
	}
	return wentOn, joined
}

// Guards against take-ups that are rejected since the engine that began the stream leaves, so that its cache isn't read any more.
func TestStreamOfLeavingEngine(t *testing.T) {
	t.Parallel()
	Convey("streams that only the caches of leaving engines can tell of go on after all entries were restarted", t, func() {
		const streams = 12
		s := startVersions(1)
		s.allowOneAttempt()
		eventually("the versions are on record", func() bool { return s.store.ModRevision("gypsum/versions") > 0 })
		time.Sleep(time.Second)
		broken := s.breakStreams(s.entries[0], streams)
		e := s.restart(func() {
			for page := range 32 {
				s.store.Delete(fmt.Sprintf("gypsum-streams/%02d", page))
			}
			So(s.endpoints[0].Leave(), ShouldBeNil)
			So(s.endpoints[2].Leave(), ShouldBeNil)
		})
		wentOn, joined := s.takeUp(e, broken)
		So(joined, ShouldEqual, 0)
		So(wentOn, ShouldEqual, streams)
	})
}

// Guards against take-ups that are rejected since their streams began before the leader kept a journal.
func TestStreamBegunBeforeSecondVersion(t *testing.T) {
	t.Parallel()
	Convey("streams that began before a second version came go on after all entries were restarted and their engine has left", t, func() {
		const streams = 12
		s := newSite()
		s.putConfiguration(defaultSpec())
		add := func(software string, i int) {
			s.addEndpoint(hosted.EndpointConfig{
				ID: fmt.Sprintf("llm-%s-%d", software, i), Service: "llm", Model: testModel, Version: 1, Software: software, Events: 6,
				Work: 5 * time.Millisecond,
			})
		}
		add("v1", 0)
		add("v1", 1)
		s.addEntry().expectReady(true)
		s.allowOneAttempt()
		eventually("the version is on record", func() bool { return s.store.ModRevision("gypsum/versions") > 0 })
		time.Sleep(time.Second)
		broken := s.breakStreams(s.entries[0], streams)
		recorded := s.store.ModRevision("gypsum/versions")
		add("v2", 0)
		eventually("both versions are on record", func() bool { return s.store.ModRevision("gypsum/versions") > recorded })
		time.Sleep(time.Second)
		e := s.restart(func() {
			s.endpoints[0].Stop()
			s.store.Delete("servers/" + s.endpoints[0].ID())
		})
		wentOn, joined := s.takeUp(e, broken)
		So(joined, ShouldEqual, 0)
		So(wentOn, ShouldEqual, streams)
	})
}

func TestStreamJoinedFromTwoVersions(t *testing.T) {
	t.Parallel()
	const streams = 24
	Convey("streams of engines with two software versions", t, func() {
		s := startVersions(2)
		Convey("go on at the version that began them, within one answer", func() {
			s.endpoints[0].SetFault(hosted.EndpointFault{CutAfter: 3})
			s.endpoints[2].SetFault(hosted.EndpointFault{CutAfter: 3})
			joined := 0
			for range streams {
				a := s.call(s.entries[0], http.MethodPost, "/redraft/", "plan")
				runs := s.runs(a.id)
				for _, run := range runs {
					if softwareOf(run.Endpoint) != softwareOf(runs[0].Endpoint) {
						joined++
					}
				}
			}
			So(joined, ShouldEqual, 0)
		})
		Convey("go on there if their callers take them up at another entry", func() {
			wentOn, joined := s.takeUp(s.entries[1], s.breakStreams(s.entries[0], streams))
			So(joined, ShouldEqual, 0)
			So(wentOn, ShouldEqual, streams)
		})
		Convey("go on there if the leader that placed them doesn't answer", func() {
			for range 2 {
				s.addEntry().expectReady(true)
			}
			var leader *entry
			eventually("an entry leads", func() bool {
				for _, e := range s.entries {
					if gateway.Leads(e.node) {
						leader = e
					}
				}
				return leader != nil
			})
			others := slices.DeleteFunc(slices.Clone(s.entries), func(e *entry) bool { return e == leader })
			broken := s.breakStreams(others[0], streams)
			time.Sleep(300 * time.Millisecond)
			release := gateway.HoldPlacement(leader.node)
			wentOn, joined := s.takeUp(others[1], broken)
			release()
			So(joined, ShouldEqual, 0)
			So(wentOn, ShouldEqual, streams)
		})
		Convey("go on there after all entries were restarted", func() {
			broken := s.breakStreams(s.entries[0], streams)
			for _, e := range s.entries {
				e.stop()
			}
			e := s.addEntry()
			e.expectReady(true)
			wentOn, joined := s.takeUp(e, broken)
			So(joined, ShouldEqual, 0)
			So(wentOn, ShouldBeGreaterThan, streams/2)
		})
		Convey("go on there after all entries were restarted and the engines that began them are gone", func() {
			s.allowOneAttempt()
			eventually("the versions are on record", func() bool { return s.store.ModRevision("gypsum/versions") > 0 })
			time.Sleep(time.Second)
			broken := s.breakStreams(s.entries[0], streams)
			began := make(map[string]bool)
			for _, b := range broken {
				began[s.runs(b.id)[0].Endpoint] = true
			}
			time.Sleep(time.Second)
			for _, e := range s.entries {
				e.stop()
			}
			// One engine of each version is left, and an engine that has read nothing.
			for _, endpoint := range []*hosted.Endpoint{s.endpoints[0], s.endpoints[2]} {
				endpoint.Stop()
				s.store.Delete("servers/" + endpoint.ID())
			}
			So(began, ShouldContainKey, s.endpoints[0].ID())
			e := s.addEntry()
			e.expectReady(true)
			wentOn, joined := s.takeUp(e, broken)
			So(joined, ShouldEqual, 0)
			So(wentOn, ShouldEqual, streams)
		})
		Convey("are rejected if no endpoint of that version is left, also after all entries were restarted", func() {
			broken := s.breakStreams(s.entries[0], streams)
			for _, endpoint := range s.endpoints[:2] {
				endpoint.Stop()
				s.store.Delete("servers/" + endpoint.ID())
			}
			left := 0
			for _, b := range broken {
				if b.software == "v2" {
					left++
				}
			}
			time.Sleep(s.entries[0].cfg.MaxLeavingDelay)
			wentOn, joined := s.takeUp(s.entries[1], broken)
			So(joined, ShouldEqual, 0)
			So(wentOn, ShouldEqual, left)
			for _, e := range s.entries {
				e.stop()
			}
			e := s.addEntry()
			e.expectReady(true)
			_, joined = s.takeUp(e, broken)
			So(joined, ShouldEqual, 0)
		})
	})
}

// Guards against a stream that goes on at another service of its route's traffic split.
func TestStreamTakenUpAtAnotherService(t *testing.T) {
	t.Parallel()
	Convey("streams on a route that is split between two services go on at the one that began them", t, func() {
		s := newSite()
		spec := defaultSpec()
		spec.Routes[2].Backend = ""
		spec.Routes[2].TrafficSplit = []hosted.RouteTarget{{Backend: "llm", Weight: 1}, {Backend: "other", Weight: 1}}
		spec.Services = append(spec.Services, hosted.EngineService("other", testModel, 16))
		s.putConfiguration(spec)
		for _, service := range []string{"llm", "other"} {
			s.addEndpoint(hosted.EndpointConfig{
				ID: "llm-" + service + "-0", Service: service, Model: testModel, Version: 1, Events: 6, Work: 5 * time.Millisecond,
			})
		}
		e := s.addEntry()
		e.expectReady(true)
		const streams = 12
		wentOn, joined := s.takeUp(e, s.breakStreams(e, streams))
		So(joined, ShouldEqual, 0)
		So(wentOn, ShouldEqual, streams)
	})
}

// Guards against streams that go on at an endpoint that has started again with other software and hasn't registered yet.
func TestStreamGoesOnAtReplacedSoftware(t *testing.T) {
	t.Parallel()
	const streams = 12
	Convey("streams of engines that are started again under their identifiers with another version", t, func() {
		s := newSite()
		s.putConfiguration(defaultSpec())
		for i := range 3 {
			s.addEndpoint(hosted.EndpointConfig{ID: fmt.Sprintf("llm-%d", i), Service: "llm", Model: testModel, Version: 1, Events: 6, Work: 5 * time.Millisecond})
		}
		for range 2 {
			s.addEntry()
		}
		for _, e := range s.entries {
			e.expectReady(true)
		}
		Convey("hold events of one version if they begin at an engine that isn't registered yet", func() {
			So(s.endpoints[0].ReplaceSoftware("v2"), ShouldBeNil)
			s.eachEndpoint(hosted.EndpointFault{CutAfter: 3})
			for i := range streams {
				a := s.call(s.entries[0], http.MethodPost, "/redraft/", fmt.Sprint("plan ", i), "Prompt-Prefix", fmt.Sprintf("a1:600,own%d:100", i))
				runs := s.runs(a.id)
				So(runs, ShouldNotBeEmpty)
				for _, run := range runs {
					So(run.Software, ShouldEqual, runs[0].Software)
				}
			}
		})
		s.allowOneAttempt()
		expectOneVersion := func(broken []brokenStream) (wentOn int) {
			for _, b := range broken {
				// The restarts count as crashes caused by the requests that were broken off, all with the same body.
				body := "plan of " + b.id
				a := s.call(s.entries[1], http.MethodPost, "/redraft/", body, "Prompt-Prefix", b.parts, "Resumes", b.id, "Last-Event-Id", strconv.Itoa(b.lastEvent))
				for _, run := range s.runs(a.id) {
					So(run.Software, ShouldEqual, "v1")
				}
				if a.complete && a.status == http.StatusOK {
					wentOn++
				}
			}
			return wentOn
		}
		Convey("go on at the engine that still has theirs", func() {
			broken := s.breakStreams(s.entries[0], streams)
			So(s.endpoints[0].ReplaceSoftware("v2"), ShouldBeNil)
			So(s.endpoints[1].ReplaceSoftware("v2"), ShouldBeNil)
			So(expectOneVersion(broken), ShouldEqual, streams)
		})
		Convey("go on nowhere if none has", func() {
			broken := s.breakStreams(s.entries[0], streams)
			for _, endpoint := range s.endpoints {
				So(endpoint.ReplaceSoftware("v2"), ShouldBeNil)
			}
			So(expectOneVersion(broken), ShouldEqual, 0)
		})
		Convey("go on at engines that were started again with the same version, once they are registered", func() {
			broken := s.breakStreams(s.entries[0], streams)
			for _, endpoint := range s.endpoints {
				So(endpoint.ReplaceSoftware("v1"), ShouldBeNil)
				So(endpoint.Register(), ShouldBeNil)
			}
			time.Sleep(2 * s.entries[0].cfg.MaxLeavingDelay)
			So(expectOneVersion(broken), ShouldEqual, streams)
		})
	})
}

// Guards against endpoints that are given the time that was left before they were asked who they are.
func TestDeadlineAfterSlowIdentification(t *testing.T) {
	t.Parallel()
	Convey("an engine that tells late who it is gets the time that is left then", t, func() {
		const deadline, delay = 3500, 600 * time.Millisecond
		s := startSite(1)
		s.eachEndpoint(hosted.EndpointFault{ReportDelay: delay})
		a := s.call(s.entries[0], http.MethodPost, "/redraft/", "plan", "Deadline-Ms", strconv.Itoa(deadline))
		s.expectAnswered(a)
		left, err := strconv.Atoi(s.runs(a.id)[0].Header.Get("Deadline-Ms"))
		So(err, ShouldBeNil)
		So(left, ShouldBeLessThanOrEqualTo, deadline-int(delay.Milliseconds()))
	})
}
