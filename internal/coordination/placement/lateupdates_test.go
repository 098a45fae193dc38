package placement_test

import (
	"container/heap"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumvale/internal/coordination/placement"
	"gypsumvale/internal/state/clock"
	"gypsumvale/internal/state/prompt"
)

// engineCache is the real cache of one engine; the least recently used parts are evicted to make room for running requests.
type engineCache struct {
	address        string
	reservedTokens int
	parts          []prompt.Part
	events         []placement.CacheEvent
}

func (s *engineCache) find(id string) int {
	for i, p := range s.parts {
		if p.ID == id {
			return i
		}
	}
	return -1
}

// insert makes a part the most recently used one.
func (s *engineCache) insert(p prompt.Part) {
	if i := s.find(p.ID); i >= 0 {
		s.parts = append(s.parts[:i], s.parts[i+1:]...)
	} else {
		s.events = append(s.events, placement.CacheEvent{Added: true, Space: "w1", Part: p.ID, Tokens: p.Tokens})
	}
	s.parts = append(s.parts, p)
}

func (s *engineCache) evict() {
	tokens := s.reservedTokens
	for _, p := range s.parts {
		tokens += p.Tokens
	}
	for tokens > memoryTokens && len(s.parts) > 0 {
		tokens -= s.parts[0].Tokens
		s.events = append(s.events, placement.CacheEvent{Space: "w1", Part: s.parts[0].ID})
		s.parts = s.parts[1:]
	}
}

// lateUpdates simulates a load under which engines evict many parts and report this late.
type lateUpdates struct {
	pool      *placement.Pool
	caches    map[string]*engineCache
	events    eventHeap
	random    *rand.Rand
	prefilled map[string]bool
	// sharedTokens counts the shared tokens of all prompts, and recomputedTokens those computed again although an engine had them before.
	sharedTokens, recomputedTokens int
}

const (
	lagEngines         = 6
	updateLag          = 500 * time.Millisecond
	updatePeriod       = 100 * time.Millisecond
	lagContexts        = 24
	lagContextTokens   = 6000
	lagRunTime         = 300 * time.Millisecond
	lagArrivalInterval = 8 * time.Millisecond
	lagDuration        = 20 * time.Second
)

func newLateUpdates() *lateUpdates {
	l := &lateUpdates{
		pool: newPool(lagEngines), caches: make(map[string]*engineCache),
		random: rand.New(rand.NewPCG(3, 4)), prefilled: make(map[string]bool),
	}
	for _, r := range endpoints(lagEngines) {
		l.caches[r.ID] = &engineCache{address: r.Address}
	}
	for at := start; at < start.Add(lagDuration); at = at.Add(lagArrivalInterval) {
		l.at(at, l.arrive)
	}
	for at := start; at < start.Add(lagDuration); at = at.Add(updatePeriod) {
		l.at(at, l.sendUpdates)
	}
	return l
}

func (l *lateUpdates) at(when clock.Instant, do func(clock.Instant)) {
	heap.Push(&l.events, simEvent{when, do})
}

// sendUpdates sends the changes of all caches, which arrive after updateLag.
func (l *lateUpdates) sendUpdates(now clock.Instant) {
	for _, r := range endpoints(lagEngines) {
		s := l.caches[r.ID]
		update := placement.CacheUpdate{Epoch: 1, Events: s.events}
		s.events = nil
		l.at(now.Add(updateLag), func(now clock.Instant) { l.pool.ApplyCacheUpdate(now, r.ID, &update) })
	}
}

func (l *lateUpdates) arrive(now clock.Instant) {
	requestCount++
	req := &placement.Request{
		ID: placement.AssignmentID{Entry: "x", Number: requestCount}, Service: "llm", Zone: "a", Model: model,
		Prompt: lagContextTokens + 1000, Output: 100,
		Parts: []prompt.Part{
			{ID: "all", Tokens: 200}, {ID: fmt.Sprint("c", l.random.IntN(lagContexts)), Tokens: lagContextTokens - 200},
			{ID: fmt.Sprint("own", requestCount), Tokens: 1000},
		},
		FirstEventDeadline: now.Add(3 * time.Second), Deadline: now.Add(15 * time.Second),
	}
	c, err := l.pool.Place(now, req)
	switch {
	case errors.Is(err, placement.ErrQueued):
		l.pool.Withdraw(req.ID)
	case err == nil:
		l.run(now, req, &c)
	}
}

// run has an engine find, fetch or recompute each part, based on the real caches.
func (l *lateUpdates) run(now clock.Instant, req *placement.Request, c *placement.Choice) {
	s := l.caches[c.Endpoint]
	complete := true
	for i, p := range req.Parts {
		found := s.find(p.ID) >= 0 || c.FetchFrom != nil && l.isCached(c.FetchFrom[i], p.ID)
		complete = complete && found
		if i < len(req.Parts)-1 {
			l.sharedTokens += p.Tokens
			if !complete && l.prefilled[p.ID] {
				l.recomputedTokens += p.Tokens
			}
		}
		l.prefilled[p.ID] = true
	}
	// The prompt's parts are in the cache; the output takes additional memory.
	s.reservedTokens += req.Output
	for _, p := range req.Parts {
		s.insert(p)
	}
	s.evict()
	l.at(now.Add(lagRunTime/3), func(now clock.Instant) { l.pool.FirstEvent(now, req.ID) })
	l.at(now.Add(lagRunTime), func(now clock.Instant) {
		s.reservedTokens -= req.Output
		l.pool.Done(now, req.ID, placement.OutcomeAnswered)
	})
}

func (l *lateUpdates) isCached(address, part string) bool {
	for _, s := range l.caches {
		if s.address == address {
			return s.find(part) >= 0
		}
	}
	return false
}

func TestLateCacheUpdates(t *testing.T) {
	Convey("while engines evict many parts and report it late", t, func() {
		l := newLateUpdates()
		for l.events.Len() > 0 {
			e := heap.Pop(&l.events).(simEvent)
			e.run(e.at)
		}
		t.Logf("%d of %d shared tokens recomputed", l.recomputedTokens, l.sharedTokens)
		Convey("at most 5% of the shared tokens are recomputed", func() {
			So(l.recomputedTokens*20, ShouldBeLessThanOrEqualTo, l.sharedTokens)
		})
	})
}
