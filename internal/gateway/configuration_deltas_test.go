package gateway_test

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/vmihailenco/msgpack/v5"

	"gypsumvale/internal/coordination/document"
	"gypsumvale/internal/protocol/peer"
	"gypsumvale/internal/standin/hosted"
	"gypsumvale/internal/state/kv"
	"gypsumvale/platform"
)

// specWithRoutes returns the configuration of specWithRoute with a number of further routes.
func specWithRoutes(version int, path string, routes int) hosted.Configuration {
	spec := specWithRoute(version, path)
	for i := range routes {
		spec.Routes = append(spec.Routes, hosted.Route{
			Name: fmt.Sprintf("r-%d", i), Hostname: fmt.Sprintf("h%d.example", i%50), PathPrefix: fmt.Sprintf("/%06x/", i*104729), Type: "idempotent",
			Backend: "llm", TimeoutMs: 2000, MaxAttempts: 2,
		})
	}
	return spec
}

// A change of one route had each entry receive and decode all routes.
func TestChangeOfOneRouteAmongMany(t *testing.T) {
	t.Parallel()
	Convey("a relay sends an entry that reads deltas what has changed, and one that doesn't everything", t, func() {
		s := newSite()
		s.putConfiguration(specWithRoutes(9, "/first/", 1450))
		s.addEndpoint(hosted.EndpointConfig{ID: "llm-0", Service: "llm", Model: testModel, Version: 1, Events: 6, Work: time.Millisecond})
		s.addEntry()
		p := s.startPeer()
		var held document.History
		// receive returns the item with the configuration, which was read since a revision.
		receive := func(query peer.SyncRequest, text []byte) peer.Item {
			var reply peer.SyncReply
			eventually("the relay has the configuration", func() bool {
				ctx, cancel := context.WithTimeout(context.Background(), peerCallTimeout)
				defer cancel()
				reply = peer.SyncReply{}
				So(p.network.Call(ctx, p.leader.cfg.Name, p.leader.cfg.Peers, peer.KindSync, query, &reply), ShouldBeNil)
				return len(reply.OperatorItems) == 1
			})
			item := reply.OperatorItems[0]
			if query.Deltas {
				So(item.Data, ShouldBeEmpty)
				delta, err := peer.DecodeDelta(item.Delta)
				So(err, ShouldBeNil)
				doc, err := held.Apply(delta)
				So(err, ShouldBeNil)
				held.Add(kv.Revision(item.Revision), doc)
				So(string(doc.Text()) == string(text), ShouldBeTrue)
			} else {
				So(item.Delta, ShouldBeEmpty)
				So(string(item.Data) == string(text), ShouldBeTrue)
			}
			return item
		}
		whole := receive(peer.SyncRequest{Eras: true, Deltas: true}, s.store.Value("op/config"))
		s.putConfiguration(specWithRoutes(12, "/second/", 1450))
		text := s.store.Value("op/config")
		query := peer.SyncRequest{Eras: true, Deltas: true, OperatorRevision: whole.Revision, ConfigurationDigest: held.Digest()}
		So(len(receive(query, text).Delta), ShouldBeLessThan, 1000)
		Convey("and everything, too, to one whose configuration it doesn't know", func() {
			held.Reset()
			So(len(receive(peer.SyncRequest{Eras: true, Deltas: true, ConfigurationDigest: 5}, text).Delta), ShouldBeGreaterThan, 1000)
		})
		Convey("and text to an entry of an earlier release", func() { receive(peer.SyncRequest{Eras: true, OperatorRevision: whole.Revision}, text) })
	})
}

// deltaRelay is a relay that answers entries which have a configuration with a delta that doesn't belong to it, and others with the whole.
type deltaRelay struct {
	relayStub

	mu      sync.Mutex
	unfit   []byte
	whole   []byte
	queries []peer.SyncRequest
}

func (r *deltaRelay) Serve(ctx context.Context, from peer.Hello, kind peer.Kind, body []byte) (any, error) {
	reply, err := r.relayStub.Serve(ctx, from, kind, body)
	update, ok := reply.(peer.SyncReply)
	if !ok {
		return reply, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	var query peer.SyncRequest
	if err := msgpack.Unmarshal(body, &query); err != nil {
		return nil, fmt.Errorf("decode query: %w", err)
	}
	r.queries = append(r.queries, query)
	item := peer.Item{Key: "op/config", Revision: update.OperatorRevision, Delta: r.whole}
	if query.ConfigurationDigest != 0 {
		item.Delta = r.unfit
	}
	if query.OperatorRevision < update.OperatorRevision {
		update.OperatorItems = []peer.Item{item}
	}
	return update, nil
}

// An entry that took a delta for another configuration, or that confirmed the one it has, would handle requests by an old one.
func TestDeltaThatDoesNotFit(t *testing.T) {
	t.Parallel()
	Convey("an entry whose relay sends a delta for another configuration asks for the whole", t, func() {
		s := newSite()
		s.putConfiguration(defaultSpec())
		s.addEndpoint(hosted.EndpointConfig{ID: "llm-0", Service: "llm", Model: testModel, Version: 1, Events: 6, Work: time.Millisecond})
		e := s.addEntry()
		e.expectReady(true)
		encode := func(spec hosted.Configuration, base uint64) []byte {
			text, err := json.Marshal(spec)
			So(err, ShouldBeNil)
			doc, err := platform.StoreSchema{}.Split(text)
			So(err, ShouldBeNil)
			delta := document.Diff(nil, doc)
			delta.Base = base
			return peer.EncodeDelta(delta)
		}
		relay := &deltaRelay{}
		relay.unfit, relay.whole = encode(specWithRoute(9, "/unfit/"), 5), encode(specWithRoute(12, "/whole/"), 0)
		relay.set(true, revisionAt(1000), revisionAt(1000))
		s.addRelayWith("relay", "plateau", relay)
		eventually("the whole configuration is in force", func() bool { return s.servesRoute(e, "/whole/") })
		So(s.servesRoute(e, "/unfit/"), ShouldBeFalse)
		relay.mu.Lock()
		defer relay.mu.Unlock()
		So(relay.queries[0].ConfigurationDigest, ShouldNotEqual, 0)
		So(relay.queries[1].ConfigurationDigest, ShouldEqual, 0)
	})
}
