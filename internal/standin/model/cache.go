package model

import (
	"sync"
	"time"

	"gypsumvale/internal/protocol/engine"
	"gypsumvale/internal/state/piece"
)

// cache is an LRU cache of pieces that records all its insertions and evictions as events.
type cache struct {
	limit int

	mu     sync.Mutex
	pieces map[piece.Name]time.Time
	events []timedEvent
}

type timedEvent struct {
	at    time.Time
	event engine.CacheEvent
}

func newCache(limit int) *cache {
	return &cache{limit: limit, pieces: make(map[piece.Name]time.Time)}
}

// cachedPrefix returns the number of leading pieces that are cached, and marks them as recently used.
func (c *cache) cachedPrefix(names []piece.Name) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, name := range names {
		if _, ok := c.pieces[name]; !ok {
			return i
		}
		c.pieces[name] = time.Now()
	}
	return len(names)
}

func (c *cache) add(names []piece.Name) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, name := range names {
		if _, ok := c.pieces[name]; !ok {
			c.publish(engine.CacheEvent{Name: name})
		}
		c.pieces[name] = time.Now()
	}
	for len(c.pieces) > c.limit {
		c.evictOldest()
	}
}

func (c *cache) evictOldest() {
	var oldest piece.Name
	var at time.Time
	for name, used := range c.pieces {
		if oldest == "" || used.Before(at) {
			oldest, at = name, used
		}
	}
	delete(c.pieces, oldest)
	c.publish(engine.CacheEvent{Name: oldest, Evicted: true})
}

func (c *cache) clear() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name := range c.pieces {
		c.publish(engine.CacheEvent{Name: name, Evicted: true})
	}
	clear(c.pieces)
}

func (c *cache) publish(e engine.CacheEvent) {
	e.Seq = uint64(len(c.events) + 1)
	c.events = append(c.events, timedEvent{at: time.Now(), event: e})
}

// eventsAfter returns the events after a sequence number that are at least as old as the lag. If gap is above zero, every gap-th event
// is omitted.
func (c *cache) eventsAfter(seq uint64, lag time.Duration, gap int) []engine.CacheEvent {
	c.mu.Lock()
	defer c.mu.Unlock()
	visible := []engine.CacheEvent{}
	now := time.Now()
	for i := int(min(seq, uint64(len(c.events)))); i < len(c.events); i++ {
		if now.Sub(c.events[i].at) < lag {
			break
		}
		if gap > 0 && (i+1)%gap == 0 {
			continue
		}
		visible = append(visible, c.events[i].event)
	}
	return visible
}
