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

// shelf is what one engine truly keeps: parts, the least recently used of which yield to running requests.
type shelf struct {
	address string
	running int
	parts   []prompt.Part
	news    []placement.CacheEvent
}

func (s *shelf) find(id string) int {
	for i, p := range s.parts {
		if p.ID == id {
			return i
		}
	}
	return -1
}

// use keeps a part as the most recently used one.
func (s *shelf) use(p prompt.Part) {
	if i := s.find(p.ID); i >= 0 {
		s.parts = append(s.parts[:i], s.parts[i+1:]...)
	} else {
		s.news = append(s.news, placement.CacheEvent{Added: true, Space: "w1", Part: p.ID, Tokens: p.Tokens})
	}
	s.parts = append(s.parts, p)
}

func (s *shelf) evict() {
	tokens := s.running
	for _, p := range s.parts {
		tokens += p.Tokens
	}
	for tokens > memoryTokens && len(s.parts) > 0 {
		tokens -= s.parts[0].Tokens
		s.news = append(s.news, placement.CacheEvent{Space: "w1", Part: s.parts[0].ID})
		s.parts = s.parts[1:]
	}
}

// lateNews is a load under which engines evict much, and what they say of it comes late.
type lateNews struct {
	pool    *placement.Pool
	shelves map[string]*shelf
	events  eventHeap
	random  *rand.Rand
	read    map[string]bool
	// shared tokens were asked for, and again read though an engine had read them before.
	shared, again int
}

const (
	newsEngines  = 6
	newsLag      = 500 * time.Millisecond
	newsPeriod   = 100 * time.Millisecond
	newsContexts = 24
	newsSize     = 6000
	newsRun      = 300 * time.Millisecond
	newsEach     = 8 * time.Millisecond
	newsSpan     = 20 * time.Second
)

func newLateNews() *lateNews {
	l := &lateNews{pool: newPool(newsEngines), shelves: make(map[string]*shelf), random: rand.New(rand.NewPCG(3, 4)), read: make(map[string]bool)}
	for _, r := range endpoints(newsEngines) {
		l.shelves[r.ID] = &shelf{address: r.Address}
	}
	for at := start; at < start.Add(newsSpan); at = at.Add(newsEach) {
		l.at(at, l.ask)
	}
	for at := start; at < start.Add(newsSpan); at = at.Add(newsPeriod) {
		l.at(at, l.tell)
	}
	return l
}

func (l *lateNews) at(when clock.Instant, do func(clock.Instant)) {
	heap.Push(&l.events, simEvent{when, do})
}

// tell has all engines say what has changed, which is heard late.
func (l *lateNews) tell(now clock.Instant) {
	for _, r := range endpoints(newsEngines) {
		s := l.shelves[r.ID]
		news := placement.CacheUpdate{Epoch: 1, Events: s.news}
		s.news = nil
		l.at(now.Add(newsLag), func(now clock.Instant) { l.pool.ApplyCacheUpdate(now, r.ID, &news) })
	}
}

func (l *lateNews) ask(now clock.Instant) {
	uses++
	a := &placement.Request{
		ID: placement.AssignmentID{Entry: "x", Number: uses}, Service: "llm", Zone: "a", Model: model, Prompt: newsSize + 1000, Output: 100,
		Parts: []prompt.Part{
			{ID: "all", Tokens: 200}, {ID: fmt.Sprint("c", l.random.IntN(newsContexts)), Tokens: newsSize - 200}, {ID: fmt.Sprint("own", uses), Tokens: 1000},
		},
		FirstEventDeadline: now.Add(3 * time.Second), Deadline: now.Add(15 * time.Second),
	}
	c, err := l.pool.Place(now, a)
	switch {
	case errors.Is(err, placement.ErrQueued):
		l.pool.Withdraw(a.ID)
	case err == nil:
		l.run(now, a, &c)
	}
}

// run has an engine find, fetch or read each part, by what is truly kept.
func (l *lateNews) run(now clock.Instant, a *placement.Request, c *placement.Choice) {
	s := l.shelves[c.Endpoint]
	whole := true
	for i, p := range a.Parts {
		found := s.find(p.ID) >= 0 || c.FetchFrom != nil && l.keeps(c.FetchFrom[i], p.ID)
		whole = whole && found
		if i < len(a.Parts)-1 {
			l.shared += p.Tokens
			if !whole && l.read[p.ID] {
				l.again += p.Tokens
			}
		}
		l.read[p.ID] = true
	}
	// The prompt's parts are counted as kept; what is generated comes on top.
	s.running += a.Output
	for _, p := range a.Parts {
		s.use(p)
	}
	s.evict()
	l.at(now.Add(newsRun/3), func(now clock.Instant) { l.pool.FirstEvent(now, a.ID) })
	l.at(now.Add(newsRun), func(now clock.Instant) {
		s.running -= a.Output
		l.pool.Done(now, a.ID, placement.OutcomeAnswered)
	})
}

func (l *lateNews) keeps(address, part string) bool {
	for _, s := range l.shelves {
		if s.address == address {
			return s.find(part) >= 0
		}
	}
	return false
}

func TestLateNews(t *testing.T) {
	Convey("while engines evict much and say so late", t, func() {
		l := newLateNews()
		for l.events.Len() > 0 {
			e := heap.Pop(&l.events).(simEvent)
			e.do(e.at)
		}
		t.Logf("%d of %d shared tokens read again", l.again, l.shared)
		Convey("at most a twentieth of the shared tokens is read again", func() {
			So(l.again*20, ShouldBeLessThanOrEqualTo, l.shared)
		})
	})
}
