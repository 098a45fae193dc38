package registry

import (
	"sort"

	"gypsumvale/internal/state/registration"
)

// keptRemovals is the most removals that are remembered; who missed more is told everything.
const keptRemovals = 4096

// Catalog is a list of registrations that numbers its changes, so that a holder of an older state is told only what differs.
//
//	load pattern                                   answer
//	thousands of endpoints, each beats each second nothing is told, since beats change nothing that matters
//	some endpoints come, go or change              these alone are told, by their numbers
//	a new entry, or one that missed much           everything is told
type Catalog struct {
	entries map[string]*entry
	// sum is that of all digests, whatever the order.
	sum uint64
	// number is that of the last change, and forgotten that of the newest removal which isn't remembered any more.
	number    uint64
	forgotten uint64
	removals  []removal
}

type entry struct {
	registration *registration.Registration
	digest       uint64
	number       uint64
}

type removal struct {
	id     string
	number uint64
}

// Changes is what differs between two states of a catalog.
type Changes struct {
	// Complete says that Changed holds everything.
	Complete bool
	Changed  []registration.Registration
	Removed  []string
	// Number and Sum are those of the newer state.
	Number uint64
	Sum    uint64
}

// NewCatalog returns an empty catalog.
func NewCatalog() *Catalog { return &Catalog{entries: make(map[string]*entry)} }

// Sum returns the digest of all registrations.
func (c *Catalog) Sum() uint64 { return c.sum }

// Number returns the number of the last change.
func (c *Catalog) Number() uint64 { return c.number }

// List returns all registrations, in order of their identifiers.
func (c *Catalog) List() []*registration.Registration {
	list := make([]*registration.Registration, 0, len(c.entries))
	for _, e := range c.entries {
		list = append(list, e.registration)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	return list
}

// Replace takes a whole list, and reports whether it differs from what is held.
func (c *Catalog) Replace(list []*registration.Registration) bool {
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

// Apply takes changes, and reports whether the catalog is then in the state that they lead to.
func (c *Catalog) Apply(changes *Changes) bool {
	list := make([]*registration.Registration, len(changes.Changed))
	for i := range changes.Changed {
		list[i] = &changes.Changed[i]
	}
	if changes.Complete {
		c.Replace(list)
		return c.sum == changes.Sum
	}
	for _, r := range list {
		c.set(r)
	}
	for _, id := range changes.Removed {
		c.remove(id)
	}
	return c.sum == changes.Sum
}

// Since returns what has changed behind a number.
func (c *Catalog) Since(number uint64) Changes {
	changes := Changes{Complete: number < c.forgotten || number == 0 || number > c.number, Number: c.number, Sum: c.sum}
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
		if held.digest == digest {
			return
		}
		c.sum ^= held.digest
	}
	c.number++
	c.sum ^= digest
	c.entries[r.ID] = &entry{r, digest, c.number}
}

func (c *Catalog) remove(id string) {
	held := c.entries[id]
	if held == nil {
		return
	}
	c.number++
	c.sum ^= held.digest
	delete(c.entries, id)
	c.removals = append(c.removals, removal{id, c.number})
	if over := len(c.removals) - keptRemovals; over > 0 {
		c.forgotten = c.removals[over-1].number
		c.removals = append([]removal(nil), c.removals[over:]...)
	}
}
