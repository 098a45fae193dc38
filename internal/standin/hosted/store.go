package hosted

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"
)

// StoreFault selects the faults that a store simulates until SetFault is called again.
type StoreFault struct {
	// PageDelay is added to each page of a range read, as if the link were slow.
	PageDelay time.Duration
	// ItemTime is how long the link takes to transfer one item of a range read. All reads share the link; zero is no time.
	ItemTime time.Duration
	// Down makes the store answer every call with 503.
	Down bool
	// Silent makes the store accept calls and never answer them.
	Silent bool
	// SilentWatches makes the store accept watches and never answer them.
	SilentWatches bool
	// SilentReads is how many of the next range reads are never answered.
	SilentReads int
	// LoseReplies applies writes but closes the connection without a response.
	LoseReplies bool
	// HideEvents hides all changes from watches.
	HideEvents bool `json:"Deaf"`
}

type storeItem struct {
	Key       string
	Value     []byte
	Revision  uint64
	CreateRev uint64
	Lease     uint64
}

type storeEvent struct {
	Key       string
	Value     []byte `json:",omitempty"`
	Revision  uint64
	CreateRev uint64 `json:",omitempty"`
	Lease     uint64 `json:",omitempty"`
	Deleted   bool   `json:",omitempty"`
}

type storeLease struct {
	ttl      time.Duration
	deadline time.Time
}

// Store is a metadata store with revisions, leases and watches.
type Store struct {
	mu     sync.Mutex
	items  map[string]*storeItem
	leases map[uint64]*storeLease
	// history holds the changes from revision historyStart on. Older ones have been compacted.
	history      []storeEvent
	historyStart uint64
	revision     uint64
	// era counts the restorations; it is 1 at the start.
	era       uint64
	lastLease uint64
	fault     StoreFault
	// linkFreeAt is when the link has transferred what was read so far.
	linkFreeAt time.Time
	// copy is the last copy made over HTTP.
	copy    *Copy
	changed chan struct{}
	// calls is the number of calls by method and path, such as "GET /-/kv-range".
	calls map[string]int
}

// NewStore returns an empty store at revision 1, in its first era.
func NewStore() *Store {
	return &Store{
		items: make(map[string]*storeItem), leases: make(map[uint64]*storeLease), revision: 1, era: 1, historyStart: 1, lastLease: 1,
		changed: make(chan struct{}), calls: make(map[string]int),
	}
}

// Put writes a value as JSON, on behalf of an operator or an endpoint. Faults do not affect it.
func (s *Store) Put(key string, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return fmt.Errorf("encode %s: %w", key, err)
	}
	s.PutRaw(key, data)
	return nil
}

// PutRaw writes a value that need not be JSON. Faults do not affect it.
func (s *Store) PutRaw(key string, data []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.set(key, data, 0)
	s.notifyWatches()
}

// Delete removes a key at a new revision.
func (s *Store) Delete(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.remove(key)
	s.notifyWatches()
}

// RemoveSilently removes a key without a new revision or event, as the real metadata store does with the registrations of unresponsive
// endpoints.
func (s *Store) RemoveSilently(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.items, key)
}

// Leases returns the number of leases that have not ended.
func (s *Store) Leases() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.leases)
}

// Value returns the value of a key, or nil if the key does not exist.
func (s *Store) Value(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	if item := s.items[key]; item != nil {
		return item.Value
	}
	return nil
}

// Keys returns the keys with a prefix, in order.
func (s *Store) Keys(prefix string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}

// ModRevision returns the revision of the last write to a key, or zero if the key does not exist.
func (s *Store) ModRevision(key string) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if item := s.items[key]; item != nil {
		return item.Revision
	}
	return 0
}

// SetFault replaces the simulated faults.
func (s *Store) SetFault(f StoreFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fault.Down && !f.Down {
		// Leases do not expire during an outage, and get their full TTL after it.
		for _, l := range s.leases {
			l.deadline = time.Now().Add(l.ttl)
		}
	}
	s.fault = f
	s.notifyWatches()
}

// Compact discards the history up to the current revision.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history = nil
	s.historyStart = s.revision + 1
}

// Copy is the state of a store at one revision.
type Copy struct {
	items     map[string]*storeItem
	leases    map[uint64]storeLease
	revision  uint64
	lastLease uint64
}

// Copy returns a copy of the store's state, from which it can be restored.
func (s *Store) Copy() *Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := &Copy{items: maps.Clone(s.items), leases: make(map[uint64]storeLease), revision: s.revision, lastLease: s.lastLease}
	for id, l := range s.leases {
		c.leases[id] = *l
	}
	return c
}

// Without returns a copy without some keys, as if it had been made before they were written.
func (c *Copy) Without(keys ...string) *Copy {
	older := *c
	older.items = maps.Clone(c.items)
	for _, key := range keys {
		delete(older.items, key)
	}
	return &older
}

// Restore replaces the store's state by an earlier copy, and begins a new era: all writes since the copy are lost, and their revisions and
// leases are given out again. The leases of the copy get their full TTL.
func (s *Store) Restore(c *Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.items, s.revision, s.lastLease = maps.Clone(c.items), c.revision, c.lastLease
	s.leases = make(map[uint64]*storeLease)
	for id, l := range c.leases {
		s.leases[id] = &storeLease{l.ttl, time.Now().Add(l.ttl)}
	}
	s.history = slices.DeleteFunc(s.history, func(e storeEvent) bool { return e.Revision > c.revision })
	s.historyStart = min(s.historyStart, s.revision+1)
	s.era++
	s.notifyWatches()
}

// Calls returns the number of calls with a method and path, such as "GET /-/kv-range".
func (s *Store) Calls(name string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[name]
}

// set writes an item at the current revision. The caller holds the lock.
func (s *Store) set(key string, data []byte, lease uint64) {
	created := s.revision
	if previous := s.items[key]; previous != nil {
		created = previous.CreateRev
	}
	s.items[key] = &storeItem{key, data, s.revision, created, lease}
	s.history = append(s.history, storeEvent{Key: key, Value: data, Revision: s.revision, CreateRev: created, Lease: lease})
}

func (s *Store) remove(key string) {
	if s.items[key] == nil {
		return
	}
	delete(s.items, key)
	s.history = append(s.history, storeEvent{Key: key, Revision: s.revision, Deleted: true})
}

func (s *Store) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// expire ends the leases whose TTL has passed, unless the store is down. The caller holds the lock.
func (s *Store) expire(now time.Time) {
	if s.fault.Down {
		return
	}
	for id, l := range s.leases {
		if now.After(l.deadline) {
			s.endLease(id)
		}
	}
}

// endLease deletes a lease and all its keys, at one new revision. The caller holds the lock.
func (s *Store) endLease(id uint64) {
	delete(s.leases, id)
	var keys []string
	for key, item := range s.items {
		if item.Lease == id {
			keys = append(keys, key)
		}
	}
	if len(keys) == 0 {
		return
	}
	s.revision++
	for _, key := range keys {
		s.remove(key)
	}
	s.notifyWatches()
}
