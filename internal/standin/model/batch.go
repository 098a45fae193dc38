package model

import (
	"container/heap"
	"context"
	"sync"
)

// batch admits requests to a fixed number of slots, by descending priority and then in order of arrival.
type batch struct {
	slots int

	mu           sync.Mutex
	running      int
	waiters      waiterHeap
	lastSequence uint64
}

type waiter struct {
	priority  int
	sequence  uint64
	admitted  chan struct{}
	abandoned bool
}

type waiterHeap []*waiter

func (h waiterHeap) Len() int { return len(h) }

func (h waiterHeap) Less(i, j int) bool {
	if h[i].priority != h[j].priority {
		return h[i].priority > h[j].priority
	}
	return h[i].sequence < h[j].sequence
}

func (h waiterHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *waiterHeap) Push(x any)   { *h = append(*h, x.(*waiter)) }

func (h *waiterHeap) Pop() any {
	old := *h
	w := old[len(old)-1]
	*h = old[:len(old)-1]
	return w
}

// acquire waits for a slot and reports whether it obtained one before the context ended.
func (b *batch) acquire(ctx context.Context, priority int) bool {
	b.mu.Lock()
	if b.running < b.slots {
		b.running++
		b.mu.Unlock()
		return true
	}
	b.lastSequence++
	w := &waiter{priority: priority, sequence: b.lastSequence, admitted: make(chan struct{})}
	heap.Push(&b.waiters, w)
	b.mu.Unlock()
	select {
	case <-w.admitted:
		return true
	case <-ctx.Done():
		return b.abandon(w)
	}
}

// abandon withdraws a waiter, and releases the slot if it was granted just as the context ended. It always returns false.
func (b *batch) abandon(w *waiter) bool {
	b.mu.Lock()
	w.abandoned = true
	b.mu.Unlock()
	select {
	case <-w.admitted:
		b.release()
	default:
	}
	return false
}

func (b *batch) release() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.running--
	for b.running < b.slots && len(b.waiters) > 0 {
		w := heap.Pop(&b.waiters).(*waiter)
		if w.abandoned {
			continue
		}
		b.running++
		close(w.admitted)
	}
}

func (b *batch) sizes() (running, waiting int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.running, len(b.waiters)
}
