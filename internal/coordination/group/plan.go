package group

import (
	"time"

	"gypsumvale/internal/state/catalog"
)

const (
	// ownZoneDelay is how long the first group may take to respond before a second one in the own zone is also queried.
	ownZoneDelay = 1 * time.Millisecond
	// otherZoneDelay is how long the own zone may take to respond before another zone is also queried. It accounts for the network hop and
	// the colder cache there.
	otherZoneDelay = 2 * time.Millisecond
)

// Step is a group to query, and its delay after the first query.
type Step struct {
	Key   Key
	Delay time.Duration
}

// Plan returns the groups of a pool to query for one request: up to two of the own zone, then one of each other zone.
//
// The request's number spreads requests over the groups:
//
//	own zone a with groups a0 a1 a2, request 4:
//	a1 at once, a2 after ownZoneDelay, one group of b after otherZoneDelay, one group of c after twice otherZoneDelay
func Plan(s *catalog.Snapshot, pool, zone string, number uint64) []Step {
	var steps []Step
	n := int(number % (1 << 30))
	ownGroups := Keys(s, pool, zone)
	for i := range min(len(ownGroups), 2) {
		steps = append(steps, Step{Key: ownGroups[(n+i)%len(ownGroups)], Delay: time.Duration(i) * ownZoneDelay})
	}
	zones := s.PoolZones(pool)
	otherZones := 0
	for i := range zones {
		other := zones[(n+i)%len(zones)]
		if other == zone {
			continue
		}
		otherZones++
		keys := Keys(s, pool, other)
		steps = append(steps, Step{Key: keys[n%len(keys)], Delay: otherZoneDelay * time.Duration(otherZones)})
	}
	return steps
}
