package placement

import (
	"sort"
	"time"

	"gypsumvale/internal/state/clock"
	"gypsumvale/internal/state/prompt"
)

// saveTargets returns, for each shared part, the address of the store that should save it, or an empty string; nil saves nothing.
func (p *Pool) saveTargets(now clock.Instant, s *endpointState, req *Request, c *Choice) []string {
	if !p.isOwner || s.orderPending {
		return nil
	}
	var addresses []string
	for i, part := range req.SharedParts() {
		key := cacheKey{c.CacheSpace, part.ID}
		if part.Tokens < minSaveTokens || p.stored(now, key) {
			continue
		}
		store := p.emptiestStore(now, req, s.Zone, part.Tokens)
		if store == nil {
			continue
		}
		store.reserve(now, key, part.Tokens)
		if addresses == nil {
			addresses = make([]string, len(req.Parts))
		}
		addresses[i] = store.Address
	}
	return addresses
}

// stored reports whether a store has a complete copy of a part or is saving one.
func (p *Pool) stored(now clock.Instant, key cacheKey) bool {
	for _, s := range p.storeIndex[key] {
		p.checks++
		if part := s.parts[key]; part.complete || now.Sub(part.reservedAt) < saveTimeout {
			return true
		}
	}
	return false
}

// storedAnywhere reports whether any store has a part, has reserved space for it or holds an incomplete copy.
func (p *Pool) storedAnywhere(key cacheKey) bool { return len(p.storeIndex[key]) > 0 }

// emptiestStore returns the store with the largest share of free space, preferring stores in the zone. Stores in evacuated
// zones get no saves, and those outside the regions that the request may use none of its parts.
func (p *Pool) emptiestStore(now clock.Instant, req *Request, zone string, tokens int) *storeState {
	var best *storeState
	bestScore := 0.0
	for _, name := range p.storeOrder {
		p.checks++
		s := p.stores[name]
		free := s.Capacity - s.usedTokens - roundToBlocks(tokens)
		if free < 0 || !s.usable(now) || now.Before(s.noSaveUntil) || p.excluded(s.Zone, req) {
			continue
		}
		score := float64(free) / float64(s.Capacity)
		if s.Zone == zone {
			score++
		}
		if best == nil || score > bestScore {
			best, bestScore = s, score
		}
	}
	return best
}

// FreeOrder is an order to a store to free parts.
type FreeOrder struct {
	Store   string
	Address string
	Epoch   int64
	// UntilMillis is a time on the store's clock after which it must ignore the order.
	UntilMillis int64
	Parts       []prompt.Part
	Spaces      []string
}

// Free returns orders for the parts that may be freed now: those computed with weights that are no longer in use and, where a store is
// nearly full, the least recently used ones. The parts are removed from the pool's state first, so that no fetch of them is granted. After the
// end of the owner's lease another one may grant such fetches, so that no order is returned that a store could still execute then.
func (p *Pool) Free(now, leaseEnd clock.Instant) []FreeOrder {
	if !p.isOwner || now.Add(freeOrderTimeout) > leaseEnd {
		return nil
	}
	live := p.liveSpaces(now)
	var orders []FreeOrder
	for _, name := range p.storeOrder {
		s := p.stores[name]
		if !s.usable(now) || now.Before(s.noFreeUntil) {
			continue
		}
		order := FreeOrder{
			Store: name, Address: s.Address, Epoch: s.epoch,
			UntilMillis: s.clockOffset + int64(now.Add(freeOrderTimeout))/int64(time.Millisecond),
		}
		for _, part := range s.partsToFree(now, live) {
			s.remove(part)
			order.Parts = append(order.Parts, prompt.Part{ID: part.key.part, Tokens: part.tokens})
			order.Spaces = append(order.Spaces, part.key.space)
		}
		if len(order.Parts) > 0 {
			// A part saved again under the same name could be freed while it is being written.
			s.noSaveUntil, s.noFreeUntil = max(s.noSaveUntil, now.Add(freeOrderTimeout)), max(s.noFreeUntil, now.Add(freeOrderTimeout))
			orders = append(orders, order)
		}
	}
	return orders
}

const (
	// freeOrderTimeout is how long after its creation a store may still execute an order.
	freeOrderTimeout = 700 * time.Millisecond
	// highWaterShare is the share of a store's capacity above which least recently used parts are freed.
	highWaterShare = 0.97
	// freeShare is the share of the capacity that is freed then.
	freeShare = 0.03
	// minSaveTokens is the fewest tokens worth saving.
	minSaveTokens = 192
)

func (s *storeState) partsToFree(now clock.Instant, live func(space string) bool) []*storedPart {
	var idle, obsolete []*storedPart
	for _, part := range s.parts {
		settled := part.complete || now.Sub(part.reservedAt) > 2*saveTimeout
		if !settled || now.Before(part.busyUntil) {
			continue
		}
		if live(part.key.space) {
			idle = append(idle, part)
			continue
		}
		obsolete = append(obsolete, part)
	}
	if len(obsolete) > maxFreeParts {
		obsolete = obsolete[:maxFreeParts]
	}
	if len(obsolete) > 0 || float64(s.usedTokens) < highWaterShare*float64(s.Capacity) {
		return obsolete
	}
	sort.Slice(idle, func(i, j int) bool { return idle[i].lastUsed.Before(idle[j].lastUsed) })
	freed := 0
	for i, part := range idle {
		if freed += part.tokens; float64(freed) > freeShare*float64(s.Capacity) || i+1 == maxFreeParts {
			return idle[:i+1]
		}
	}
	return idle
}

// liveSpaces returns a function that reports whether a cache space may still be used: an endpoint runs its version, it is a target version,
// or it isn't older than the oldest version that an endpoint runs.
func (p *Pool) liveSpaces(now clock.Instant) func(space string) bool {
	running := make(map[int]bool)
	oldest := 0
	for _, s := range p.endpoints {
		for _, v := range s.version {
			running[v] = true
			if oldest == 0 || v < oldest {
				oldest = v
			}
		}
	}
	for model := range p.targets {
		if w, ok := p.target(model); ok {
			running[w.Version] = true
		}
	}
	return func(space string) bool {
		v := spaceVersion(space)
		return oldest == 0 || v >= oldest || running[v]
	}
}

// StoreUsage summarizes the contents of a store.
type StoreUsage struct {
	Store string
	// Complete counts the parts that can be fetched. The others are still being saved, or their save was aborted.
	Complete   int
	Incomplete int
	Tokens     int
	Capacity   int
	Usable     bool
}

// StoreUsages summarizes the contents of each store.
func (p *Pool) StoreUsages(now clock.Instant) []StoreUsage {
	var list []StoreUsage
	for _, name := range p.storeOrder {
		s := p.stores[name]
		usage := StoreUsage{Store: name, Tokens: s.usedTokens, Capacity: s.Capacity, Usable: s.usable(now)}
		for _, part := range s.parts {
			if part.complete {
				usage.Complete++
			}
		}
		usage.Incomplete = len(s.parts) - usage.Complete
		list = append(list, usage)
	}
	return list
}
