package link

import (
	"sort"
	"time"

	"gypsumvale/internal/state/piece"
)

// Event reports that a store has committed or freed a block.
type Event struct {
	Name       piece.Name
	Generation uint64
	Digest     string
	Bytes      int64
	Freed      bool
}

// Block describes a committed block, which may be read.
type Block struct {
	Name       piece.Name
	Generation uint64
	Digest     string
	Bytes      int64
}

// Config holds the limits of one store and its link.
type Config struct {
	// BytesPerSecond is the bandwidth limit of the link.
	BytesPerSecond int64
	// EvictAbove and EvictTo are the shares of the store's space in use at which eviction starts and stops.
	EvictAbove, EvictTo float64
	// ReadGrace is how long after its scheduled end a read may still access its blocks.
	ReadGrace time.Duration
}

// DefaultConfig returns the configuration for production for a link with the given bandwidth limit.
func DefaultConfig(bytesPerSecond int64) Config {
	return Config{BytesPerSecond: bytesPerSecond, EvictAbove: 0.9, EvictTo: 0.8, ReadGrace: 5 * time.Second}
}

type storedBlock struct {
	Block
	// depth is the highest position, counted from one, at which the block has been read as part of a prefix.
	depth    int
	lastUsed time.Time
	// readUntil is the time until which reserved reads may access the block.
	readUntil time.Time
	// evicting is true once the block has been selected for eviction. It is no longer offered for reads.
	evicting bool
}

// Manager holds the state of one store and its link at the link's owner. It does no I/O; its callers pass in the time and the
// store's events.
//
// Its view of the store is a hint that may be outdated: every read verifies the generations and digests of its blocks.
type Manager struct {
	cfg    Config
	blocks map[piece.Name]*storedBlock
	// linkFreeAt is when the last reserved transfer ends.
	linkFreeAt time.Time
	usedBytes  int64
	limitBytes int64
}

// NewManager returns a manager for a store without known blocks.
func NewManager(cfg Config) *Manager {
	return &Manager{cfg: cfg, blocks: make(map[piece.Name]*storedBlock)}
}

// Reset discards all blocks, for use after events of the store were missed or the store has restarted.
func (m *Manager) Reset() { clear(m.blocks) }

// Apply applies events, which must be in the store's order.
func (m *Manager) Apply(now time.Time, events []Event) {
	for i := range events {
		e := &events[i]
		if !e.Freed {
			m.blocks[e.Name] = &storedBlock{Block: Block{e.Name, e.Generation, e.Digest, e.Bytes}, lastUsed: now}
			continue
		}
		if b := m.blocks[e.Name]; b != nil && b.Generation == e.Generation {
			delete(m.blocks, e.Name)
		}
	}
}

// SetSpace sets the store's used and total space in bytes. A limit of zero means unlimited.
func (m *Manager) SetSpace(used, limit int64) { m.usedBytes, m.limitBytes = used, limit }

// Len returns the number of known blocks.
func (m *Manager) Len() int { return len(m.blocks) }

// Backlog returns the time until all reserved transfers have ended.
func (m *Manager) Backlog(now time.Time) time.Duration { return max(m.linkFreeAt.Sub(now), 0) }

// StoredPrefix returns the blocks of the longest stored prefix of a context's pieces.
func (m *Manager) StoredPrefix(names []piece.Name) []Block {
	var blocks []Block
	for _, name := range names {
		b := m.blocks[name]
		if b == nil || b.evicting {
			break
		}
		blocks = append(blocks, b.Block)
	}
	return blocks
}

// Reserve reserves link time to fetch a context's stored prefix, and returns its blocks and the wait until the transfer may start.
// recomputeAll is the time that recomputing all of the context's pieces would take.
//
// It returns no blocks if recomputing the prefix is at least as fast as waiting and fetching. Reservations don't overlap, so the link never
// exceeds its limit.
func (m *Manager) Reserve(now time.Time, names []piece.Name, recomputeAll time.Duration) (blocks []Block, wait time.Duration) {
	blocks = m.StoredPrefix(names)
	wait = m.Backlog(now)
	transfer := m.transferTime(blocks)
	if len(blocks) == 0 || wait+transfer >= m.recomputeTime(recomputeAll, len(blocks), len(names)) {
		return nil, 0
	}
	m.linkFreeAt = now.Add(wait + transfer)
	for i := range blocks {
		b := m.blocks[blocks[i].Name]
		b.lastUsed = now
		b.depth = max(b.depth, i+1)
		b.readUntil = m.linkFreeAt.Add(m.cfg.ReadGrace)
	}
	return blocks, wait
}

// recomputeTime returns the time to recompute the stored pieces, given the time recomputeAll for all pieces.
func (m *Manager) recomputeTime(recomputeAll time.Duration, blocks, pieces int) time.Duration {
	return recomputeAll * time.Duration(blocks) / time.Duration(pieces)
}

func (m *Manager) transferTime(blocks []Block) time.Duration {
	var bytes int64
	for i := range blocks {
		bytes += blocks[i].Bytes
	}
	return time.Duration(float64(bytes) / float64(m.cfg.BytesPerSecond) * float64(time.Second))
}

// ReserveExport reserves link time for a background write of a context if the link is nearly idle and the store has space for the missing
// pieces. It returns the context's pieces, or nil if there is nothing to write or no capacity.
func (m *Manager) ReserveExport(now time.Time, names []piece.Name, bytesEach int64) []piece.Name {
	const maxBacklog = 50 * time.Millisecond
	if m.Backlog(now) > maxBacklog {
		return nil
	}
	stored := len(m.StoredPrefix(names))
	missing := names[stored:]
	bytes := bytesEach * int64(len(missing))
	if len(missing) == 0 || m.limitBytes > 0 && m.usedBytes+bytes > m.limitBytes {
		return nil
	}
	m.usedBytes += bytes
	m.linkFreeAt = now.Add(m.Backlog(now) + time.Duration(float64(bytes)/float64(m.cfg.BytesPerSecond)*float64(time.Second)))
	return names
}

// Evict selects blocks for eviction while the store is nearly full, and returns the selected blocks whose reserved reads have ended, which
// may be freed.
func (m *Manager) Evict(now time.Time) []Block {
	if m.limitBytes > 0 && float64(m.usedBytes) > m.cfg.EvictAbove*float64(m.limitBytes) {
		m.markForEviction(now)
	}
	var free []Block
	for _, b := range m.blocks {
		if b.evicting && !now.Before(b.readUntil) {
			free = append(free, b.Block)
		}
	}
	sort.Slice(free, func(i, j int) bool { return free[i].Name < free[j].Name })
	return free
}

// markForEviction selects blocks until the used space, without the selected blocks, is down to EvictTo.
func (m *Manager) markForEviction(now time.Time) {
	candidates := make([]*storedBlock, 0, len(m.blocks))
	excess := m.usedBytes - int64(m.cfg.EvictTo*float64(m.limitBytes))
	for _, b := range m.blocks {
		if b.evicting {
			excess -= b.Bytes
			continue
		}
		candidates = append(candidates, b)
	}
	sort.Slice(candidates, func(i, j int) bool { return evictBefore(now, candidates[i], candidates[j]) })
	for _, b := range candidates {
		if excess <= 0 {
			return
		}
		b.evicting = true
		excess -= b.Bytes
	}
}

// evictBefore orders blocks for eviction by the time since their last use divided by their recompute cost per byte. All pieces are of equal
// size and cost, so only the time is compared. Ties are broken by depth, deepest first, and then by name.
func evictBefore(now time.Time, a, b *storedBlock) bool {
	ageA, ageB := now.Sub(a.lastUsed), now.Sub(b.lastUsed)
	if ageA != ageB {
		return ageA > ageB
	}
	if a.depth != b.depth {
		return a.depth > b.depth
	}
	return a.Name < b.Name
}
