package placement_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumvale/internal/coordination/placement"
	"gypsumvale/internal/state/clock"
	"gypsumvale/internal/state/prompt"
)

const (
	storedContexts      = 8000
	storedContextTokens = 4000
)

// storedFleet is a pool of 256 engines whose stores hold storedContexts contexts together.
type storedFleet struct {
	pool   *placement.Pool
	stores []placement.CacheStore
	now    clock.Instant
	placed uint64
}

func newStoredFleet(stores int) *storedFleet {
	f := &storedFleet{pool: newPool(256), now: start.Add(10 * time.Second)}
	for i := range stores {
		f.stores = append(f.stores, placement.CacheStore{
			Name: fmt.Sprint("s", i), Address: fmt.Sprintf("10.1.0.%d:80", i), Zone: "a", Capacity: 64000000, TokenSeconds: 1e-8,
		})
	}
	f.pool.SetStores(start, f.stores)
	f.pool.SetOwner(start, true)
	for i, s := range f.stores {
		list := placement.StoreListing{Epoch: 7, ClockMillis: 1000}
		for c := i; c < storedContexts; c += stores {
			list.Complete = append(list.Complete, placement.ListedPart{Space: "w1", Part: fmt.Sprint("c", c), Tokens: storedContextTokens})
		}
		f.pool.ApplyStoreListing(start, s.Name, &list)
	}
	return f
}

// serve places a request that uses a stored context, and answers it at once.
func (f *storedFleet) serve() (placement.Choice, error) {
	if f.placed%1000 == 0 {
		f.keepCurrent()
	}
	f.now = f.now.Add(500 * time.Microsecond)
	f.placed++
	req := &placement.Request{
		ID: placement.AssignmentID{Entry: "x", Number: f.placed}, Service: "llm", Zone: "a", Model: model, Prompt: 5000, Output: 20,
		Parts: []prompt.Part{
			{ID: fmt.Sprint("c", f.placed*7919%storedContexts), Tokens: storedContextTokens}, {ID: fmt.Sprint("own", f.placed), Tokens: 1000},
		},
		FirstEventDeadline: f.now.Add(3 * time.Second), Deadline: f.now.Add(15 * time.Second),
	}
	c, err := f.pool.Place(f.now, req)
	answer(f.pool, f.now, req)
	return c, err
}

// keepCurrent sends an empty update from each cache and store.
func (f *storedFleet) keepCurrent() {
	for _, e := range endpoints(256) {
		f.pool.ApplyCacheUpdate(f.now, e.ID, &placement.CacheUpdate{Epoch: 1, ClockMillis: 1000})
	}
	for _, s := range f.stores {
		f.pool.ApplyStoreUpdate(f.now, s.Name, &placement.CacheUpdate{Epoch: 7, ClockMillis: 1000})
	}
}

// BenchmarkPlaceFromStores measures one request's decisions on a fleet with 64 stores.
func BenchmarkPlaceFromStores(b *testing.B) {
	f := newStoredFleet(64)
	for b.Loop() {
		if _, err := f.serve(); err != nil {
			b.Fatal(err)
		}
	}
}

// On a fleet with 64 stores, a leader that asked each store for each part at each engine spent 226 us on a request, and could not keep up
// with 2,500 requests a second.
func TestManyStores(t *testing.T) {
	Convey("a context in one of many stores", t, func() {
		checks := func(stores int) (perRequest float64) {
			const requests = 2000
			f := newStoredFleet(stores)
			before, found := f.pool.Checks(), 0
			for range requests {
				if c, err := f.serve(); err == nil && c.Cached+c.Fetched > 0 {
					found++
				}
			}
			So(found, ShouldEqual, requests)
			return float64(f.pool.Checks()-before) / requests
		}
		Convey("is found without asking the others", func() { So(checks(64), ShouldBeLessThanOrEqualTo, 1.1*checks(2)) })
	})
	Convey("a store that is removed or restarts is no source any more", t, func() {
		f := newStoredFleet(2)
		f.keepCurrent()
		f.pool.SetStores(f.now, f.stores[:1])
		f.pool.ApplyStoreUpdate(f.now, "s0", &placement.CacheUpdate{Epoch: 8})
		c, err := f.serve()
		So(err, ShouldBeNil)
		So(c.Fetched, ShouldEqual, 0)
	})
}
