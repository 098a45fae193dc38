package placement

import (
	"time"

	"gypsumvale/internal/state/clock"
)

const (
	// failureWindow is the time within which two endpoints of a zone must fail for the zone to count as unreachable; it fits several dials.
	failureWindow = time.Second
	// minPathSilence is how long nothing must have come from a zone for a failure there to say anything of the zone: as long as a dial without
	// an answer takes.
	minPathSilence = 150 * time.Millisecond
	// firstPathBackoff is the first backoff for an unreachable zone. Each further failure doubles it, up to maxBackoff.
	firstPathBackoff = 500 * time.Millisecond
	maxPathDoublings = 2
	// probeTimeout is how long other requests are kept away while one request probes a zone: time for a dial and a response.
	probeTimeout = 250 * time.Millisecond
)

// Reachability tracks which zones are reachable from which; the pools of all services share it.
//
//	load pattern                                        response
//	a zone is unreachable, its endpoints still listed   after failures at two endpoints no request goes there, instead of a dial for each
//	the zone is reachable again                         one request probes it; its first event or response admits all others
//	several endpoints of a zone crash at once           the zone is used on if other endpoints there have responded since the failed requests
//	                                                    were sent, or just before; else their next response makes it available at once
//
// Whether a connection was refused doesn't matter: a crashed endpoint's host refuses connections, and so may a firewall for a whole zone.
type Reachability struct {
	paths map[pathKey]*pathState
	// contacts holds when something last came from a zone.
	contacts map[pathKey]clock.Instant
	changes  []PathChange
}

// PathChange is a change in the reachability of one zone from another.
type PathChange struct {
	From, To string
	// Unreachable is true if the zone is avoided until an instant, and false if it has responded again.
	Unreachable bool
	Until       clock.Instant
	// Endpoint is the one that failed last or that responded.
	Endpoint string
}

type pathKey struct{ from, to string }

// pathState is the state of a path between zones on which a request has failed since the last response.
type pathState struct {
	// firstEndpoint is the first endpoint that failed, at firstFailedAt.
	firstEndpoint string
	firstFailedAt clock.Instant
	// backoffs counts the backoffs, the last of which ends at backoffUntil.
	backoffs     int
	backoffUntil clock.Instant
	// probing is true if a request was sent after the last backoff.
	probing bool
}

// NewReachability returns a state in which all zones are reachable.
func NewReachability() *Reachability {
	return &Reachability{paths: make(map[pathKey]*pathState), contacts: make(map[pathKey]clock.Instant)}
}

// recordFailure records that an endpoint could not be reached from a zone or that the connection to it was lost, by a request sent at an
// instant.
func (r *Reachability) recordFailure(now clock.Instant, from string, s *endpointState, sentAt clock.Instant) {
	if from == "" || from == s.Zone {
		return
	}
	key := pathKey{from, s.Zone}
	p := r.paths[key]
	if (p == nil || p.backoffs == 0) && min(sentAt, now.Add(-minPathSilence)).Before(r.contacts[key]) {
		// The zone was reachable while the request ran, so the endpoint alone has failed.
		return
	}
	if p == nil {
		p = &pathState{}
		r.paths[key] = p
	}
	if p.backoffs == 0 && (p.firstEndpoint == "" || p.firstEndpoint == s.ID || now.Sub(p.firstFailedAt) > failureWindow) {
		p.firstEndpoint, p.firstFailedAt = s.ID, now
		return
	}
	if p.backoffs > 0 && !p.probing {
		// The request was sent before the backoff began.
		return
	}
	p.backoffUntil = now.Add(min(firstPathBackoff<<min(p.backoffs, maxPathDoublings), maxBackoff))
	p.backoffs++
	p.probing = false
	r.changes = append(r.changes, PathChange{From: from, To: s.Zone, Unreachable: true, Until: p.backoffUntil, Endpoint: s.ID})
}

// recordContact records a response from an endpoint's zone.
func (r *Reachability) recordContact(now clock.Instant, from string, s *endpointState) {
	key := pathKey{from, s.Zone}
	r.contacts[key] = now
	p := r.paths[key]
	if p == nil {
		return
	}
	delete(r.paths, key)
	if p.backoffs > 0 {
		r.changes = append(r.changes, PathChange{From: from, To: s.Zone, Endpoint: s.ID})
	}
}

// TakeChanges returns the changes since the last call.
func (r *Reachability) TakeChanges() []PathChange {
	changes := r.changes
	r.changes = nil
	return changes
}

// recordSend records that a request is sent to a zone. If the zone was unreachable, the request is a probe and others wait for its outcome.
func (r *Reachability) recordSend(now clock.Instant, from string, s *endpointState) {
	if p := r.paths[pathKey{from, s.Zone}]; p != nil && p.backoffs > 0 {
		p.backoffUntil, p.probing = now.Add(probeTimeout), true
	}
}

// Unreachable reports whether a zone is avoided by requests from another, or is being probed.
func (r *Reachability) Unreachable(now clock.Instant, from, to string) bool {
	return r.unreachable(now, from, to)
}

// unreachable reports whether a zone must be avoided by requests from another.
func (r *Reachability) unreachable(now clock.Instant, from, to string) bool {
	if len(r.paths) == 0 {
		return false
	}
	p := r.paths[pathKey{from, to}]
	return p != nil && p.backoffs > 0 && now.Before(p.backoffUntil)
}
