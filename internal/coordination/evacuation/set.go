package evacuation

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"gypsumvale/internal/state/clock"
	"gypsumvale/internal/state/kv"
)

const (
	// RewriteTime is how long zones stay evacuated that a store restored from a copy doesn't list: the operator may take that long to write
	// again what the store has lost.
	RewriteTime = 2200 * time.Millisecond
	// endedRetention is how long the end of an evacuation is remembered: many times as long as endpoints take to register again.
	endedRetention = time.Hour
)

// Reading is the complete set of evacuated zones, as one read of the store returned it.
type Reading struct {
	// Revision is the store's revision at which the set was read, and ReadAt is when that read was sent.
	Revision kv.Revision
	ReadAt   clock.Instant
	// Zones maps the zones to since when they are known to be evacuated, or to zero if the reader can't tell.
	Zones map[string]clock.Instant
}

// isLaterThan reports whether a reading was read later than another. The store's revision stands still when a key's lease expires, so among
// readings of one revision the one that was sent later counts.
func (r *Reading) isLaterThan(other *Reading) bool {
	if r.Revision != other.Revision {
		return r.Revision > other.Revision
	}
	return other.ReadAt.Before(r.ReadAt)
}

// ChangeKind is the kind of a change to the set.
type ChangeKind uint8

// Kinds of changes.
const (
	// Began means that the zone's endpoints get no requests from now on.
	Began ChangeKind = iota + 1
	// Retained means that the zone stays evacuated for a while though the store, which was restored from a copy, doesn't list it.
	Retained
	// Ended means that the zone's endpoints may get requests again.
	Ended
)

// String returns the label that is used in logs.
func (k ChangeKind) String() string { return [...]string{"none", "began", "retained", "ended"}[k] }

// Change is a change to the set.
type Change struct {
	Kind ChangeKind
	Zone string
}

// Zone is an evacuated zone.
type Zone struct {
	Name string
	// Since is since when the zone is known to be evacuated.
	Since clock.Instant
	// RetainedUntil is until when the zone stays evacuated though the store doesn't list it; zero if the store lists it.
	RetainedUntil clock.Instant
}

// Set holds the zones that are evacuated, merged from readings of the store that arrive in any order.
//
//	event                                               response
//	a reading that was read later                       replaces the set as a whole, since a removed key leaves no trace in a listing
//	a reading that was read earlier                     ignored
//	the first reading of a store restored from a copy   the set held until then stays in force for RewriteTime too
//	a reading of an earlier era within that time        its zones stay in force until the end of that time
//	no readings                                         the last set stays in force
type Set struct {
	last  Reading
	known bool
	// rewrittenBy is when the operator has written again what the store had lost at the beginning of its era.
	rewrittenBy clock.Instant
	// retained holds the zones that stay evacuated whatever the store lists, and until when.
	retained map[string]clock.Instant
	active   map[string]Zone
	ended    map[string]clock.Instant
}

// NewSet returns an empty set.
func NewSet() *Set {
	return &Set{retained: make(map[string]clock.Instant), active: make(map[string]Zone), ended: make(map[string]clock.Instant)}
}

// Merge applies a reading, and returns the changes.
func (s *Set) Merge(now clock.Instant, r *Reading) []Change {
	switch held := s.last.Revision.Era(); {
	case !s.known || r.Revision.Era() > held:
		// In the first era that is seen, only readings that come from peers can be of an earlier one.
		s.rewrittenBy = now.Add(RewriteTime)
		for zone := range s.active {
			s.retain(zone, s.rewrittenBy)
		}
		s.last, s.known = *r, true
	case r.Revision.Era() < held:
		for zone := range r.Zones {
			s.retain(zone, s.rewrittenBy)
		}
	case r.isLaterThan(&s.last):
		s.last = *r
	}
	changes := s.Advance(now)
	for zone, since := range r.Zones {
		s.extendBack(zone, since)
	}
	return changes
}

// Retain keeps a zone evacuated until an instant, as a peer does whose store was restored from a copy, and returns the changes.
func (s *Set) Retain(now clock.Instant, zone string, since, until clock.Instant) []Change {
	s.retain(zone, until)
	changes := s.Advance(now)
	s.extendBack(zone, since)
	return changes
}

func (s *Set) retain(zone string, until clock.Instant) {
	s.retained[zone] = max(s.retained[zone], until)
}

// extendBack records that an evacuated zone is known elsewhere to have been evacuated since an instant; zero is unknown.
func (s *Set) extendBack(zone string, since clock.Instant) {
	if z, ok := s.active[zone]; ok && since != 0 && since.Before(z.Since) {
		z.Since = since
		s.active[zone] = z
	}
}

// Advance ends what is retained no longer, and returns the changes.
func (s *Set) Advance(now clock.Instant) []Change {
	maps.DeleteFunc(s.retained, func(_ string, until clock.Instant) bool { return !now.Before(until) })
	maps.DeleteFunc(s.ended, func(_ string, at clock.Instant) bool { return now.Sub(at) > endedRetention })
	var changes []Change
	for zone := range s.last.Zones {
		changes = s.activate(changes, now, zone, 0)
	}
	for zone, until := range s.retained {
		if _, listed := s.last.Zones[zone]; !listed {
			changes = s.activate(changes, now, zone, until)
		}
	}
	for zone := range s.active {
		_, listed := s.last.Zones[zone]
		if _, retained := s.retained[zone]; !listed && !retained {
			delete(s.active, zone)
			s.ended[zone] = now
			changes = append(changes, Change{Ended, zone})
		}
	}
	slices.SortFunc(changes, func(a, b Change) int { return cmp.Compare(a.Zone, b.Zone) })
	return changes
}

// activate puts a zone into force, and appends the change that this is, if any.
func (s *Set) activate(changes []Change, now clock.Instant, zone string, retainedUntil clock.Instant) []Change {
	z, held := s.active[zone]
	switch {
	case !held:
		z = Zone{Name: zone, Since: now}
		delete(s.ended, zone)
		changes = append(changes, Change{Began, zone})
	case retainedUntil != 0 && z.RetainedUntil == 0:
		changes = append(changes, Change{Retained, zone})
	}
	z.RetainedUntil = retainedUntil
	s.active[zone] = z
	return changes
}

// Last returns the reading that was read last, and whether there is any.
func (s *Set) Last() (Reading, bool) { return s.last, s.known }

// Zones returns the evacuated zones, sorted by name.
func (s *Set) Zones() []Zone {
	return slices.SortedFunc(maps.Values(s.active), func(a, b Zone) int { return cmp.Compare(a.Name, b.Name) })
}

// EndedAt returns when the last evacuation of a zone ended, as far as known here, and false if the zone is evacuated or no end is known. What
// was read before that instant may be older than the end.
func (s *Set) EndedAt(zone string) (clock.Instant, bool) {
	at, ok := s.ended[zone]
	return at, ok
}
