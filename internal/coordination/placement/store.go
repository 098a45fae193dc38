package placement

import (
	"maps"
	"slices"
	"time"

	"gypsumvale/internal/state/clock"
)

const (
	// fetchTimeout is how long a granted fetch may take on an idle endpoint, which discards it when it is late. On a busy endpoint the
	// request may wait before its fetch begins, so the timeout grows by fetchWaitFactor times the expected wait, up to maxFetchTimeout.
	fetchTimeout    = 1500 * time.Millisecond
	fetchWaitFactor = 2
	maxFetchTimeout = 7 * time.Second
	// fetchMargin covers the delivery of a grant and the error of clocks read over the network.
	fetchMargin = time.Second
	// saveTimeout is how long a save may take before it counts as aborted.
	saveTimeout = 8 * time.Second
	// maxUpdateAge is the maximum age of a store's last update while fetches of its parts are granted.
	maxUpdateAge = 2500 * time.Millisecond
	// takeoverFreeDelay is how long a new owner frees nothing, so that all fetches granted by the previous owner have ended.
	// takeoverSaveDelay is how long it saves nothing, so that the previous owner's saves have begun and appear in the stores' listings.
	takeoverFreeDelay = maxFetchTimeout + fetchMargin + 500*time.Millisecond
	takeoverSaveDelay = 3 * time.Second
	// maxFreeParts is the most parts freed by one order.
	maxFreeParts = 256
	// blockTokens is the block size of a store's memory, to which part sizes are rounded up.
	blockTokens = 16
)

// CacheStore describes a cache store, which keeps cached context for fetching.
type CacheStore struct {
	Name    string
	Address string
	Zone    string
	// Capacity is the size of the store in tokens.
	Capacity     int
	TokenSeconds float64
	FirstByte    time.Duration
}

// storedPart is a part in a store, from the moment space is reserved for it.
type storedPart struct {
	key    cacheKey
	tokens int
	// complete parts were reported complete by the store; only these are fetched.
	complete   bool
	reservedAt clock.Instant
	lastUsed   clock.Instant
	// busyUntil is the latest time at which a granted fetch may still read the part.
	busyUntil clock.Instant
}

// storeIndex maps each part to the stores that have it or have reserved space for it, so that the cost of a placement doesn't grow with the
// number of stores.
type storeIndex map[cacheKey][]*storeState

func (x storeIndex) add(key cacheKey, s *storeState) { x[key] = append(x[key], s) }

func (x storeIndex) remove(key cacheKey, s *storeState) {
	i := slices.Index(x[key], s)
	switch {
	case i < 0:
	case len(x[key]) == 1:
		delete(x, key)
	default:
		x[key] = slices.Delete(x[key], i, i+1)
	}
}

// storeState is the owner's view of one store. While the owner's lease is valid, no other process frees or saves parts there.
type storeState struct {
	CacheStore
	// parts is changed only together with index, which all stores of a pool share.
	parts      map[cacheKey]*storedPart
	index      storeIndex
	usedTokens int
	epoch      int64
	updatedAt  clock.Instant
	// Nothing may be saved before noSaveUntil, or freed before noFreeUntil.
	noSaveUntil clock.Instant
	noFreeUntil clock.Instant
	link        link
	// clockOffset is the store's clock minus the local boot clock, in milliseconds.
	clockOffset int64
}

func roundToBlocks(tokens int) int { return (tokens + blockTokens - 1) / blockTokens * blockTokens }

// usable reports whether parts may be fetched: the store has been listed, and its last update is recent.
func (s *storeState) usable(now clock.Instant) bool {
	return s.epoch != 0 && now.Sub(s.updatedAt) < maxUpdateAge
}

// clear discards all parts, for instance after a restart. Fetches that were granted before could read parts that are written again, so
// nothing is saved until they end.
func (s *storeState) clear(epoch int64) {
	for key, part := range s.parts {
		s.noSaveUntil = max(s.noSaveUntil, part.busyUntil)
		s.index.remove(key, s)
	}
	clear(s.parts)
	s.usedTokens = 0
	s.epoch = epoch
}

func (s *storeState) reserve(now clock.Instant, key cacheKey, tokens int) {
	s.add(&storedPart{key: key, tokens: tokens, reservedAt: now, lastUsed: now})
}

// add adds a part, which replaces one of the same key.
func (s *storeState) add(p *storedPart) {
	if old := s.parts[p.key]; old != nil {
		s.remove(old)
	}
	s.parts[p.key] = p
	s.index.add(p.key, s)
	s.usedTokens += roundToBlocks(p.tokens)
}

func (s *storeState) remove(p *storedPart) {
	delete(s.parts, p.key)
	s.index.remove(p.key, s)
	s.usedTokens -= roundToBlocks(p.tokens)
}

// SetStores replaces the stores and keeps the state of those that remain.
func (p *Pool) SetStores(now clock.Instant, list []CacheStore) {
	kept := make(map[string]*storeState, len(list))
	p.storeOrder = p.storeOrder[:0]
	for _, store := range list {
		state := p.stores[store.Name]
		if state == nil || state.Address != store.Address {
			if state != nil {
				state.clear(0)
			}
			state = &storeState{
				parts: make(map[cacheKey]*storedPart), index: p.storeIndex,
				noSaveUntil: now.Add(takeoverSaveDelay), noFreeUntil: now.Add(takeoverFreeDelay),
			}
		}
		state.CacheStore = store
		kept[store.Name] = state
		p.storeOrder = append(p.storeOrder, store.Name)
	}
	for name, state := range p.stores {
		if kept[name] == nil {
			state.clear(0)
		}
	}
	p.stores = kept
}

// SetOwner sets whether this process is the only one that grants endpoints, and saves and frees parts.
//
// A new owner has no state: the stores are listed again, and nothing is freed or saved until the grants of the previous owner have ended.
func (p *Pool) SetOwner(now clock.Instant, owner bool) {
	if owner && !p.isOwner {
		for _, s := range p.stores {
			s.clear(0)
			s.noSaveUntil, s.noFreeUntil = now.Add(takeoverSaveDelay), now.Add(takeoverFreeDelay)
		}
	}
	p.isOwner = owner
}

// ListedPart is one entry of a store's listing.
type ListedPart struct {
	Space  string
	Part   string
	Tokens int
}

// ApplyStoreListing applies a full listing of a store. Incomplete parts take up space until the store restarts.
func (p *Pool) ApplyStoreListing(now clock.Instant, name string, listing *StoreListing) {
	s := p.stores[name]
	if s == nil {
		return
	}
	saving := make(map[cacheKey]*storedPart)
	for key, part := range s.parts {
		if !part.complete && now.Sub(part.reservedAt) < saveTimeout && s.epoch == listing.Epoch {
			saving[key] = part
		}
	}
	oldParts, noSaveUntil, sameEpoch := maps.Clone(s.parts), s.noSaveUntil, s.epoch == listing.Epoch
	s.clear(listing.Epoch)
	if sameEpoch {
		s.noSaveUntil = noSaveUntil
	}
	s.recordUpdate(now, listing.ClockMillis)
	for _, listed := range listing.Complete {
		key := cacheKey{listed.Space, listed.Part}
		s.reserve(now, key, listed.Tokens)
		s.parts[key].complete = true
		if old := oldParts[key]; old != nil && sameEpoch {
			s.parts[key].busyUntil = old.busyUntil
		}
	}
	for _, listed := range listing.Incomplete {
		s.reserve(now, cacheKey{listed.Space, listed.Part}, listed.Tokens)
	}
	for key, part := range saving {
		if s.parts[key] == nil {
			s.add(part)
		}
	}
}

func (s *storeState) recordUpdate(now clock.Instant, clockMillis int64) {
	s.updatedAt = now
	if clockMillis != 0 {
		s.clockOffset = clockMillis - int64(now)/int64(time.Millisecond)
	}
}

// ApplyStoreUpdate applies an update from a store. It reports whether the store must be listed again, because events were missed or it has
// restarted.
func (p *Pool) ApplyStoreUpdate(now clock.Instant, name string, update *CacheUpdate) (relist bool) {
	s := p.stores[name]
	if s == nil {
		return false
	}
	if s.epoch != update.Epoch {
		s.clear(0)
		return true
	}
	s.recordUpdate(now, update.ClockMillis)
	for _, e := range update.Events {
		key := cacheKey{e.Space, e.Part}
		part := s.parts[key]
		switch {
		case !e.Added:
			if part != nil {
				s.remove(part)
			}
		case part == nil:
			// Saved by a previous owner; the size is as reported.
			s.reserve(now, key, e.Tokens)
			s.parts[key].complete = true
		default:
			part.complete = true
		}
	}
	return update.Missed
}

// storeTransfer returns the fastest transfer of a part for a request, from a store to an endpoint in a zone.
func (p *Pool) storeTransfer(now clock.Instant, req *Request, key cacheKey, zone string) (transfer, bool) {
	var best transfer
	for _, s := range p.storeIndex[key] {
		p.checks++
		part := s.parts[key]
		if !part.complete || !s.usable(now) || !p.allowed(s.Zone, req) {
			continue
		}
		duration := transferTime(part.tokens, s.TokenSeconds, s.Zone != zone) + s.FirstByte
		t := transfer{store: s, wait: s.link.wait(now), duration: s.link.expectedDuration(now, duration)}
		if t.total() < fetchTimeout && (best.store == nil || t.total() < best.total()) {
			best = t
		}
	}
	return best, best.store != nil
}

// transferTime returns how long a link takes to transfer tokens; transfers between zones take twice as long.
func transferTime(tokens int, tokenSeconds float64, crossZone bool) time.Duration {
	duration := time.Duration(float64(tokens) * tokenSeconds * float64(time.Second))
	if crossZone {
		duration *= 2
	}
	return duration
}
