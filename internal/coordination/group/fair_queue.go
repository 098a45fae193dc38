package group

import (
	"container/heap"
	"time"
)

// waiter is a queued grant request.
type waiter struct {
	request   GrantRequest
	since     time.Time
	heapIndex int
}

// deadlineHeap is a min-heap of waiters by deadline.
type deadlineHeap []*waiter

func (h deadlineHeap) Len() int           { return len(h) }
func (h deadlineHeap) Less(i, j int) bool { return h[i].request.Deadline.Before(h[j].request.Deadline) }

func (h deadlineHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

func (h *deadlineHeap) Push(x any) {
	w := x.(*waiter)
	w.heapIndex = len(*h)
	*h = append(*h, w)
}

func (h *deadlineHeap) Pop() any {
	old := *h
	w := old[len(old)-1]
	*h = old[:len(old)-1]
	return w
}

// workspaceQueue holds the queued requests of one workspace and class, and accounts for the service that the workspace has received.
type workspaceQueue struct {
	waiters deadlineHeap
	// virtualTime is the granted cost divided by the workspace's share, in seconds.
	virtualTime float64
}

// fairQueue is a weighted fair queue that divides the grants of one class among workspaces in proportion to their shares.
//
// Each grant advances its workspace's virtual time by cost/share, and the workspace with the lowest virtual time is served next:
//
//	shares 3 and 1, equal costs: a a a b a a a b ...
//
// A workspace that has been idle starts at the queue's current virtual time, so it can't accumulate credit while idle.
type fairQueue struct {
	workspaces  map[string]*workspaceQueue
	virtualTime float64
	count       int
	waitingCost time.Duration
}

func newFairQueue() *fairQueue {
	return &fairQueue{workspaces: make(map[string]*workspaceQueue)}
}

func (f *fairQueue) push(w *waiter) {
	queue := f.workspaces[w.request.Workspace]
	if queue == nil {
		queue = &workspaceQueue{virtualTime: f.virtualTime}
		f.workspaces[w.request.Workspace] = queue
	}
	heap.Push(&queue.waiters, w)
	f.count++
	f.waitingCost += w.request.Cost
}

// next returns, without removing it, the first waiter that fits from the workspace with the lowest virtual time.
func (f *fairQueue) next(fits func(*GrantRequest) bool) *waiter {
	var best *waiter
	bestTime := 0.0
	for _, queue := range f.workspaces {
		w := queue.firstFitting(fits)
		if w == nil {
			continue
		}
		earlier := best == nil || queue.virtualTime < bestTime ||
			queue.virtualTime == bestTime && requestLess(&w.request, &best.request)
		if earlier {
			best, bestTime = w, queue.virtualTime
		}
	}
	return best
}

// firstFitting returns the first of the workspace's waiters that fits. It looks a few places past a waiter that fits nowhere, such as one
// that needs an idle endpoint.
func (q *workspaceQueue) firstFitting(fits func(*GrantRequest) bool) *waiter {
	const lookahead = 4
	for i := 0; i < len(q.waiters) && i < lookahead; i++ {
		if fits(&q.waiters[i].request) {
			return q.waiters[i]
		}
	}
	return nil
}

// requestLess is a total order of requests by deadline, so that results don't depend on the iteration order of maps.
func requestLess(a, b *GrantRequest) bool {
	if !a.Deadline.Equal(b.Deadline) {
		return a.Deadline.Before(b.Deadline)
	}
	if a.Entry != b.Entry {
		return a.Entry < b.Entry
	}
	return a.ID < b.ID
}

// charge advances the workspace's virtual time by the cost of a granted request.
func (f *fairQueue) charge(req *GrantRequest) {
	queue := f.workspaces[req.Workspace]
	f.virtualTime = max(f.virtualTime, queue.virtualTime)
	queue.virtualTime += req.Cost.Seconds() / float64(max(req.Share, 1))
}

func (f *fairQueue) remove(w *waiter) {
	queue := f.workspaces[w.request.Workspace]
	heap.Remove(&queue.waiters, w.heapIndex)
	f.count--
	f.waitingCost -= w.request.Cost
	if len(queue.waiters) == 0 && queue.virtualTime <= f.virtualTime {
		delete(f.workspaces, w.request.Workspace)
	}
}

// dropIdle removes idle workspaces whose virtual time is not ahead of the queue's.
func (f *fairQueue) dropIdle() {
	for name, queue := range f.workspaces {
		if len(queue.waiters) == 0 && (f.count == 0 || queue.virtualTime <= f.virtualTime) {
			delete(f.workspaces, name)
		}
	}
}
