package ticket

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"

	"gypsumvale/internal/state/catalog"
	"gypsumvale/internal/state/kv"
)

// Follower holds the newest configuration that this instance has received. It never returns to an older revision.
type Follower struct {
	current atomic.Pointer[catalog.Snapshot]

	mu    sync.Mutex
	head  []byte
	cache PageCache
}

// NewFollower returns a follower whose configuration is empty.
func NewFollower() *Follower {
	f := &Follower{cache: make(PageCache)}
	// The empty configuration is always valid.
	empty, _ := catalog.NewSnapshot(0, nil)
	f.current.Store(empty)
	return f
}

// Current returns the configuration that is in force on this instance.
func (f *Follower) Current() *catalog.Snapshot { return f.current.Load() }

// Adopt reads the pages of a head and puts its configuration in force if its revision is higher than the current one. It reports
// whether it did.
func (f *Follower) Adopt(ctx context.Context, data []byte, source PageSource) (bool, error) {
	head, err := DecodeHead(data)
	if err != nil {
		return false, fmt.Errorf("adopt: %w", err)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if head.Revision <= f.Current().Revision {
		return false, nil
	}
	objects, err := ReadObjects(ctx, source, head, f.cache)
	if err != nil {
		return false, fmt.Errorf("adopt revision %d: %w", head.Revision, err)
	}
	list := make([]*catalog.Object, 0, len(objects))
	for _, o := range objects {
		list = append(list, o)
	}
	snapshot, err := catalog.NewSnapshot(head.Revision, list)
	if err != nil {
		return false, fmt.Errorf("adopt revision %d: %w", head.Revision, err)
	}
	f.head = data
	f.prune(head)
	f.current.Store(snapshot)
	return true, nil
}

func (f *Follower) prune(head *Head) {
	current := make(PageCache, len(head.Pages))
	for _, ref := range head.Pages {
		current[ref] = f.cache[ref]
	}
	f.cache = current
}

// Head returns the current head in its stored encoding, or nil if none has been adopted.
func (f *Follower) Head() []byte {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.head
}

// Get returns a page of the current configuration, for peers that are behind. It returns kv.ErrNotFound for any other page.
func (f *Follower) Get(_ context.Context, path string) (kv.Value, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for ref, data := range f.cache {
		if ref.Path() == path {
			return kv.Value{Data: data}, nil
		}
	}
	return kv.Value{}, fmt.Errorf("page %s: %w", path, kv.ErrNotFound)
}

// Missing returns the paths of those pages of a head that are not in the cache.
func (f *Follower) Missing(data []byte) ([]string, error) {
	head, err := DecodeHead(data)
	if err != nil {
		return nil, fmt.Errorf("list missing pages: %w", err)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	var paths []string
	for _, ref := range head.Pages {
		if _, ok := f.cache[ref]; !ok {
			paths = append(paths, ref.Path())
		}
	}
	return paths, nil
}
