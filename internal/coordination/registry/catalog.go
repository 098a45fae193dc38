package registry

import (
	"sort"
	"time"

	"gypsumvale/internal/state/registration"
)

// maxRemovals is the maximum number of removals that are remembered. A holder of a state older than these is sent the complete list.
const maxRemovals = 4096

// Catalog is a list of registrations that numbers its changes, so that a holder of an older state is sent only the differences.
//
//	load pattern                                              response
//	thousands of endpoints with a heartbeat every second      nothing is sent, since heartbeats don't change the digest
//	some endpoints join, leave or change                      only these are sent, selected by change number
//	a new instance, or one that has missed too many changes   the complete list is sent
type Catalog struct {
	entries map[string]*entry
	// sum combines the digests of all registrations without their warm-up, as instances of earlier releases know it, and warmupSum combines
	// their whole digests. Neither depends on their order.
	sum       uint64
	warmupSum uint64
	// number is the number of the last change, and droppedUpTo that of the newest removal that is no longer remembered.
	number      uint64
	droppedUpTo uint64
	removals    []removal
}

type entry struct {
	registration *registration.Registration
	// baseDigest is the digest without the warm-up.
	digest     uint64
	baseDigest uint64
	number     uint64
	// warmupTime is the time left as last read.
	warmupTime time.Duration
}

type removal struct {
	id     string
	number uint64
}

// Changes is the difference between two states of a catalog.
type Changes struct {
	// Complete is true if Changed is the complete list.
	Complete bool `msgpack:"Whole"`
	Changed  []registration.Registration
	Removed  []string
	// Number and Sum are the change number and the digest of the newer state.
	Number uint64
	Sum    uint64
	// WarmupSum is the digest of the newer state with its warm-up, or zero if the instance that made the changes doesn't tell.
	WarmupSum uint64 `msgpack:",omitempty"`
}

// NewCatalog returns an empty catalog.
func NewCatalog() *Catalog { return &Catalog{entries: make(map[string]*entry)} }

// Sum returns a digest of all registrations without their warm-up.
func (c *Catalog) Sum() uint64 { return c.sum }

// WarmupSum returns a digest of all registrations with their warm-up.
func (c *Catalog) WarmupSum() uint64 { return c.warmupSum }

// Number returns the number of the last change.
func (c *Catalog) Number() uint64 { return c.number }

// List returns all registrations, sorted by identifier.
func (c *Catalog) List() []*registration.Registration {
	list := make([]*registration.Registration, 0, len(c.entries))
	for _, e := range c.entries {
		list = append(list, e.registration)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	return list
}

// LacksSoftware reports whether an instance of an earlier release has sent registrations without the endpoints' software versions.
func (c *Catalog) LacksSoftware() bool {
	for _, e := range c.entries {
		if e.registration.Software == "" {
			return true
		}
	}
	return false
}

// Replace replaces all registrations by a complete list that was read from the store, and reports whether anything changed.
func (c *Catalog) Replace(list []*registration.Registration) bool {
	for _, r := range list {
		c.countWarmups(r)
	}
	return c.replace(list)
}

// countWarmups counts how many times a registration's endpoint has become cold while it was cold: the time left has grown. Without the count
// the registration's digest would not change, and the others would take the endpoint for warm after the first time.
func (c *Catalog) countWarmups(r *registration.Registration) {
	held := c.entries[r.ID]
	if held == nil || held.registration.Incarnation() != r.Incarnation() {
		return
	}
	r.Warmups = held.registration.Warmups
	if held.warmupTime > 0 && r.WarmupTime > held.warmupTime {
		r.Warmups++
	}
	held.warmupTime = r.WarmupTime
}

func (c *Catalog) replace(list []*registration.Registration) bool {
	before := c.number
	listed := make(map[string]bool, len(list))
	for _, r := range list {
		listed[r.ID] = true
		c.set(r)
	}
	for id := range c.entries {
		if !listed[id] {
			c.remove(id)
		}
	}
	return c.number != before
}

// Apply applies changes, and reports whether the result has their digest. It doesn't if they were made for a different starting state.
func (c *Catalog) Apply(changes *Changes) bool {
	list := make([]*registration.Registration, len(changes.Changed))
	for i := range changes.Changed {
		list[i] = &changes.Changed[i]
	}
	if changes.Complete {
		c.replace(list)
		return c.hasSums(changes)
	}
	for _, r := range list {
		c.set(r)
	}
	for _, id := range changes.Removed {
		c.remove(id)
	}
	return c.hasSums(changes)
}

func (c *Catalog) hasSums(changes *Changes) bool {
	return c.sum == changes.Sum && (changes.WarmupSum == 0 || c.warmupSum == changes.WarmupSum)
}

// Since returns the changes after a change number. It returns the complete list if the number is 0, unknown or too old.
func (c *Catalog) Since(number uint64) Changes {
	changes := Changes{Complete: number < c.droppedUpTo || number == 0 || number > c.number, Number: c.number, Sum: c.sum, WarmupSum: c.warmupSum}
	for _, e := range c.entries {
		if changes.Complete || e.number > number {
			changes.Changed = append(changes.Changed, *e.registration)
		}
	}
	if changes.Complete {
		return changes
	}
	for _, r := range c.removals {
		if r.number > number && c.entries[r.id] == nil {
			changes.Removed = append(changes.Removed, r.id)
		}
	}
	return changes
}

func (c *Catalog) set(r *registration.Registration) {
	digest := r.Digest()
	held := c.entries[r.ID]
	if held != nil {
		if held.digest == digest && (held.registration.Software != "" || r.Software == "") {
			return
		}
		c.sum ^= held.baseDigest
		c.warmupSum ^= held.digest
	}
	base := r.BaseDigest()
	c.number++
	c.sum ^= base
	c.warmupSum ^= digest
	c.entries[r.ID] = &entry{r, digest, base, c.number, r.WarmupTime}
}

func (c *Catalog) remove(id string) {
	held := c.entries[id]
	if held == nil {
		return
	}
	c.number++
	c.sum ^= held.baseDigest
	c.warmupSum ^= held.digest
	delete(c.entries, id)
	c.removals = append(c.removals, removal{id, c.number})
	if excess := len(c.removals) - maxRemovals; excess > 0 {
		c.droppedUpTo = c.removals[excess-1].number
		c.removals = append([]removal(nil), c.removals[excess:]...)
	}
}
