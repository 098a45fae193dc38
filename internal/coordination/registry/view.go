package registry

import (
	"sort"
	"time"

	"gypsumvale/internal/state/clock"
	"gypsumvale/internal/state/kv"
	"gypsumvale/internal/state/registration"
)

const (
	// outageAfter is the time without a read after which registrations may have lapsed though their endpoints live: they do
	// after three heartbeats.
	outageAfter = 3 * time.Second
	// returnTime is how long after an outage of the store lapsed registrations may take to come back.
	returnTime = 2200 * time.Millisecond
)

// ChangeKind is the type of a change of the view.
type ChangeKind uint8

// Kinds of changes.
const (
	Joined ChangeKind = iota + 1
	Leaving
	Gone
	Restarted
	// Missing endpoints are kept in use for a while, since the store has just come back.
	Missing
)

// String returns the label used in logs.
func (k ChangeKind) String() string {
	return [...]string{"none", "joined", "leaving", "gone", "restarted", "missing"}[k]
}

// Change is one difference that a read of the registrations made.
type Change struct {
	Kind         ChangeKind
	Registration *registration.Registration
}

// View is the decision core of discovery: it takes whole lists of registrations, each as of one revision of the store.
type View struct {
	revision  kv.Revision
	endpoints map[string]*registration.Registration
	// left holds runs of endpoints that were seen to leave; they get nothing any more, whatever an old list says.
	left    map[registration.Incarnation]bool
	missing map[string]bool
	read    clock.Instant
	grace   clock.Instant
}

// NewView returns a view without endpoints.
func NewView() *View {
	return &View{
		endpoints: make(map[string]*registration.Registration),
		left:      make(map[registration.Incarnation]bool),
		missing:   make(map[string]bool),
	}
}

// Replace takes a list that was read at an instant, and returns what changed; a list older than the last one is passed over.
//
// After an outage of the store, endpoints that aren't on the list stay in use until their registrations have had time to
// come back; one that was leaving before doesn't.
func (v *View) Replace(now clock.Instant, revision kv.Revision, list []*registration.Registration) []Change {
	if !v.RecordRead(now, revision) {
		return nil
	}
	var changes []Change
	listed := make(map[string]bool, len(list))
	for _, r := range list {
		listed[r.ID] = true
		delete(v.missing, r.ID)
		if c, ok := v.take(r); ok {
			changes = append(changes, c)
		}
	}
	for id, r := range v.endpoints {
		if listed[id] {
			continue
		}
		if now.Before(v.grace) && !r.Leaving {
			if !v.missing[id] {
				v.missing[id] = true
				changes = append(changes, Change{Missing, r})
			}
			continue
		}
		delete(v.endpoints, id)
		delete(v.missing, id)
		v.left[r.Incarnation()] = true
		changes = append(changes, Change{Gone, r})
	}
	sort.Slice(changes, func(i, j int) bool { return changes[i].Registration.ID < changes[j].Registration.ID })
	return changes
}

// RecordRead notes that a list was read which is the same as the last one, and reports whether it is newer.
func (v *View) RecordRead(now clock.Instant, revision kv.Revision) bool {
	if revision < v.revision {
		return false
	}
	if v.read != 0 && now.Sub(v.read) > outageAfter {
		v.grace = now.Add(returnTime)
	}
	v.read, v.revision = now, revision
	return true
}

func (v *View) take(r *registration.Registration) (Change, bool) {
	held := v.endpoints[r.ID]
	v.endpoints[r.ID] = r
	switch {
	case held == nil:
		// A registration that lapsed in an outage longer than the grace comes back with the run it had.
		delete(v.left, r.Incarnation())
		return Change{Joined, r}, true
	case held.StartMilli != r.StartMilli || held.Address != r.Address:
		return Change{Restarted, r}, true
	case r.Leaving && !held.Leaving:
		return Change{Leaving, r}, true
	}
	return Change{}, false
}

// Confirm notes that the last list still held at an instant, so that a time without changes isn't taken for an outage.
func (v *View) Confirm(at clock.Instant) { v.read = max(v.read, at) }

// HasMissing reports whether endpoints are in use only because the store has just come back.
func (v *View) HasMissing() bool { return len(v.missing) > 0 }

// Snapshot returns the endpoints that may get new work, by service and in order of their identifiers.
func (v *View) Snapshot() map[string][]*registration.Registration {
	byService := make(map[string][]*registration.Registration)
	for _, r := range v.endpoints {
		if !r.Leaving && !v.left[r.Incarnation()] {
			byService[r.Service] = append(byService[r.Service], r)
		}
	}
	for _, list := range byService {
		sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	}
	return byService
}
