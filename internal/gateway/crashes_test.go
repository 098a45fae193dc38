package gateway_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumvale/internal/coordination/placement"
	"gypsumvale/internal/protocol/peer"
	"gypsumvale/internal/standin/hosted"
	"gypsumvale/internal/standin/proxy"
)

// In a cut the connections to many endpoints break at once and dials may be refused, which was taken for crashes caused by the requests.
func TestZoneCutWithResets(t *testing.T) {
	t.Parallel()
	Convey("a site whose endpoints are cut off twice with resets, while a device on the path refuses connections", t, func() {
		s := newSite()
		s.putConfiguration(defaultSpec())
		links := make(map[string]*proxy.Proxy)
		backends := make(map[string]string)
		for i := range 6 {
			address, backend := freeAddress(), freeAddress()
			e := s.addEndpoint(hosted.EndpointConfig{
				ID: fmt.Sprint("llm-", i), Service: "llm", Model: testModel, Version: 1, Events: 6, Work: 20 * time.Millisecond, Listen: backend, Advertise: address,
			})
			e.SetFault(hosted.EndpointFault{StartDelay: 800 * time.Millisecond})
			link, err := proxy.Start(address, backend)
			So(err, ShouldBeNil)
			links[address], backends[address] = link, backend
		}
		Reset(func() {
			for _, link := range links {
				link.Close()
			}
		})
		for range 2 {
			s.addEntry()
		}
		for _, e := range s.entries {
			e.expectReady(true)
		}
		cutOff := func() {
			for _, link := range links {
				link.StopListening()
			}
			for _, link := range links {
				link.Reset()
			}
			time.Sleep(400 * time.Millisecond)
			for address, backend := range backends {
				links[address].Close()
				link, err := proxy.Start(address, backend)
				So(err, ShouldBeNil)
				links[address] = link
			}
		}
		statuses := make([][]int, 40)
		var wg sync.WaitGroup
		for i := range statuses {
			wg.Go(func() {
				for n := range 14 {
					a := s.send(s.entries[(i+n)%2], http.MethodPost, "/redraft/", fmt.Sprint("sound ", i), "Prompt-Prefix", fmt.Sprintf("a1:600,b2:300,own%d:100", i))
					statuses[i] = append(statuses[i], a.status)
					if a.status == http.StatusOK && a.complete {
						return
					}
					time.Sleep(250 * time.Millisecond)
				}
			})
		}
		time.Sleep(300 * time.Millisecond)
		cutOff()
		time.Sleep(1200 * time.Millisecond)
		cutOff()
		wg.Wait()
		Convey("blocks none of the requests, and serves them after the cuts", func() {
			for _, list := range statuses {
				So(list, ShouldNotContain, http.StatusInternalServerError)
				So(list[len(list)-1], ShouldEqual, http.StatusOK)
			}
		})
	})
}

// retractCrash takes back the reports of an engine's crash at about the given time before.
func (p *testPeer) retractCrash(endpoint string, age time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), peerCallTimeout)
	defer cancel()
	So(p.network.Call(ctx, p.leader.cfg.Name, p.leader.cfg.Peers, peer.KindCrashRetraction, peer.CrashRetraction{
		Endpoint: endpoint, FirstAge: age, LastAge: age, Number: 1,
	}, &peer.Empty{}), ShouldBeNil)
}

func TestRetractedCrashReport(t *testing.T) {
	t.Parallel()
	Convey("an entry to which a peer has reported two crashes of a part goes on blocking it until one of them is retracted", t, func() {
		s := startPartSite(1)
		p := s.startPeer()
		p.reportOldCrash("llm-8", 900*time.Millisecond, "b2")
		p.reportCrash("llm-9", "b2")
		So(p.placePart(1, "b2"), ShouldEqual, peer.VerdictBlocked)
		p.retractCrash("llm-7", 10*time.Millisecond)
		So(p.placePart(2, "b2"), ShouldEqual, peer.VerdictBlocked)
		p.retractCrash("llm-9", 10*time.Millisecond)
		So(p.placePart(3, "b2"), ShouldEqual, peer.VerdictPlaced)
		p.update(3, placement.OutcomeAnswered)
	})
}
