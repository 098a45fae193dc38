package placement

import (
	"container/list"
	"time"

	"gypsumvale/internal/state/clock"
	"gypsumvale/internal/state/prompt"
)

const (
	// unconfirmedTimeout is how long a part that a placed request should have prefilled is assumed to be cached without confirmation.
	unconfirmedTimeout = 4 * time.Second
	// minHeldShare is the share of a part's tokens from which the part counts as cached. It is below 1 because caches store whole blocks.
	minHeldShare = 0.9
)

// cacheKey identifies a part in a cache space.
type cacheKey struct {
	space string
	part  string
}

type cachedPart struct {
	key    cacheKey
	tokens int
	// ready is true once the part has been prefilled, so that others can fetch it.
	ready   bool
	addedAt clock.Instant
	// lastUsed is when a request last used the part or an event last reported it.
	lastUsed clock.Instant
}

// cache is an estimate of an endpoint's cache; an error in it costs a recomputation.
//
// It applies events as they arrive. While an endpoint's events are not known to be complete, evictions are modelled: the least recently
// used part is evicted first.
type cache struct {
	endpoint *endpointState
	index    *index
	parts    map[cacheKey]*list.Element
	lru      *list.List
	tokens   int
}

// index maps each part to the endpoints that are believed to hold it.
type index struct{ holders map[cacheKey][]*endpointState }

func newIndex() *index { return &index{holders: make(map[cacheKey][]*endpointState)} }

func (x *index) add(key cacheKey, s *endpointState) { x.holders[key] = append(x.holders[key], s) }

func (x *index) remove(key cacheKey, s *endpointState) {
	list := x.holders[key]
	for i, h := range list {
		if h == s {
			list = append(list[:i], list[i+1:]...)
			break
		}
	}
	if len(list) == 0 {
		delete(x.holders, key)
		return
	}
	x.holders[key] = list
}

func newCache(s *endpointState, x *index) *cache {
	return &cache{endpoint: s, index: x, parts: make(map[cacheKey]*list.Element), lru: list.New()}
}

// find returns a part that is believed to be cached, or nil. It drops a part that was not confirmed within unconfirmedTimeout.
func (c *cache) find(now clock.Instant, key cacheKey) *cachedPart {
	e := c.parts[key]
	if e == nil {
		return nil
	}
	p := e.Value.(*cachedPart)
	if !p.ready && now.Sub(p.addedAt) > unconfirmedTimeout {
		c.remove(e)
		return nil
	}
	return p
}

// prefix returns the number of leading parts that are cached without a gap, and their tokens.
func (c *cache) prefix(now clock.Instant, space string, parts []prompt.Part) (n, tokens int) {
	for _, p := range parts {
		if c.find(now, cacheKey{space, p.ID}) == nil {
			break
		}
		n++
		tokens += p.Tokens
	}
	return n, tokens
}

// assumeCached records that a placed request uses parts, and evicts parts down to a capacity in tokens.
func (c *cache) assumeCached(now clock.Instant, space string, parts []prompt.Part, capacity int) {
	// All later parts need the first one, so it must be the most recently used.
	for i := len(parts) - 1; i >= 0; i-- {
		key := cacheKey{space, parts[i].ID}
		if e := c.parts[key]; e != nil {
			c.lru.MoveToFront(e)
			e.Value.(*cachedPart).lastUsed = now
			continue
		}
		c.insert(&cachedPart{key: key, tokens: parts[i].Tokens, addedAt: now, lastUsed: now})
	}
	c.evictTo(capacity)
}

// markReady records that parts have been prefilled.
func (c *cache) markReady(space string, parts []prompt.Part) {
	for _, p := range parts {
		if e := c.parts[cacheKey{space, p.ID}]; e != nil {
			e.Value.(*cachedPart).ready = true
		}
	}
}

// applyEvent sets the number of tokens of a part that are now cached.
func (c *cache) applyEvent(now clock.Instant, key cacheKey, tokens int) {
	e := c.parts[key]
	switch {
	case e == nil && tokens > 0:
		c.insert(&cachedPart{key: key, tokens: tokens, ready: true, addedAt: now, lastUsed: now})
	case e == nil:
	case float64(tokens) < minHeldShare*float64(e.Value.(*cachedPart).tokens):
		c.remove(e)
	default:
		p := e.Value.(*cachedPart)
		c.tokens += tokens - p.tokens
		p.tokens, p.ready, p.lastUsed = tokens, true, max(p.lastUsed, now)
	}
}

func (c *cache) insert(p *cachedPart) {
	c.parts[p.key] = c.lru.PushFront(p)
	c.tokens += p.tokens
	c.index.add(p.key, c.endpoint)
}

func (c *cache) evictTo(capacity int) {
	for c.tokens > capacity && c.lru.Len() > 0 {
		c.remove(c.lru.Back())
	}
}

func (c *cache) remove(e *list.Element) {
	p := c.lru.Remove(e).(*cachedPart)
	delete(c.parts, p.key)
	c.tokens -= p.tokens
	c.index.remove(p.key, c.endpoint)
}

func (c *cache) clear() {
	for c.lru.Len() > 0 {
		c.remove(c.lru.Back())
	}
}

// ready reports whether a part is believed to be prefilled.
func (c *cache) ready(key cacheKey) bool {
	e := c.parts[key]
	return e != nil && e.Value.(*cachedPart).ready
}
