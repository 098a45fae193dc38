package gateway

import (
	"context"
	"fmt"
	"net"
	"net/http"

	"gypsumvale/internal/coordination/origin"
	"gypsumvale/internal/coordination/placement"
	"gypsumvale/internal/coordination/registry"
	"gypsumvale/internal/protocol/peer"
	"gypsumvale/internal/state/clock"
	"gypsumvale/internal/state/prompt"
)

// HoldPlacement keeps a node's placement from running until the returned function is called.
func HoldPlacement(n *Node) (release func()) {
	n.placer.mu.Lock()
	return n.placer.mu.Unlock
}

// OrdersInProgress returns the number of a node's weight orders that have been planned and have not ended.
func OrdersInProgress(n *Node) int {
	n.rollout.mu.Lock()
	defer n.rollout.mu.Unlock()
	return n.rollout.planner.InProgress(toTime(clock.Now()), nil)
}

// Protect returns the listener of a node's callers for another listener and server.
func Protect(n *Node, l net.Listener, server *http.Server) net.Listener {
	return n.guard.Protect(l, server)
}

// Leads reports whether a node is the leader.
func Leads(n *Node) bool { return n.leadership.holdsLease(clock.Now()) }

// Isolated reports whether a node reaches no endpoint.
func Isolated(n *Node) bool { return n.links.isolated.Load() }

// CheckedZones returns the zones of the endpoints that a node dials to find out whether it is isolated.
func CheckedZones(n *Node) []string {
	var zones []string
	for _, r := range n.links.targets(checkedEndpoints) {
		zones = append(zones, r.Zone)
	}
	return zones
}

// KnowsLeader reports whether a node knows which instance leads.
func KnowsLeader(n *Node) bool { return n.members.owner() != "" }

// ReadAfterMismatchedChanges has a node receive the registrations in the store as a relay's changes with another digest, and then read the same list
// itself. It returns the number of usable endpoints afterwards.
func ReadAfterMismatchedChanges(ctx context.Context, n *Node) (usable int, err error) {
	list, err := n.deps.Store.Range(ctx, n.deps.Schema.RegistrationPrefix(), "")
	if err != nil {
		return 0, fmt.Errorf("read registrations: %w", err)
	}
	changes := registry.Changes{Number: 9, Sum: 1}
	for _, item := range list.Items {
		r, err := n.deps.Schema.Registration(item)
		if err != nil {
			return 0, fmt.Errorf("decode registration: %w", err)
		}
		changes.Changed = append(changes.Changed, *r)
	}
	n.discovery.applyRelayed(clock.Now(), &peer.SyncReply{RegistrationsRevision: uint64(list.Revision), Changes: &changes})
	n.discovery.applyListing(clock.Now(), list.Revision, list.Items)
	for _, endpoints := range n.discovery.snapshot() {
		usable += len(endpoints)
	}
	return usable, nil
}

// TakeUpAfterRead has a node hear that an engine of a software version has read a prompt, and returns the version at which it goes on with a stream of
// that prompt of which it knows nothing else. It is empty if the node rejects that.
func TakeUpAfterRead(n *Node, service, software string) string {
	req := &placement.Request{Service: service, Stream: 1, TakesUp: true, Parts: []prompt.Part{{ID: "own", Tokens: 100}}}
	n.origins.mu.Lock()
	n.origins.readers.Record(clock.Now(), lastPartHash(req), software)
	n.origins.mu.Unlock()
	if err := n.origins.resolve(req); err != nil || req.Origin.Source != origin.Cache {
		return ""
	}
	return req.Software
}
