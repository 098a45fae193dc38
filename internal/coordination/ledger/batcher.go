package ledger

import (
	"time"

	"gypsumvale/internal/state/claim"
)

const (
	// claimWriteInterval is the minimum interval between two writes of one shard that contain claims.
	claimWriteInterval = 40 * time.Millisecond
	// outcomeDelay is how long an outcome or a release may wait to be written together with a claim on the same page.
	outcomeDelay = 400 * time.Millisecond
)

// Pending is a change that is waiting for the next write of its page.
type Pending struct {
	Op  claim.Op
	Due time.Time
	// Answer receives exactly one value.
	Answer chan<- Answer
}

// Answer is the result of a change, or an error after which it is unknown whether the change took effect.
type Answer struct {
	Result claim.Result
	Err    error
}

// Batch is a set of changes to one page that are written together.
type Batch struct {
	Page    claim.PageID
	Pending []Pending
}

// Batcher batches the changes of one shard to limit the number of writes.
//
// An idle shard writes a claim immediately. A busy shard writes once per claimWriteInterval, so that the write rate doesn't grow with
// the claim rate: at 300 claims per second over two shards, there are 50 writes per second with six claims each.
type Batcher struct {
	pages     map[claim.PageID][]Pending
	lastWrite time.Time
}

// NewBatcher returns a batcher without pending changes.
func NewBatcher() *Batcher {
	return &Batcher{pages: make(map[claim.PageID][]Pending)}
}

// Add queues a change; its result is sent on answer.
func (b *Batcher) Add(now time.Time, op claim.Op, answer chan<- Answer) {
	due := b.lastWrite.Add(claimWriteInterval)
	if op.Kind != claim.OpClaim {
		due = now.Add(outcomeDelay)
	}
	if due.Before(now) {
		due = now
	}
	id := op.PageID()
	b.pages[id] = append(b.pages[id], Pending{Op: op, Due: due, Answer: answer})
}

// Due returns the time at which the next batch should be written; ok is false if nothing is pending.
func (b *Batcher) Due() (due time.Time, ok bool) {
	for _, list := range b.pages {
		for i := range list {
			if !ok || list[i].Due.Before(due) {
				due, ok = list[i].Due, true
			}
		}
	}
	return due, ok
}

// Take removes and returns one batch for each page with a change that is due. A batch contains all pending changes of its page.
func (b *Batcher) Take(now time.Time) []Batch {
	var batches []Batch
	for id, list := range b.pages {
		if !anyDue(list, now) {
			continue
		}
		batches = append(batches, Batch{Page: id, Pending: list})
		delete(b.pages, id)
	}
	if len(batches) > 0 {
		b.lastWrite = now
	}
	return batches
}

// TakeAll removes and returns all pending changes, for a graceful stop.
func (b *Batcher) TakeAll() []Batch {
	var batches []Batch
	for id, list := range b.pages {
		batches = append(batches, Batch{Page: id, Pending: list})
	}
	clear(b.pages)
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
