package ledger

import (
	"time"

	"gypsumvale/internal/state/claim"
)

const (
	// gatherTime is the least time between two writes of one shard that carry claims.
	gatherTime = 40 * time.Millisecond
	// settleTime is how long an outcome waits for a claim's write to the same page.
	settleTime = 400 * time.Millisecond
)

// Pending is a change that waits for its page's next write.
type Pending struct {
	Op  claim.Op
	Due time.Time
	// Answer takes exactly one answer.
	Answer chan<- Answer
}

// Answer is the result of a change, or the error that left it unknown.
type Answer struct {
	Result claim.Result
	Err    error
}

// Batch is the changes that go out with one write of a page.
type Batch struct {
	Page    claim.PageID
	Pending []Pending
}

// Batcher collects the changes of one shard into few writes.
//
// An idle shard writes a claim at once. A busy one writes every gatherTime, so that writes don't grow with claims:
// at 300 claims a second over two shards, 50 writes a second carry six claims each.
type Batcher struct {
	pages    map[claim.PageID][]Pending
	lastSent time.Time
}

// NewBatcher returns an empty gatherer.
func NewBatcher() *Batcher {
	return &Batcher{pages: make(map[claim.PageID][]Pending)}
}

// Add takes a change.
func (g *Batcher) Add(now time.Time, op claim.Op, answer chan<- Answer) {
	due := g.lastSent.Add(gatherTime)
	if op.Kind != claim.OpClaim {
		due = now.Add(settleTime)
	}
	if due.Before(now) {
		due = now
	}
	id := op.PageID()
	g.pages[id] = append(g.pages[id], Pending{Op: op, Due: due, Answer: answer})
}

// Due returns the time at which the next batch should go out; ok is false if nothing waits.
func (g *Batcher) Due() (due time.Time, ok bool) {
	for _, list := range g.pages {
		for i := range list {
			if !ok || list[i].Due.Before(due) {
				due, ok = list[i].Due, true
			}
		}
	}
	return due, ok
}

// Take returns every page that has a due change, with all that waits for that page.
func (g *Batcher) Take(now time.Time) []Batch {
	var batches []Batch
	for id, list := range g.pages {
		if !anyDue(list, now) {
			continue
		}
		batches = append(batches, Batch{Page: id, Pending: list})
		delete(g.pages, id)
	}
	if len(batches) > 0 {
		g.lastSent = now
	}
	return batches
}

// TakeAll returns everything that waits, for a graceful stop.
func (g *Batcher) TakeAll() []Batch {
	var batches []Batch
	for id, list := range g.pages {
		batches = append(batches, Batch{Page: id, Pending: list})
	}
	clear(g.pages)
	return batches
}

func anyDue(list []Pending, now time.Time) bool {
	for i := range list {
		if !list[i].Due.After(now) {
			return true
		}
	}
	return false
}
