package hosted

import (
	"encoding/json"
	"fmt"
	"sync"
	"time"
)

// StoreFault is what goes wrong at a store until the next fault is set.
type StoreFault struct {
	// PageDelay is how long each page of a range takes, as over a narrow link.
	PageDelay time.Duration
	// Down stores answer 503 to everything.
	Down bool
	// Silent stores answer nothing.
	Silent bool
	// LoseReplies lets writes take place without an answer.
	LoseReplies bool
	// HideEvents watches hear nothing.
	HideEvents bool
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
	span     time.Duration
	deadline time.Time
}

// Store is a metadata store with revisions, leases and watches.
type Store struct {
	mu       sync.Mutex
	items    map[string]*storeItem
	leases   map[uint64]*storeLease
	history  []storeEvent
	first    uint64
	revision uint64
	next     uint64
	fault    StoreFault
	changed  chan struct{}
	// calls counts calls by method and path.
	calls map[string]int
}

// NewStore returns an empty store at revision one.
func NewStore() *Store {
	return &Store{
		items: make(map[string]*storeItem), leases: make(map[uint64]*storeLease), revision: 1, first: 1, next: 1,
		changed: make(chan struct{}), calls: make(map[string]int),
	}
}

// Put writes a key as the operator or an endpoint does, whatever faults are set.
func (s *Store) Put(key string, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return fmt.Errorf("encode %s: %w", key, err)
	}
	s.PutRaw(key, data)
	return nil
}

// PutRaw writes bytes that need not be JSON.
func (s *Store) PutRaw(key string, data []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.set(key, data, 0)
	s.wake()
}

// Delete removes a key.
func (s *Store) Delete(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.drop(key)
	s.wake()
}

// RemoveSilently removes a key without a new revision, as the users' store does with entries of endpoints that fell silent.
func (s *Store) RemoveSilently(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.items, key)
}

// Value returns a key's bytes, or nil.
func (s *Store) Value(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	if item := s.items[key]; item != nil {
		return item.Value
	}
	return nil
}

// ModRevision returns the revision of a key's last write, or zero if it isn't there.
func (s *Store) ModRevision(key string) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if item := s.items[key]; item != nil {
		return item.Revision
	}
	return 0
}

// SetFault replaces the fault.
func (s *Store) SetFault(f StoreFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fault.Down && !f.Down {
		// Leases don't run out while the store is away, and run for their whole time after it.
		for _, l := range s.leases {
			l.deadline = time.Now().Add(l.span)
		}
	}
	s.fault = f
	s.wake()
}

// Compact forgets the history up to now.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history = nil
	s.first = s.revision + 1
}

// Calls returns how often a call was made, such as "GET /-/kv-range".
func (s *Store) Calls(name string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[name]
}

// set writes an item at the present revision; the caller holds the lock.
func (s *Store) set(key string, data []byte, lease uint64) {
	created := s.revision
	if held := s.items[key]; held != nil {
		created = held.CreateRev
	}
	s.items[key] = &storeItem{key, data, s.revision, created, lease}
	s.history = append(s.history, storeEvent{Key: key, Value: data, Revision: s.revision, CreateRev: created, Lease: lease})
}

func (s *Store) drop(key string) {
	if s.items[key] == nil {
		return
	}
	delete(s.items, key)
	s.history = append(s.history, storeEvent{Key: key, Revision: s.revision, Deleted: true})
}

func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// expire ends leases that have run out; the caller holds the lock.
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
		s.drop(key)
	}
	s.wake()
}
