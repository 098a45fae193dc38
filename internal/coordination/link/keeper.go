package link

import (
	"sort"
	"time"

	"gypsumvale/internal/state/piece"
)

// Event says that a store has committed or freed a block.
type Event struct {
	Name       piece.Name
	Generation uint64
	Digest     string
	Bytes      int64
	Freed      bool
}

// Block is a committed block that may be read.
type Block struct {
	Name       piece.Name
	Generation uint64
	Digest     string
	Bytes      int64
}

// Config sets a keeper's limits.
type Config struct {
	// BytesPerSecond is the link's limit.
	BytesPerSecond int64
	// EvictAbove and EvictTo are shares of the store's space at which freeing starts and stops.
	EvictAbove, EvictTo float64
	// ReadGrace is how long after its planned end a read may still use its blocks.
	ReadGrace time.Duration
}

// DefaultConfig returns the values used in operation for a link's limit in bytes a second.
func DefaultConfig(bytesPerSecond int64) Config {
	return Config{BytesPerSecond: bytesPerSecond, EvictAbove: 0.9, EvictTo: 0.8, ReadGrace: 5 * time.Second}
}

type held struct {
	Block
	depth     int
	used      time.Time
	readUntil time.Time
	freeing   bool
}

// Manager is the decision core of one store's link owner. What it believes is a hint: generations and digests are checked at the read.
type Manager struct {
	cfg    Config
	blocks map[piece.Name]*held
	freeAt time.Time
	used   int64
	limit  int64
}

// NewManager returns a keeper of an empty store.
func NewManager(cfg Config) *Manager {
	return &Manager{cfg: cfg, blocks: make(map[piece.Name]*held)}
}

// Reset forgets all blocks, after a gap in the store's events or its restart.
func (k *Manager) Reset() { clear(k.blocks) }

// Apply takes events in the store's order.
func (k *Manager) Apply(now time.Time, events []Event) {
	for i := range events {
		e := &events[i]
		if !e.Freed {
			k.blocks[e.Name] = &held{Block: Block{e.Name, e.Generation, e.Digest, e.Bytes}, used: now}
			continue
		}
		if h := k.blocks[e.Name]; h != nil && h.Generation == e.Generation {
			delete(k.blocks, e.Name)
		}
	}
}

// SetSpace takes the store's used and whole space, in bytes.
func (k *Manager) SetSpace(used, limit int64) { k.used, k.limit = used, limit }

// Len returns the number of blocks known.
func (k *Manager) Len() int { return len(k.blocks) }

// Backlog returns the time until the link is free.
func (k *Manager) Backlog(now time.Time) time.Duration { return max(k.freeAt.Sub(now), 0) }

// StoredPrefix returns the stored prefix of a context.
func (k *Manager) StoredPrefix(names []piece.Name) []Block {
	var blocks []Block
	for _, name := range names {
		h := k.blocks[name]
		if h == nil || h.freeing {
			break
		}
		blocks = append(blocks, h.Block)
	}
	return blocks
}

// Reserve gives a transfer its place on the link if waiting and fetching take less than within.
//
// No blocks means that recomputing is as fast. The link carries one reservation after another, so it is never above its limit.
func (k *Manager) Reserve(now time.Time, names []piece.Name, within time.Duration) (blocks []Block, wait time.Duration) {
	blocks = k.StoredPrefix(names)
	wait = k.Backlog(now)
	took := k.duration(blocks)
	if len(blocks) == 0 || wait+took >= k.portion(within, len(blocks), len(names)) {
		return nil, 0
	}
	k.freeAt = now.Add(wait + took)
	for i := range blocks {
		h := k.blocks[blocks[i].Name]
		h.used = now
		h.depth = max(h.depth, i+1)
		h.readUntil = k.freeAt.Add(k.cfg.ReadGrace)
	}
	return blocks, wait
}

// portion is the recompute time of the pieces that a fetch would save.
func (k *Manager) portion(within time.Duration, stored, all int) time.Duration {
	return within * time.Duration(stored) / time.Duration(all)
}

func (k *Manager) duration(blocks []Block) time.Duration {
	var bytes int64
	for i := range blocks {
		bytes += blocks[i].Bytes
	}
	return time.Duration(float64(bytes) / float64(k.cfg.BytesPerSecond) * float64(time.Second))
}

// ReserveExport gives a background write its place if the link is nearly idle and space is left, and returns the pieces to write.
func (k *Manager) ReserveExport(now time.Time, names []piece.Name, bytesEach int64) []piece.Name {
	const maxBacklog = 50 * time.Millisecond
	if k.Backlog(now) > maxBacklog {
		return nil
	}
	stored := len(k.StoredPrefix(names))
	missing := names[stored:]
	need := bytesEach * int64(len(missing))
	if len(missing) == 0 || k.limit > 0 && k.used+need > k.limit {
		return nil
	}
	k.used += need
	k.freeAt = now.Add(k.Backlog(now) + time.Duration(float64(need)/float64(k.cfg.BytesPerSecond)*float64(time.Second)))
	return names
}

// Evict stops listing the blocks of least worth while the store is nearly full, and returns those whose last read has passed.
func (k *Manager) Evict(now time.Time) []Block {
	if k.limit > 0 && float64(k.used) > k.cfg.EvictAbove*float64(k.limit) {
		k.mark(now)
	}
	var free []Block
	for _, h := range k.blocks {
		if h.freeing && !now.Before(h.readUntil) {
			free = append(free, h.Block)
		}
	}
	sort.Slice(free, func(i, j int) bool { return free[i].Name < free[j].Name })
	return free
}

func (k *Manager) mark(now time.Time) {
	list := make([]*held, 0, len(k.blocks))
	excess := k.used - int64(k.cfg.EvictTo*float64(k.limit))
	for _, h := range k.blocks {
		if h.freeing {
			excess -= h.Bytes
			continue
		}
		list = append(list, h)
	}
	sort.Slice(list, func(i, j int) bool { return worthLess(now, list[i], list[j]) })
	for _, h := range list {
		if excess <= 0 {
			return
		}
		h.freeing = true
		excess -= h.Bytes
	}
}

// worthLess orders blocks by age over recompute cost per byte; equal pieces cost the same, so age decides, then depth.
func worthLess(now time.Time, a, b *held) bool {
	ageA, ageB := now.Sub(a.used), now.Sub(b.used)
	if ageA != ageB {
		return ageA > ageB
	}
	if a.depth != b.depth {
		return a.depth > b.depth
	}
	return a.Name < b.Name
}
