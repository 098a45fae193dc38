package placement

import (
	"sort"
	"time"

	"gypsumvale/internal/state/clock"
	"gypsumvale/internal/state/prompt"
)

// savePlaces returns for each shared part the address of the store that shall keep it, or empty.
func (p *Pool) savePlaces(now clock.Instant, s *seat, a *Request, c *Choice) []string {
	if !p.owns {
		return nil
	}
	var places []string
	for i, part := range a.sharedParts() {
		key := cacheKey{c.CacheSpace, part.ID}
		if part.Tokens < minSave || p.kept(now, key) {
			continue
		}
		d := p.roomiest(now, s.Zone, part.Tokens)
		if d == nil {
			continue
		}
		d.reserve(now, key, part.Tokens)
		if places == nil {
			places = make([]string, len(a.Parts))
		}
		places[i] = d.Address
	}
	return places
}

// kept reports whether a store has a part, or is being sent it.
func (p *Pool) kept(now clock.Instant, key cacheKey) bool {
	for _, d := range p.depots {
		if part := d.parts[key]; part != nil && (part.whole || now.Sub(part.saved) < saveTime) {
			return true
		}
	}
	return false
}

// keptAnywhere reports whether a usable store has a part, or is being sent it.
func (p *Pool) keptAnywhere(key cacheKey) bool {
	for _, d := range p.depots {
		if d.parts[key] != nil {
			return true
		}
	}
	return false
}

// roomiest returns the store with the most room, one of the zone first.
func (p *Pool) roomiest(now clock.Instant, zone string, tokens int) *depot {
	var best *depot
	bestScore := 0.0
	for _, name := range p.depotOrder {
		d := p.depots[name]
		room := d.Capacity - d.used - rounded(tokens)
		if room < 0 || !d.usable(now) || now.Before(d.noSave) {
			continue
		}
		score := float64(room) / float64(d.Capacity)
		if d.Zone == zone {
			score++
		}
		if best == nil || score > bestScore {
			best, bestScore = d, score
		}
	}
	return best
}

// FreeOrder is an order to a store to free parts.
type FreeOrder struct {
	Store   string
	Address string
	Epoch   int64
	// UntilMillis is on the store's clock: a call that comes later must do nothing.
	UntilMillis int64
	Parts       []prompt.Part
	Spaces      []string
}

// Free returns what may be freed now: parts read with weights that no endpoint uses any more, and, where a store is nearly full, the
// least recently used ones. They are forgotten here first, so that no fetch of them is granted.
func (p *Pool) Free(now clock.Instant) []FreeOrder {
	if !p.owns {
		return nil
	}
	spaces := p.liveVersions(now)
	var orders []FreeOrder
	for _, name := range p.depotOrder {
		d := p.depots[name]
		if !d.usable(now) || now.Before(d.noFree) {
			continue
		}
		order := FreeOrder{Store: name, Address: d.Address, Epoch: d.epoch, UntilMillis: d.clock + int64(now.Add(freeSpan))/int64(time.Millisecond)}
		for _, part := range d.freeable(now, spaces) {
			d.drop(part)
			order.Parts = append(order.Parts, prompt.Part{ID: part.key.part, Tokens: part.tokens})
			order.Spaces = append(order.Spaces, part.key.space)
		}
		if len(order.Parts) > 0 {
			// What is written again under a name being freed could be freed half written.
			d.noSave, d.noFree = max(d.noSave, now.Add(freeSpan)), max(d.noFree, now.Add(freeSpan))
			orders = append(orders, order)
		}
	}
	return orders
}

const (
	// freeSpan is how late a store may carry out an order to free.
	freeSpan = 700 * time.Millisecond
	// fullShare is the share of a store's capacity above which the least recently used parts yield.
	fullShare = 0.97
	// yieldShare is the share of the capacity that is freed then.
	yieldShare = 0.03
	// minSave is the fewest tokens worth a place in a store.
	minSave = 192
)

func (d *depot) freeable(now clock.Instant, live func(space string) bool) []*depotPart {
	var idle, dead []*depotPart
	for _, part := range d.parts {
		settled := part.whole || now.Sub(part.saved) > 2*saveTime
		if !settled || now.Before(part.busy) {
			continue
		}
		if live(part.key.space) {
			idle = append(idle, part)
			continue
		}
		dead = append(dead, part)
	}
	if len(dead) > freeBatch {
		dead = dead[:freeBatch]
	}
	if len(dead) > 0 || float64(d.used) < fullShare*float64(d.Capacity) {
		return dead
	}
	sort.Slice(idle, func(i, j int) bool { return idle[i].used.Before(idle[j].used) })
	room := 0
	for i, part := range idle {
		if room += part.tokens; float64(room) > yieldShare*float64(d.Capacity) || i+1 == freeBatch {
			return idle[:i+1]
		}
	}
	return idle
}

// liveVersions returns whether a cache space may still be used: some endpoint runs its version, or one newer is not yet everywhere.
func (p *Pool) liveVersions(now clock.Instant) func(space string) bool {
	running := make(map[int]bool)
	least := 0
	for _, s := range p.seats {
		for _, v := range s.version {
			running[v] = true
			if least == 0 || v < least {
				least = v
			}
		}
	}
	for model := range p.wanted {
		if w, ok := p.newest(model); ok {
			running[w.Version] = true
		}
	}
	return func(space string) bool {
		v := spaceVersion(space)
		return least == 0 || v >= least || running[v]
	}
}

// StoreUsage sums up what a store keeps.
type StoreUsage struct {
	Store string
	// Complete parts can be fetched; the others are being saved, or broke off.
	Complete   int
	Incomplete int
	Tokens     int
	Capacity   int
	Usable     bool
}

// StoreUsages sums up what each store keeps.
func (p *Pool) StoreUsages(now clock.Instant) []StoreUsage {
	var list []StoreUsage
	for _, name := range p.depotOrder {
		d := p.depots[name]
		k := StoreUsage{Store: name, Tokens: d.used, Capacity: d.Capacity, Usable: d.usable(now)}
		for _, part := range d.parts {
			if part.whole {
				k.Complete++
			}
		}
		k.Incomplete = len(d.parts) - k.Complete
		list = append(list, k)
	}
	return list
}
