package gateway

import (
	"net"
	"net/http"

	"gypsumvale/internal/state/clock"
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
