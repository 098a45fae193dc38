package gateway

import (
	"context"
	"slices"
	"sync"
	"time"

	"gypsumvale/internal/coordination/origin"
	"gypsumvale/internal/coordination/placement"
	"gypsumvale/internal/coordination/rank"
	"gypsumvale/internal/duty"
	"gypsumvale/internal/protocol/peer"
	"gypsumvale/internal/state/clock"
)

const (
	// originRegistrars is how many instances are told of streams while several versions are in service: enough that one of them is probably left
	// when a third of all instances, the leader among them, fail at once. They are told once in registerPeriod.
	originRegistrars = 3
	registerPeriod   = 100 * time.Millisecond
	// zoneRegistrars is how many of the sender's own zone are told besides, so that a zone that is cut off goes on with its streams.
	zoneRegistrars = 2
	// findTimeout bounds the query of a registrar, and findPause is the pause between two queries for one request.
	findTimeout = 100 * time.Millisecond
	findPause   = 400 * time.Millisecond
	// maxRegistered bounds the streams in one message, and those that wait for it.
	maxRegistered = 2048
)

// registrarSubject is the subject for which registrars are ranked.
const registrarSubject = "origins"

// registrars returns the instances that are told of streams, and are asked for them; all instances of a zone choose the same ones.
func (o *origins) registrars() []string {
	all, ownZone := o.node.members.names()
	list := rank.Top(registrarSubject, all, originRegistrars)
	for _, name := range rank.Top(registrarSubject, ownZone, zoneRegistrars) {
		if !slices.Contains(list, name) {
			list = append(list, name)
		}
	}
	return slices.DeleteFunc(list, func(name string) bool { return name == o.node.cfg.Name })
}

// register tells the registrars of the streams that this instance has placed.
func (o *origins) register(ctx context.Context) {
	duty.Every(ctx, registerPeriod, func(context.Context) {
		o.mu.Lock()
		streams := o.unregistered
		o.unregistered = nil
		o.mu.Unlock()
		if len(streams) == 0 {
			return
		}
		for _, name := range o.registrars() {
			o.node.notify(name, peer.KindStreamOrigins, peer.StreamOrigins{Streams: streams})
		}
	})
}

// serveFind answers a query for the origin of a stream.
func (o *origins) serveFind(stream uint64) peer.FindOriginReply {
	o.mu.Lock()
	defer o.mu.Unlock()
	known, ok := o.table.Lookup(stream)
	if !ok || known.Placed {
		return peer.FindOriginReply{}
	}
	return peer.FindOriginReply{Service: known.Service, Software: known.Software}
}

// find asks the registrars where a request's stream began, and records it if one of them knows.
func (o *origins) find(ctx context.Context, req *placement.Request) {
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	var queries sync.WaitGroup
	for _, name := range o.registrars() {
		queries.Go(func() {
			var reply peer.FindOriginReply
			// A registrar that is gone, or is of an earlier release, knows nothing.
			if err := o.node.CallPeer(ctx, name, peer.KindFindOrigin, peer.FindOrigin{Stream: req.Stream}, &reply); err != nil || reply.Software == "" {
				return
			}
			o.mu.Lock()
			defer o.mu.Unlock()
			o.recordBegun(req.Stream, origin.Origin{
				Service: reply.Service, Software: reply.Software, Until: req.Deadline.Add(lateTakeUp), Source: origin.Registrar, At: clock.Now(),
			})
		})
	}
	queries.Wait()
}
