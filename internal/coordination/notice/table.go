package notice

import (
	"maps"
	"slices"
	"sort"
	"time"

	"gypsumvale/internal/state/clock"
	"gypsumvale/internal/state/registration"
)

// maxUnregistered bounds how many leaving incarnations are remembered that are no longer registered. The store may list them again, for
// example after it was restored from a copy.
const maxUnregistered = 4096

// Reason is the reason why an endpoint gets no requests from an entry.
type Reason uint8

// Reasons why an endpoint gets no requests from an entry.
const (
	// None means that the endpoint has said nothing against requests.
	None Reason = iota
	// Leaving means that the endpoint has said that it leaves.
	Leaving
	// Paused means that the endpoint has asked the entry for a time without requests, which has not ended.
	Paused
)

// String returns the label that is used in logs and metrics.
func (r Reason) String() string { return [...]string{"none", "leaving", "paused"}[r] }

// pair is an endpoint as one entry uses it. It is no incarnation, since a restart doesn't end a pause.
type pair struct{ entry, endpoint string }

// Table holds the notices of all endpoints, and decides which entry may send requests to which endpoint.
//
//	event                                       response
//	an endpoint says that it leaves             its incarnation gets no requests any more, from any entry
//	an endpoint asks an entry for a pause       it gets no requests from that entry until the latest end that it named
//	another incarnation runs at the endpoint    it may get requests unless it is paused
//	a registration disappears                   the leaving incarnation is remembered, since it may be listed again
type Table struct {
	// leaving holds the leaving incarnations, and since when each is not registered, or zero if it is.
	leaving map[registration.Incarnation]clock.Instant
	// pausedUntil holds the ends of the pauses.
	pausedUntil map[pair]clock.Instant
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{leaving: make(map[registration.Incarnation]clock.Instant), pausedUntil: make(map[pair]clock.Instant)}
}

// RecordLeaving records that an incarnation of an endpoint leaves, and reports whether this was unknown.
func (t *Table) RecordLeaving(endpoint registration.Incarnation) bool {
	_, known := t.leaving[endpoint]
	if !known {
		t.leaving[endpoint] = 0
	}
	return !known
}

// RecordPause records that an endpoint wants no requests from an entry until an instant, and returns by how much that prolongs its pause.
// Answers may overtake each other, so the latest end is in force.
func (t *Table) RecordPause(now clock.Instant, entry, endpoint string, until clock.Instant) time.Duration {
	key := pair{entry, endpoint}
	held := max(now, t.pausedUntil[key])
	if !held.Before(until) {
		return 0
	}
	t.pausedUntil[key] = until
	return until.Sub(held)
}

// Check returns why an endpoint gets no requests from an entry, and the end of its pause if it is paused.
func (t *Table) Check(now clock.Instant, entry string, endpoint registration.Incarnation) (Reason, clock.Instant) {
	if t.Leaves(endpoint) {
		return Leaving, 0
	}
	if until := t.pausedUntil[pair{entry, endpoint.ID}]; now.Before(until) {
		return Paused, until
	}
	return None, 0
}

// Leaves reports whether an incarnation of an endpoint has said that it leaves.
func (t *Table) Leaves(endpoint registration.Incarnation) bool {
	_, leaves := t.leaving[endpoint]
	return leaves
}

// Leaving returns all leaving incarnations.
func (t *Table) Leaving() []registration.Incarnation { return slices.Collect(maps.Keys(t.leaving)) }

// Pauses returns the ends of an entry's pauses by endpoint.
func (t *Table) Pauses(now clock.Instant, entry string) map[string]clock.Instant {
	list := make(map[string]clock.Instant)
	for key, until := range t.pausedUntil {
		if key.entry == entry && now.Before(until) {
			list[key.endpoint] = until
		}
	}
	return list
}

// Paused reports whether the table has any pauses; Sweep removes those that have ended.
func (t *Table) Paused() bool { return len(t.pausedUntil) > 0 }

// Empty reports whether no endpoint has said anything that is in force.
func (t *Table) Empty() bool { return len(t.leaving) == 0 && len(t.pausedUntil) == 0 }

// Sweep forgets pauses that have ended and, beyond a limit, the incarnations that have not been registered for longest. Without a start time,
// an incarnation is forgotten once it is not registered, since a later one couldn't be told from it.
func (t *Table) Sweep(now clock.Instant, registered func(registration.Incarnation) bool) {
	for key, until := range t.pausedUntil {
		if !now.Before(until) {
			delete(t.pausedUntil, key)
		}
	}
	var unregistered []registration.Incarnation
	for endpoint, since := range t.leaving {
		switch {
		case registered(endpoint):
			t.leaving[endpoint] = 0
			continue
		case endpoint.StartMilli == 0:
			delete(t.leaving, endpoint)
			continue
		case since == 0:
			t.leaving[endpoint] = now
		}
		unregistered = append(unregistered, endpoint)
	}
	excess := len(unregistered) - maxUnregistered
	if excess <= 0 {
		return
	}
	sort.Slice(unregistered, func(i, j int) bool { return t.leaving[unregistered[i]].Before(t.leaving[unregistered[j]]) })
	for _, endpoint := range unregistered[:excess] {
		delete(t.leaving, endpoint)
	}
}
