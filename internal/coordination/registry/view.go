package registry

import (
	"maps"
	"sort"
	"time"

	"gypsumvale/internal/state/clock"
	"gypsumvale/internal/state/kv"
	"gypsumvale/internal/state/registration"
)

const (
	// outageThreshold is the time without a read after which registrations may have expired although their endpoints are alive.
	// Registrations expire after three missed heartbeats.
	outageThreshold = 3 * time.Second
	// reappearTime is how long lost or expired registrations may take to reappear after an outage of the store or its restoration from a copy.
	reappearTime = 2200 * time.Millisecond
	// outdatedTime is for how long the registration of an endpoint that is gone may be listed after the store was restored from a copy: three
	// heartbeats, with a margin.
	outdatedTime = 5 * time.Second
)

// ChangeKind is the kind of a change to the view.
type ChangeKind uint8

// Kinds of changes.
const (
	Joined ChangeKind = iota + 1
	Leaving
	Gone
	Restarted
	// Missing endpoints are not on the list but stay in use for a grace period, since the store has just recovered from an outage or was
	// restored from a copy.
	Missing
)

// String returns the label that is used in logs.
func (k ChangeKind) String() string {
	return [...]string{"none", "joined", "leaving", "gone", "restarted", "missing"}[k]
}

// Change is a change to the view of one endpoint.
type Change struct {
	Kind         ChangeKind
	Registration *registration.Registration
}

// View decides which endpoints are usable. It is updated with complete lists of registrations, each read at one revision of the store.
type View struct {
	revision  kv.Revision
	endpoints map[string]*registration.Registration
	// departed holds the incarnations that have gone or were replaced by a later one. One that is listed again in place of a later
	// incarnation gets no work.
	departed map[registration.Incarnation]bool
	// leaving holds the incarnations that have been listed as leaving. None of them returns to use.
	leaving map[registration.Incarnation]bool
	missing map[string]bool
	// outdated holds the incarnations that had gone when the store was restored from a copy. They are not used before outdatedUntil, since
	// the copy may list them though they are gone, and unproven holds the identifiers of those that are listed.
	outdated      map[registration.Incarnation]bool
	outdatedUntil clock.Instant
	unproven      map[string]bool
	// lastRead is when the last list was read or confirmed, and graceUntil when the grace period after an outage or a restoration ends.
	lastRead   clock.Instant
	graceUntil clock.Instant
}

// NewView returns an empty view.
func NewView() *View {
	return &View{
		endpoints: make(map[string]*registration.Registration),
		departed:  make(map[registration.Incarnation]bool),
		leaving:   make(map[registration.Incarnation]bool),
		missing:   make(map[string]bool),
		unproven:  make(map[string]bool),
	}
}

// Replace updates the view with a list that was read at the instant now, and returns the changes. It ignores a list that is older than
// the last one.
//
// After an outage of the store, or its restoration from a copy, endpoints that are not on the list stay in use until their registrations
// have had time to reappear. Endpoints that were leaving before don't.
func (v *View) Replace(now clock.Instant, revision kv.Revision, list []*registration.Registration) []Change {
	if !v.RecordRead(now, revision) {
		return nil
	}
	var changes []Change
	listed := make(map[string]bool, len(list))
	clear(v.unproven)
	for _, r := range list {
		listed[r.ID] = true
		delete(v.missing, r.ID)
		if v.isOutdated(now, r) {
			v.unproven[r.ID] = true
			continue
		}
		if c, ok := v.update(r); ok {
			changes = append(changes, c)
		}
	}
	for id, r := range v.endpoints {
		if listed[id] {
			continue
		}
		if now.Before(v.graceUntil) && !v.isLeaving(r) {
			if !v.missing[id] {
				v.missing[id] = true
				changes = append(changes, Change{Missing, r})
			}
			continue
		}
		delete(v.endpoints, id)
		delete(v.missing, id)
		v.departed[r.Incarnation()] = true
		changes = append(changes, Change{Gone, r})
	}
	sort.Slice(changes, func(i, j int) bool { return changes[i].Registration.ID < changes[j].Registration.ID })
	return changes
}

// RecordRead records that a list was read, even if it is the same as the last one, and reports whether it is at least as new. The first
// read after an outage or a restoration starts the grace period.
func (v *View) RecordRead(now clock.Instant, revision kv.Revision) bool {
	if revision < v.revision {
		return false
	}
	if v.lastRead != 0 && (now.Sub(v.lastRead) > outageThreshold || revision.Era() > v.revision.Era()) {
		v.graceUntil = now.Add(reappearTime)
	}
	if v.lastRead != 0 && revision.Era() > v.revision.Era() {
		v.outdated, v.outdatedUntil = maps.Clone(v.departed), now.Add(outdatedTime)
	}
	v.lastRead, v.revision = now, revision
	return true
}

// isOutdated reports whether a registration may be of an endpoint that had gone before the store was restored from a copy.
func (v *View) isOutdated(now clock.Instant, r *registration.Registration) bool {
	return now.Before(v.outdatedUntil) && v.endpoints[r.ID] == nil && v.outdated[r.Incarnation()]
}

// isLeaving reports whether an endpoint is listed as leaving, or has been. Without a start time, a later run can't be told from that one.
func (v *View) isLeaving(r *registration.Registration) bool {
	return r.Leaving || r.StartMilli != 0 && v.leaving[r.Incarnation()]
}

func (v *View) update(r *registration.Registration) (Change, bool) {
	held := v.endpoints[r.ID]
	if held != nil && held.Incarnation() != r.Incarnation() {
		if v.departed[r.Incarnation()] {
			// A store that was restored from a copy lists an earlier incarnation. The later one registers again.
			return Change{}, false
		}
		v.departed[held.Incarnation()] = true
	}
	wasLeaving := held != nil && v.isLeaving(held)
	v.endpoints[r.ID] = r
	if r.Leaving {
		v.leaving[r.Incarnation()] = true
	}
	switch {
	case held == nil:
		// A registration that expired in an outage may reappear after the grace period, with the same incarnation.
		delete(v.departed, r.Incarnation())
		return Change{Joined, r}, true
	case held.StartMilli != r.StartMilli || held.Address != r.Address:
		return Change{Restarted, r}, true
	case r.Leaving && !wasLeaving:
		return Change{Leaving, r}, true
	}
	return Change{}, false
}

// Confirm records that the last list was still current at an instant, so that a period without changes isn't mistaken for an outage.
func (v *View) Confirm(at clock.Instant) { v.lastRead = max(v.lastRead, at) }

// HasMissing reports whether the use of any endpoints depends on how long ago the store has recovered from an outage or a restoration.
func (v *View) HasMissing() bool { return len(v.missing) > 0 || len(v.unproven) > 0 }

// Registration returns the registration of an endpoint, or nil if it has none.
func (v *View) Registration(id string) *registration.Registration { return v.endpoints[id] }

// Leaving returns the registered endpoints that get no new work since they leave.
func (v *View) Leaving() []*registration.Registration {
	var list []*registration.Registration
	for _, r := range v.endpoints {
		if v.isLeaving(r) && !v.departed[r.Incarnation()] {
			list = append(list, r)
		}
	}
	return list
}

// Snapshot returns the endpoints that may get new work, by service and sorted by identifier.
func (v *View) Snapshot() map[string][]*registration.Registration {
	byService := make(map[string][]*registration.Registration)
	for _, r := range v.endpoints {
		if !v.isLeaving(r) && !v.departed[r.Incarnation()] {
			byService[r.Service] = append(byService[r.Service], r)
		}
	}
	for _, list := range byService {
		sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	}
	return byService
}
