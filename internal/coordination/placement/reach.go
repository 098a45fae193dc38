package placement

import (
	"time"

	"gypsumvale/internal/state/clock"
)

const (
	// cutWindow is the time within which two endpoints of a zone fail for their zone to count as cut off: several dials.
	cutWindow = time.Second
	// firstCutRest is how long a zone that seems cut off is left alone first; each further failure doubles it, up to maxRest.
	firstCutRest    = 500 * time.Millisecond
	maxCutDoublings = 2
	// cutProbe is how long others keep away while one request tries whether a zone can be reached again: a dial, and an answer.
	cutProbe = 250 * time.Millisecond
)

// Reachability is what is known of the network between zones; the pools of all services share it.
//
//	load pattern                                 answer
//	a zone is cut off, its endpoints are listed  two endpoints there that can't be reached stand for all, instead of a dial for each
//	the zone is back                             one request tries it, and its first event or answer lets all others in
//	several endpoints of a zone crash at once    any other's first event or answer opens the zone at once
type Reachability struct {
	passages map[passageKey]*passage
	changes  []PathChange
}

// PathChange is a change of what is believed of the way from one zone to another.
type PathChange struct {
	From, To string
	// Unreachable says that the zone is left alone until an instant; otherwise it was heard of again.
	Unreachable bool
	Until       clock.Instant
	// Endpoint is the one that failed last, or was heard of.
	Endpoint string
}

type passageKey struct{ from, to string }

// passage is the way from one zone to another on which something has failed since it was last heard of.
type passage struct {
	// first is the endpoint that failed first, and failed when.
	first  string
	failed clock.Instant
	// rests counts the times that the passage was left alone, and until is when the last of these ends.
	rests int
	until clock.Instant
	// probing says that something was sent after the last rest.
	probing bool
}

// NewReachability returns a network without faults.
func NewReachability() *Reachability { return &Reachability{passages: make(map[passageKey]*passage)} }

// fail notes that an endpoint could not be reached from a zone, or was lost.
func (r *Reachability) fail(now clock.Instant, from string, s *seat) {
	if from == "" || from == s.Zone {
		return
	}
	key := passageKey{from, s.Zone}
	p := r.passages[key]
	if p == nil {
		p = &passage{}
		r.passages[key] = p
	}
	if p.rests == 0 && (p.first == "" || p.first == s.ID || now.Sub(p.failed) > cutWindow) {
		p.first, p.failed = s.ID, now
		return
	}
	if p.rests > 0 && !p.probing {
		// It was sent before the zone was left alone.
		return
	}
	p.until = now.Add(min(firstCutRest<<min(p.rests, maxCutDoublings), maxRest))
	p.rests++
	p.probing = false
	r.changes = append(r.changes, PathChange{From: from, To: s.Zone, Unreachable: true, Until: p.until, Endpoint: s.ID})
}

// hear notes a sign of life of a zone.
func (r *Reachability) hear(from string, s *seat) {
	key := passageKey{from, s.Zone}
	p := r.passages[key]
	if p == nil {
		return
	}
	delete(r.passages, key)
	if p.rests > 0 {
		r.changes = append(r.changes, PathChange{From: from, To: s.Zone, Endpoint: s.ID})
	}
}

// TakeChanges returns what has changed since it was last asked.
func (r *Reachability) TakeChanges() []PathChange {
	changes := r.changes
	r.changes = nil
	return changes
}

// send notes that a request goes to a zone; where that was cut off, others wait for what becomes of it.
func (r *Reachability) send(now clock.Instant, from string, s *seat) {
	if p := r.passages[passageKey{from, s.Zone}]; p != nil && p.rests > 0 {
		p.until, p.probing = now.Add(cutProbe), true
	}
}

// cut reports whether a zone is to be left alone by another.
func (r *Reachability) cut(now clock.Instant, from, to string) bool {
	if len(r.passages) == 0 {
		return false
	}
	p := r.passages[passageKey{from, to}]
	return p != nil && p.rests > 0 && now.Before(p.until)
}
